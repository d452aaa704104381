"""Tables of the outcomes of jobs."""

import collections

OUTCOMES = ('in time', 'late', 'refused', 'failed', 'abandoned')


def _count_outcomes(jobs):
    counts = collections.Counter(job.outcome for job in jobs)
    return [len(jobs), *(counts[outcome] for outcome in OUTCOMES)]


def _group_jobs(jobs, key):
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[key(job)].append(job)
    return groups


def count_by(jobs, key):
    """Count the outcomes of jobs by group.

    Parameters
    ----------
    jobs : list of EndedJob
    key : callable
        Returns the group of a job.

    Returns
    -------
    list of list
        For each group in sorted order, the group, the number of its jobs and
        the number of jobs with each of `OUTCOMES`.
    """
    groups = _group_jobs(jobs, key)
    return [
        [name, *_count_outcomes(group)]
        for name, group in sorted(groups.items())
    ]


def count_causes(jobs):
    """Count jobs by queue, outcome and cause.

    Returns
    -------
    list of list
        Queue, outcome, cause and number of jobs, by descending number. Jobs
        without a cause are left out.
    """
    counts = collections.Counter(
        (job.queue, job.outcome, job.cause) for job in jobs if job.cause
    )
    return [[*key, count] for key, count in counts.most_common()]


def count_by_window(jobs, window_s):
    """Count the outcomes of jobs by time window of arrival.

    Parameters
    ----------
    jobs : list of EndedJob
        In order of arrival.
    window_s : float
        Length of the windows.

    Returns
    -------
    list of list
        As `count_by`; the group is the start of the window (s since the
        first arrival).
    """
    if not jobs:
        return []
    first_received_at = jobs[0].received_at
    return count_by(
        jobs,
        lambda job: int(
            (job.received_at - first_received_at) // window_s * window_s
        ),
    )


def slowest_jobs(jobs, count):
    """Return the late jobs that exceeded their objective the most.

    Parameters
    ----------
    jobs : list of EndedJob
    count : int

    Returns
    -------
    list of EndedJob
        At most `count` jobs, by descending excess.
    """
    late_jobs = [job for job in jobs if job.outcome == 'late']
    return sorted(late_jobs, key=lambda job: job.objective_ms - job.ms)[:count]
