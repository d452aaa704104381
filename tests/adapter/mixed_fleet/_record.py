"""What callers and workers see, and the rules that it must keep."""

import collections
import time

import attrs

# Time after a job's answer from which on none of its tasks may start (s).
START_AFTER_ANSWER_S = 1.0


@attrs.define(eq=False)
class Job:
    """A submitted job.

    Attributes
    ----------
    phase : str
        Builds that ran when it was first sent: 'old', 'mixed' or 'new'.
    attempts : list of str
        How each attempt ended: the status, or 'broken'.
    outcome : str
        '' until the last answer.
    """

    id: str
    count: int
    phase: str
    sent_at: float
    attempts: list = attrs.field(factory=list)
    outcome: str = ''
    answered_at: float | None = None


@attrs.define(eq=False)
class Record:
    """Jobs, runs and violations of one run of the fleet.

    Attributes
    ----------
    phase : str
    jobs : dict
        `Job` by id.
    running : dict
        Set of (worker, run number) by task.
    start_counts, end_counts : collections.Counter
        By task, and by (task, how it ended).
    ended : collections.Counter
        Ended runs by how they ended.
    broken : collections.Counter
        Attempts without an answer, by the signal that had ended the entry.
    violations : list of str
    """

    phase: str = 'old'
    started_at: float = attrs.field(factory=time.monotonic)
    jobs: dict = attrs.field(factory=dict)
    running: dict = attrs.field(factory=lambda: collections.defaultdict(set))
    start_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    end_counts: collections.Counter = attrs.field(factory=collections.Counter)
    ended: collections.Counter = attrs.field(factory=collections.Counter)
    broken: collections.Counter = attrs.field(factory=collections.Counter)
    violations: list = attrs.field(factory=list)


def violate(record, rule, detail):
    """Add a violation."""
    at = time.monotonic() - record.started_at
    record.violations.append(f'{at:.2f} s {record.phase} {rule}: {detail}')


def on_start(record, worker, task, number):
    """Check and note the start of a run."""
    job = record.jobs.get(task.partition('.')[0])
    now = time.monotonic()
    if job is None:
        violate(record, 'unasked', f'{task} started on {worker}')
    elif (
        job.answered_at is not None
        and now > job.answered_at + START_AFTER_ANSWER_S
    ):
        violate(
            record,
            'start_after_answer',
            f'{task} started on {worker} {now - job.answered_at:.2f} s after'
            f' {job.outcome}',
        )
    if record.running[task]:
        violate(
            record,
            'twice',
            f'{task} run {number} started on {worker} beside'
            f' {sorted(record.running[task])}',
        )
    record.running[task].add((worker, number))
    record.start_counts[task] += 1


def on_end(record, worker, task, number, how):
    """Note the end of a run."""
    record.running[task].discard((worker, number))
    record.end_counts[task, how] += 1
    record.ended[how] += 1


def on_answer(record, job, outcome):
    """Check and note the answer to a job's last attempt."""
    job.outcome = outcome
    job.answered_at = time.monotonic()
    if outcome == 'succeeded':
        unfinished = [
            task
            for task in task_names(job)
            if not record.end_counts[task, 'done']
        ]
        if unfinished:
            violate(record, 'not_done', f'{job.id} succeeded: {unfinished}')
    elif outcome not in ('refused', 'evacuated'):
        # No task fails as often as the configuration allows.
        violate(record, 'answer', f'{job.id} {outcome} after {job.attempts}')


def task_names(job):
    """Return the names of a job's tasks."""
    return [f'{job.id}.0.0.{index}' for index in range(job.count)]


def check_end(record):
    """Check what can be known only after the last job."""
    for job in record.jobs.values():
        if not job.outcome:
            violate(record, 'unanswered', f'{job.id} after {job.attempts}')
        if set(job.attempts) <= {'503', '429'}:
            started = [t for t in task_names(job) if record.start_counts[t]]
            if started:
                violate(record, 'refused', f'{job.id} ran: {started}')
    left = [task for task, runs in record.running.items() if runs]
    if left:
        violate(record, 'left_running', f'{left}')
