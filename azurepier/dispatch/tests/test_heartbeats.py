"""Heartbeats of another writer with the worker's id and start time."""

import attrs
import pytest

from azurepier import dispatch
from azurepier import runner
from azurepier.runner import _heartbeats
from azurepier import testing

DRAIN_S = 2.0


def send(fleet, name, **changes):
    """Deliver a report in the worker's name; return the worker in use."""
    worker = fleet.workers[name]
    foreign = attrs.evolve(worker.report(), **changes)
    if 'sequence' in changes:
        # The worker hasn't sent this report.
        worker.sequence -= 1
    process = fleet.endpoints[name]
    fleet.driver.feed(process, runner.WorkerReported(foreign))
    return process.node.worker


def make_pool():
    """Return a fleet with one worker."""
    return testing.make_pool(entries=1, speeds=(1.0,))


def starts_while_draining(fleet, send_others):
    """Return the number of starts later than allowed after a drain began."""
    worker = fleet.workers['w0']
    worker.leaving = True
    send(fleet, 'w0')
    drained_at = fleet.driver.now
    before = None
    while fleet.driver.now < drained_at + 8.0:
        fleet.submit(0.1)
        send_others()
        fleet.run_for(0.1)
        if before is None and fleet.driver.now > drained_at + DRAIN_S:
            before = sum(fleet.ledger.started.values())
    return sum(fleet.ledger.started.values()) - before


class TestDrain:
    @pytest.mark.parametrize('step', [1, 30, 10**6])
    @pytest.mark.parametrize('times', [1, 1000])
    def test_other_writer_says_ready(self, step, times):
        """Guards against starts on a worker that drains."""
        fleet = make_pool()
        sequence = fleet.workers['w0'].sequence + step
        send(fleet, 'w0', sequence=sequence)
        sent = 0

        def send_others():
            nonlocal sent
            sent += 1
            if sent < times:
                send(fleet, 'w0', sequence=sequence + sent, leaving=False)

        assert starts_while_draining(fleet, send_others) == 0

    def test_number_after_that_of_the_drain(self):
        """Guards against a drain that is hidden until the next heartbeat."""
        fleet = make_pool()
        fleet.workers['w0'].leaving = True
        own = send(fleet, 'w0')
        number = own.sequence + 1
        assert send(fleet, 'w0', sequence=number, leaving=False).leaving

    def test_report_before_the_list(self):
        """Guards against a drain that a later report hides at a start."""
        fleet = make_pool()
        fleet.workers['w0'].leaving = True
        fleet.driver.kill(fleet.endpoints['w0'])
        fleet.start_endpoint('w0')
        send(fleet, 'w0')
        send(fleet, 'w0', sequence=10**6, leaving=False)
        fleet.run_for(0.5)
        assert fleet.endpoints['w0'].node.worker.leaving

    def test_worker_stays(self):
        """Guards against a worker that is lost after its drain was undone."""
        fleet = make_pool()
        fleet.workers['w0'].leaving = True
        send(fleet, 'w0')
        fleet.run_for(3.0)
        fleet.workers['w0'].leaving = False
        fleet.run_for(_heartbeats.DRAIN_HOLD_S + 2.0)
        call = fleet.submit(0.1)
        fleet.run_for(0.5)
        assert call.body == dispatch.Finished(True)


class TestCapacity:
    @pytest.mark.parametrize('step', [1, 30, 10**6])
    @pytest.mark.parametrize(
        'changes',
        [
            {'cpu': 64_000},
            {'mem_mb': 2_000_000},
            {'gpu': 4},
            {'labels': ('own', 'other')},
            {'pool': 'other-pool'},
        ],
    )
    def test_worker_is_not_used_for_more(self, step, changes):
        """Guards against orders that the worker has no room or label for."""
        fleet = make_pool()
        fleet.workers['w0'].labels = ('own',)
        own = send(fleet, 'w0')
        sequence = own.sequence + step
        used = send(fleet, 'w0', sequence=sequence, **changes)
        # One that continues the worker's numbers counts until its next report.
        assert step == 1 or used.leaving or used == own
        used = send(fleet, 'w0')
        assert used.leaving or attrs.evolve(used, sequence=0) == (
            attrs.evolve(own, sequence=0)
        )
        used = send(fleet, 'w0', sequence=sequence + 1, **changes)
        assert used.leaving or attrs.evolve(used, sequence=0) == (
            attrs.evolve(own, sequence=0)
        )

    def test_smaller_report_is_forgotten(self):
        """Guards against a worker that one foreign report limits for good."""
        fleet = make_pool()
        cpu = fleet.endpoints['w0'].node.worker.cpu
        assert send(fleet, 'w0', sequence=10**6, cpu=10).cpu == 10
        fleet.run_for(_heartbeats.WRITER_LIFETIME_S + 2.0)
        assert fleet.endpoints['w0'].node.worker.cpu == cpu

    def test_number_of_writers(self):
        """Guards against memory that grows with the reports of others."""
        fleet = make_pool()
        own = fleet.endpoints['w0'].node.worker
        for number in range(50):
            send(
                fleet, 'w0', sequence=1000 * (number + 1), cpu=64_000 + number
            )
        node = fleet.endpoints['w0'].node
        assert len(node.heartbeats._writers) == _heartbeats.WRITERS_MAX
        assert node.worker.cpu == own.cpu
        send(fleet, 'w0', sequence=10**6, cpu=10)
        assert node.worker.cpu == 10
        send(fleet, 'w0', leaving=True)
        assert node.worker.leaving
