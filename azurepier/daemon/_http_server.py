"""HTTP protocol of the server that bounds what a connection can take.

uvicorn parses all that has arrived, and keeps each request until those before
it are answered; its parser keeps a header until its end. This protocol parses
little at a time, stops reading while answers wait to be sent or requests wait
for their turn, and closes the connections that exceed a limit. Bytes, not
requests, are counted where that suffices, so that an ordinary request costs
some comparisons.
"""

import asyncio

import httptools
from uvicorn.protocols.http import httptools_impl

from azurepier.daemon import _http_flow
from azurepier.daemon import _http_memory
from azurepier.daemon import _http_port
from azurepier.daemon import _http_refusal
from azurepier.daemon import _limits

# All connections of a process share one receive buffer: the event loop calls
# `buffer_updated` immediately after it has filled the buffer.
_receive_buffer = memoryview(bytearray(_limits.READ_BYTES))


class _ExceededError(Exception):
    """A limit was exceeded; stops the parser."""


class BoundedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """Protocol of one connection.

    Parameters
    ----------
    port : azurepier.daemon._http_port.Port
    **kwargs
        Those of the base class.
    """

    def __init__(self, port, **kwargs):
        super().__init__(**kwargs)
        self._port = port
        self._place = _http_port.Place.NONE
        self._closing = False
        # The request whose answer is under way, while others wait behind it.
        self._open_cycle = None
        # Bytes that were read but not parsed.
        self._unparsed = b''
        # Whether the parser is in a header section, and the bytes of it that
        # were parsed.
        self._in_head = True
        self._head_bytes = 0
        self._slice_bytes = self._body_bytes = 0
        self._framing_bytes = self._framing_since = 0
        self._memory = _http_memory.ConnectionMemory(port.limits.shared)
        # Whether there was no memory for a pause of reading, and whether what
        # the client sends is dropped since then.
        self._lacks_memory = False
        self._drops_input = False
        # Whether a part of a request has arrived that isn't complete.
        self._has_begun = False
        self._upgraded = False
        # Limit that a callback of the parser has found exceeded.
        self._exceeded = ''

    def connection_made(self, transport):
        """Admit the connection, or close it if there are too many."""
        super().connection_made(transport)
        self.flow = _http_flow.Flow(transport, self)
        port = self._port
        self._place = port.admit(self)
        if self._place is _http_port.Place.NONE:
            self.close_for('connections')
            return
        # Any unsent byte pauses reading.
        transport.set_write_buffer_limits(high=0)
        port.waiting[self] = self.loop.time()

    def connection_lost(self, exc):
        """Return what the connection has taken."""
        self._forget()
        self.pipeline.clear()
        super().connection_lost(exc)

    def _forget(self):
        port = self._port
        self._closing = True
        if self.cycle is not None and not self.cycle.response_complete:
            port.record_answer(self._place)
        port.release(self, self._place)
        self._place = _http_port.Place.NONE
        self._memory.give_back(*_http_memory.Use)
        self._unparsed = b''
        port.put(self, None)
        port.unread.pop(self, None)

    def _track(self):
        """Put the connection under the deadline of what it does now.

        A complete request has none until it is answered, nor has what arrives
        meanwhile.
        """
        if self._closing or self._upgraded:
            return
        port, cycle = self._port, self.cycle
        is_open = cycle is not None and not cycle.response_complete
        if self._unparsed or self.pipeline or self.flow.write_paused:
            since = None
        elif self._drops_input:
            since = None if is_open else port.refused
        elif cycle is not None and not self._in_head:
            since = port.receiving_body
        elif is_open:
            since = None
        else:
            # Empty lines don't begin a request for the parser.
            has_begun = self._has_begun or self._head_bytes > 0
            since = port.receiving if has_begun else port.waiting
        port.put(self, since)

    def close_for(self, reason):
        """Close the connection because it has exceeded a limit.

        The client is told the status if no complete request waits for its
        answer, which the status would seem to be.
        """
        if self._closing:
            return
        # Clients expect that a connection that was used is closed while idle.
        was_idle = self.cycle is not None and self in self._port.waiting
        self._forget()
        self._port.record_closed(reason, self.client)
        may_answer = not (self.pipeline or self._drops_input) and (
            self.cycle is None
            or self.cycle.response_complete
            or not (self._in_head or self.cycle.response_started)
        )
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if may_answer and not (was_idle or self.flow.write_paused):
            self.transport.write(_http_refusal.make_answer(self._port, reason))
            # Unsent bytes would keep the connection open.
            if not self.transport.get_write_buffer_size():
                self.transport.close()
                return
        self.transport.abort()

    def on_reading_paused(self):
        """Take the memory of what the client sends meanwhile."""
        if self._closing:
            return
        self._lacks_memory = not self._memory.take(
            _http_memory.Use.PAUSED, _limits.PAUSED_BYTES
        )

    def on_reading_resumed(self):
        """Return that memory."""
        self._lacks_memory = False
        self._memory.give_back(_http_memory.Use.PAUSED)

    def _relieve(self):
        """Do without the memory for a pause of reading.

        The answer under way is the last one on the connection, and tells the
        client so; what it sends meanwhile is dropped.
        """
        cycle = self._open_cycle
        is_incomplete = cycle is self.cycle and not self._in_head
        if cycle is None or cycle.response_complete or is_incomplete:
            self.close_for('memory')
            return
        self._port.limits.count_closed('memory')
        self._lacks_memory, self._drops_input = False, True
        self._unparsed = b''
        self.pipeline.clear()
        self._in_head, self._has_begun = True, False
        self.cycle = cycle
        cycle.keep_alive = False
        self.flow.resume_reading()

    def may_read(self):
        """Tell whether neither answers nor requests wait."""
        return not (self._unparsed or self.pipeline or self.flow.write_paused)

    def get_buffer(self, sizehint):
        """Return the buffer for received bytes."""
        return _receive_buffer

    def buffer_updated(self, nbytes):
        """Parse received bytes."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data):
        """Parse data, as far as the limits allow."""
        if self._closing or self._upgraded or self._drops_input:
            return
        if self._unparsed:
            # It was read before reading could be paused.
            self._unparsed += data
            return
        # Each request has an empty line. Most reads hold a single one and are
        # parsed at once.
        ends = data.count(b'\n\r\n') + data.count(b'\n\n')
        size = _limits.PARSE_BYTES
        if ends <= _limits.EMPTY_LINES_AT_ONCE:
            size = _limits.READ_BYTES
        for start in range(0, len(data), size):
            # An open request goes on before further ones are parsed.
            if self.pipeline or self.flow.write_paused:
                self._unparsed = data[start:]
                self.flow.pause_reading()
                break
            self._parse(data[start : start + size])
            if self._closing or self._upgraded:
                break
        if self._lacks_memory and not self._closing:
            self._relieve()
        self._track()

    def _parse(self, data):
        in_head = self._in_head
        body_bytes = self._body_bytes
        self._slice_bytes = len(data)
        self._framing_since += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The client may not go on in another protocol.
            self._upgraded = True
            if self.cycle is not None:
                self.cycle.keep_alive = False
            self.flow.pause_reading()
            return
        except httptools.HttpParserError:
            self.close_for(self._exceeded or 'malformed')
            return
        requests = self._port.limits.requests
        if self._in_head:
            # Empty lines and headers that the parser keeps until their end.
            if in_head:
                self._head_bytes += len(data)
            if self._head_bytes > requests.max_header_bytes:
                self.close_for('header_bytes')
            return
        if in_head or self._body_bytes > body_bytes:
            self._framing_since = 0
        elif self._framing_since > requests.max_header_bytes:
            # Trailers and chunk extensions.
            self.close_for('header_bytes')
            return
        self._framing_bytes += len(data)
        limit = requests.max_body_bytes * _limits.MAX_FRAMING_FACTOR
        if self._framing_bytes > limit:
            self.close_for('framing_bytes')

    def on_message_begin(self):
        """Start a header section."""
        super().on_message_begin()
        self._has_begun = True
        self._body_bytes = self._framing_bytes = self._framing_since = 0

    def on_header(self, name, value):
        """Keep a header; trailers are dropped."""
        if self._in_head:
            if len(self.headers) >= _limits.MAX_HEADERS:
                self._exceed('header_bytes')
            super().on_header(name, value)

    def on_headers_complete(self):
        """Start the request."""
        self._in_head = False
        limit = self._port.limits.requests.max_header_bytes
        parsed = max(self._head_bytes, 0) + self._slice_bytes
        if parsed > min(limit, _limits.FREE_BYTES):
            size = len(self.url)
            for name, value in self.headers:
                size += len(name) + len(value) + 4
            if size > limit:
                self._exceed('header_bytes')
            if size > _limits.FREE_BYTES:
                self._take(size)
        super().on_headers_complete()

    def on_body(self, body):
        """Keep a part of a body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._port.limits.requests.max_body_bytes:
            self._exceed('body_bytes')
        # The rest of a body that was answered already is dropped.
        is_kept = not self.cycle.response_complete
        if is_kept and self._body_bytes > _limits.FREE_BYTES:
            # It is copied once when it is complete.
            self._take(2 * len(body))
        super().on_body(body)

    def _exceed(self, reason):
        self._exceeded = reason
        raise _ExceededError(reason)

    def _take(self, count):
        if not self._memory.take(_http_memory.Use.REQUEST, count):
            self._exceed('memory')

    def on_message_complete(self):
        """End the request; the next bytes are those of another one."""
        super().on_message_complete()
        self._in_head = True
        self._has_begun = False
        if self.cycle.response_complete:
            self._memory.give_back(_http_memory.Use.REQUEST)
        # What follows in this slice isn't counted, so that a client within
        # the limits is never refused.
        self._head_bytes = -self._slice_bytes

    def _start_asgi_task(self, cycle, app):
        """Start a request, or refuse it if it needs a place."""
        self._open_cycle = cycle
        if self._place is _http_port.Place.SPARE:
            self._place = self._port.promote(self)
        if self._place is _http_port.Place.SPARE:
            cycle.keep_alive = False
            method, path = cycle.scope['method'], cycle.scope['path']
            if self._port.refusals.holds(method, path):
                self._refuse(cycle)
                return
        super()._start_asgi_task(cycle, app)

    def _refuse(self, cycle):
        """Answer a request without its body, which is dropped."""
        cycle.response_started = cycle.response_complete = True
        self._drops_input = True
        path = cycle.scope['path']
        self.transport.write(_http_refusal.refuse(self._port, path))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        else:
            self.transport.close()

    def on_response_complete(self):
        """Return the memory of the request, and go on with the next one."""
        self.server_state.total_requests += 1
        self._port.record_answer(self._place)
        self._memory.give_back(_http_memory.Use.REQUEST)
        if self._closing or self.transport.is_closing():
            return
        # The base class starts a timer for each idle connection; here the
        # deadlines of all connections are checked together.
        if self.pipeline:
            self._start_asgi_task(*self.pipeline.pop())
        self._track()
        self._go_on()

    def pause_writing(self):
        """Stop reading while an answer waits to be sent."""
        super().pause_writing()
        if self._closing:
            return
        self.flow.pause_reading()
        self._port.put(self, None)
        self._port.unread[self] = self.loop.time()
        unsent = self.transport.get_write_buffer_size()
        if unsent > _limits.FREE_BYTES and not self._lacks_memory:
            self._lacks_memory = not self._memory.take(
                _http_memory.Use.UNSENT, unsent
            )
        if self._lacks_memory:
            # The transport calls this within a write.
            self.loop.call_soon(self.close_for, 'memory')

    def resume_writing(self):
        """Go on reading."""
        super().resume_writing()
        self._port.unread.pop(self, None)
        self._memory.give_back(_http_memory.Use.UNSENT)
        self._track()
        self._go_on()

    def _go_on(self):
        """Parse what waits, unless a request or an answer is before it."""
        if self._closing or self.transport.is_closing():
            return
        if self._unparsed:
            self.loop.call_soon(self._parse_waiting)
        else:
            self.flow.resume_reading()

    def _parse_waiting(self):
        if self._closing or self.flow.write_paused or self.pipeline:
            return
        data, self._unparsed = self._unparsed, b''
        if data:
            self.data_received(data)
            if not self._unparsed:
                self._go_on()
