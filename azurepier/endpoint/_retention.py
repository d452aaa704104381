"""Records of the tasks that an endpoint process has started.

When a job is submitted again after its owner has failed, the records show
which of its tasks were started here and with what outcome.
"""

import collections
import zlib

from azurepier.endpoint import _state
from azurepier import kernel
from azurepier.kernel import messages

# How long the outcome of a task is retained, and the state of an entry that
# has disconnected (s).
OUTCOME_RETENTION_S = 60.0
# When the outputs exceed this total, the oldest are evicted. The record of the
# task stays, with the status LOST: the task may have run.
RETAINED_BYTES_MAX = 16 * 1024 * 1024
# How long a job stays fenced (s). Job ids expire after ten minutes, so no task
# of the job can arrive later.
FENCE_RETENTION_S = 660.0
# Number of former entry incarnations whose highest sequence number is kept,
# which proves that starts above it never arrived.
HIGHEST_SEQS_MAX = 4096


def _create_record(start):
    check = zlib.crc32(start.payload, zlib.crc32(start.kind.encode()))
    return _state.RetainedTask(True, start.customer, check)


def record_start(node, start):
    """Record the start of a task; return False if it is already recorded."""
    tasks = node.retained.setdefault(start.job_id, {})
    if start.task in tasks:
        return False
    tasks[start.task] = _create_record(start)
    return True


def discard_start(node, start):
    """Remove the record of a task that did not start after all."""
    tasks = node.retained[start.job_id]
    del tasks[start.task]
    if not tasks:
        del node.retained[start.job_id]


def record_outcome(node, start, status, output, now):
    """Record the outcome of a started task."""
    record = node.retained.setdefault(start.job_id, {}).setdefault(
        start.task, _create_record(start)
    )
    record.running = False
    record.status = int(status)
    record.output = output
    node.retained_bytes += len(output)
    node.retained_outputs.append((start.job_id, start.task))
    node.expires_at[(start.job_id, start.task)] = now + OUTCOME_RETENTION_S
    _evict_outputs(node)


def _evict_outputs(node):
    while node.retained_bytes > RETAINED_BYTES_MAX:
        job_id, task = node.retained_outputs.popleft()
        record = node.retained.get(job_id, {}).get(task)
        if record is not None and record.output:
            node.retained_bytes -= len(record.output)
            record.output = b''
            record.status = int(kernel.Status.LOST)


def expire(node, now):
    """Remove expired records and fences."""
    for key in _expired(node.expires_at, now):
        del node.expires_at[key]
        job_id, task = key
        record = node.retained[job_id].pop(task)
        node.retained_bytes -= len(record.output)
        if not node.retained[job_id]:
            del node.retained[job_id]
        if node.retained_outputs and node.retained_outputs[0] == key:
            node.retained_outputs.popleft()
    for job_id in _expired(node.fenced_until, now):
        del node.fenced_until[job_id]


def expire_links(node, now):
    """Remove the state of entries that have been disconnected for long.

    The highest sequence numbers are kept, because an entry that was suspended
    may return at any time and concludes from them what never arrived.
    """
    busy = {task.link.incarnation for task in node.running.values()}
    expired = [
        incarnation
        for incarnation, link in node.links.items()
        if link.conn is None
        and now - link.disconnected_at > OUTCOME_RETENTION_S
        and incarnation not in busy
    ]
    for incarnation in expired:
        link = node.links.pop(incarnation)
        node.highest_seqs[incarnation] = link.highest_seq
    while len(node.highest_seqs) > HIGHEST_SEQS_MAX:
        del node.highest_seqs[next(iter(node.highest_seqs))]
        node.highest_seqs_evicted = True


def take_highest_seq(node, incarnation):
    """Return the highest sequence number received from an entry.

    Returns
    -------
    int
        0 if no start ever arrived, -1 if the record may have been evicted.
    """
    unknown = -1 if node.highest_seqs_evicted else 0
    return node.highest_seqs.pop(incarnation, unknown)


def _expired(deadlines, now):
    # Deadlines are in insertion order, which is also their order in time.
    due = collections.deque()
    for key, deadline in deadlines.items():
        if deadline > now:
            break
        due.append(key)
    return due


def fence(node, job_id, now):
    """Refuse all further starts of a job."""
    node.fenced_until.pop(job_id, None)
    node.fenced_until[job_id] = now + FENCE_RETENTION_S


def fence_reports(node, query):
    """Return the `FenceReport` messages that answer a `FenceJob`."""
    tasks = [
        messages.TaskReport(
            task=task,
            running=record.running,
            status=record.status,
            output=record.output,
            check=record.check,
        )
        for task, record in sorted(node.retained.get(query.job_id, {}).items())
        if record.customer == query.customer
    ]
    batches = list(kernel.batches(tasks, _output_size)) or [[]]
    return [
        messages.FenceReport(
            query=query.query,
            job_id=query.job_id,
            tasks=batch,
            more=batch is not batches[-1],
        )
        for batch in batches
    ]


def _output_size(report):
    return len(report.output)
