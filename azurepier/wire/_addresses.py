"""Parsing of addresses and creation of listening sockets.

Imports little, so that a process can listen before the rest is imported.
"""

import socket

# Connections that the kernel queues until they are accepted. After a power
# failure all processes of a deployment connect at the same time.
BACKLOG = 1024


def split_address(address):
    """Split "host:port" or "[v6]:port".

    Raises
    ------
    ValueError
        If `address` does not have this form.
    """
    host, colon, port = address.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not colon or not host or not port.isascii() or not port.isdigit():
        raise ValueError(f'{address!r} is not of the form host:port')
    if int(port) > 65535:
        raise ValueError(f'port {port} exceeds 65535 in {address!r}')
    return host, int(port)


def bind(address):
    """Return a listening socket; port 0 selects a free port.

    Raises
    ------
    OSError
        If the address can't be bound.
    ValueError
        If `address` is not of the form host:port.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol number is
    # explicit, and accepted sockets inherit that number. Without TCP_NODELAY
    # a reply can be delayed by 40 ms until the peer acknowledges.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def bound_address(sock):
    """Return the address of a bound socket as "host:port"."""
    host, port = sock.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
