"""Explanation of a placement."""

import collections
import copy

from azurepier import dispatch
from azurepier.dispatch import _explain
from azurepier.dispatch.tests import test_priority as priority
from azurepier import testing


def request(count=1, cpu=1000, declared_ms=100, label=''):
    return dispatch.JobRequest(
        'explained.job',
        's',
        count,
        declared_ms,
        dispatch.Resources(cpu, label=label),
    )


def explain(fleet, job, queue=None, entry='e0'):
    node = fleet.entries[entry].node
    now = fleet.driver.now
    return dispatch.explain(node, queue or testing.queue(), job, now)


def rules(result):
    return {each['ruled_out_by'] for each in result['endpoints']}


class TestExplain:
    def test_matches_the_placement(self):
        """Guards against an explanation by other rules than those in use."""
        fleet = testing.make_pool(speeds=(0.5, 1.0, 1.0, 2.0))
        for _ in range(3):
            fleet.submit(0.5, count=3, cpu=2000, entry='e0')
        fleet.run_for(0.1)
        result = explain(fleet, request(5, 2000))
        node = fleet.entries['e0'].node
        call = fleet.submit(0.1, count=5, cpu=2000, entry='e0')
        fleet.driver.run_until(fleet.driver.now)
        job = node.jobs[call.job.id]
        assert result['starts'] == dict(job.starts_by_endpoint)
        assert result['waiting_tasks'] == len(job.waiting)

    def test_large_state(self):
        """Guards against an explanation that takes seconds and megabytes."""
        fleet = testing.make_pool(entries=1, speeds=(1.0,))
        node = fleet.entries['e0'].node
        for number in range(2000):
            node.recent_outcomes[f'ended{number}'] = fleet.driver.now, None
            node.canceled_jobs[f'canceled{number}'] = fleet.driver.now
        trial = copy.deepcopy(node, _explain._not_copied(node))
        assert not trial.recent_outcomes and not trial.canceled_jobs
        assert trial.routing is node.routing
        assert not dispatch.is_too_large(node)
        fleet.submit(
            9.0,
            count=_explain.MAX_TASKS + 1,
            queue=testing.queue(stretch=1000),
        )
        assert dispatch.is_too_large(node)

    def test_changes_nothing(self):
        """Guards against explanations that reach the entry's state."""
        fleet = priority.make_fleet()
        priority.submit_for(
            fleet, 1.0, [(priority.URGENT, 40, 8, 0.1, ('e0',))]
        )
        node = fleet.entries['e0'].node
        before = node.rng.getstate(), collections.Counter(node.counters)
        free = [each.free_cpu for each in node.by_conn.values()]
        jobs, reserves = dict(node.jobs), dict(node.reserves)
        explain(fleet, request(4, 5000), priority.ORDINARY)
        assert (node.rng.getstate(), node.counters) == before
        assert [each.free_cpu for each in node.by_conn.values()] == free
        assert (node.jobs, node.reserves) == (jobs, reserves)

    def test_refusal(self):
        """Guards against a refusal without its inputs."""
        fleet = testing.make_pool()
        for _ in range(30):
            fleet.submit(1.0, count=4, cpu=2000, entry='e0')
        fleet.run_for(0.05)
        result = explain(fleet, request(4, 2000, 1000))
        assert result['decision'] == 'refuse'
        assert result['refusal']['reason'] == 'overload'
        assert result['refusal']['inputs']['wait_ms'] > 0

    def test_rules_by_endpoint(self):
        """Guards against endpoints that are left out without a reason."""
        fleet = testing.make_pool(domains=3)
        assert rules(explain(fleet, request())) == {None}
        assert rules(explain(fleet, request(30, 4000))) == {'no_room'}
        fleet.evacuate('d1')
        fleet.run_for(0.1)
        assert 'evacuated' in rules(explain(fleet, request()))

    def test_deferred(self):
        """Guards against a wait whose reason is not told."""
        fleet = priority.make_fleet()
        priority.submit_for(
            fleet,
            3.0,
            [
                (priority.URGENT, 30, 8, 0.1, ()),
                (priority.ORDINARY, 110, 2, 0.3, ()),
            ],
        )
        result = explain(
            fleet, request(2, priority.CPU, 2000), priority.ORDINARY
        )
        assert result['decision'] in ('wait', 'refuse')
        assert result['urgent_reserve_cores'] > 0
        ages = [each['age_ms'] for each in result['endpoints']]
        assert 0 <= min(ages) <= max(ages) < 600
