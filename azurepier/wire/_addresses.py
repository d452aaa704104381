"""Addresses, and sockets that listen on them.

Imports little, so that a process can listen before the rest is imported.
"""

import socket

# Connections that wait until they are accepted; the processes of a deployment
# connect at the same time after a loss of power.
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
        raise ValueError(f'port {port} is larger than 65535')
    return host, int(port)


def bind(address):
    """Return a listening socket; port 0 lets the system choose one.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only where the protocol is given explicitly;
    # accepted sockets inherit it. Without, answers wait 40 ms for an ACK.
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
    """Return "host:port" of a bound socket."""
    host, port = sock.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'
