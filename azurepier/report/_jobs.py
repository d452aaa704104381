"""What became of each job, by the log lines of the entries of pools."""

import collections
import datetime
import json

import attrs

# A job whose start used this part of the time that it could wait is late
# because it waited.
WAITED_SHARE = 0.5
_ENDS = frozenset({'job_ended', 'job_rejected', 'job_abandoned'})
MS_PER_S = 1000


@attrs.frozen
class Ended:
    """A job that has ended.

    Parameters
    ----------
    job_id, queue, process : str
    received_at : float
        Time of arrival (s since 1970).
    ms, objective_ms : int
    outcome : str
        ``in time``, ``late``, ``refused``, ``failed`` or ``abandoned``.
    cause : str
        Why it was not in time; empty if it was.
    """

    job_id: str
    queue: str
    process: str
    received_at: float
    ms: int
    objective_ms: int
    outcome: str
    cause: str


@attrs.define
class Log:
    """Lines of all entries, as far as they tell of jobs.

    Attributes
    ----------
    unread : int
        Lines that are no JSON objects.
    """

    ends: list = attrs.field(factory=list)
    moved: collections.Counter = attrs.field(factory=collections.Counter)
    not_done: dict = attrs.field(factory=dict)
    unread: int = 0


def _time(text):
    return datetime.datetime.fromisoformat(text).timestamp()


def _job_of(task):
    return task.partition('.')[0]


def read(lines):
    """Return what the lines of a log say of jobs.

    Parameters
    ----------
    lines : iterable of str
        JSON objects; text before the first brace of a line is passed over.
    """
    log = Log()
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            log.unread += 1
            continue
        event = fields.get('event')
        if event in _ENDS:
            log.ends.append(fields)
        elif event == 'run_moved':
            log.moved[_job_of(fields['task'])] += 1
        elif event == 'run_not_done':
            reasons = log.not_done.setdefault(
                _job_of(fields['task']), collections.Counter()
            )
            reasons[f'{fields["status"]}: {fields["reason"]}'] += 1
    return log


def _late_cause(log, fields):
    job_id = fields['job_id']
    if log.moved[job_id]:
        return 'a run was moved'
    if job_id in log.not_done:
        (reason, _), *_ = log.not_done[job_id].most_common(1)
        return f'a run ended {reason}'
    work_ms = fields['work_ms'] or fields['declared_ms']
    could_wait_ms = max(fields['objective_ms'] - work_ms, 1)
    for key, cause in (
        ('first_start_ms', 'the first task waited'),
        ('last_start_ms', 'the last task waited'),
    ):
        if (fields[key] or 0) > WAITED_SHARE * could_wait_ms:
            return cause
    return 'its runs took long'


def _rejected(log, fields):
    return 'refused', fields['reason']


def _abandoned(log, fields):
    return 'abandoned', 'the caller left'


def _ended(log, fields):
    if fields['outcome'] != 'succeeded':
        return 'failed', 'a task failed'
    if fields['ms'] <= fields['objective_ms']:
        return 'in time', ''
    return 'late', _late_cause(log, fields)


_OUTCOMES = {
    'job_ended': _ended,
    'job_rejected': _rejected,
    'job_abandoned': _abandoned,
}


def jobs(log):
    """Return what became of all jobs, in order of arrival."""
    found = []
    for fields in log.ends:
        outcome, cause = _OUTCOMES[fields['event']](log, fields)
        found.append(
            Ended(
                job_id=fields['job_id'],
                queue=fields['queue'],
                process=fields['process'],
                received_at=_time(fields['time']) - fields['ms'] / MS_PER_S,
                ms=fields['ms'],
                objective_ms=fields.get('objective_ms', 0),
                outcome=outcome,
                cause=cause,
            )
        )
    return sorted(found, key=lambda job: job.received_at)
