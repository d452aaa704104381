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

    async def ask():
        conn = _http._Connection(limit)
        conn.connection_made(_Transport())
        fut = conn.ask(b'request')
        for start in range(0, len(data), chunk):
            conn.data_received(data[start : start + chunk])
            if fut.done():
                break
        return await fut

    return asyncio.run(ask())


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
