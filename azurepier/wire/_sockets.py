"""Opening of connections: listening socket and outgoing connections."""

import asyncio
import functools

import attrs

from azurepier.wire import _addresses
from azurepier.wire import _connection
from azurepier.wire import _handshake

MAX_CONNECTIONS = 8192
# Accepted connections that have not finished the handshake. Bounds what
# peers without a key can occupy.
MAX_HANDSHAKES = 512
# A machine without power does not answer the first packet, and the next one
# is sent only after a second; a new attempt finds it sooner. Regions are a
# tenth of a second apart at most.
DIAL_TIMEOUT_S = 0.3


@attrs.define(eq=False)
class Listener:
    """Accepts connections up to the limits."""

    hooks: _connection.Hooks
    max_connections: int = MAX_CONNECTIONS
    max_handshakes: int = MAX_HANDSHAKES
    connections: set = attrs.field(factory=set)
    handshakes: set = attrs.field(factory=set)
    server: asyncio.Server | None = None

    def accept(self):
        """Return the protocol of a new connection."""
        if (
            len(self.connections) >= self.max_connections
            or len(self.handshakes) >= self.max_handshakes
        ):
            return _Rejected(self.hooks)
        conn = _connection.Connection(
            _handshake.Side.LISTENER,
            attrs.evolve(self.hooks, up=self._on_up),
            self._on_end,
        )
        self.connections.add(conn)
        self.handshakes.add(conn)
        return conn

    def _on_up(self, conn, hello):
        self.handshakes.discard(conn)
        self.hooks.up(conn, hello)

    def _on_end(self, conn):
        self.handshakes.discard(conn)
        self.connections.discard(conn)

    def close(self):
        """Stop accepting; connections that are open stay open."""
        self.server.close()


class _Rejected(asyncio.Protocol):
    """Closes a connection that exceeds a limit."""

    def __init__(self, hooks):
        self._hooks = hooks

    def connection_made(self, transport):
        address = transport.get_extra_info('peername') or ('unknown', 0)
        transport.abort()
        self._hooks.traffic.failed_handshakes += 1
        peer = f'{address[0]}:{address[1]}'
        self._hooks.failed(peer, 'too many connections')


async def listen(sock, hooks, **limits):
    """Accept connections on a bound socket.

    Parameters
    ----------
    sock : socket.socket
    hooks : Hooks
    **limits
        `max_connections` and `max_handshakes` of `Listener`.

    Returns
    -------
    Listener
    """
    loop = asyncio.get_running_loop()
    listener = Listener(hooks, **limits)
    listener.server = await loop.create_server(listener.accept, sock=sock)
    return listener


async def dial(address, hooks):
    """Open a connection; a failure is reported to ``hooks.failed``.

    Returns
    -------
    Connection or None
        The connection, whose handshake has yet to end.
    """
    loop = asyncio.get_running_loop()
    factory = functools.partial(
        _connection.Connection, _handshake.Side.DIALER, hooks
    )
    try:
        host, port = _addresses.split_address(address)
        async with asyncio.timeout(DIAL_TIMEOUT_S):
            _, conn = await loop.create_connection(factory, host, port)
    except TimeoutError:
        hooks.failed(address, f'no connection within {DIAL_TIMEOUT_S} s')
        return None
    except (OSError, ValueError) as exc:
        hooks.failed(address, str(exc))
        return None
    return conn
