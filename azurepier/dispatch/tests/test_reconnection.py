"""What an entry concludes from the runs that an endpoint process reports."""

import pytest

from azurepier import dispatch
from azurepier.runner import _reports
from azurepier import testing


def task_names(call):
    """Return the names of a call's tasks."""
    return [f'{call.job.id}.0.0.{i}' for i in range(call.job.count)]


def occupy_workers(fleet, work_s):
    """Fill the workers with jobs of another entry."""
    for worker in fleet.workers.values():
        fleet.submit(work_s, count=worker.cpu // 1000, entry='e1')
    fleet.run_for(0.1)


def connect(fleet, name):
    """Complete the connections that were opened while an entry was frozen."""
    for process in fleet.endpoints.values():
        fleet.driver._connect(process, f'{name}:1')


def reset_connections(fleet, name):
    """Reset the connections of an entry to all endpoint processes."""
    entry = fleet.entries[name]
    for connection in list(entry.connections.values()):
        fleet.driver._close(connection)


def run_frozen_job(frozen_s, resets=0):
    """Submit a job, freeze its entry until it has ended; return fleet, call.

    The workers are full when the entry wakes.
    """
    fleet = testing.make_pool()
    call = fleet.submit(0.3, count=6, entry='e0')
    fleet.run_for(0.1)
    assert sum(fleet.ledger.started.values()) == 6
    process = fleet.entries['e0']
    fleet.driver.freeze(process)
    fleet.run_for(1.0)
    occupy_workers(fleet, frozen_s + 4.0)
    fleet.run_for(frozen_s - 1.1)
    fleet.driver.thaw(process)
    for _ in range(resets):
        connect(fleet, 'e0')
        # Long enough for the endpoint process to send its report, too short
        # for the entry to receive it.
        fleet.run_for(0.0008)
        reset_connections(fleet, 'e0')
        fleet.run_for(0.01)
    connect(fleet, 'e0')
    fleet.run_for(1.0)
    return fleet, call


def disable_acknowledgements(monkeypatch):
    """Let endpoint processes keep ends as if no entry acknowledged them."""
    monkeypatch.setattr(_reports, 'on_acknowledged', lambda *_: None)


class TestFrozenEntry:
    def test_job_that_ran_is_not_answered_not_run_after_a_long_freeze(
        self, monkeypatch
    ):
        """Guards against "not run" after the ends have been forgotten."""
        disable_acknowledgements(monkeypatch)
        fleet, call = run_frozen_job(7.0)
        assert fleet.wrong_answers == []
        fleet.run_for(15.0)
        assert call.body == dispatch.Finished(True)

    def test_job_that_ran_is_not_answered_not_run_after_resets(
        self, monkeypatch
    ):
        """Guards against "not run" if old ends are left out of a report."""
        disable_acknowledgements(monkeypatch)
        fleet, call = run_frozen_job(4.0, resets=2)
        assert fleet.wrong_answers == []
        fleet.run_for(15.0)
        assert call.body == dispatch.Finished(True)

    @pytest.mark.parametrize(('frozen_s', 'resets'), [(4.0, 2), (7.0, 0)])
    def test_ends_are_reported_until_they_are_acknowledged(
        self, frozen_s, resets
    ):
        """Guards against tasks that run again though they have ended."""
        fleet, call = run_frozen_job(frozen_s, resets)
        assert call.body == dispatch.Finished(True)
        assert call.submissions == 1
        starts = [fleet.ledger.started[name] for name in task_names(call)]
        assert starts == [1] * call.job.count

    def test_acknowledged_ends_are_dropped(self):
        """Guards against reports that grow with all ends since the start."""
        fleet = testing.make_pool()
        fleet.submit(0.2, count=6, entry='e0')
        fleet.run_for(2.0)
        for process in fleet.endpoints.values():
            for link in process.node.links.values():
                assert link.acknowledges
                assert not link.reported_ends

    def test_entry_that_never_returns_is_forgotten(self):
        """Guards against state that grows with the entries that are gone."""
        fleet = testing.make_pool()
        fleet.submit(0.2, count=6, entry='e0')
        fleet.run_for(0.1)
        fleet.kill_entry('e0')
        fleet.run_for(45.0)
        for process in fleet.endpoints.values():
            names = {link.name for link in process.node.links.values()}
            assert 'e0' not in names


class TestReturnedEndpoint:
    def test_ends_of_earlier_orders_are_not_taken_for_new_ones(self):
        """Guards against numbers of orders that start again after a cut."""
        fleet = testing.make_pool(speeds=(1.0,))
        for _ in range(3):
            fleet.submit(0.2, count=2, entry='e0')
        fleet.submit(4.0, entry='e0')
        fleet.run_for(0.5)
        entry, endpoint = fleet.entries['e0'], fleet.endpoints['w0']
        fleet.driver.partition(entry, endpoint)
        fleet.run_for(1.9)
        fleet.driver.heal(entry, endpoint)
        fleet.run_for(0.5)
        call = fleet.submit(3.0, count=4, entry='e0')
        fleet.run_for(0.1)
        reset_connections(fleet, 'e0')
        fleet.run_for(0.5)
        assert call.body is None
        fleet.run_for(4.0)
        assert call.body == dispatch.Finished(True)
        assert fleet.wrong_answers == []
        assert fleet.ledger.overlaps == []
