"""What an entry concludes from the runs that an endpoint process reports."""

from azurepier import dispatch
from azurepier import testing


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


class TestFrozenEntry:
    def run_frozen_job(self, frozen_s, resets=0):
        """Submit a short job, freeze its entry and return call and fleet."""
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
            # Long enough for the endpoint process to send its report, too
            # short for the entry to receive it.
            fleet.run_for(0.0008)
            reset_connections(fleet, 'e0')
            fleet.run_for(0.01)
        connect(fleet, 'e0')
        fleet.run_for(1.0)
        return fleet, call

    def test_job_that_ran_is_not_answered_not_run_after_a_long_freeze(self):
        """Guards against "not run" after the ends have been forgotten."""
        fleet, call = self.run_frozen_job(7.0)
        assert fleet.wrong_answers == []
        fleet.run_for(15.0)
        assert call.body == dispatch.Finished(True)

    def test_job_that_ran_is_not_answered_not_run_after_resets(self):
        """Guards against "not run" if old ends are left out of a report."""
        fleet, call = self.run_frozen_job(4.0, resets=2)
        assert fleet.wrong_answers == []
        fleet.run_for(15.0)
        assert call.body == dispatch.Finished(True)


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
