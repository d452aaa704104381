"""Outcome and cause of each job, from the logs of the entries of pools."""

import collections
import datetime
import json

import attrs

# A late job is attributed to waiting if its first or last task started later
# than this share of its slack, the objective minus the work.
LATE_START_SHARE = 0.5
_END_EVENTS = frozenset({'job_ended', 'job_rejected', 'job_abandoned'})
MS_PER_S = 1000


@attrs.frozen
class EndedJob:
    """A job that has ended, with its outcome.

    Parameters
    ----------
    job_id : str
    queue : str
    process : str
        Name of the entry.
    received_at : float
        Time of arrival (s since 1970).
    ms : int
        Time from arrival to the end.
    objective_ms : int
        Time within which the job should end; 0 if it is unknown.
    outcome : str
        ``in time``, ``late``, ``refused``, ``failed`` or ``abandoned``.
    cause : str
        Cause of any outcome but ``in time``, otherwise empty.
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
    """Log records of all entries that concern jobs.

    Attributes
    ----------
    end_records : list of dict
        Records of the ends of jobs.
    moved_runs : Counter
        Number of moved runs by job id.
    not_done_reasons : dict of Counter
        Number of runs that did not complete, by job id and reason.
    unparsed_lines : int
        Number of lines that are not valid JSON.
    """

    end_records: list = attrs.field(factory=list)
    moved_runs: collections.Counter = attrs.field(factory=collections.Counter)
    not_done_reasons: dict = attrs.field(factory=dict)
    unparsed_lines: int = 0


def _parse_time(text):
    return datetime.datetime.fromisoformat(text).timestamp()


def _job_id_of_task(task):
    return task.partition('.')[0]


def read_log(lines):
    """Collect the records that concern jobs.

    Parameters
    ----------
    lines : iterable of str
        Lines of logs. Each has a JSON object; text before the first brace is
        ignored, and so are lines without a brace.

    Returns
    -------
    Log
    """
    log = Log()
    for line in lines:
        start = line.find('{')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            log.unparsed_lines += 1
            continue
        event = fields.get('event')
        if event in _END_EVENTS:
            log.end_records.append(fields)
        elif event == 'run_moved':
            log.moved_runs[_job_id_of_task(fields['task'])] += 1
        elif event == 'run_not_done':
            reasons = log.not_done_reasons.setdefault(
                _job_id_of_task(fields['task']), collections.Counter()
            )
            reasons[f'{fields["status"]}: {fields["reason"]}'] += 1
    return log


def _find_late_cause(log, fields):
    job_id = fields['job_id']
    if log.moved_runs[job_id]:
        return 'a run was moved'
    if job_id in log.not_done_reasons:
        (reason, _), *_ = log.not_done_reasons[job_id].most_common(1)
        return f'a run did not complete ({reason})'
    work_ms = fields['work_ms'] or fields['declared_ms']
    slack_ms = max(fields['objective_ms'] - work_ms, 1)
    for key, cause in (
        ('first_start_ms', 'the first task waited'),
        ('last_start_ms', 'the last task waited'),
    ):
        if (fields[key] or 0) > LATE_START_SHARE * slack_ms:
            return cause
    return 'its runs took too long'


def _classify_rejected(log, fields):
    return 'refused', fields['reason']


def _classify_abandoned(log, fields):
    return 'abandoned', 'the caller disconnected'


def _classify_ended(log, fields):
    if fields['outcome'] != 'succeeded':
        return 'failed', 'a task failed'
    if fields['ms'] <= fields['objective_ms']:
        return 'in time', ''
    return 'late', _find_late_cause(log, fields)


_CLASSIFIERS = {
    'job_ended': _classify_ended,
    'job_rejected': _classify_rejected,
    'job_abandoned': _classify_abandoned,
}


def classify_jobs(log):
    """Return an `EndedJob` for each job, in order of arrival."""
    ended_jobs = []
    for fields in log.end_records:
        outcome, cause = _CLASSIFIERS[fields['event']](log, fields)
        ended_jobs.append(
            EndedJob(
                job_id=fields['job_id'],
                queue=fields['queue'],
                process=fields['process'],
                received_at=_parse_time(fields['time'])
                - fields['ms'] / MS_PER_S,
                ms=fields['ms'],
                objective_ms=fields.get('objective_ms', 0),
                outcome=outcome,
                cause=cause,
            )
        )
    return sorted(ended_jobs, key=lambda job: job.received_at)
