"""The HTTP client's connection, without a network."""

import asyncio

import pytest

from azurepier.daemon import _http


class _Transport:
    """Takes what is written and notes an abort."""

    def __init__(self):
        self.aborted = False

    def write(self, data):
        """Drop the request."""

    def abort(self):
        """Note that the connection was given up."""
        self.aborted = True


def answer_of(body, limit, chunk):
    """Return what a request gets whose answer arrives in chunks."""
    head = b'HTTP/1.1 500 X\r\ncontent-length: %d\r\n\r\n' % len(body)
    data = head + body

    found = []
    conn = _http._Connection(limit)
    conn.connection_made(_Transport())
    conn.ask(b'request', lambda answer, error: found.append((answer, error)))
    for start in range(0, len(data), chunk):
        conn.data_received(data[start : start + chunk])
        if found:
            break
    ((answer, error),) = found
    if error is not None:
        raise error
    return answer


class TestLimit:
    @pytest.mark.parametrize('chunk', [7, 100, 10_000])
    def test_an_answer_that_is_too_long(self, chunk):
        """Guards against a limit that depends on how the answer is cut up."""
        with pytest.raises(_http.AnswerTooLongError) as caught:
            answer_of(b'x' * 500, 200, chunk)
        assert caught.value.status == 500

    @pytest.mark.parametrize('chunk', [7, 10_000])
    def test_an_answer_within_the_limit(self, chunk):
        """Guards against a limit that refuses what is allowed."""
        assert answer_of(b'x' * 500, 600, chunk) == (500, b'x' * 500)


async def serve(answers):
    """Serve the given bytes, one for each request; None says nothing."""

    async def on_connection(reader, writer):
        try:
            while await reader.read(1000):
                answer = next(answers)
                if answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, '127.0.0.1', 0)


OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


class TestRequest:
    def ask(self, *answers, count=1, limit_s=0.3):
        """Return what `count` requests in turn get."""

        async def run():
            server = await serve(iter(answers))
            pool = _http.Pool(*server.sockets[0].getsockname(), 1000)
            found = []
            for _ in range(count):
                fut = asyncio.get_running_loop().create_future()
                pool.request(
                    'POST',
                    '/x',
                    b'{}',
                    {},
                    limit_s,
                    lambda *result, fut=fut: fut.set_result(result),
                )
                found.append(await fut)
            # A second call of the callback would raise here.
            await asyncio.sleep(0.01)
            pool.close()
            server.close()
            return found

        return asyncio.run(run())

    def test_answers(self):
        """Guards against a kept connection that is not used again."""
        assert self.ask(OK, OK, count=2) == [((200, b'{}'), None)] * 2

    def test_no_answer_in_time(self):
        """Guards against a request that waits for ever."""
        ((answer, error),) = self.ask(None)
        assert answer is None
        assert isinstance(error, TimeoutError)

    def test_a_late_answer_is_for_nobody(self):
        """Guards against an answer that the next request takes for its own."""
        (first, second) = self.ask(None, OK, count=2)
        assert isinstance(first[1], TimeoutError)
        assert second == ((200, b'{}'), None)

    def test_malformed_answer(self):
        """Guards against a request that never hears of a broken answer."""
        ((answer, error),) = self.ask(b'nonsense\r\n\r\n')
        assert isinstance(error, _http.AnswerError)

    def test_nobody_listens(self):
        """Guards against "may have run" where nothing was sent."""

        async def run():
            server = await serve(iter(()))
            address = server.sockets[0].getsockname()
            server.close()
            fut = asyncio.get_running_loop().create_future()
            pool = _http.Pool(*address, 1000)
            pool.request(
                'POST', '/', b'', {}, 0.3, lambda *found: fut.set_result(found)
            )
            return await fut

        _, error = asyncio.run(run())
        assert isinstance(error, _http.NotSentError)
