"""Limits on the tasks and runs that an entry keeps."""

import attrs

from azurepier import dispatch
from azurepier.dispatch import _placement
from azurepier import testing

MAX_TASKS = 40
# Objective in multiples of the run time, so that no job is too late.
PATIENT = testing.queue(stretch=1000)


def make_pool(max_tasks=MAX_TASKS):
    """Return a fleet with one entry and a limit on its tasks."""
    fleet = testing.make_pool(entries=1, speeds=(1.0,))
    node = fleet.entries['e0'].node
    node.options = attrs.evolve(node.options, max_tasks=max_tasks)
    return fleet, node


class TestMaxTasks:
    def test_job_beyond_the_limit_is_refused_at_once(self):
        """Guards against jobs that take the memory of all others."""
        fleet, node = make_pool()
        fleet.submit(1.0, count=MAX_TASKS, queue=PATIENT)
        refused = fleet.submit(1.0, count=1, queue=PATIENT)
        fleet.run_for(0.01)
        assert refused.body.verdict is dispatch.Verdict.NOT_RUN
        assert refused.body.reason == 'too_many_tasks'
        assert refused.body.retry_after_s >= 1
        assert node.task_count == MAX_TASKS
        assert not fleet.wrong_answers

    def test_places_become_free(self):
        """Guards against tasks that count after the end of their job."""
        fleet, node = make_pool()
        call = fleet.submit(0.1, count=MAX_TASKS // 2, queue=PATIENT)
        left = fleet.submit(0.1, count=MAX_TASKS // 2, queue=PATIENT)
        left.abandoned = True
        fleet.disconnect_caller(left)
        fleet.run_for(5.0)
        assert call.body.succeeded
        assert node.task_count == 0
        assert not node.run_count_by_task
        later = fleet.submit(0.1, count=MAX_TASKS, queue=PATIENT)
        fleet.run_for(5.0)
        assert later.body.succeeded

    def test_runs_that_are_being_stopped_count(self):
        """Guards against callers that leave and submit again at once."""
        fleet, node = make_pool()
        for _ in range(10):
            call = fleet.submit(9.0, count=8, cpu=1, queue=PATIENT)
            call.abandoned = True
            fleet.disconnect_caller(call)
        assert len(node.run_count_by_task) <= MAX_TASKS


class TestMaxRunsPerEndpoint:
    def test_tasks_without_needs(self):
        """Guards against runs of which any number fits a worker."""
        count = _placement.MAX_RUNS_PER_ENDPOINT + 100
        fleet, node = make_pool(max_tasks=10 * count)
        call = fleet.submit(1.0, count=count, cpu=0, queue=PATIENT)
        fleet.run_for(0.5)
        runs = len(fleet.endpoints['w0'].node.runs)
        assert runs == _placement.MAX_RUNS_PER_ENDPOINT
        fleet.run_for(5.0)
        assert call.body.succeeded
