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
class RunnerHarness:
    """A runner and the events that it reported."""

    runner: _tasks.Runner
    ended: dict = attrs.field(factory=dict)
    health: list = attrs.field(factory=list)

    def feed(self, event):
        """Record an event."""
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


def make_harness(port):
    """Return a harness with a runner for the worker on a port."""
    client = _worker.create_client(f'http://127.0.0.1:{port}')
    harness = RunnerHarness(None)
    harness.runner = _tasks.Runner(client, harness.feed, lambda *_: None)
    return harness


@contextlib.asynccontextmanager
async def serve_worker(handle):
    """Serve requests with `handle`; yield a harness and the server."""
    server = await _server.start(handle)
    harness = make_harness(server.port)
    yield harness, server
    await harness.runner.close()
    await server.close()


def make_handler(**fields):
    """Return the request handler of a stand-in worker."""
    worker = standin.Worker(**fields)
    return functools.partial(standin.handle, worker)


@pytest.fixture
def short_leases(monkeypatch):
    """Shorten the durations of leases."""
    monkeypatch.setattr(_tasks, 'LEASE_MS', 200)
    monkeypatch.setattr(_tasks, 'LEASE_RENEW_AGE_S', 0.05)
    monkeypatch.setattr(_tasks, 'LEASE_CHECK_INTERVAL_S', 0.02)
    monkeypatch.setattr(_tasks, 'LEASE_EXPIRED_S', 0.3)


# HTTP status and body of a response, and the expected status of the task and
# part of its output.
RESPONSES = [
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
    @pytest.mark.parametrize(('code', 'value', 'status', 'text'), RESPONSES)
    @in_loop
    async def test_status_by_response(self, code, value, status, text):
        """The task status must not claim more than the response proves."""

        async def handle(request):
            return _server.Reply(value, code) if code else None

        async with serve_worker(handle) as (harness, _):
            actual, output = await harness.run(make_start(1))
            assert actual is status
            assert text in output

    @in_loop
    async def test_connection_refused(self):
        """Guards against a job that fails because its worker is unreachable.

        Nothing was sent, so the task is refused and may run elsewhere.
        """
        server = await _server.start(None)
        await server.close()
        harness = make_harness(server.port)
        assert (await harness.run(make_start(1)))[0] is Status.REFUSED
        assert harness.health == [False]

    @in_loop
    async def test_requests_are_not_retried(self):
        """Guards against a retry that starts a task twice."""
        paths = []

        async def handle(request):
            paths.append(request.path)
            return _server.Reply({'output': 1}) if len(paths) == 1 else None

        async with serve_worker(handle) as (harness, _):
            assert (await harness.run(make_start(1)))[0] is Status.DONE
            assert (await harness.run(make_start(2)))[0] is Status.LOST
            assert len(paths) == 2

    @in_loop
    async def test_truncated_response(self):
        """Guards against a truncated output that is reported as complete."""

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{}')
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        harness = make_harness(server.sockets[0].getsockname()[1])
        assert (await harness.run(make_start(1)))[0] is Status.LOST
        server.close()

    @in_loop
    async def test_closed_connections_are_not_reused(self):
        """Guards against tasks lost on connections closed while idle."""
        async with serve_worker(make_handler()) as (harness, server):
            for task in range(3):
                assert (await harness.run(make_start(task)))[0] is Status.DONE
                server.break_connections()
                await asyncio.sleep(0.01)


class TestStops:
    @pytest.mark.parametrize(
        ('delay_s', 'silent'), [(0, False), (0.05, False), (0, True)]
    )
    @in_loop
    async def test_stop(self, monkeypatch, delay_s, silent):
        """Guards against a stop that is lost or arrives before the start."""
        timeout_s = 0.05 if silent else 60
        monkeypatch.setattr(_tasks, 'STOP_TIMEOUT_S', timeout_s)
        async with serve_worker(make_handler(silent=silent)) as (harness, _):
            start = make_start(1, 'sleep', b'{"ms":60000}')
            _tasks.run_task(harness.runner, 1, start)
            await asyncio.sleep(delay_s)
            _tasks.stop_task(harness.runner, 1)
            assert (await harness.result(1))[0] is Status.STOPPED


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
        """A long task must continue as long as its lease is renewed.

        The task must end if its lease is not renewed or the worker is silent.
        """
        async with serve_worker(make_handler(silent=silent)) as (harness, _):
            if renewed:
                harness.runner.run_in_background(
                    _tasks.renew_leases(harness.runner)
                )
            start = make_start(1, 'sleep', b'{"ms":700}')
            assert (await harness.run(start))[0] is status


class TestHealth:
    @in_loop
    async def test_health_changes(self):
        """Guards against health changes that are reported late or twice."""
        http_statuses = [200, 500, 200, 500, 500, 500, 200, 200]

        async def handle(request):
            return _server.Reply({}, http_statuses.pop(0))

        async with serve_worker(handle) as (harness, _):
            while http_statuses:
                await _tasks.check_health(harness.runner)
            assert harness.health == [False, True]
