"""Tasks whose runs end with their worker.

Load pattern: a task crashes each worker that starts it, and each crash takes
the runs of other tasks with it. Without a bound, one task takes worker after
worker out of the pool for as long as its caller waits.

After a crash, an endpoint process names the tasks that may be the cause.
These are started apart from each other, on the workers with the least to
lose, and at most half of the pool's workers are used for them at a time. A
task under which a worker crashes while it is started alone is the cause, and
is given up; one that only shared its workers is not. A task that has lost
three workers without being found the cause has two starts left, for which it
has a worker to itself. A worker that only didn't answer until its lease was
over may not have crashed: that loss keeps the task apart and doesn't limit it.

The count is kept by the task's name, beyond the job: a caller that leaves and
submits its job again finds it.
"""

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _placement
from azurepier.kernel import effects
from azurepier.kernel import Status

# Number of starts that a task has left after `LOSSES_MAX` lost workers.
STARTS_AFTER_LOSSES = 2
# Number of lost workers from which a task is kept apart from suspect ones even
# if it isn't suspect itself, so that they don't use up its starts.
KEPT_APART_LOSSES = 2
# Share of the open endpoints that may have suspect tasks at a time.
SUSPECT_ENDPOINTS_SHARE = 0.5
# Relative random change of an endpoint's use, so that entries choose different
# ones for their suspect tasks.
CHOICE_JITTER = 0.3
# Maximum number of tasks whose lost workers are remembered.
REMEMBERED_TASKS_MAX = 4096

# Reasons of ends that mean that the worker has ended. An endpoint process that
# doesn't return to this entry may only be cut off from it.
_LOSS_REASONS = frozenset(
    {
        'crash_suspect',
        'crash_cause',
        'lease_over',
        'worker_restarted',
        'other_worker',
        'worker_down',
    }
)
# Refusals by which an endpoint process tells of a loss that another entry saw.
_TOLD_REASONS = frozenset(
    {'crash_suspect_here', 'crash_cause_here', 'lost_here', 'silent_here'}
)
# Losses that don't show a crash.
_SILENT_REASONS = frozenset({'lease_over', 'silent_here'})
_CAUSE_REASONS = frozenset({'crash_cause', 'crash_cause_here'})
_SUSPECT_REASONS = _CAUSE_REASONS | {'crash_suspect', 'crash_suspect_here'}
_NOT_STARTED_STATUSES = frozenset({Status.REFUSED, Status.LEAVING})


@attrs.define(eq=False)
class Record:
    """What is known of a task whose runs have ended with their worker.

    Attributes
    ----------
    workers : list of (str, str)
        Name and incarnation of the endpoint process of each lost run.
    crashes : int
        Number of lost workers that had crashed or were replaced.
    suspicions : int
        Number of crashes of which the task was named as the possible cause.
    is_cause : bool
        Whether a worker has crashed while the task was started alone.
    starts_left : int or None
        Number of starts that the task has left, None if not limited.
    """

    workers: list = attrs.field(factory=list)
    crashes: int = 0
    suspicions: int = 0
    is_cause: bool = False
    starts_left: int | None = None


def suspicion(node, name):
    """Return how carefully a task has to be started.

    Returns
    -------
    int
        0 as any other task, 1 or more apart from others like it, `LOSSES_MAX`
        alone for its whole run.
    """
    record = node.crash_records.get(name)
    if record is None:
        return 0
    if record.starts_left is not None:
        return _bounds.LOSSES_MAX
    losses = len(record.workers)
    if record.suspicions or losses >= KEPT_APART_LOSSES:
        return min(losses, _bounds.LOSSES_MAX - 1)
    return 0


def choose_apart(node, open_endpoints, job):
    """Return the endpoints for the next task of a job, which is suspect.

    Parameters
    ----------
    node : Entry
    open_endpoints : list of Endpoint
        Those of the job's pool.
    job : Job

    Returns
    -------
    list of Endpoint
        The least used one that has no suspect task, if any.
    """
    used = [
        endpoint
        for endpoint in open_endpoints
        if any(run.is_suspect for run in endpoint.runs.values())
    ]
    limit = max(len(open_endpoints) * SUSPECT_ENDPOINTS_SHARE, 1)
    if len(used) + 1 > limit:
        return []
    candidates = [
        endpoint
        for endpoint in _placement.find_candidates(open_endpoints, job)
        if endpoint not in used
    ]

    def use(endpoint):
        free_share = endpoint.free_cpu / max(endpoint.cpu, 1)
        jitter = CHOICE_JITTER * node.rng.random()
        return (1.0 - free_share) * (1.0 + jitter) + 0.01 * jitter

    return sorted(candidates, key=use)[:1]


def record_start(node, name):
    """Count a start of a task against its limit."""
    record = node.crash_records.get(name)
    if record is not None and record.starts_left is not None:
        record.starts_left -= 1


def record_end(node, endpoint, run, status, reason, now):
    """Update what is known of a task after the end of a run.

    Returns
    -------
    list
        Effects that log a change.
    """
    if status is Status.DONE:
        return _clear(node, endpoint, run.name)
    if status in _NOT_STARTED_STATUSES:
        record = node.crash_records.get(run.name)
        if record is not None and record.starts_left is not None:
            record.starts_left += 1
        if reason not in _TOLD_REASONS:
            return []
        if run.task is not None:
            run.task.job.started_before = True
    elif reason not in _LOSS_REASONS:
        return []
    record = _remember(node, run.name)
    record.workers.append((endpoint.name, endpoint.incarnation))
    if reason in _SUSPECT_REASONS:
        record.suspicions += 1
    if reason in _CAUSE_REASONS:
        record.is_cause = True
    if reason not in _SILENT_REASONS:
        record.crashes += 1
        if record.crashes == _bounds.LOSSES_MAX:
            record.starts_left = STARTS_AFTER_LOSSES
    node.count('runs_lost_with_worker')
    fields = {
        'task': run.name,
        'endpoint': endpoint.name,
        'reason': reason,
        'losses': len(record.workers),
        'crashes': record.crashes,
        'suspicions': record.suspicions,
        'is_cause': record.is_cause,
        'starts_left': record.starts_left,
    }
    return [effects.Log('task_lost_worker', fields)]


def _clear(node, endpoint, name):
    record = node.crash_records.pop(name, None)
    if record is None:
        return []
    node.count('tasks_cleared')
    fields = {
        'task': name,
        'endpoint': endpoint.name,
        'losses': len(record.workers),
        'suspicions': record.suspicions,
    }
    return [effects.Log('task_cleared', fields)]


def _remember(node, name):
    record = node.crash_records.setdefault(name, Record())
    node.crash_records.move_to_end(name)
    while len(node.crash_records) > REMEMBERED_TASKS_MAX:
        node.crash_records.popitem(last=False)
    return record


def is_given_up(node, name):
    """Tell whether a task must not be started any more."""
    record = node.crash_records.get(name)
    return record is not None and (record.is_cause or record.starts_left == 0)


def give_up_event(node, task):
    """Return the effect that logs that a task is given up."""
    record = node.crash_records[task.name]
    node.count('tasks_given_up')
    fields = {
        'job_id': task.job.request.id,
        'task': task.name,
        'losses': len(record.workers),
        'crashes': record.crashes,
        'suspicions': record.suspicions,
        'is_cause': record.is_cause,
        'endpoints': [name for name, _ in record.workers],
    }
    return effects.Log('task_given_up', fields)
