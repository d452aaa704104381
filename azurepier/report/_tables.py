"""Tables of what became of jobs."""

import collections

OUTCOMES = ('in time', 'late', 'refused', 'failed', 'abandoned')


def _counts(jobs):
    found = collections.Counter(job.outcome for job in jobs)
    return [len(jobs), *(found[outcome] for outcome in OUTCOMES)]


def _grouped(jobs, key):
    groups = collections.defaultdict(list)
    for job in jobs:
        groups[key(job)].append(job)
    return groups


def by(jobs, key):
    """Return rows of a group's name, its jobs and their outcomes.

    Parameters
    ----------
    jobs : list of Ended
    key : callable
        Group of a job.
    """
    groups = _grouped(jobs, key)
    return [[name, *_counts(rows)] for name, rows in sorted(groups.items())]


def causes(jobs):
    """Return rows of queue, outcome, cause and jobs, the most first."""
    found = collections.Counter(
        (job.queue, job.outcome, job.cause) for job in jobs if job.cause
    )
    return [[*name, count] for name, count in found.most_common()]


def windows(jobs, seconds):
    """Return rows of begin (s since the first job), jobs and outcomes."""
    if not jobs:
        return []
    first = jobs[0].received_at
    return by(
        jobs, lambda job: int((job.received_at - first) // seconds * seconds)
    )


def slowest(jobs, count):
    """Return the jobs that took longest over their objective."""
    late = [job for job in jobs if job.outcome == 'late']
    return sorted(late, key=lambda job: job.objective_ms - job.ms)[:count]
