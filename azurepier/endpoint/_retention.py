"""What an endpoint process remembers of the tasks it was given.

The record serves resubmissions whose owner is gone: it tells which tasks of
a job were started here and what came out.
"""

import collections
import zlib

from azurepier.endpoint import _state
from azurepier import kernel
from azurepier.kernel import messages

RETAIN_S = 60.0
# Outputs kept beyond this are dropped, oldest first; the task itself stays
# on record, as possibly run.
RETAINED_BYTES_MAX = 16 * 1024 * 1024
# Job ids expire after ten minutes; no task of a job can arrive later.
FENCE_S = 660.0


def _retained(start):
    check = zlib.crc32(start.payload, zlib.crc32(start.kind.encode()))
    return _state.Retained(True, start.customer, check)


def note_started(node, start):
    """Put a started task on record; False if it already is."""
    tasks = node.jobs.setdefault(start.job_id, {})
    if start.task in tasks:
        return False
    tasks[start.task] = _retained(start)
    return True


def forget_started(node, start):
    """Remove a task that turned out not to have been started."""
    tasks = node.jobs[start.job_id]
    del tasks[start.task]
    if not tasks:
        del node.jobs[start.job_id]


def note_ended(node, start, status, output, now):
    """Record the outcome of a started task."""
    retained = node.jobs.setdefault(start.job_id, {}).setdefault(
        start.task, _retained(start)
    )
    retained.running = False
    retained.status = int(status)
    retained.output = output
    node.retained_bytes += len(output)
    node.outputs.append((start.job_id, start.task))
    node.expiries[(start.job_id, start.task)] = now + RETAIN_S
    _shrink(node)


def _shrink(node):
    while node.retained_bytes > RETAINED_BYTES_MAX:
        job_id, task = node.outputs.popleft()
        retained = node.jobs.get(job_id, {}).get(task)
        if retained is not None and retained.output:
            node.retained_bytes -= len(retained.output)
            retained.output = b''
            retained.status = int(kernel.Status.LOST)


def expire(node, now):
    """Drop records whose time is over."""
    for key in _expired(node.expiries, now):
        del node.expiries[key]
        job_id, task = key
        retained = node.jobs[job_id].pop(task)
        node.retained_bytes -= len(retained.output)
        if not node.jobs[job_id]:
            del node.jobs[job_id]
        if node.outputs and node.outputs[0] == key:
            node.outputs.popleft()
    for job_id in _expired(node.fenced, now):
        del node.fenced[job_id]


def _expired(deadlines, now):
    # Deadlines were added in order, so the first one left ends the search.
    due = collections.deque()
    for key, at in deadlines.items():
        if at > now:
            break
        due.append(key)
    return due


def fence(node, job_id, now):
    """Start nothing more of a job from now on."""
    node.fenced.pop(job_id, None)
    node.fenced[job_id] = now + FENCE_S


def reports(node, query):
    """Return the `FenceReport` messages that answer a `FenceJob`."""
    tasks = [
        messages.TaskReport(
            task=task,
            running=retained.running,
            status=retained.status,
            output=retained.output,
            check=retained.check,
        )
        for task, retained in sorted(node.jobs.get(query.job_id, {}).items())
        if retained.customer == query.customer
    ]
    parts = list(kernel.batches(tasks, _output_size)) or [[]]
    return [
        messages.FenceReport(
            query=query.query,
            job_id=query.job_id,
            tasks=part,
            more=part is not parts[-1],
        )
        for part in parts
    ]


def _output_size(report):
    return len(report.output)
