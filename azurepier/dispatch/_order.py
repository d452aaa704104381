"""Order of waiting jobs, and rejection of unservable ones.

Load pattern: bursts of twice the capacity for some seconds, in which first-in,
first-out order makes almost every answer late. Started jobs come first, since
the capacity spent on them is wasted if they stay incomplete; the others follow
by their latest start. A job that can't be answered in time, be it because of
its own run time or of the work ahead of it, is rejected immediately, so that
its caller can react and the capacity goes to other jobs.
"""

import attrs

# Ratio of the expected wait to the time that the work ahead would take on all
# the cores that the entry may count on. It exceeds 1 because jobs that arrive
# later with less slack go first, and because free capacity that is too small
# for a task stays unused.
WAIT_FACTOR = 2.5
# A job that would be late by less than this is not unservable (s); covers the
# delays of messages and of the next pass.
TOLERANCE_S = 0.03
RETRY_MIN_S = 1
RETRY_MAX_S = 8


@attrs.frozen
class Supply:
    """Capacity of a pool that this entry may count on.

    Parameters
    ----------
    max_speed : float
        Speed of the fastest endpoint that accepts tasks.
    cores : float
        Number of cores, converted to speed 1.

    Notes
    -----
    `UNKNOWN_SUPPLY` is used while no endpoint is open: after a restart the
    endpoints connect within a fraction of a second, and a job may wait for
    them as long as it can still be answered in time. Its `cores` also apply
    during the warm-up.
    """

    max_speed: float
    cores: float


UNKNOWN_SUPPLY = Supply(1.0, 1e6)


def latest_start_at(job, max_speed):
    """Return the latest start time at which the job can end in time (s)."""
    return job.objective_at - job.work_s / max_speed


def waiting_work(job):
    """Return the work of the waiting tasks of a job (core-seconds)."""
    return len(job.waiting) * job.work_s * job.request.resources.cpu / 1000


def sort_jobs(jobs, max_speed, now, late_last=False):
    """Return jobs in the order in which they are served.

    Started jobs that can't be answered in time any more come last; they are
    still completed. With `late_last`, so do those that have not started.
    """

    def key(job):
        start_at = latest_start_at(job, max_speed)
        late = (job.has_started or late_last) and start_at + TOLERANCE_S < now
        return late, not job.has_started, start_at, job.request.id

    return sorted(jobs, key=key)


def find_unservable(ordered, supply, now):
    """Return the jobs that have not started and are unservable.

    Parameters
    ----------
    ordered : list of Job
        Sorted by `sort_jobs`.
    supply : Supply
    now : float

    Returns
    -------
    list of tuple of (Job, float, float)
        Each job with its expected wait and its slack (s).
    """
    work_ahead = 0.0
    unservable = []
    for job in ordered:
        slack_s = latest_start_at(job, supply.max_speed) + TOLERANCE_S - now
        wait_s = work_ahead / supply.cores
        if not job.has_started and (
            slack_s < 0 or wait_s * WAIT_FACTOR > slack_s
        ):
            unservable.append((job, wait_s, slack_s))
        else:
            work_ahead += waiting_work(job)
    return unservable


def retry_after_s(backlog_s, rng):
    """Return the time after which a rejected caller should retry (s).

    Retries are spread over twice the time that the backlog takes, so that
    they don't arrive as the next burst.
    """
    delay_s = RETRY_MIN_S + rng.uniform(0.0, 2.0 * backlog_s + 1.0)
    return min(max(round(delay_s), RETRY_MIN_S), RETRY_MAX_S)
