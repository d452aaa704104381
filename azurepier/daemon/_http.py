"""HTTP/1.1 client that knows whether a request was sent.

The usual clients repeat a request when a kept connection turns out to be
closed, which could run a task twice, and give up on answers that take
minutes. This one makes each request once and waits for its answer as long as
the caller does. Parsing is left to httptools.
"""

import asyncio
import collections

import attrs
import httptools

from azurepier import kernel

# HTTP servers commonly close connections that are idle for 5 s. A request
# that meets such a close counts as sent, so that its task would be lost.
IDLE_LIMIT_S = 2.0
# A new attempt reaches a server that is back sooner than the packet that is
# repeated after a second.
CONNECT_LIMIT_S = 0.4


class NotSentError(kernel.AzurepierError):
    """The server could not be reached; nothing was sent to it."""


class AnswerError(kernel.AzurepierError):
    """The answer did not arrive, is malformed or is too long.

    The server may have acted on the request.
    """


class AnswerTooLongError(AnswerError):
    """The answer is longer than the limit.

    Parameters
    ----------
    status : int
        HTTP status of the answer, 0 if its head is too long.
    """

    def __init__(self, status, limit):
        super().__init__(f'the answer is longer than {limit} bytes')
        self.status = status


class _Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Its methods ``on_...`` are called by httptools' parser.
    """

    def __init__(self, limit):
        self.transport = None
        self.limit = limit
        self.parser = None
        self.received = 0
        self.status = 0
        self.body = []
        self.answer = None
        self.idle_since = 0.0
        self.reusable = False

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def ask(self, request):
        """Send a request; return the future of status and body."""
        self.reusable = False
        self.received = self.status = 0
        self.body.clear()
        self.parser = httptools.HttpResponseParser(self)
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(request)
        return self.answer

    def data_received(self, data):
        """Parse a part of the answer."""
        if self.answer is None or self.answer.done():
            self._fail(AnswerError('bytes that nobody asked for'))
            return
        self.received += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(AnswerError(f'the answer is malformed: {exc}'))
            return
        if self.received > self.limit:
            self._fail(AnswerTooLongError(self.status, self.limit))

    def on_headers_complete(self):
        """Keep the status of the answer."""
        self.status = self.parser.get_status_code()

    def on_body(self, data):
        """Keep a part of the body."""
        self.body.append(data)

    def on_message_complete(self):
        """Hand over the answer, unless it is an interim one."""
        if self.status < 200:
            return
        if self.received > self.limit:
            self._fail(AnswerTooLongError(self.status, self.limit))
            return
        self.reusable = self.parser.should_keep_alive()
        if not self.answer.done():
            self.answer.set_result((self.status, b''.join(self.body)))

    def _fail(self, error):
        self.reusable = False
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(error)
        self.transport.abort()

    def connection_lost(self, exc):
        """Fail the request that is not answered yet."""
        self._fail(AnswerError(str(exc or 'the connection was closed')))


@attrs.define(eq=False)
class Pool:
    """Connections to one server.

    Parameters
    ----------
    host : str
    port : int
    limit : int
        Longest answer that is accepted, with its head (bytes).
    idle_limit_s : float
        Connections that were idle for longer are not used again (s).
    """

    host: str
    port: int
    limit: int
    idle_limit_s: float = IDLE_LIMIT_S
    _idle: collections.deque = attrs.field(factory=collections.deque)

    async def call(self, method, path, body=b'', headers=None):
        """Make one request; it is never repeated.

        Parameters
        ----------
        method : str
        path : str
            Must not contain characters that need to be quoted.
        body : bytes, optional
            JSON.
        headers : dict of str to str, optional

        Returns
        -------
        status : int
        body : bytes

        Raises
        ------
        NotSentError
            If no connection could be opened.
        AnswerError
            If the connection failed after that, or the answer is malformed
            or too long.
        """
        extra = ''.join(
            f'{name}: {value}\r\n' for name, value in (headers or {}).items()
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nhost: {self.host}:{self.port}\r\n'
            f'content-type: application/json\r\n{extra}'
            f'content-length: {len(body)}\r\n\r\n'
        )
        request = head.encode() + body
        conn = self._take_idle() or await self._connect()
        try:
            answer = await conn.ask(request)
        except BaseException:
            conn.transport.abort()
            raise
        self._put_back(conn)
        return answer

    async def _connect(self):
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                _, conn = await loop.create_connection(
                    lambda: _Connection(self.limit), self.host, self.port
                )
        except OSError as exc:  # includes TimeoutError
            reason = str(exc) or 'no connection in time'
            raise NotSentError(reason) from exc
        return conn

    def _take_idle(self):
        now = asyncio.get_running_loop().time()
        while self._idle:
            conn = self._idle.pop()
            fresh = now - conn.idle_since < self.idle_limit_s
            if fresh and conn.reusable:
                return conn
            conn.transport.abort()
        return None

    def _put_back(self, conn):
        if not conn.reusable:
            conn.transport.abort()
            return
        now = asyncio.get_running_loop().time()
        conn.idle_since = now
        self._idle.append(conn)
        while now - self._idle[0].idle_since >= self.idle_limit_s:
            self._idle.popleft().transport.abort()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().transport.abort()
