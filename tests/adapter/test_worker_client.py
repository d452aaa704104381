"""Tests of the client of the worker."""

import asyncio
import socket

from adapter import _workers
import attrs
import fakes

from azurepier.daemon import _http
from azurepier import runner
from azurepier import testing
from standins import _server

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


@attrs.define(eq=False)
class HeldRequests:
    """Stands in for the connections to a worker; holds all answers back."""

    held: list = attrs.field(factory=list)
    sent: int = 0
    last_body: bytes = b''

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
        """Record a request; its answer is given by `answer_all`."""
        self.sent += 1
        self.last_body = body
        self.held.append(on_response)

    def answer_all(self, response, error):
        """Answer the requests that were sent so far."""
        held, self.held = self.held, []
        for on_response in held:
            on_response(response, error)


def submit_more_starts_than_are_sent():
    """Return a fleet, its endpoint process, a call and the held requests."""
    fleet = testing.make_pool(speeds=(1.0,))
    process = fleet.endpoints['w0']
    requests = HeldRequests()
    client = _workers.WorkerClient(
        requests,
        lambda event: fleet.driver.feed(process, event),
        None,
        may_start=lambda effect: runner.may_send_start(process.node, effect),
    )
    fleet.driver.effect_handlers[runner.StartRun] = (
        lambda driver, process, effect: client.start_run(effect)
    )
    call = fleet.submit(1.0, count=8, entry='e0')
    fleet.run_for(0.01)
    assert len(process.node.runs) == 8
    assert requests.sent == _workers.MAX_CONCURRENT_STARTS
    return fleet, process, call, requests


class TestQueuedStarts:
    def test_start_of_a_stopped_run_is_not_sent(self):
        """Guards against a start that is sent after the stop of its run."""
        fleet, _, call, requests = submit_more_starts_than_are_sent()
        fleet.disconnect_caller(call)
        fleet.run_for(0.01)
        requests.answer_all((200, b'{}'), None)
        assert requests.sent == _workers.MAX_CONCURRENT_STARTS

    def test_start_is_not_sent_after_a_pause(self):
        """Guards against a start whose run counts as lost meanwhile."""
        fleet, process, _, requests = submit_more_starts_than_are_sent()
        fleet.driver.freeze(process)
        fleet.run_for(4.0)
        process.frozen = False
        requests.answer_all(None, TimeoutError())
        assert requests.sent == _workers.MAX_CONCURRENT_STARTS
        assert process.node.counters['starts_withdrawn'] == 4

    def test_queued_starts_are_sent(self):
        """Guards against starts that are withdrawn without a reason."""
        _, _, _, requests = submit_more_starts_than_are_sent()
        requests.answer_all((200, b'{}'), None)
        assert requests.sent == 8


@attrs.define(eq=False)
class RestartingWorker:
    """A worker that restarts at its address, and the client of its process.

    Attributes
    ----------
    results : list of StartResult
        Results of the starts so far.
    withdrawn : bool
        Whether the endpoint process withdraws starts.
    """

    worker: fakes.FakeWorker = attrs.field(factory=fakes.FakeWorker)
    results: list = attrs.field(factory=list)
    withdrawn: bool = False
    server: object = None
    client: object = None

    async def listen(self):
        """Start the worker and the client."""
        self.server = await _server.start(self.worker.handle)
        pool = _http.Pool('127.0.0.1', self.server.port, MAX_BYTES)
        self.client = _workers.WorkerClient(
            pool,
            self._on_event,
            asyncio.get_running_loop(),
            may_start=lambda effect: not self.withdrawn,
        )

    async def restart(self):
        """Replace the worker by its next incarnation, at the same address."""
        await self.server.close()
        self.worker = fakes.FakeWorker(born=self.worker.born + 1)
        self.server = await _server.start(self.worker.handle, self.server.port)

    async def start(self, task, born):
        """Request a start for an incarnation; return its result."""
        await self.start_all([task], born)
        return self.results[-1]

    async def start_all(self, tasks, born):
        """Request starts at the same time, and wait for their results."""
        lease_ms = self.worker.clock_ms() + 600
        expected = len(self.results) + len(tasks)
        for task in tasks:
            self.client.start_run(
                runner.StartRun(task, 1, '1000', lease_ms, 1, 'w', born)
            )
        async with asyncio.timeout(5.0):
            while len(self.results) < expected:
                await asyncio.sleep(0.001)

    def _on_event(self, event):
        self.results.append(event.result)

    def paths(self):
        """Return the paths of the requests that the worker has received."""
        return [req.path for req in self.worker.requests]


def run_with_worker(play):
    """Return the result of ``await play(worker)``."""

    async def run():
        worker = RestartingWorker()
        await worker.listen()
        try:
            return await play(worker)
        finally:
            await worker.server.close()

    return asyncio.run(run())


class TestRestartedWorker:
    def test_start_for_the_previous_incarnation(self):
        """Guards against a start that a restarted worker takes for its own."""

        async def play(worker):
            born = worker.worker.born
            assert await worker.start('t1', born) is runner.StartResult.STARTED
            await worker.restart()
            # The first start finds the connection closed.
            results = [await worker.start(f't{n}', born) for n in (2, 3)]
            assert worker.worker.started == {}
            assert results[-1] is runner.StartResult.OTHER_INCARNATION
            result = await worker.start('t4', born + 1)
            assert result is runner.StartResult.STARTED

        run_with_worker(play)

    def test_restart_on_an_open_connection(self):
        """Guards against an identity that outlives what the worker says.

        A worker behind a proxy may restart while its connection stays open.
        """

        async def play(worker):
            await worker.start('t1', worker.worker.born)
            worker.worker.born += 1
            result = await worker.start('t2', worker.worker.born)
            assert result is runner.StartResult.STARTED
            result = await worker.start('t3', worker.worker.born - 1)
            assert result is runner.StartResult.OTHER_INCARNATION

        run_with_worker(play)

    def test_worker_is_identified_once(self):
        """Guards against a list before each start."""

        async def play(worker):
            for number in range(5):
                await worker.start(f't{number}', worker.worker.born)
            return worker.paths()

        assert run_with_worker(play) == ['/hold', *['/run-start'] * 5]

    def test_new_connections_beside_an_identified_one(self):
        """Guards against a list on each connection of a sound worker."""

        async def play(worker):
            born = worker.worker.born
            await worker.start('t0', born)
            await worker.start_all(['t1', 't2', 't3'], born)
            paths = worker.paths()
            assert len(worker.server.connections) == 3
            assert paths == ['/hold', *['/run-start'] * 4]

        run_with_worker(play)

    def test_new_connection_after_a_silence(self):
        """Guards against an open connection to a worker without power."""

        async def play(worker):
            born = worker.worker.born
            await worker.start('t0', born)
            await asyncio.sleep(2 * _http.IDENTITY_MAX_AGE_S)
            worker.worker.silent = True
            # The first one takes the idle connection.
            await worker.start_all(['t1', 't2'], born)
            return worker.results[1:]

        assert run_with_worker(play) == [
            runner.StartResult.NO_ANSWER,
            runner.StartResult.UNIDENTIFIED,
        ]

    def test_list_is_not_answered(self):
        """Guards against a start to a worker that nothing is known of."""

        async def play(worker):
            born = worker.worker.born
            worker.worker.hold_reply = (503, {})
            result = await worker.start('t1', born)
            assert result is runner.StartResult.OTHER_INCARNATION
            worker.worker.silent = True
            result = await worker.start('t1', born)
            assert result is runner.StartResult.UNIDENTIFIED
            assert worker.worker.started == {}

        run_with_worker(play)

    def test_withdrawn_while_the_worker_is_identified(self):
        """Guards against a start whose run was stopped meanwhile."""

        async def play(worker):
            worker.withdrawn = True
            result = await worker.start('t1', worker.worker.born)
            assert result is runner.StartResult.WITHDRAWN
            assert worker.worker.started == {}

        run_with_worker(play)


class TestManyStops:
    def test_repetitions_are_sent_once(self):
        """Guards against repeated stops that each open a connection."""
        requests, answers = HeldRequests(), []
        client = _workers.WorkerClient(requests, answers.append, None)
        count = 3 * _workers.MAX_CONCURRENT_STOPS
        for _ in range(5):
            for number in range(count):
                client.stop_run(runner.StopRun('a.0.0.0', number, 1))
        assert requests.sent == _workers.MAX_CONCURRENT_STOPS
        while requests.held:
            requests.answer_all((200, b'{}'), None)
        assert requests.sent == count
        assert [each.number for each in answers] == list(range(count))

    def test_latest_generation_is_sent(self):
        """Guards against a stop that the worker refuses as an old one."""
        requests = HeldRequests()
        client = _workers.WorkerClient(requests, lambda event: None, None)
        for number in range(_workers.MAX_CONCURRENT_STOPS):
            client.stop_run(runner.StopRun('a.0.0.0', number, 1))
        for generation in (1, 2):
            client.stop_run(runner.StopRun('b.0.0.0', 1, generation))
        requests.answer_all((200, b'{}'), None)
        assert b'"fence_token":2' in requests.last_body

    def test_unanswered_stop_is_sent_again(self):
        """Guards against a run that is never stopped."""
        requests, answers = HeldRequests(), []
        client = _workers.WorkerClient(requests, answers.append, None)
        stop = runner.StopRun('a.0.0.0', 1, 1)
        client.stop_run(stop)
        requests.answer_all(None, TimeoutError())
        client.stop_run(stop)
        assert requests.sent == 2
        assert [each.confirmed for each in answers] == [False]
