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
        self.on_answer = None
        self.idle_since = 0.0
        self.reusable = False

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def ask(self, request, on_answer):
        """Send a request; ``on_answer(answer, error)`` is called once."""
        self.reusable = False
        self.received = self.status = 0
        self.body.clear()
        self.parser = httptools.HttpResponseParser(self)
        self.on_answer = on_answer
        self.transport.write(request)

    def data_received(self, data):
        """Parse a part of the answer."""
        if self.on_answer is None:
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
        self._end((self.status, b''.join(self.body)), None)

    def _end(self, answer, error):
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer, error)

    def _fail(self, error):
        self.reusable = False
        self.transport.abort()
        self._end(None, error)

    def give_up(self):
        """Close the connection without waiting for the answer."""
        self.on_answer = None
        self.reusable = False
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
    _connecting: set = attrs.field(factory=set)

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
        request = self._encode(method, path, body, headers)
        conn = self._take_idle() or await self._connect()
        answered = asyncio.get_running_loop().create_future()

        def on_answer(answer, error):
            if answered.done():
                return
            if error is None:
                answered.set_result(answer)
            else:
                answered.set_exception(error)

        conn.ask(request, on_answer)
        try:
            answer = await answered
        except BaseException:
            conn.give_up()
            raise
        self._put_back(conn)
        return answer

    def request(self, method, path, body, headers, limit_s, on_answer):
        """Make one request without a task; it is never repeated.

        Parameters
        ----------
        method, path, body, headers
            As for `call`.
        limit_s : float
            Time for the connection and the answer (s).
        on_answer : callable
            ``on_answer(answer, error)`` is called once, with the status and
            body or with the error: `NotSentError`, `AnswerError` or
            `TimeoutError`.
        """
        request = self._encode(method, path, body, headers)
        loop = asyncio.get_running_loop()
        conn = self._take_idle()
        if conn is None:
            task = loop.create_task(
                self._request_new(request, limit_s, on_answer)
            )
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
            return
        self._ask(conn, request, loop.time() + limit_s, on_answer)

    async def _request_new(self, request, limit_s, on_answer):
        end = asyncio.get_running_loop().time() + limit_s
        try:
            async with asyncio.timeout_at(end):
                conn = await self._connect()
        except TimeoutError:
            on_answer(None, NotSentError('no connection in time'))
        except NotSentError as exc:
            on_answer(None, exc)
        else:
            self._ask(conn, request, end, on_answer)

    def _ask(self, conn, request, end, on_answer):
        def on_timeout():
            conn.give_up()
            on_answer(None, TimeoutError())

        timer = asyncio.get_running_loop().call_at(end, on_timeout)

        def on_end(answer, error):
            timer.cancel()
            if error is None:
                self._put_back(conn)
            on_answer(answer, error)

        conn.ask(request, on_end)

    def _encode(self, method, path, body, headers):
        extra = ''.join(
            f'{name}: {value}\r\n' for name, value in (headers or {}).items()
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nhost: {self.host}:{self.port}\r\n'
            f'content-type: application/json\r\n{extra}'
            f'content-length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

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
