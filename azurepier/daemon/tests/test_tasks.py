"""Tests of tasks on a worker, over HTTP on loopback."""

import asyncio
import contextlib
import functools

import attrs
import pytest

from azurepier.daemon import _tasks
from azurepier.daemon import _worker
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.wire.tests.support import in_loop
from azurepier.wire.tests.support import until
from standins import _server
from standins import worker as standin

LONG_TEXT = 'x' * (_worker.MAX_OUTPUT_BYTES + 1)


def make_start(task, kind='echo', payload=b'{"a":1}'):
    """Return a start message."""
    return messages.Start(
        seq=task, job_id='a-b-c-d', task=task, kind=kind, payload=payload
    )


@attrs.define(eq=False)
class Bench:
    """A runner and what it reported."""

    runner: _tasks.Runner
    ended: dict = attrs.field(factory=dict)
    health: list = attrs.field(factory=list)

    def feed(self, event):
        """Keep an event."""
        if isinstance(event, events.WorkerHealthChanged):
            self.health.append(event.healthy)
        else:
            assert event.key not in self.ended
            self.ended[event.key] = event

    async def run(self, start):
        """Run a task and return status and output."""
        _tasks.run_task(self.runner, start.task, start)
        return await self.result(start.task)

    async def result(self, key):
        """Wait for the end of a task."""
        await until(lambda: key in self.ended)
        return self.ended[key].status, self.ended[key].output


def make_bench(port):
    """Return a bench for the worker on a port."""
    client = _worker.connect(f'http://127.0.0.1:{port}')
    bench = Bench(None)
    bench.runner = _tasks.Runner(client, bench.feed, lambda *_: None)
    return bench


@contextlib.asynccontextmanager
async def working(handle):
    """Serve a stand-in's handler; yields a bench and the server."""
    server = await _server.start(handle)
    bench = make_bench(server.port)
    yield bench, server
    await bench.runner.close()
    await server.close()


def stand_in(**fields):
    """Return the handler of a stand-in worker."""
    worker = standin.Worker(**fields)
    return functools.partial(standin.handle, worker)


@pytest.fixture
def short_leases(monkeypatch):
    """Shorten the times of leases."""
    monkeypatch.setattr(_tasks, 'LEASE_MS', 200)
    monkeypatch.setattr(_tasks, 'RENEW_AFTER_S', 0.05)
    monkeypatch.setattr(_tasks, 'RENEW_CHECK_S', 0.02)
    monkeypatch.setattr(_tasks, 'LEASE_OVER_S', 0.3)


# HTTP status and value of an answer, and what it says of the task.
ANSWERS = [
    (200, {'output': [1, None]}, Status.DONE, b'[1,null]'),
    (200, {}, Status.DONE, b'null'),
    (200, [1], Status.LOST, b'not a JSON object'),
    (200, {'output': float('nan')}, Status.LOST, b'not JSON'),
    (200, {'output': LONG_TEXT}, Status.FAILED, b'longer than'),
    (200, {'output': LONG_TEXT * 2}, Status.FAILED, b'longer than'),
    (500, {'output': LONG_TEXT * 2}, Status.LOST, b'longer than'),
    (400, {'error': 'bad'}, Status.FAILED, b'bad'),
    (409, {'error': 'twice'}, Status.LOST, b'twice'),
    (410, {'error': 'lease'}, Status.LOST, b'lease'),
    (422, {'error': 'boom'}, Status.FAILED, b'boom'),
    (429, {'error': 'full'}, Status.REFUSED, b'full'),
    (500, 'text', Status.LOST, b'HTTP status 500'),
    (None, None, Status.LOST, b'the connection was closed'),
]


class TestOutcomes:
    @pytest.mark.parametrize(('code', 'value', 'status', 'text'), ANSWERS)
    @in_loop
    async def test_answers(self, code, value, status, text):
        """Guards against `not_run` or `ran` without proof."""

        async def handle(request):
            return _server.Reply(value, code) if code else None

        async with working(handle) as (bench, _):
            found, output = await bench.run(make_start(1))
            assert found is status
            assert text in output

    @in_loop
    async def test_nobody_listens(self):
        """Guards against a dead worker that costs a task its job."""
        server = await _server.start(None)
        await server.close()
        bench = make_bench(server.port)
        assert (await bench.run(make_start(1)))[0] is Status.REFUSED
        assert bench.health == [False]

    @in_loop
    async def test_no_request_is_repeated(self):
        """Guards against a second start over a new connection."""
        seen = []

        async def handle(request):
            seen.append(request.path)
            return _server.Reply({'output': 1}) if len(seen) == 1 else None

        async with working(handle) as (bench, _):
            assert (await bench.run(make_start(1)))[0] is Status.DONE
            assert (await bench.run(make_start(2)))[0] is Status.LOST
            assert len(seen) == 2

    @in_loop
    async def test_answer_that_is_cut_short(self):
        """Guards against part of an output as the whole one."""

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}')
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        bench = make_bench(server.sockets[0].getsockname()[1])
        assert (await bench.run(make_start(1)))[0] is Status.LOST
        server.close()

    @in_loop
    async def test_closed_connections_are_not_reused(self):
        """Guards against tasks that are lost to an idle connection."""
        async with working(stand_in()) as (bench, server):
            for task in range(3):
                assert (await bench.run(make_start(task)))[0] is Status.DONE
                server.break_connections()
                await asyncio.sleep(0.01)


class TestStops:
    @pytest.mark.parametrize(
        ('delay_s', 'silent'), [(0, False), (0.05, False), (0, True)]
    )
    @in_loop
    async def test_stop(self, monkeypatch, delay_s, silent):
        """Guards against a stop that is lost or overtakes its start."""
        limit_s = 0.05 if silent else 60
        monkeypatch.setattr(_tasks, 'STOP_LIMIT_S', limit_s)
        async with working(stand_in(silent=silent)) as (bench, _):
            start = make_start(1, 'sleep', b'{"ms":60000}')
            _tasks.run_task(bench.runner, 1, start)
            await asyncio.sleep(delay_s)
            _tasks.stop_task(bench.runner, 1)
            assert (await bench.result(1))[0] is Status.STOPPED


class TestLeases:
    @pytest.mark.parametrize(
        ('renewed', 'silent', 'status'),
        [
            (True, False, Status.DONE),
            (False, False, Status.LOST),
            (True, True, Status.LOST),
        ],
    )
    @in_loop
    async def test_renewal(self, short_leases, renewed, silent, status):
        """Guards against long tasks that are stopped or never end."""
        async with working(stand_in(silent=silent)) as (bench, _):
            if renewed:
                bench.runner.spawn(_tasks.keep_leases(bench.runner))
            start = make_start(1, 'sleep', b'{"ms":700}')
            assert (await bench.run(start))[0] is status


class TestHealth:
    @in_loop
    async def test_changes(self):
        """Guards against a state that is reported late or twice."""
        answers = [200, 500, 200, 500, 500, 500, 200, 200]

        async def handle(request):
            return _server.Reply({}, answers.pop(0))

        async with working(handle) as (bench, _):
            while answers:
                await _tasks.check_health(bench.runner)
            assert bench.health == [False, True]
