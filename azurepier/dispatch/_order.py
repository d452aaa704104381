"""Order of waiting jobs, and which of them are turned away.

Load pattern: bursts to twice the capacity for some seconds. First come,
first served makes almost every answer late then. Jobs that have begun come
first, since their room is lost if they stay incomplete; the others follow by
the time at which they have to start to be on time. A job that can't be on
time any more, or won't be behind what is ahead of it, is rejected at once,
so that its caller can do something else and the room goes to others.
"""

import attrs

# The wait takes this many times as long as the work ahead would take on all
# the cores that the entry may count on: jobs that arrive later with less slack
# go first, and room that a task does not fill stays empty.
WAIT_FACTOR = 2.5
# Part of the objective that a job may be expected to miss (s): the time of
# messages and of the next pass.
TOLERANCE_S = 0.03
RETRY_MIN_S = 1
RETRY_MAX_S = 8


@attrs.frozen
class Supply:
    """What a pool offers.

    Parameters
    ----------
    fastest : float
        Speed of the fastest endpoint that accepts tasks.
    rate : float
        Cores that this entry may count on, at speed 1.

    Notes
    -----
    With no endpoint connected both are taken from `UNKNOWN`: after a restart
    the endpoints connect within a fraction of a second, and a job may wait
    for them as long as it can still be in time.
    """

    fastest: float
    rate: float


UNKNOWN = Supply(1.0, 1e6)


def start_by(job, fastest):
    """Return when the job has to start to end in time (s)."""
    return job.objective_at - job.work_s / fastest


def work(job):
    """Return the work that waits (core-seconds)."""
    return len(job.waiting) * job.work_s * job.spec.needs.cpu / 1000


def in_order(jobs, fastest, now):
    """Return jobs in the order in which they are served.

    Begun jobs that can't be in time any more come last; they are finished
    all the same.
    """

    def key(job):
        at = start_by(job, fastest)
        late = job.begun and at + TOLERANCE_S < now
        return late, not job.begun, at, job.spec.id

    return sorted(jobs, key=key)


def hopeless(ordered, supply, now):
    """Return the jobs not begun that won't be answered in time.

    Each comes with the wait that is expected and the slack that it has (s).

    Parameters
    ----------
    ordered : list of Job
        In the order of `in_order`.
    supply : Supply
    now : float
    """
    ahead = 0.0
    found = []
    for job in ordered:
        slack = start_by(job, supply.fastest) + TOLERANCE_S - now
        wait = ahead / supply.rate
        if not job.begun and (slack < 0 or wait * WAIT_FACTOR > slack):
            found.append((job, wait, slack))
        else:
            ahead += work(job)
    return found


def retry_after(backlog_s, rng):
    """Return when a rejected caller should come back (s).

    The returns are spread over twice the time that the backlog takes, so
    that they don't arrive as the next burst.
    """
    at = RETRY_MIN_S + rng.uniform(0.0, 2.0 * backlog_s + 1.0)
    return min(max(round(at), RETRY_MIN_S), RETRY_MAX_S)
