"""Tests of the deployments and the synthetic traces."""

import pytest

from benchmarks import _deployments
from benchmarks import _workload

DEPLOYMENT = _deployments.DEPLOYMENTS['yastikevi']


@pytest.fixture(scope='module')
def trace():
    return _workload.make_trace(DEPLOYMENT, 0.8, 120.0, 1, warmup_s=20.0)


@pytest.fixture(scope='module')
def tasks(trace):
    return [task for job in trace.jobs for task in job.tasks]


class TestDeployment:
    """Guards against deployments that differ from those of the targets."""

    def test_speeds_spread_over_a_factor_of_four_with_mean_one(self):
        speeds = [worker.speed for worker in DEPLOYMENT.workers]
        assert len(speeds) == 11
        assert sum(speeds) / len(speeds) == pytest.approx(1.0)
        assert max(speeds) / min(speeds) == pytest.approx(4.0)

    def test_racks_hold_three_workers(self):
        racks = [worker.rack for worker in DEPLOYMENT.workers]
        assert [racks.count(n) for n in range(4)] == [3, 3, 3, 2]


class TestTrace:
    """Guards against traces that are easier than specified."""

    def test_same_seed_gives_the_same_trace(self, trace):
        repeated = _workload.make_trace(DEPLOYMENT, 0.8, 120.0, 1, 20.0)
        other_seed = _workload.make_trace(DEPLOYMENT, 0.8, 120.0, 2, 20.0)
        assert repeated.jobs == trace.jobs
        assert other_seed.jobs != trace.jobs

    def test_work_of_each_phase_amounts_to_the_load(self, trace):
        for low, high in zip(trace.phase_bounds_s, trace.phase_bounds_s[1:]):
            jobs = [
                job for job in trace.jobs if low <= job.submitted_at < high
            ]
            work_s = sum(job.work_s for job in jobs)
            load = work_s / DEPLOYMENT.capacity / (high - low)
            assert load == pytest.approx(0.8, abs=0.05)

    def test_job_sizes(self, trace):
        sizes = [len(job.tasks) for job in trace.jobs]
        assert min(sizes) >= 1
        assert max(sizes) <= 140
        for share, low, high in _workload.JOB_SIZES:
            measured_share = sum(low <= size <= high for size in sizes) / len(
                sizes
            )
            assert measured_share == pytest.approx(share, abs=0.04)

    def test_shares_of_long_tasks(self, tasks):
        huge_tasks = [task for task in tasks if task.work_s >= 20]
        long_tasks = [task for task in tasks if 2 <= task.work_s < 20]
        assert len(huge_tasks) / len(tasks) == pytest.approx(0.002, abs=0.001)
        assert len(long_tasks) / len(tasks) == pytest.approx(0.02, abs=0.003)
        ordinary_long_tasks = [
            task for task in long_tasks if task.kind.startswith('kind')
        ]
        assert len(ordinary_long_tasks) / len(long_tasks) == pytest.approx(
            0.5, abs=0.08
        )
        assert all(task.long for task in huge_tasks + long_tasks)

    def test_urgent_jobs_are_small_and_short(self, trace):
        urgent = [job for job in trace.jobs if job.urgent]
        share = len(urgent) / len(trace.jobs)
        assert share == pytest.approx(0.2, abs=0.03)
        assert max(len(job.tasks) for job in urgent) <= 5
        assert max(job.longest_s for job in urgent) <= 1.0

    def test_declared_times_are_wrong_by_a_factor_of_up_to_ten(self, tasks):
        factors = [task.declared_ms / 1000 / task.work_s for task in tasks]
        assert 0.1 <= min(factors) < 0.12
        assert 8 < max(factors) <= 10 * (1 + 1e-9)


class TestWithoutLong:
    """Guards against traces that differ in more than their long tasks."""

    def test_only_long_tasks_are_removed(self, trace):
        jobs_without_long = {
            job.number: job for job in _workload.remove_long_tasks(trace).jobs
        }
        for job in trace.jobs:
            short_tasks = tuple(task for task in job.tasks if not task.long)
            if not short_tasks:
                assert job.number not in jobs_without_long
                continue
            remaining = jobs_without_long[job.number]
            assert remaining.tasks == short_tasks
            assert (remaining.submitted_at, remaining.entry) == (
                job.submitted_at,
                job.entry,
            )


class TestDeadlines:
    """Guards against deadlines that no scheduler could meet."""

    def test_deadline_allows_three_times_the_longest_task(self):
        phases = ((0.7, 10.0), (3.0, 5.0))
        trace = _workload.make_phased_trace(
            DEPLOYMENT, phases, 1, deadlines=True
        )
        for job in trace.jobs:
            if job.urgent:
                assert job.deadline_s == 2.0
            else:
                assert job.deadline_s >= max(5.0, 3 * job.longest_s)
