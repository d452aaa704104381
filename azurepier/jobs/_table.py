"""Jobs owned by an entry, their ids and the retained answers."""

import attrs

from azurepier import kernel
from azurepier.queueing import WaitingJob

# Job ids are valid for this time after they are issued. A used id is recorded
# until it expires, so that no second job starts under it.
ID_VALIDITY_S = 600
# Answers are retained for resubmissions for this time after the job's end.
ANSWER_RETENTION_S = 60.0
# Limit of payloads and answers together; new jobs are refused beyond it.
BYTES_MAX = 64 * 1024 * 1024
# A tombstone records a used id that has no job, because its answer has expired
# or the job was refused; it takes about 100 bytes.
TOMBSTONES_MAX = 300_000
# Memory of a retained answer, measured by benchmarks/bench_capacity.py.
JOB_OVERHEAD_BYTES = 2600
OUTPUT_OVERHEAD_BYTES = 100
_TOMBSTONE_BUCKET_S = 60


@attrs.define
class Job:
    """One submitted job.

    `open_starts` holds the `OpenStart` by task number of the tasks that were
    sent to an endpoint and have not ended. `may_have_run` is true once a task
    may have run.
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
    open_starts: dict = attrs.field(factory=dict)
    waiters: list = attrs.field(factory=list)
    may_have_run: bool = False
    answer: object = None
    ended_at: float = 0.0


@attrs.define
class Table:
    """Jobs of one entry incarnation, by id.

    `bytes` is the memory of all payloads and retained answers.
    """

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
    """Issue `count` new job ids."""
    expires_at = int(now) + ID_VALIDITY_S
    first = table.next_number
    table.next_number += count
    return tuple(
        kernel.ids.make(table.incarnation, expires_at, number, table.secret)
        for number in range(first, first + count)
    )


def find_tombstone(table, parsed_id):
    """Return the reason why a used id has no job, or None."""
    bucket = table.tombstones.get(parsed_id.expires_at // _TOMBSTONE_BUCKET_S)
    return bucket.get(parsed_id.number) if bucket else None


def add_tombstone(table, parsed_id, reason):
    """Record that an id was used, with the reason why it has no job."""
    bucket = table.tombstones.setdefault(
        parsed_id.expires_at // _TOMBSTONE_BUCKET_S, {}
    )
    if parsed_id.number not in bucket:
        table.tombstone_count += 1
    bucket[parsed_id.number] = reason


def is_expired(parsed_id, now):
    """Return whether an id is too old for a new job."""
    return now >= parsed_id.expires_at


def is_full(table, extra_bytes):
    """Return whether there is no memory for a job of `extra_bytes`."""
    return (
        table.bytes + extra_bytes > BYTES_MAX
        or table.tombstone_count >= TOMBSTONES_MAX
    )


def spec_bytes(spec):
    """Return the memory that a submission takes, in bytes."""
    payload_bytes = sum(len(task.payload) for task in spec.tasks)
    return JOB_OVERHEAD_BYTES + payload_bytes + 200 * len(spec.tasks)


def add(table, job):
    """Add a new job."""
    table.jobs[job.id] = job
    table.bytes += job.bytes
    table.unfinished += 1


def store_output(table, job, task, output):
    """Store the output of a successful task."""
    job.outputs[task] = output
    job.tasks_left -= 1
    job.output_bytes += len(output)
    job.bytes += len(output) + OUTPUT_OVERHEAD_BYTES
    table.bytes += len(output) + OUTPUT_OVERHEAD_BYTES


def end(table, job, answer, now):
    """Set the final answer of a job and release its payloads."""
    job.answer = answer
    job.ended_at = now
    retained_bytes = JOB_OVERHEAD_BYTES
    if isinstance(answer, kernel.Complete):
        retained_bytes += sum(
            len(output) + OUTPUT_OVERHEAD_BYTES for output in answer.outputs
        )
    table.bytes += retained_bytes - job.bytes
    job.bytes = retained_bytes
    job.spec = attrs.evolve(job.spec, tasks=())
    job.outputs = []
    table.ended[job.id] = now + ANSWER_RETENTION_S
    table.unfinished -= 1


def expire(table, now):
    """Replace expired answers by tombstones and drop expired tombstones."""
    expired = []
    for job_id, expires_at in table.ended.items():
        if expires_at > now:
            break
        expired.append(job_id)
    for job_id in expired:
        del table.ended[job_id]
        job = table.jobs.pop(job_id)
        table.bytes -= job.bytes
        add_tombstone(table, kernel.ids.parse(job_id), 'expired')
    oldest_bucket = int(now) // _TOMBSTONE_BUCKET_S - 1
    for bucket in [b for b in table.tombstones if b < oldest_bucket]:
        table.tombstone_count -= len(table.tombstones.pop(bucket))


def verdict(job):
    """Return the `Verdict` on the work of an unfinished job."""
    if job.may_have_run or job.open_starts:
        return kernel.Verdict.MAY_HAVE_RUN
    return kernel.Verdict.NOT_RUN
