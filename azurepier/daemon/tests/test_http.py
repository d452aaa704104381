"""Tests of the HTTP client, on a fake transport and on loopback."""

import asyncio

import pytest

from azurepier.daemon import _http
from azurepier.daemon import _http_connection


class _Transport:
    """Transport that discards what is written and records an abort."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        """Discard the request."""

    def abort(self):
        """Record that the connection was aborted."""
        self.aborted = True


def receive(body, max_response_bytes, chunk_bytes):
    """Return the response to a request if it arrives in equal chunks."""
    head = b'HTTP/1.1 500 X\r\ncontent-length: %d\r\n\r\n' % len(body)
    data = head + body

    results = []
    conn = _http_connection.Connection(max_response_bytes, set())
    conn.connection_made(_Transport())
    conn.send(
        b'request', lambda response, error: results.append((response, error))
    )
    for start in range(0, len(data), chunk_bytes):
        conn.data_received(data[start : start + chunk_bytes])
        if results:
            break
    ((response, error),) = results
    if error is not None:
        raise error
    return response


class TestResponseLimit:
    @pytest.mark.parametrize('chunk_bytes', [7, 100, 10_000])
    def test_response_above_limit(self, chunk_bytes):
        """The limit must not depend on how the response is chunked."""
        with pytest.raises(_http.ResponseTooLongError) as exc_info:
            receive(b'x' * 500, 200, chunk_bytes)
        assert exc_info.value.status == 500

    @pytest.mark.parametrize('chunk_bytes', [7, 10_000])
    def test_response_within_limit(self, chunk_bytes):
        """Guards against rejecting a response within the limit."""
        assert receive(b'x' * 500, 600, chunk_bytes) == (500, b'x' * 500)


async def serve(responses):
    """Start a server that sends one response per request; None sends none."""

    async def on_connection(reader, writer):
        try:
            while await reader.read(1000):
                response = next(responses)
                if response is None:
                    continue
                writer.write(response)
                await writer.drain()
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, '127.0.0.1', 0)


OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


class TestRequest:
    def send(self, *responses, count=1, timeout_s=0.3):
        """Return the results of `count` requests in sequence."""

        async def run():
            server = await serve(iter(responses))
            pool = _http.Pool(*server.sockets[0].getsockname(), 1000)
            results = []
            for _ in range(count):
                fut = asyncio.get_running_loop().create_future()
                pool.request(
                    'POST',
                    '/x',
                    b'{}',
                    {},
                    timeout_s,
                    lambda *result, fut=fut: fut.set_result(result),
                )
                results.append(await fut)
            # A second call of a callback would raise InvalidStateError here.
            await asyncio.sleep(0.01)
            pool.close()
            server.close()
            return results

        return asyncio.run(run())

    def test_consecutive_requests(self):
        """Guards against a second request that fails on a kept connection."""
        assert self.send(OK, OK, count=2) == [((200, b'{}'), None)] * 2

    def test_timeout(self):
        """Guards against a request that waits forever."""
        ((response, error),) = self.send(None)
        assert response is None
        assert isinstance(error, TimeoutError)

    def test_late_response_is_dropped(self):
        """Guards against a late response being matched to the next request."""
        (first, second) = self.send(None, OK, count=2)
        assert isinstance(first[1], TimeoutError)
        assert second == ((200, b'{}'), None)

    def test_malformed_response(self):
        """A malformed response must be reported through the callback."""
        ((response, error),) = self.send(b'nonsense\r\n\r\n')
        assert isinstance(error, _http.ResponseError)

    def test_connection_refused(self):
        """Guards against reporting a request as sent if connecting failed."""

        async def run():
            server = await serve(iter(()))
            address = server.sockets[0].getsockname()
            server.close()
            fut = asyncio.get_running_loop().create_future()
            pool = _http.Pool(*address, 1000)
            pool.request(
                'POST',
                '/',
                b'',
                {},
                0.3,
                lambda *results: fut.set_result(results),
            )
            return await fut

        _, error = asyncio.run(run())
        assert isinstance(error, _http.NotSentError)


class TestIdentification:
    def send(self, expected, *responses):
        """Return the error of a request, and the responses left over."""
        left = iter(responses)
        identification = _http.Identification(
            'GET',
            '/name',
            b'',
            lambda response: response[1].decode(),
            lambda identity: identity == expected,
        )

        async def run():
            server = await serve(left)
            pool = _http.Pool(*server.sockets[0].getsockname(), 1000)
            fut = asyncio.get_running_loop().create_future()
            pool.request(
                'POST',
                '/x',
                b'{}',
                {},
                0.3,
                lambda response, error: fut.set_result(error),
                identification,
            )
            error = await fut
            pool.close()
            server.close()
            return error

        return asyncio.run(run()), list(left)

    def test_intended_server(self):
        """Guards against a request that its own server doesn't get."""
        assert self.send('{}', OK, OK) == (None, [])

    def test_other_server(self):
        """Guards against a request to the successor of its server."""
        error, left = self.send('a', OK, OK)
        assert isinstance(error, _http.OtherServerError)
        assert left == [OK]

    def test_no_answer(self):
        """Guards against a request to a server that nothing is known of."""
        error, left = self.send('a', None, OK)
        assert isinstance(error, _http.UnidentifiedError)
        assert left == [OK]
