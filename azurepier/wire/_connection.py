"""Connections between two processes."""

import asyncio
import enum
import math
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
# Part of an incomplete message that doesn't count towards the memory of all
# connections; most messages are shorter.
FREE_INCOMPLETE_BYTES = 16 * 1024
# The same of messages that wait to be sent.
FREE_UNSENT_BYTES = 16 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# A connection that is being closed is aborted after this time if the peer
# has not read the remaining bytes.
CLOSE_TIMEOUT_S = 3.0
# All connections of a process share one receive buffer: asyncio's selector
# loop calls `buffer_updated` immediately after it has filled the buffer, and
# `FrameSplitter` copies the bytes that it keeps.
_RECEIVE_BUFFER_BYTES = 256 * 1024
# SO_LINGER enabled with a timeout of 0 s: closing sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)
_receive_buffer = memoryview(bytearray(_RECEIVE_BUFFER_BYTES))


@attrs.define
class Traffic:
    """Counters over all connections of a process.

    `sent` and `received` count messages by class, `ignored` those of unknown
    types.
    """

    sent: dict = attrs.field(factory=dict)
    received: dict = attrs.field(factory=dict)
    ignored: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    writes: int = 0
    failed_handshakes: int = 0


@attrs.frozen
class Hooks:
    """Callbacks of a connection into its process.

    Parameters
    ----------
    make_hello : callable
        ``make_hello() -> Hello``, the first message, with a new session.
    get_keys : callable
        ``get_keys() -> tuple of bytes``, the active shared keys.
    on_connected : callable
        ``on_connected(connection, hello)``, after the handshake.
    on_message : callable
        ``on_message(connection, msg)``
    on_disconnected : callable
        ``on_disconnected(connection, reason)``, once for each connection
        whose handshake was completed.
    on_connect_failed : callable
        ``on_connect_failed(peer, reason)``, for a connection that ended
        before its handshake was completed.
    traffic : Traffic
    max_unsent_age_s : float
        A connection is aborted if its messages were not written within this
        time (s). The process was paused then, and what it concluded before
        may no longer hold.
    take_memory : callable
        ``take_memory(count) -> bool`` tells whether there is memory for so
        many more bytes of incomplete or unsent messages; negative to return
        them.
    """

    make_hello: typing.Callable
    get_keys: typing.Callable
    on_connected: typing.Callable
    on_message: typing.Callable
    on_disconnected: typing.Callable
    on_connect_failed: typing.Callable
    traffic: Traffic = attrs.field(factory=Traffic)
    max_unsent_age_s: float = math.inf
    take_memory: typing.Callable = lambda count: True


class _Phase(enum.Enum):
    HANDSHAKE = 1
    CONNECTED = 2
    CLOSING = 3
    CLOSED = 4


class Connection(asyncio.BufferedProtocol):
    """Protocol of one connection.

    Parameters
    ----------
    side : Side
    hooks : Hooks
    on_closed : callable, optional
        ``on_closed(connection)``, after the connection has ended.

    Attributes
    ----------
    number : int or None
        Connection number; assigned by the owner.
    peer : str
        Address of the peer, for logs.
    failed : bool
        Whether the connection ended because a message was malformed or
        could not be encoded, or because the peer did not read.
    """

    def __init__(self, side, hooks, on_closed=None):
        self.number = None
        self.peer = ''
        self.failed = False
        self._side = side
        self._hooks = hooks
        self._on_closed = on_closed
        self._loop = asyncio.get_running_loop()
        self._phase = _Phase.HANDSHAKE
        self._transport = None
        self._handshake = None
        self._handshake_bytes = 0
        self._splitter = _frames.FrameSplitter()
        self._taken_bytes = 0
        self._taken_unsent_bytes = 0
        self._send_buffer = []
        self._send_buffer_bytes = 0
        # Time at which the oldest message was added to the buffer (s).
        self._send_buffer_since = 0.0
        self._timeout = None
        self._was_connected = False
        self._close_reason = ''

    @property
    def is_connected(self):
        """Whether messages can be sent."""
        return self._phase is _Phase.CONNECTED

    @property
    def incomplete_bytes(self):
        """Number of received bytes of a message that isn't complete."""
        return self._splitter.pending_bytes

    def send(self, msg):
        """Send a message.

        Notes
        -----
        The messages of one loop iteration are sent in one write. A message
        is dropped if the connection is not established. A message that
        can't be encoded, or a peer that does not read, ends the connection;
        the peers then determine in a new session what was received.
        """
        if self._phase is _Phase.CONNECTED:
            self._send(msg)

    def _send(self, msg):
        try:
            frame = _codec.encode(msg)
        except WireError as exc:
            self._fail(str(exc))
            return
        sent = self._hooks.traffic.sent
        sent[type(msg)] = sent.get(type(msg), 0) + 1
        if not self._send_buffer:
            self._loop.call_soon(self._flush)
            self._send_buffer_since = self._loop.time()
        self._send_buffer.append(frame)
        self._send_buffer_bytes += len(frame)
        if self._send_buffer_bytes > FREE_UNSENT_BYTES:
            self._count_unsent()

    def _flush(self):
        if not self._send_buffer or self._phase is _Phase.CLOSED:
            return
        age_s = self._loop.time() - self._send_buffer_since
        if age_s > self._hooks.max_unsent_age_s:
            self.abort(f'paused for {age_s:.2f} s with unsent messages')
            return
        data = b''.join(self._send_buffer)
        self._send_buffer.clear()
        self._send_buffer_bytes = 0
        traffic = self._hooks.traffic
        traffic.sent_bytes += len(data)
        traffic.writes += 1
        self._transport.write(data)
        self._count_unsent()

    def _count_unsent(self):
        """Take the memory of unsent messages, or return it."""
        if self._phase is _Phase.CLOSED:
            return
        unsent = (
            self._transport.get_write_buffer_size() + self._send_buffer_bytes
        )
        if unsent > MAX_UNSENT_BYTES:
            self._fail(f'{unsent} unsent bytes exceed the limit')
            return
        held = unsent if unsent > FREE_UNSENT_BYTES else 0
        if held == self._taken_unsent_bytes:
            return
        if not self._hooks.take_memory(held - self._taken_unsent_bytes):
            self._fail(f'no memory for {unsent} unsent bytes')
            return
        self._taken_unsent_bytes = held

    def pause_writing(self):
        """Go on; unsent messages are counted when they are added."""

    def resume_writing(self):
        """Return the memory of messages that were sent."""
        self._count_unsent()

    def get_buffer(self, sizehint):
        """Return the buffer for received bytes."""
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
                if self._phase is _Phase.CONNECTED:
                    self._on_payload(payload)
                elif self._phase is _Phase.HANDSHAKE:
                    self._on_handshake_payload(payload)
                else:
                    return
            self._count_incomplete()
        except WireError as exc:
            self._fail(str(exc))

    def _count_incomplete(self):
        """Take the memory of an incomplete message, or return it."""
        held = self._splitter.pending_bytes
        if held <= FREE_INCOMPLETE_BYTES:
            held = 0
        if held == self._taken_bytes:
            return
        if not self._hooks.take_memory(held - self._taken_bytes):
            raise WireError(
                f'no memory for an incomplete message of {held} bytes'
            )
        self._taken_bytes = held

    def _on_payload(self, payload):
        if not _codec.is_known(payload):
            # A later build may send it. Closing the connection would stop the
            # exchange with that build during an upgrade.
            self._hooks.traffic.ignored += 1
            return
        msg = _codec.decode_payload(payload)
        received = self._hooks.traffic.received
        received[type(msg)] = received.get(type(msg), 0) + 1
        self._hooks.on_message(self, msg)

    def _on_handshake_payload(self, payload):
        self._handshake_bytes += _codec.HEADER_BYTES + len(payload)
        if self._handshake_bytes > MAX_HANDSHAKE_BYTES:
            raise WireError(
                f'handshake of {self._handshake_bytes} bytes exceeds the '
                f'limit of {MAX_HANDSHAKE_BYTES}'
            )
        msg = _codec.decode_payload(payload)
        reply = _handshake.receive(self._handshake, msg)
        if reply is not None:
            self._send(reply)
        if self._handshake.done:
            self._phase = _Phase.CONNECTED
            self._was_connected = True
            self._timeout.cancel()
            hello = self._handshake.peer_hello
            self._handshake = None
            self._hooks.on_connected(self, hello)

    def connection_made(self, transport):
        """Start the handshake by sending the local `Hello`."""
        self._transport = transport
        transport.set_write_buffer_limits(FREE_UNSENT_BYTES)
        address = transport.get_extra_info('peername') or ('unknown', 0)
        self.peer = f'{address[0]}:{address[1]}'
        self._timeout = self._loop.call_later(
            HANDSHAKE_TIMEOUT_S, self.abort, 'the handshake timed out'
        )
        hello = self._hooks.make_hello()
        keys = self._hooks.get_keys()
        self._handshake = _handshake.prepare(self._side, hello, keys)
        self._send(hello)

    def close(self, reason='closed'):
        """Send the pending messages and close the connection."""
        if self._phase in (_Phase.CLOSING, _Phase.CLOSED):
            return
        self._flush()
        if self._phase is _Phase.CLOSED:
            return
        self._phase = _Phase.CLOSING
        self._close_reason = self._close_reason or reason
        self._timeout.cancel()
        self._timeout = self._loop.call_later(CLOSE_TIMEOUT_S, self.abort)
        self._transport.close()

    def abort(self, reason='closed'):
        """Close the connection at once and drop the pending messages."""
        if self._phase is _Phase.CLOSED:
            return
        self._phase = _Phase.CLOSED
        self._close_reason = self._close_reason or reason
        self._send_buffer.clear()
        sock = self._transport.get_extra_info('socket')
        if sock is not None:
            # A reset also drops the data that the kernel has not sent yet.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self._transport.abort()

    def _fail(self, reason):
        self.failed = True
        self.abort(reason)

    def eof_received(self):
        """Close the connection when the peer has closed its side."""
        return False

    def connection_lost(self, exc):
        """Report the end of the connection to the owner."""
        taken = self._taken_bytes + self._taken_unsent_bytes
        if taken:
            self._hooks.take_memory(-taken)
            self._taken_bytes = self._taken_unsent_bytes = 0
        self._phase = _Phase.CLOSED
        self._timeout.cancel()
        self._send_buffer.clear()
        reason = self._close_reason or str(exc or 'closed by the peer')
        if self._was_connected:
            self._hooks.on_disconnected(self, reason)
        else:
            self._hooks.traffic.failed_handshakes += 1
            self._hooks.on_connect_failed(self.peer, reason)
        if self._on_closed is not None:
            self._on_closed(self)
