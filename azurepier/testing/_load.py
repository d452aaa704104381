"""Load patterns for the dispatch to pools, on virtual time."""

import random

from azurepier.dispatch import Finished
from azurepier.dispatch import Rejected
from azurepier.testing import _pool

# A fleet has been running for so long when it is made (s).
WARM_UP_S = 2.0
# Time after the last submission in which jobs may still end (s).
TAIL_S = 20.0
# Run times (s): short tasks, usual ones, and a long one in six.
WORK_S = (0.1, 0.1, 0.35, 0.35, 0.35, 1.5)
# Declared run times are wrong by up to 40 %.
DECLARED = (0.6, 1.4)
MAX_TASKS = 6
# Objective of the response time: multiple of the run time, and addition (s).
STRETCH = 1.6
MARGIN_S = 0.06


def play(
    seconds,
    jobs_per_s,
    entry=None,
    speeds=(0.6, 1.0, 1.6),
    seed=1,
    fault=None,
    entries=3,
):
    """Submit jobs at a rate; return the fleet after all are answered.

    Parameters
    ----------
    seconds : float
        How long jobs are submitted.
    jobs_per_s : float
        Poisson arrivals.
    entry : callable, optional
        ``entry(rng)`` names the entry of a job; otherwise all by turns.
    speeds : sequence of float
        One worker of 8 cores for each.
    seed : int
    fault : callable, optional
        ``fault(fleet)`` is called between submissions.
    entries : int

    Returns
    -------
    PoolFleet
    """
    fleet = _pool.make_pool(seed=seed, speeds=speeds, entries=entries)
    fleet.driver.notes = None
    rng = random.Random(seed)
    end = fleet.driver.now + seconds
    while fleet.driver.now < end:
        work_s = rng.choice(WORK_S)
        declared_ms = round(work_s * 1000 * rng.uniform(*DECLARED))
        fleet.submit(
            work_s,
            count=rng.randint(1, MAX_TASKS),
            entry=entry and entry(rng),
            declared_ms=declared_ms,
        )
        fleet.run_for(rng.expovariate(jobs_per_s))
        if fault is not None:
            fault(fleet)
    fleet.run_for(TAIL_S)
    return fleet


def slow_down(factor, begin_s, end_s):
    """Return a fault that slows the worker `w2` down for some time."""

    def fault(fleet):
        since_s = fleet.driver.now - WARM_UP_S
        now = factor if begin_s < since_s < end_s else 1.0
        worker = fleet.workers['w2']
        if worker.factor != now:
            worker.set_factor(now)

    return fault


def lateness(fleet, call):
    """Return a call's response time over its objective, None if refused.

    A call without an answer counts until now.
    """
    if isinstance(call.body, Rejected):
        return None
    work_s, _, _ = fleet.works[call.job.spec]
    due_s = STRETCH * work_s + MARGIN_S
    end = fleet.driver.now if call.body is None else call.answered_at
    return (end - call.sent_at) / due_s


def in_time(fleet):
    """Return the share of the jobs that were answered by their objective."""
    done = [call for call in fleet.calls if call.body == Finished(True)]
    good = sum(lateness(fleet, call) <= 1.0 for call in done)
    return good / len(fleet.calls)


def late(fleet):
    """Return the number of jobs that were done too late."""
    done = sum(call.body == Finished(True) for call in fleet.calls)
    return done - round(in_time(fleet) * len(fleet.calls))


def refused(fleet):
    """Return the number of jobs that were turned away."""
    return sum(isinstance(call.body, Rejected) for call in fleet.calls)
