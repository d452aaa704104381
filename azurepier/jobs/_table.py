"""Jobs that an entry owns, their ids and the answers it retains."""

import attrs

from azurepier import kernel
from azurepier.queueing import WaitingJob

# Job ids are accepted for this long after they were issued. Every id that
# was used stays on record until then, so that nothing starts twice under it.
ID_VALIDITY_S = 600
# Answers are kept for resubmissions for this long after the job's end.
RETAIN_S = 60.0
# Payloads and answers together; new jobs are refused beyond it.
BYTES_MAX = 64 * 1024 * 1024
# Records of used ids whose answers are gone, about 100 bytes each.
TOMBSTONES_MAX = 300_000
# Measured by benchmarks/bench_capacity.py for a retained answer.
JOB_OVERHEAD_BYTES = 2600
OUTPUT_OVERHEAD_BYTES = 100
_TOMBSTONE_BUCKET_S = 60


@attrs.define
class Job:
    """One submission.

    `open` maps the numbers of tasks that were sent to an endpoint to their
    `OpenStart`. `exposed` is true once a task may have run.
    """

    id: str
    number: int
    spec: kernel.JobSpec
    submitted_at: float
    deadline_at: float
    waiting: WaitingJob
    outputs: list
    tasks_left: int
    bytes: int
    output_bytes: int = 0
    open: dict = attrs.field(factory=dict)
    waiters: list = attrs.field(factory=list)
    may_have_run: bool = False
    answer: object = None
    ended_at: float = 0.0


@attrs.define
class Table:
    """All jobs of one entry incarnation by id."""

    incarnation: str
    secret: bytes
    next_number: int = 1
    jobs: dict = attrs.field(factory=dict)
    ended: dict = attrs.field(factory=dict)  # id -> time to drop the answer
    bytes: int = 0
    tombstones: dict = attrs.field(factory=dict)  # bucket -> number -> type
    tombstone_count: int = 0
    unfinished: int = 0


def issue_ids(table, count, now):
    """Return a block of new job ids."""
    expires_at = int(now) + ID_VALIDITY_S
    first = table.next_number
    table.next_number += count
    return tuple(
        kernel.ids.make(table.incarnation, expires_at, number, table.secret)
        for number in range(first, first + count)
    )


def find_tombstone(table, parts):
    """Return why a used id has no job any more, or None."""
    bucket = table.tombstones.get(parts.expires_at // _TOMBSTONE_BUCKET_S)
    return bucket.get(parts.number) if bucket else None


def add_tombstone(table, parts, reason):
    """Record that an id was used and must not be used again."""
    bucket = table.tombstones.setdefault(
        parts.expires_at // _TOMBSTONE_BUCKET_S, {}
    )
    if parts.number not in bucket:
        table.tombstone_count += 1
    bucket[parts.number] = reason


def is_expired(parts, now):
    """Tell whether an id may no longer be used for a new job."""
    return now >= parts.expires_at


def is_full(table, extra_bytes):
    """Tell whether a job of `extra_bytes` must be refused."""
    return (
        table.bytes + extra_bytes > BYTES_MAX
        or table.tombstone_count >= TOMBSTONES_MAX
    )


def spec_bytes(spec):
    """Return the memory that a submission takes, in bytes."""
    payloads = sum(len(task.payload) for task in spec.tasks)
    return JOB_OVERHEAD_BYTES + payloads + 200 * len(spec.tasks)


def add(table, job):
    """Put a new job into the table."""
    table.jobs[job.id] = job
    table.bytes += job.bytes
    table.unfinished += 1


def store_output(table, job, task, output):
    """Store the output of a task that is done."""
    job.outputs[task] = output
    job.tasks_left -= 1
    job.output_bytes += len(output)
    job.bytes += len(output) + OUTPUT_OVERHEAD_BYTES
    table.bytes += len(output) + OUTPUT_OVERHEAD_BYTES


def end(table, job, answer, now):
    """Give a job its final answer and release its payloads."""
    job.answer = answer
    job.ended_at = now
    kept = JOB_OVERHEAD_BYTES
    if isinstance(answer, kernel.Complete):
        kept += sum(
            len(output) + OUTPUT_OVERHEAD_BYTES for output in answer.outputs
        )
    table.bytes += kept - job.bytes
    job.bytes = kept
    job.spec = attrs.evolve(job.spec, tasks=())
    job.outputs = []
    table.ended[job.id] = now + RETAIN_S
    table.unfinished -= 1


def expire(table, now):
    """Drop answers and records whose time is over."""
    due = []
    for job_id, at in table.ended.items():
        if at > now:
            break
        due.append(job_id)
    for job_id in due:
        del table.ended[job_id]
        job = table.jobs.pop(job_id)
        table.bytes -= job.bytes
        add_tombstone(table, kernel.ids.parse(job_id), 'expired')
    limit = int(now) // _TOMBSTONE_BUCKET_S - 1
    for bucket in [b for b in table.tombstones if b < limit]:
        table.tombstone_count -= len(table.tombstones.pop(bucket))


def verdict(job):
    """Return what is known of an unfinished job's work."""
    if job.may_have_run or job.open:
        return kernel.Verdict.MAY_HAVE_RUN
    return kernel.Verdict.NOT_RUN
