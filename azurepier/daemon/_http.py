"""HTTP/1.1 client that reports whether a request was sent.

Common clients retry a request when a kept-alive connection turns out to be
closed, which could run a task twice, and time out on responses that take
minutes. This client sends each request once and waits for the response as
long as the caller does. Responses are parsed by httptools.
"""

import asyncio
import collections

import attrs

from azurepier.daemon import _http_connection
from azurepier import wire

NotSentError = _http_connection.NotSentError
OtherServerError = _http_connection.OtherServerError
ResponseError = _http_connection.ResponseError
ResponseTooLongError = _http_connection.ResponseTooLongError
UnidentifiedError = _http_connection.UnidentifiedError

# HTTP servers commonly close connections that are idle for 5 s. A request
# sent on a connection that is being closed counts as sent, so that its task
# would be lost.
IDLE_TIMEOUT_S = 2.0
# Time since its last response in which an open connection that is identified
# shows that its server goes on (s). A server that loses power doesn't close
# its connections, but takes longer to return.
IDENTITY_MAX_AGE_S = 0.2
# Time after which another attempt to connect is made (s), and time after which
# one to a server on the same machine is given up.
CONNECT_INTERVAL_S = 0.4
LOCAL_CONNECT_TIMEOUT_S = 0.4


@attrs.frozen
class Identification:
    """Request that shows which server answers a connection.

    A server that was replaced at its address is found out before it receives
    a request that was meant for its predecessor. A connection ends with the
    server that has accepted it, so that it is identified once; and as long as
    an identified one is open, newer ones belong to the same server. A server
    that loses many answers thus needs no second request on each connection.

    Parameters
    ----------
    method, path, body
        As for `Pool.call`.
    identify : callable
        ``identify(response)`` returns the identity that the status and body
        show, None if they show none.
    accepts : callable
        ``accepts(identity)`` tells whether the request itself may be sent now.
    """

    method: str
    path: str
    body: bytes
    identify: object
    accepts: object


@attrs.frozen
class _Request:
    """An encoded request with the parameters of `Pool.request`."""

    data: bytes
    timeout_s: float
    on_response: object
    identification: object
    identify: object


@attrs.define(eq=False)
class Pool:
    """Pool of connections to one server.

    Parameters
    ----------
    host : str
    port : int
    max_response_bytes : int
        Longest response that is accepted, including its head.
    idle_timeout_s : float
        Connections that were idle for longer are not reused.
    connect_timeout_s : float
        Time after which attempts to connect are given up (s).

    Attributes
    ----------
    abandoned_bytes : int
        Bytes received of responses that `call` did not wait for any longer.
    """

    host: str
    port: int
    max_response_bytes: int
    idle_timeout_s: float = IDLE_TIMEOUT_S
    connect_timeout_s: float = LOCAL_CONNECT_TIMEOUT_S
    abandoned_bytes: int = 0
    _idle: collections.deque = attrs.field(factory=collections.deque)
    _connecting: set = attrs.field(factory=set)
    _open: set = attrs.field(factory=set)

    async def call(
        self, method, path, body=b'', headers=None, on_progress=None
    ):
        """Send a request once, without retries, and wait for its response.

        Parameters
        ----------
        method : str
        path : str
            Percent-encoded.
        body : bytes, optional
            JSON.
        headers : dict of str to str, optional
        on_progress : callable, optional
            Called when a chunk of the response has arrived.

        Returns
        -------
        status : int
        body : bytes

        Raises
        ------
        NotSentError
            If no connection could be opened.
        ResponseError
            If the connection failed after that, or the response is malformed
            or too long.
        """
        request = self._encode(method, path, body, headers)
        conn = self._take_idle_connection() or await self._connect()
        response_future = asyncio.get_running_loop().create_future()

        def on_response(response, error):
            if response_future.done():
                return
            if error is None:
                response_future.set_result(response)
            else:
                response_future.set_exception(error)

        conn.on_progress = on_progress
        conn.send(request, on_response)
        try:
            response = await response_future
        except BaseException:
            self.abandoned_bytes += conn.received_bytes
            conn.abort()
            raise
        finally:
            conn.on_progress = None
        self._release(conn)
        return response

    def request(
        self,
        method,
        path,
        body,
        headers,
        timeout_s,
        on_response,
        identification=None,
        identify=None,
    ):
        """Send a request once, without retries; pass the result to a callback.

        Unlike `call`, it creates an asyncio task only for a new connection.

        Parameters
        ----------
        method, path, body, headers
            As for `call`.
        timeout_s : float
            Timeout for connecting and receiving the response together (s). If
            the server is identified first, the time starts anew after that.
        on_response : callable
            ``on_response(response, error)`` is called once, with the status
            and body as a tuple, or with the error: `NotSentError`,
            `ResponseError` or `TimeoutError`.
        identification : Identification, optional
            The request is sent only on a connection whose server this accepts;
            otherwise it fails with `OtherServerError`, or with
            `UnidentifiedError` if the identification has no answer.
        identify : callable, optional
            ``identify(response)`` returns the identity that the response to
            the request shows, before `on_response` is called.
        """
        request = _Request(
            self._encode(method, path, body, headers),
            timeout_s,
            on_response,
            identification,
            identify,
        )
        loop = asyncio.get_running_loop()
        conn = self._take_idle_connection(identification)
        if conn is None:
            task = loop.create_task(self._connect_and_send(request))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
            return
        self._identify_and_send(conn, request, loop.time() + timeout_s)

    async def _connect_and_send(self, request):
        deadline = asyncio.get_running_loop().time() + request.timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                conn = await self._connect()
        except TimeoutError:
            request.on_response(None, NotSentError('no connection in time'))
        except NotSentError as exc:
            request.on_response(None, exc)
        else:
            self._identify_and_send(conn, request, deadline)

    def _identify_and_send(self, conn, request, deadline):
        """Send a request, after an identification if that is required."""
        identification = request.identification
        if identification is None:
            self._send(conn, request, deadline)
            return
        if conn.identity is None:
            conn.identity = self._find_identity()
        if identification.accepts(conn.identity):
            self._send(conn, request, deadline)
            return

        def on_identified(response, error):
            if error is not None:
                reason = str(error) or 'no answer in time'
                request.on_response(None, UnidentifiedError(reason))
                return
            conn.identity = identification.identify(response)
            if not conn.reusable or not identification.accepts(conn.identity):
                self._release(conn)
                error = OtherServerError(f'the server is {conn.identity}')
                request.on_response(None, error)
                return
            now = asyncio.get_running_loop().time()
            self._send(conn, request, now + request.timeout_s)

        identifying = self._encode(
            identification.method,
            identification.path,
            identification.body,
            None,
        )
        self._exchange(conn, identifying, deadline, on_identified)

    def _find_identity(self):
        """Return the identity that an open connection has shown lately."""
        since = asyncio.get_running_loop().time() - IDENTITY_MAX_AGE_S
        identified = (
            (conn.responded_at, conn.identity)
            for conn in self._open
            if conn.identity is not None
            and conn.responded_at >= since
            and not conn.transport.is_closing()
        )
        _, identity = max(identified, default=(since, None))
        return identity

    def _send(self, conn, request, deadline):
        def on_complete(response, error):
            if error is None:
                if request.identify is not None:
                    conn.identity = request.identify(response)
                self._release(conn)
            request.on_response(response, error)

        self._exchange(conn, request.data, deadline, on_complete)

    def _exchange(self, conn, data, deadline, on_response):
        """Send data on a connection, which isn't released afterwards."""

        def on_timeout():
            conn.abort()
            on_response(None, TimeoutError())

        timer = asyncio.get_running_loop().call_at(deadline, on_timeout)

        def on_complete(response, error):
            timer.cancel()
            if error is None:
                conn.responded_at = asyncio.get_running_loop().time()
            on_response(response, error)

        conn.send(data, on_complete)

    def _encode(self, method, path, body, headers):
        header_lines = ''.join(
            f'{name}: {value}\r\n' for name, value in (headers or {}).items()
        )
        head = (
            f'{method} {path} HTTP/1.1\r\nhost: {self.host}:{self.port}\r\n'
            f'content-type: application/json\r\n{header_lines}'
            f'content-length: {len(body)}\r\n\r\n'
        )
        return head.encode() + body

    async def _connect(self):
        try:
            return await wire.connect(
                lambda: _http_connection.Connection(
                    self.max_response_bytes, self._open
                ),
                self.host,
                self.port,
                CONNECT_INTERVAL_S,
                self.connect_timeout_s,
            )
        except OSError as exc:  # includes TimeoutError
            reason = str(exc) or 'no connection in time'
            raise NotSentError(reason) from exc

    def _take_idle_connection(self, identification=None):
        """Return an idle connection, preferably one that is identified."""
        now = asyncio.get_running_loop().time()
        if identification is not None:
            for conn in reversed(self._idle):
                fresh = now - conn.idle_since < self.idle_timeout_s
                if (
                    fresh
                    and conn.reusable
                    and identification.accepts(conn.identity)
                ):
                    self._idle.remove(conn)
                    return conn
        while self._idle:
            conn = self._idle.pop()
            fresh = now - conn.idle_since < self.idle_timeout_s
            if fresh and conn.reusable:
                return conn
            conn.transport.abort()
        return None

    def _release(self, conn):
        if not conn.reusable:
            conn.transport.abort()
            return
        now = asyncio.get_running_loop().time()
        conn.idle_since = now
        self._idle.append(conn)
        while now - self._idle[0].idle_since >= self.idle_timeout_s:
            self._idle.popleft().transport.abort()

    def close(self):
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().transport.abort()
