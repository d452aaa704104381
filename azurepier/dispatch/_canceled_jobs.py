"""Records of canceled jobs at entries and endpoint processes.

The records are a dict of job ids with the time of the cancel (s), the oldest
first. A process passes a new one on, and all of them on a new connection.
"""

from azurepier.kernel import messages

MS_PER_S = 1000
# Canceled jobs are remembered this long (s); callers submit a job again for
# up to 40 s.
RETENTION_S = 60.0
# Maximum number of canceled jobs that are remembered, and of those in one
# message; their ids have up to 64 characters.
REMEMBERED_MAX = 20_000
MESSAGE_JOBS_MAX = 1000


def is_canceled(records, job_id, now):
    """Tell whether a job was canceled."""
    canceled_at = records.get(job_id)
    return canceled_at is not None and now - canceled_at < RETENTION_S


def remember(records, job_id, at, now):
    """Add a job that was canceled at the time `at`, and remove old records."""
    records[job_id] = at
    records.move_to_end(job_id)
    while (
        next(iter(records.values())) < now - RETENTION_S
        or len(records) > REMEMBERED_MAX
    ):
        records.popitem(last=False)


def find_new(records, msg, now):
    """Yield the jobs in a message that aren't known, with their times (s)."""
    for canceled in msg.canceled or ():
        at = now - max(canceled.age_ms, 0) / MS_PER_S
        is_known = is_canceled(records, canceled.job_id, now)
        if not is_known and now - at < RETENTION_S:
            yield canceled.job_id, at


def make_batches(records, job_ids, now):
    """Return the contents of messages with these jobs, as far as recorded."""
    current = [each for each in job_ids if is_canceled(records, each, now)]
    return [
        [
            messages.CanceledJob(
                job_id=job_id,
                age_ms=round((now - records[job_id]) * MS_PER_S),
            )
            for job_id in current[first : first + MESSAGE_JOBS_MAX]
        ]
        for first in range(0, len(current), MESSAGE_JOBS_MAX)
    ]
