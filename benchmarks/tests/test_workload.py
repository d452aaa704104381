"""Tests of the deployments and traces."""

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
    """Guards against a fleet other than the one the targets are for."""

    def test_speeds_spread_over_a_factor_of_four_with_mean_one(self):
        speeds = [worker.speed for worker in DEPLOYMENT.workers]
        assert len(speeds) == 11
        assert sum(speeds) / len(speeds) == pytest.approx(1.0)
        assert max(speeds) / min(speeds) == pytest.approx(4.0)

    def test_racks_hold_three_workers(self):
        racks = [worker.rack for worker in DEPLOYMENT.workers]
        assert [racks.count(n) for n in range(4)] == [3, 3, 3, 2]


class TestTrace:
    """Guards against a trace that is easier than what was specified."""

    def test_same_seed_gives_the_same_trace(self, trace):
        again = _workload.make_trace(DEPLOYMENT, 0.8, 120.0, 1, 20.0)
        other = _workload.make_trace(DEPLOYMENT, 0.8, 120.0, 2, 20.0)
        assert again.jobs == trace.jobs
        assert other.jobs != trace.jobs

    def test_work_of_each_phase_makes_up_the_load(self, trace):
        for low, high in zip(trace.bounds, trace.bounds[1:]):
            jobs = [job for job in trace.jobs if low <= job.at < high]
            work_s = sum(job.work_s for job in jobs)
            offered = work_s / DEPLOYMENT.capacity / (high - low)
            assert offered == pytest.approx(0.8, abs=0.05)

    def test_job_sizes(self, trace):
        sizes = [len(job.tasks) for job in trace.jobs]
        assert min(sizes) >= 1
        assert max(sizes) <= 140
        for share, low, high in _workload.SIZES:
            found = sum(low <= size <= high for size in sizes) / len(sizes)
            assert found == pytest.approx(share, abs=0.04)

    def test_shares_of_long_tasks(self, tasks):
        huge = [task for task in tasks if task.work_s >= 20]
        several = [task for task in tasks if 2 <= task.work_s < 20]
        assert len(huge) / len(tasks) == pytest.approx(0.002, abs=0.001)
        assert len(several) / len(tasks) == pytest.approx(0.02, abs=0.003)
        hidden = [task for task in several if task.kind.startswith('kind')]
        assert len(hidden) / len(several) == pytest.approx(0.5, abs=0.08)
        assert all(task.long for task in huge + several)

    def test_urgent_jobs_are_small_and_short(self, trace):
        urgent = [job for job in trace.jobs if job.urgent]
        share = len(urgent) / len(trace.jobs)
        assert share == pytest.approx(0.2, abs=0.03)
        assert max(len(job.tasks) for job in urgent) <= 5
        assert max(job.longest_s for job in urgent) <= 1.0

    def test_declared_times_are_off_by_up_to_ten_either_way(self, tasks):
        errors = [task.declared_ms / 1000 / task.work_s for task in tasks]
        assert 0.1 <= min(errors) < 0.12
        assert 8 < max(errors) <= 10 * (1 + 1e-9)


class TestWithoutLong:
    """Guards against a comparison of two different traces."""

    def test_only_long_tasks_are_removed(self, trace):
        plain = {job.number: job for job in _workload.without_long(trace).jobs}
        for job in trace.jobs:
            kept = tuple(task for task in job.tasks if not task.long)
            if not kept:
                assert job.number not in plain
                continue
            other = plain[job.number]
            assert other.tasks == kept
            assert (other.at, other.entry) == (job.at, job.entry)


class TestDeadlines:
    """Guards against deadlines that no scheduler could meet."""

    def test_deadline_allows_three_times_the_longest_task(self):
        phases = ((0.7, 10.0), (3.0, 5.0))
        trace = _workload.make_phases(DEPLOYMENT, phases, 1, deadlines=True)
        for job in trace.jobs:
            if job.urgent:
                assert job.deadline_s == 2.0
            else:
                assert job.deadline_s >= max(5.0, 3 * job.longest_s)
