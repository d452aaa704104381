"""Accepting and opening connections."""

import asyncio
import functools

import attrs

from azurepier.wire import _addresses
from azurepier.wire import _attempts
from azurepier.wire import _connection
from azurepier.wire import _handshake

MAX_CONNECTIONS = 8192
# Accepted connections that have not completed the handshake. Limits the
# resources that peers without a key can use.
MAX_HANDSHAKES = 512
# Connections that are accepted in one iteration of the event loop, before
# those above a limit are closed; bounds the open descriptors meanwhile.
ACCEPTED_AT_ONCE = 16
# Time after which another attempt to connect is made (s).
DIAL_INTERVAL_S = 0.3


@attrs.define(eq=False)
class Listener:
    """Accepts connections, up to limits on their number.

    Parameters
    ----------
    hooks : Hooks
    max_connections : int
    max_handshakes : int
        Maximum number of connections whose handshake is in progress.
    connections : set of Connection
        Open connections, including those in the handshake.
    handshakes : set of Connection
        Connections whose handshake is in progress.
    server : asyncio.Server or None
    """

    hooks: _connection.Hooks
    max_connections: int = MAX_CONNECTIONS
    max_handshakes: int = MAX_HANDSHAKES
    connections: set = attrs.field(factory=set)
    handshakes: set = attrs.field(factory=set)
    server: asyncio.Server | None = None

    def accept(self):
        """Return the protocol of a new connection.

        Above a limit the protocol closes the connection immediately.
        """
        if (
            len(self.connections) >= self.max_connections
            or len(self.handshakes) >= self.max_handshakes
        ):
            return _RejectedConnection(self.hooks)
        conn = _connection.Connection(
            _handshake.Side.LISTENER,
            attrs.evolve(self.hooks, on_connected=self._on_connected),
            self._on_closed,
        )
        self.connections.add(conn)
        self.handshakes.add(conn)
        return conn

    def _on_connected(self, conn, hello):
        self.handshakes.discard(conn)
        self.hooks.on_connected(conn, hello)

    def _on_closed(self, conn):
        self.handshakes.discard(conn)
        self.connections.discard(conn)

    def close(self):
        """Stop accepting connections; open connections stay open."""
        self.server.close()


class _RejectedConnection(asyncio.Protocol):
    """Closes a connection that exceeds a limit."""

    def __init__(self, hooks):
        self._hooks = hooks

    def connection_made(self, transport):
        address = transport.get_extra_info('peername') or ('unknown', 0)
        transport.abort()
        self._hooks.traffic.failed_handshakes += 1
        peer = f'{address[0]}:{address[1]}'
        self._hooks.on_connect_failed(peer, 'too many connections')


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
    listener.server = await loop.create_server(
        listener.accept, sock=sock, backlog=ACCEPTED_AT_ONCE
    )
    # The number above also shortens the kernel's queue.
    sock.listen(_addresses.BACKLOG)
    return listener


async def dial(address, hooks):
    """Open a connection.

    Returns
    -------
    Connection or None
        The connection, whose handshake is still in progress. None after a
        failure, which is reported to ``hooks.on_connect_failed``.
    """
    factory = functools.partial(
        _connection.Connection, _handshake.Side.DIALER, hooks
    )
    try:
        host, port = _addresses.split_address(address)
        return await _attempts.connect(factory, host, port, DIAL_INTERVAL_S)
    except TimeoutError:
        reason = f'no connection within {_attempts.CONNECT_TIMEOUT_S} s'
        hooks.on_connect_failed(address, reason)
    except (OSError, ValueError) as exc:
        hooks.on_connect_failed(address, str(exc))
    return None
