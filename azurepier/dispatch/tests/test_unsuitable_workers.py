"""Orders that a worker no longer suits when they arrive."""

import pytest

from azurepier import dispatch
from azurepier.dispatch.tests import test_returned_worker as returned_worker
from azurepier.kernel import effects
from azurepier import runner
from azurepier import testing

PATIENT = testing.queue(margin_s=60.0)


def return_as(fleet, name, **kind):
    """Crash a worker; it is back at once with other attributes."""
    worker = fleet.workers[name]
    worker.crash()
    for attribute, value in kind.items():
        setattr(worker, attribute, value)
    event = runner.WorkerReported(worker.report())
    fleet.driver.feed(fleet.endpoints[name], event)


def count_refusals(fleet, reason):
    return sum(
        process.node.counters[f'refused_{reason}']
        for process in fleet.endpoints.values()
    )


def count_withheld(fleet):
    return sum(
        isinstance(effect, effects.Log) and effect.event == 'start_withheld'
        for _, _, effect in fleet.driver.log_effects
    )


def bind_starts(fleet):
    """Let a start reach only the incarnation for which it is meant.

    A shell sends it on a connection on which the worker has shown its start
    time.
    """

    def start(driver, process, effect):
        worker = process.worker
        if effect.born in (None, worker.born):
            effect = returned_worker.address_current_worker(worker, effect)
            worker.start(process, effect)
            return
        result = runner.StartResult.OTHER_INCARNATION
        event = runner.StartAnswered(effect.task, effect.number, result)
        driver.after(0.001, driver.feed, process, event)

    fleet.driver.effect_handlers[runner.StartRun] = start


class TestReturnAsAnotherKind:
    KINDS = {
        'labels': (('a',), ('b',), 'label_missing'),
        'pool': ('pool', 'other', 'other_pool'),
    }

    @pytest.mark.parametrize('attribute', KINDS)
    def test_order_for_the_former_kind(self, attribute):
        """Guards against a start that was chosen by an earlier report.

        With more than four entries, a change reaches some of them late.
        """
        suitable, other, reason = self.KINDS[attribute]
        fleet = testing.make_pool(entries=6, speeds=(1.0, 1.0))
        for name in fleet.workers:
            return_as(fleet, name, labels=('a',))
        fleet.run_for(2.0)
        worker = fleet.workers['w0']
        calls = []
        for turn in range(200):
            if turn % 50 == 0:
                kind = suitable if turn % 100 else other
                return_as(fleet, 'w0', **{attribute: kind})
            call = fleet.submit(0.05, cpu=500, label='a', queue=PATIENT)
            calls.append(call)
            fleet.run_for(0.01)
            if getattr(worker, attribute) == other:
                assert worker.runs == {}
        fleet.run_for(5.0)
        assert all(call.body == dispatch.Finished(True) for call in calls)
        # An entry learns the new kind with its first refused batch.
        assert 0 < count_refusals(fleet, reason) < 60

    @pytest.mark.parametrize('back_after_ms', range(-4, 2))
    def test_return_that_is_not_reported_yet(self, back_after_ms):
        """Guards against a start on a worker that has refused connections.

        It may be back under its id as another kind by the time of the start.
        """
        fleet, _, _ = returned_worker.make_fleet(entries=1, speeds=(1.0,))
        worker = fleet.workers['w0']
        worker.labels = ('a',)
        returned_worker.report(fleet, 'w0')
        fleet.run_for(1.0)
        fleet.submit(1.0, label='a', queue=PATIENT)
        fleet.run_for(0.3)
        assert worker.runs
        worker.go_down(0.1)
        worker.labels = ('b',)
        worker.clock_offset_ms = -1000 * fleet.driver.now
        fleet.run_for(0.1 + back_after_ms / 1000)
        fleet.submit(0.1, label='a', queue=PATIENT)
        fleet.run_for(0.02)
        assert worker.runs == {}


class TestReturnWithoutRuns:
    def test_order_before_the_first_report(self):
        """Guards against a start that only the earlier kind suits.

        An idle worker is asked for its list once a second, so that nothing
        shows its restart in between.
        """
        fleet = testing.make_pool(entries=1, speeds=(1.0, 1.0))
        bind_starts(fleet)
        for name in fleet.workers:
            return_as(fleet, name, labels=('a',))
        fleet.run_for(2.0)
        calls = []
        for worker in fleet.workers.values():
            fleet.run_for(0.5)
            worker.crash()
            worker.labels = ('b',)
            calls += [
                fleet.submit(0.2, label='a', queue=PATIENT) for _ in range(4)
            ]
            fleet.run_for(0.1)
            assert worker.runs == {}
            return_as(fleet, worker.name, labels=('a',))
            fleet.run_for(1.0)
        assert all(call.body == dispatch.Finished(True) for call in calls)
        # An order that was withheld is not sent there again at once.
        assert 0 < count_withheld(fleet) <= len(calls)


class TestStepLimit:
    def test_job_at_two_entries(self):
        """Guards against more tasks of a step than may be on a worker."""
        fleet = testing.make_pool(entries=2, speeds=(1.0, 1.0))
        call = fleet.submit(
            0.5, count=2, max_per_worker=1, entry='e0', queue=PATIENT
        )
        fleet.run_for(0.1)
        event = dispatch.Submit(1000, PATIENT, call.job)
        fleet.driver.feed(fleet.entries['e1'], event)
        for _ in range(20):
            fleet.run_for(0.01)
            for worker in fleet.workers.values():
                assert len(worker.runs) == 1
        # The entry orders the task again after a pause only.
        assert 0 < count_refusals(fleet, 'step_limit') < 10
        fleet.run_for(2.0)
        assert call.body == dispatch.Finished(True)
