"""Tests of the client of the worker, over loopback connections."""

import asyncio
import socket

from adapter import _workers

from azurepier.daemon import _http
from azurepier import runner

MAX_BYTES = 1024


def list_runs(port):
    """Return the event of a list request to a port of this machine."""

    async def request():
        loop = asyncio.get_running_loop()
        result = loop.create_future()
        pool = _http.Pool('127.0.0.1', port, MAX_BYTES)
        client = _workers.WorkerClient(pool, result.set_result, loop)
        client.list_runs(runner.ListRuns(1, 0, 0, 1, 7))
        async with asyncio.timeout(5.0):
            return await result

    return asyncio.run(request())


class TestFailedLists:
    def test_refused(self):
        """Guards against a crashed worker that is taken for a silent one."""
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            event = list_runs(sock.getsockname()[1])
        assert isinstance(event, runner.ListFailed)
        assert event.refused

    def test_silent(self):
        """Guards against a silent worker that is taken for a crashed one."""
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            sock.listen()
            event = list_runs(sock.getsockname()[1])
        assert isinstance(event, runner.ListFailed)
        assert not event.refused
