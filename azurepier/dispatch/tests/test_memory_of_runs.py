"""What entries and endpoint processes still know of earlier runs."""

from azurepier import dispatch
from azurepier.kernel import events
from azurepier import testing


def reset(fleet):
    """Reset all connections between the entry and the endpoint process."""
    for connection in list(fleet.entries['e0'].connections.values()):
        fleet.driver._close(connection)


class TestForgottenEntry:
    def test_entry_that_was_away_before_is_not_forgotten_at_once(self):
        """Guards against a timer of an earlier disconnection."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,))
        driver = fleet.driver
        entry, endpoint = fleet.entries['e0'], fleet.endpoints['w0']
        fleet.submit(0.05, entry='e0')
        fleet.run_for(0.5)
        driver.partition(entry, endpoint)
        fleet.run_for(2.5)
        driver.heal(entry, endpoint)
        fleet.run_for(1.0)
        [link] = endpoint.node.links.values()
        assert link.conn is not None
        due_at = endpoint.node.timers._deadlines.get(
            ('forget', link.incarnation)
        )
        if due_at is not None:
            # The entry stays until shortly before the timer expires.
            fleet.run_for(due_at - 0.1 - driver.now)
        fleet.submit(0.02, entry='e0')
        fleet.run_for(0.05)
        reset(fleet)
        driver.partition(entry, endpoint)
        fleet.run_for(0.2)
        assert link.conn is None
        assert list(endpoint.node.links.values()) == [link]


class TestResubmittedJob:
    def test_job_that_this_entry_started_is_not_answered_not_run(self):
        """Guards against "never runs" for a job that was abandoned here.

        The entry has started the task itself and has got its end.
        """
        fleet = testing.make_pool(entries=1, speeds=(1.0,), cpu=1000)
        entry = fleet.entries['e0']
        call = fleet.submit(0.6, entry='e0')
        fleet.run_for(0.1)
        assert sum(fleet.ledger.started.values()) == 1
        fleet.open_calls.pop(call.req)
        driver = fleet.driver
        driver.feed(entry, events.Abandon(call.req))
        fleet.run_for(0.3)
        # The worker drains, so that the job is rejected.
        fleet.workers['w0'].leaving = True
        fleet.run_for(1.6)
        driver.feed(entry, dispatch.Submit(1000, call.queue, call.job))
        fleet.run_for(4.0)
        _, answer = driver.answers['e0', 1000]
        assert answer.verdict is dispatch.Verdict.MAY_HAVE_RUN
