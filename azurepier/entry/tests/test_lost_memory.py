"""Tests of conclusions from records that the other side has dropped."""

from azurepier import kernel
from azurepier import testing


def _run(fleet, seconds):
    fleet.driver.run_until(fleet.driver.now + seconds)


def _cut(fleet, seconds):
    """Cut the first entry off the first endpoint process for a time."""
    entry, endpoint = fleet.entries[0], fleet.endpoints[0]
    fleet.driver.partition(entry, endpoint)
    _run(fleet, seconds)
    fleet.driver.heal(entry, endpoint)


class TestReturningEndpoint:
    """An endpoint process returns after the entry has removed it."""

    def test_old_runs_do_not_end_new_ones(self):
        # Guards against numbering starts from 1 again, so that the outcome of
        # a run before the cut is taken for that of a run after it.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        old = fleet.submit(0, testing.spec([9000] * 4, deadline_ms=30_000))
        _run(fleet, 0.1)
        _cut(fleet, 8.0)
        assert fleet.answer(0, old).type == 'task-lost'
        _run(fleet, 0.5)
        specs = [
            testing.spec([3000 + n], deadline_ms=30_000) for n in range(4)
        ]
        requests = [fleet.submit(0, spec) for spec in specs]
        _run(fleet, 25.0)
        for spec, req in zip(specs, requests):
            answer = fleet.answer(0, req)
            assert isinstance(answer, kernel.Complete), answer
            testing.check_job(fleet, spec, answer)


class TestLostStarts:
    def test_do_not_occupy_slots(self):
        # Guards against counting starts that were lost with a connection as
        # on their way for ever, so that an idle endpoint gets no work.
        fleet = testing.make_fleet(entries=1, speeds=(1.0,))
        fleet.driver.silence(fleet.entries[0], fleet.endpoints[0])
        fleet.submit(0, testing.spec([50] * 8, deadline_ms=1000))
        _run(fleet, 5.0)
        spec = testing.spec([50] * 8)
        req = fleet.submit(0, spec)
        _run(fleet, 2.0)
        answer = fleet.answer(0, req)
        assert isinstance(answer, kernel.Complete), answer
        testing.check_job(fleet, spec, answer)
