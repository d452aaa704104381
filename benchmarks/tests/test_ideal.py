"""Tests of the ideal scheduler."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from benchmarks import _deployments
from benchmarks import _ideal
from benchmarks import _workload

# Bound of longest-first scheduling on two machines of different speeds,
# (1 + sqrt(17)) / 4.
GREEDY_BOUND = 1.2808

works = st.lists(st.floats(0.05, 1.0), min_size=1, max_size=6)


def deployment_of(speeds, slots=1):
    workers = tuple(
        _deployments.Worker(f'worker-{n}', 0, 'a', speed)
        for n, speed in enumerate(speeds)
    )
    return _deployments.Deployment('test', 0.0, 0.0, workers, slots)


def job_of(number, times, at=0.0, urgent=False):
    tasks = tuple(_workload.Task('kind', work_s, 100.0) for work_s in times)
    return _workload.Job(number, at, 0, 'customer', urgent, tasks)


def best_end(times, speeds):
    """Return the earliest end of a job over all assignments."""
    ends = []
    for places in itertools.product(range(len(speeds)), repeat=len(times)):
        load = [0.0] * len(speeds)
        for place, work_s in zip(places, times):
            load[place] += work_s / speeds[place]
        ends.append(max(load))
    return min(ends)


class TestOptimum:
    """Guards against an ideal that is too slow, which flatters ratios."""

    @settings(derandomize=True, deadline=None)
    @given(works, st.floats(1.0, 4.0))
    def test_single_job_is_close_to_the_optimum(self, times, speed):
        speeds = (1.0, speed)
        found = _ideal.ideal_responses(
            deployment_of(speeds), [job_of(0, times)]
        )
        best = best_end(times, speeds)
        assert best * (1 - 1e-9) <= found[0] <= best * GREEDY_BOUND

    def test_task_waits_for_a_faster_slot(self):
        # The second task ends at 1.0 on the fast worker, at 2.0 elsewhere.
        jobs = [job_of(0, [2.0]), job_of(1, [2.0], at=0.1)]
        found = _ideal.ideal_responses(deployment_of((1.0, 4.0)), jobs)
        assert found == pytest.approx({0: 0.5, 1: 0.9})

    def test_slow_slot_is_used_when_waiting_takes_longer(self):
        jobs = [job_of(0, [8.0]), job_of(1, [1.0], at=0.1)]
        found = _ideal.ideal_responses(deployment_of((1.0, 4.0)), jobs)
        assert found == pytest.approx({0: 2.0, 1: 1.0})


class TestOrder:
    """Guards against an ideal that serves jobs in another order."""

    def test_urgent_then_short_jobs_go_first(self):
        jobs = [
            job_of(0, [1.0]),
            job_of(1, [3.0], at=0.1),
            job_of(2, [2.0], at=0.2),
            job_of(3, [4.0], at=0.3, urgent=True),
        ]
        found = _ideal.ideal_responses(deployment_of((1.0,)), jobs)
        ends = {n: found[n] + jobs[n].at for n in found}
        assert ends == pytest.approx({0: 1.0, 3: 5.0, 2: 7.0, 1: 10.0})

    def test_long_task_of_a_job_goes_first(self):
        found = _ideal.ideal_responses(
            deployment_of((1.0, 1.0)), [job_of(0, [1.0, 1.0, 2.0])]
        )
        assert found == pytest.approx({0: 2.0})


class TestTrace:
    """Guards against responses that are impossible."""

    def test_no_job_beats_its_lower_bound(self):
        deployment = _deployments.DEPLOYMENTS['prydderch']
        trace = _workload.make_trace(deployment, 0.8, 5.0, seed=3)
        found = _ideal.ideal_responses(deployment, trace.jobs)
        assert len(found) == len(trace.jobs)
        for job in trace.jobs:
            bound_s = max(
                job.longest_s / deployment.fastest,
                job.work_s / deployment.capacity,
            )
            assert found[job.number] >= bound_s * (1 - 1e-9)
