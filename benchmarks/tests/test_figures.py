"""Tests of the figures derived from simulated runs."""

import types

from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
import pytest

from benchmarks import _measures
from benchmarks import _observe
from benchmarks import _peak
from benchmarks import _simulate
from benchmarks import bench_response


def make_start(urgent=False):
    return messages.Start(seq=1, urgent=urgent)


def make_batch(*starts):
    return messages.StartBatch(starts=list(starts), want=-1, acked=[])


def make_grant():
    return messages.Grant(granted=1, free=1, long_free=1, seen=0)


def count_wasted(steps):
    """Return the wasted messages of an entry.

    Each step is a tuple of the time, the received message or None, and the
    messages that the entry sends in response.
    """
    sent_effects = {}
    process = types.SimpleNamespace(
        name='entry', handle=lambda node, event, now: sent_effects[now]
    )
    traffic = _observe.Traffic((0.0, 10.0))
    _observe.watch_entry(traffic, process)
    for now, received, sent_msgs in steps:
        sent_effects[now] = [effects.Send(1, msg) for msg in sent_msgs]
        event = events.Received(1, received) if received else events.Tick()
        process.handle(None, event, now)
    _observe.close(traffic)
    return +traffic.wasted


class TestWaste:
    """Guards against wasted messages that are not counted."""

    def test_want_and_grant_before_a_start_are_useful(self):
        steps = [
            (1.0, None, [messages.Want(count=1)]),
            (1.1, make_grant(), [make_batch(make_start())]),
        ]
        assert not count_wasted(steps)

    def test_want_and_grant_without_a_start_are_wasted(self):
        steps = [
            (1.0, None, [messages.Want(count=1)]),
            (1.1, make_grant(), []),
        ]
        assert count_wasted(steps) == {'Want': 1, 'Grant': 1}

    def test_one_start_accounts_for_one_grant(self):
        steps = [
            (1.0, make_grant(), []),
            (1.1, make_grant(), [make_batch(make_start())]),
        ]
        assert count_wasted(steps) == {'Grant': 1}

    def test_urgent_and_late_starts_use_no_grant(self):
        steps = [
            (1.0, make_grant(), [make_batch(make_start(urgent=True))]),
            (2.5, None, [make_batch(make_start())]),
        ]
        assert count_wasted(steps) == {'Grant': 1}

    def test_refused_start_is_wasted(self):
        outcomes = [
            messages.Outcome(seq=1, status=int(status))
            for status in (kernel.Status.REFUSED, kernel.Status.DONE)
        ]
        msg = messages.OutcomeBatch(outcomes=outcomes)
        assert count_wasted([(1.0, msg, [])]) == {'Start': 1}


class TestQuantile:
    """Guards against percentiles that exclude the worst values."""

    def test_nearest_rank(self):
        values = list(range(1, 201))
        assert _measures.quantile(values, 0.5) == 100
        assert _measures.quantile(values, 0.99) == 198
        assert _measures.quantile([3, 1], 0.99) == 3


class TestFairShares:
    """Guards against shares that leave a part of the amount unassigned."""

    def test_unused_share_goes_to_the_others_by_weight(self):
        demands = {'a': 1.0, 'b': 50.0, 'c': 50.0}
        weights = {'a': 1.0, 'b': 1.0, 'c': 2.0}
        shares = _peak.fair_shares(demands, weights, 10.0)
        assert shares == pytest.approx({'a': 1.0, 'b': 3.0, 'c': 6.0})


class TestResponse:
    """Guards against a simulation that loses jobs or isn't reproducible."""

    def test_short_run_is_complete_and_repeatable(self):
        policy = _simulate.DEFAULT_POLICY
        first, second = (
            bench_response.measure('prydderch', policy, 1, 3.0, 1.0)
            for _ in range(2)
        )
        assert first == second
        assert first['lost'] == 0
        assert first['jobs'] > 10

    def test_no_job_is_answered_before_it_can_have_run(self):
        trace = bench_response.make_trace('prydderch', 1, 3.0, 1.0)
        deployment = trace.deployment
        run = _simulate.simulate(trace)
        round_trips_s = 2 * (
            deployment.client_delay_s + deployment.within_domain_s
        )
        for job in trace.jobs:
            bound_s = job.longest_s / deployment.max_speed + round_trips_s
            assert _measures.response_time_s(run, job) >= bound_s * (1 - 1e-9)
        task_runs = {
            (task_run.job, task_run.task) for task_run in run.task_runs
        }
        assert len(task_runs) == sum(len(job.tasks) for job in trace.jobs)
