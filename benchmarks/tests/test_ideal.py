"""Tests of the ideal scheduler."""

import itertools

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from benchmarks import _deployments
from benchmarks import _ideal
from benchmarks import _workload

# Approximation ratio of longest-processing-time-first scheduling on two
# workers of different speeds, (1 + sqrt(17)) / 4.
LPT_RATIO = 1.2808

work_lists = st.lists(st.floats(0.05, 1.0), min_size=1, max_size=6)


def make_deployment(speeds, slots=1):
    workers = tuple(
        _deployments.Worker(f'worker-{n}', 0, 'a', speed)
        for n, speed in enumerate(speeds)
    )
    return _deployments.Deployment('test', 0.0, 0.0, workers, slots)


def make_job(number, works_s, submitted_at=0.0, urgent=False):
    tasks = tuple(_workload.Task('kind', work_s, 100.0) for work_s in works_s)
    return _workload.Job(number, submitted_at, 0, 'customer', urgent, tasks)


def minimum_makespan(works_s, speeds):
    """Return the minimum makespan over all assignments of tasks to workers."""
    makespans = []
    for assignment in itertools.product(
        range(len(speeds)), repeat=len(works_s)
    ):
        busy_s = [0.0] * len(speeds)
        for worker, work_s in zip(assignment, works_s):
            busy_s[worker] += work_s / speeds[worker]
        makespans.append(max(busy_s))
    return min(makespans)


class TestOptimum:
    """A slow ideal scheduler would make the response ratios too low."""

    @settings(derandomize=True, deadline=None)
    @given(work_lists, st.floats(1.0, 4.0))
    def test_single_job_is_close_to_the_optimum(self, works_s, speed):
        speeds = (1.0, speed)
        response_times = _ideal.ideal_responses(
            make_deployment(speeds), [make_job(0, works_s)]
        )
        optimum = minimum_makespan(works_s, speeds)
        assert optimum * (1 - 1e-9) <= response_times[0] <= optimum * LPT_RATIO

    def test_task_waits_for_a_faster_slot(self):
        # The second task ends at 1.0 on the fast worker, at 2.0 elsewhere.
        jobs = [make_job(0, [2.0]), make_job(1, [2.0], submitted_at=0.1)]
        response_times = _ideal.ideal_responses(
            make_deployment((1.0, 4.0)), jobs
        )
        assert response_times == pytest.approx({0: 0.5, 1: 0.9})

    def test_slow_slot_is_used_when_waiting_takes_longer(self):
        jobs = [make_job(0, [8.0]), make_job(1, [1.0], submitted_at=0.1)]
        response_times = _ideal.ideal_responses(
            make_deployment((1.0, 4.0)), jobs
        )
        assert response_times == pytest.approx({0: 2.0, 1: 1.0})


class TestOrder:
    """Guards against an ideal scheduler with a wrong order of jobs."""

    def test_urgent_then_short_jobs_go_first(self):
        jobs = [
            make_job(0, [1.0]),
            make_job(1, [3.0], submitted_at=0.1),
            make_job(2, [2.0], submitted_at=0.2),
            make_job(3, [4.0], submitted_at=0.3, urgent=True),
        ]
        response_times = _ideal.ideal_responses(make_deployment((1.0,)), jobs)
        ends = {
            n: response_times[n] + jobs[n].submitted_at for n in response_times
        }
        assert ends == pytest.approx({0: 1.0, 3: 5.0, 2: 7.0, 1: 10.0})

    def test_long_task_of_a_job_goes_first(self):
        response_times = _ideal.ideal_responses(
            make_deployment((1.0, 1.0)), [make_job(0, [1.0, 1.0, 2.0])]
        )
        assert response_times == pytest.approx({0: 2.0})


class TestTrace:
    """Guards against response times below the lower bound."""

    def test_no_job_beats_its_lower_bound(self):
        deployment = _deployments.DEPLOYMENTS['prydderch']
        trace = _workload.make_trace(deployment, 0.8, 5.0, seed=3)
        response_times = _ideal.ideal_responses(deployment, trace.jobs)
        assert len(response_times) == len(trace.jobs)
        for job in trace.jobs:
            bound_s = max(
                job.longest_s / deployment.max_speed,
                job.work_s / deployment.capacity,
            )
            assert response_times[job.number] >= bound_s * (1 - 1e-9)
