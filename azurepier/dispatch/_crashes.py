"""Tasks whose runs end with their worker.

Load pattern: a task crashes each worker that starts it, and each crash takes
the runs of other tasks with it. Without a bound, one task takes worker after
worker out of the pool for as long as its caller waits.

The count is kept by the task's name, beyond the job: a caller that leaves and
submits its job again finds it.
"""

import attrs

from azurepier.kernel import effects
from azurepier.kernel import Status

# Number of lost workers after which the starts of a task are limited, and
# number of starts that it has left then.
LOSSES_MAX = 3
STARTS_AFTER_LOSSES = 2
# Maximum number of tasks whose lost workers are remembered.
REMEMBERED_TASKS_MAX = 4096

# Reasons of ends that mean that the worker has ended, or may have.
_LOSS_REASONS = frozenset(
    {'lease_over', 'worker_restarted', 'other_worker', 'endpoint_gone'}
)
_NOT_STARTED_STATUSES = frozenset({Status.REFUSED, Status.LEAVING})


@attrs.define(eq=False)
class Record:
    """What is known of a task whose runs have ended with their worker.

    Attributes
    ----------
    workers : list of (str, str)
        Name and incarnation of the endpoint process of each lost run.
    starts_left : int or None
        Number of starts that the task has left, None if not limited.
    """

    workers: list = attrs.field(factory=list)
    starts_left: int | None = None


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
        node.crash_records.pop(run.name, None)
        return []
    if status in _NOT_STARTED_STATUSES:
        record = node.crash_records.get(run.name)
        if record is not None and record.starts_left is not None:
            record.starts_left += 1
        return []
    if reason not in _LOSS_REASONS:
        return []
    record = _remember(node, run.name)
    record.workers.append((endpoint.name, endpoint.incarnation))
    if len(record.workers) == LOSSES_MAX:
        record.starts_left = STARTS_AFTER_LOSSES
    node.count('runs_lost_with_worker')
    fields = {
        'task': run.name,
        'endpoint': endpoint.name,
        'reason': reason,
        'losses': len(record.workers),
        'starts_left': record.starts_left,
    }
    return [effects.Log('task_lost_worker', fields)]


def _remember(node, name):
    record = node.crash_records.setdefault(name, Record())
    node.crash_records.move_to_end(name)
    while len(node.crash_records) > REMEMBERED_TASKS_MAX:
        node.crash_records.popitem(last=False)
    return record


def is_given_up(node, name):
    """Tell whether a task must not be started any more."""
    record = node.crash_records.get(name)
    return record is not None and record.starts_left == 0


def give_up_event(node, task):
    """Return the effect that logs that a task is given up."""
    record = node.crash_records[task.name]
    node.count('tasks_given_up')
    fields = {
        'job_id': task.job.request.id,
        'task': task.name,
        'losses': len(record.workers),
        'endpoints': [name for name, _ in record.workers],
    }
    return effects.Log('task_given_up', fields)
