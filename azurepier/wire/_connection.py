"""One connection between two processes."""

import asyncio
import enum
import socket
import struct
import typing

import attrs

from azurepier.kernel import WireError
from azurepier.wire import _codec
from azurepier.wire import _frames
from azurepier.wire import _handshake

HANDSHAKE_TIMEOUT_S = 3.0
MAX_HANDSHAKE_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# A closed connection whose peer does not take the last bytes is aborted.
CLOSE_TIMEOUT_S = 3.0
# All connections of a process receive into the same buffer: asyncio's
# selector loop calls `buffer_updated` directly after it filled the buffer,
# and `FrameSplitter` copies what it keeps.
_RECEIVE_BYTES = 256 * 1024
# SO_LINGER: on, 0 s.
_RESET = struct.pack('ii', 1, 0)
_receive_buffer = memoryview(bytearray(_RECEIVE_BYTES))


@attrs.define
class Traffic:
    """Counts of one process, over all its connections."""

    sent: dict = attrs.field(factory=dict)
    received: dict = attrs.field(factory=dict)
    sent_bytes: int = 0
    received_bytes: int = 0
    writes: int = 0
    failed_handshakes: int = 0


@attrs.frozen
class Hooks:
    """What a connection calls and asks in its process.

    Parameters
    ----------
    hello : callable
        ``hello() -> Hello``, a new first message with the next session.
    keys : callable
        ``keys() -> tuple of bytes``, the shared keys now in force.
    up : callable
        ``up(connection, hello)`` when the handshake has ended.
    received : callable
        ``received(connection, msg)``
    lost : callable
        ``lost(connection, reason)``, once for each connection that was up.
    failed : callable
        ``failed(peer, reason)`` for a connection that was never up.
    traffic : Traffic
    """

    hello: typing.Callable
    keys: typing.Callable
    up: typing.Callable
    received: typing.Callable
    lost: typing.Callable
    failed: typing.Callable
    traffic: Traffic = attrs.field(factory=Traffic)


class _Phase(enum.Enum):
    HANDSHAKE = 1
    UP = 2
    CLOSING = 3
    CLOSED = 4


class Connection(asyncio.BufferedProtocol):
    """Protocol of one connection.

    Attributes
    ----------
    number : int or None
        Free for the owner, who identifies connections by numbers.
    peer : str
        Address of the other side, for logs.
    failed : bool
        Whether the connection ended because of a message that is malformed,
        can't be encoded or was not read by the peer.
    """

    def __init__(self, side, hooks, on_end=None):
        self.number = None
        self.peer = ''
        self.failed = False
        self._side = side
        self._hooks = hooks
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._phase = _Phase.HANDSHAKE
        self._transport = None
        self._handshake = None
        self._handshake_bytes = 0
        self._splitter = _frames.FrameSplitter()
        self._outbox = []
        self._outbox_bytes = 0
        self._alarm = None
        self._was_up = False
        self._reason = ''

    @property
    def is_up(self):
        """Whether messages can be sent."""
        return self._phase is _Phase.UP

    # Sending -------------------------------------------------------------

    def send(self, msg):
        """Send a message; what one loop iteration sends is one write.

        Notes
        -----
        A connection that is not up drops the message. A message that can't
        be encoded, or a peer that does not read, ends the connection: the
        peers then agree on a new session what was received.
        """
        if self._phase is _Phase.UP:
            self._send(msg)

    def _send(self, msg):
        try:
            frame = _codec.encode(msg)
        except WireError as exc:
            self._fail(str(exc))
            return
        sent = self._hooks.traffic.sent
        sent[type(msg)] = sent.get(type(msg), 0) + 1
        if not self._outbox:
            self._loop.call_soon(self._flush)
        self._outbox.append(frame)
        self._outbox_bytes += len(frame)
        if self._outbox_bytes > MAX_UNSENT_BYTES:
            self._check_unsent()

    def _flush(self):
        if not self._outbox or self._phase is _Phase.CLOSED:
            return
        data = b''.join(self._outbox)
        self._outbox.clear()
        self._outbox_bytes = 0
        traffic = self._hooks.traffic
        traffic.sent_bytes += len(data)
        traffic.writes += 1
        self._transport.write(data)
        self._check_unsent()

    def _check_unsent(self):
        unsent = self._transport.get_write_buffer_size() + self._outbox_bytes
        if unsent > MAX_UNSENT_BYTES:
            self._fail(f'{unsent} bytes are unsent')

    # Receiving -----------------------------------------------------------

    def get_buffer(self, sizehint):
        """Return the memory for received bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """Process `nbytes` received bytes."""
        self._hooks.traffic.received_bytes += nbytes
        limit = _codec.MAX_FRAME_BYTES
        if self._phase is _Phase.HANDSHAKE:
            limit = MAX_HANDSHAKE_BYTES
        try:
            for payload in self._splitter.feed(
                _receive_buffer[:nbytes], limit
            ):
                if self._phase is _Phase.UP:
                    self._on_payload(payload)
                elif self._phase is _Phase.HANDSHAKE:
                    self._on_handshake(payload)
                else:
                    return
        except WireError as exc:
            self._fail(str(exc))

    def _on_payload(self, payload):
        msg = _codec.decode_payload(payload)
        received = self._hooks.traffic.received
        received[type(msg)] = received.get(type(msg), 0) + 1
        self._hooks.received(self, msg)

    def _on_handshake(self, payload):
        self._handshake_bytes += _codec.HEADER_BYTES + len(payload)
        if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
            raise WireError('the handshake is too long')
        msg = _codec.decode_payload(payload)
        reply = _handshake.receive(self._handshake, msg)
        if reply is not None:
            self._send(reply)
        if self._handshake.done:
            self._phase = _Phase.UP
            self._was_up = True
            self._alarm.cancel()
            hello = self._handshake.peer
            self._handshake = None
            self._hooks.up(self, hello)

    # Opening and closing -------------------------------------------------

    def connection_made(self, transport):
        """Send the own `Hello`."""
        self._transport = transport
        address = transport.get_extra_info('peername') or ('unknown', 0)
        self.peer = f'{address[0]}:{address[1]}'
        self._alarm = self._loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.abort, 'the handshake took too long'
        )
        hello = self._hooks.hello()
        keys = self._hooks.keys()
        self._handshake = _handshake.prepare(self._side, hello, keys)
        self._send(hello)

    def close(self, reason='closed'):
        """Send what is pending and close the connection."""
        if self._phase in (_Phase.CLOSING, _Phase.CLOSED):
            return
        self._flush()
        self._phase = _Phase.CLOSING
        self._reason = self._reason or reason
        self._alarm.cancel()
        self._alarm = self._loop.call_later(CLOSE_TIMEOUT_S, self.abort)
        self._transport.close()

    def abort(self, reason='closed'):
        """Close the connection and drop what is pending."""
        if self._phase is _Phase.CLOSED:
            return
        self._phase = _Phase.CLOSED
        self._reason = self._reason or reason
        self._outbox.clear()
        sock = self._transport.get_extra_info('socket')
        if sock is not None:
            # A reset also drops what the kernel has not delivered yet.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()

    def _fail(self, reason):
        self.failed = True
        self.abort(reason)

    def eof_received(self):
        """Close the connection when the peer has closed its side."""
        return False

    def connection_lost(self, exc):
        """Tell the owner that the connection has ended."""
        self._phase = _Phase.CLOSED
        self._alarm.cancel()
        self._outbox.clear()
        reason = self._reason or str(exc or 'closed by the peer')
        if self._was_up:
            self._hooks.lost(self, reason)
        else:
            self._hooks.traffic.failed_handshakes += 1
            self._hooks.failed(self.peer, reason)
        if self._on_end is not None:
            self._on_end(self)
