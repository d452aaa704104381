"""Workers whose capacity shrinks and grows while they run tasks."""

from azurepier import dispatch
from azurepier import runner
from azurepier import testing

PATIENT = testing.queue(margin_s=60.0)


def set_capacity(fleet, name, cpu):
    """Change the capacity of a worker, which reports it at once."""
    worker = fleet.workers[name]
    worker.cpu = cpu
    event = runner.WorkerReported(worker.report())
    fleet.driver.feed(fleet.endpoints[name], event)


def running_cpu(fleet, name):
    return sum(run.cpu for run in fleet.workers[name].runs.values())


def refused_starts(fleet):
    """Return the number of starts that a worker had no room for."""
    return sum(
        effect.event == 'run_refused' and effect.fields['reason'] == 'no_room'
        for _, _, effect in fleet.driver.log_effects
    )


class TestShrinkingWorker:
    def test_starts_keep_below_a_capacity_that_has_shrunk(self):
        """Guards against starts that bring a worker over its capacity.

        Runs that were started before go on; they count until they end.
        """
        fleet = testing.make_pool(entries=2, speeds=(1.0,), cpu=8000)
        calls = [
            fleet.submit(0.4 + 0.1 * index, count=2, queue=PATIENT)
            for index in range(8)
        ]
        fleet.run_for(0.1)
        assert running_cpu(fleet, 'w0') == 8000
        set_capacity(fleet, 'w0', 3000)
        for _ in range(100):
            before = running_cpu(fleet, 'w0')
            fleet.run_for(0.02)
            assert running_cpu(fleet, 'w0') <= max(before, 3000)
        assert refused_starts(fleet) == 0
        set_capacity(fleet, 'w0', 8000)
        fleet.run_for(0.05)
        assert running_cpu(fleet, 'w0') > 3000
        fleet.run_for(20.0)
        assert all(call.body == dispatch.Finished(True) for call in calls)
        assert fleet.ledger.overlaps == []

    def test_runs_that_are_being_stopped_count(self):
        """Guards against starts in the place of a run that has not ended."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,), cpu=4000)
        fleet.submit(5.0, count=4, queue=PATIENT)
        fleet.run_for(0.1)
        # The worker doesn't answer stops for a while.
        stops = []
        fleet.driver.effect_handlers[runner.StopRun] = (
            lambda driver, process, effect: stops.append((process, effect))
        )
        fleet.disconnect_caller(fleet.calls[0])
        fleet.submit(0.1, count=4, queue=PATIENT)
        fleet.run_for(0.3)
        assert stops
        assert running_cpu(fleet, 'w0') == 4000
        assert refused_starts(fleet) == 0
