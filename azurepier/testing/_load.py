"""Simulated load for the dispatch to pools, on virtual time."""

import random

from azurepier.dispatch import Finished
from azurepier.dispatch import Rejected
from azurepier.testing import _pool

# Virtual time at which `make_pool` returns a fleet (s).
WARM_UP_S = 2.0
# Simulated time after the last submission, in which open jobs can end (s).
TAIL_S = 20.0
# Run times of tasks (s), drawn uniformly: 1/3 short, 1/2 medium, 1/6 long.
RUN_TIMES_S = (0.1, 0.1, 0.35, 0.35, 0.35, 1.5)
# Declared over actual run time; declarations are off by up to 40 %.
DECLARED_FACTORS = (0.6, 1.4)
TASKS_MAX = 6
# The objective of the response time is STRETCH * run time + MARGIN_S (s).
STRETCH = 1.6
MARGIN_S = 0.06


def run_load(
    seconds,
    jobs_per_s,
    entry=None,
    speeds=(0.6, 1.0, 1.6),
    seed=1,
    fault=None,
    entries=3,
):
    """Submit jobs at a rate and return the fleet after `TAIL_S` more seconds.

    Parameters
    ----------
    seconds : float
        Duration of the submissions (s).
    jobs_per_s : float
        Mean rate of the Poisson arrivals.
    entry : callable, optional
        ``entry(rng)`` returns the entry name for a job; by default, entries
        take turns.
    speeds : sequence of float
        Speeds of the workers, which have 8 cores each.
    seed : int
    fault : callable, optional
        ``fault(fleet)`` is called after each submission.
    entries : int

    Returns
    -------
    PoolFleet
    """
    fleet = _pool.make_pool(seed=seed, speeds=speeds, entries=entries)
    fleet.driver.log_effects = None
    rng = random.Random(seed)
    end = fleet.driver.now + seconds
    while fleet.driver.now < end:
        work_s = rng.choice(RUN_TIMES_S)
        declared_ms = round(work_s * 1000 * rng.uniform(*DECLARED_FACTORS))
        fleet.submit(
            work_s,
            count=rng.randint(1, TASKS_MAX),
            entry=entry and entry(rng),
            declared_ms=declared_ms,
        )
        fleet.run_for(rng.expovariate(jobs_per_s))
        if fault is not None:
            fault(fleet)
    fleet.run_for(TAIL_S)
    return fleet


def slow_down(factor, begin_s, end_s):
    """Return a fault that slows worker `w2` down from `begin_s` to `end_s`."""

    def fault(fleet):
        since_s = fleet.driver.now - WARM_UP_S
        slowdown = factor if begin_s < since_s < end_s else 1.0
        worker = fleet.workers['w2']
        if worker.slowdown != slowdown:
            worker.set_slowdown(slowdown)

    return fault


def objective_ratio(fleet, call):
    """Return the ratio of a call's response time to its objective.

    Returns None if the call was rejected. For a call without an answer, the
    response time is the time until now.
    """
    if isinstance(call.body, Rejected):
        return None
    work_s, _, _ = fleet.work_by_spec[call.job.spec]
    objective_s = STRETCH * work_s + MARGIN_S
    end = fleet.driver.now if call.body is None else call.answered_at
    return (end - call.sent_at) / objective_s


def share_in_time(fleet):
    """Return the share of jobs that succeeded within their objective."""
    done = [call for call in fleet.calls if call.body == Finished(True)]
    on_time = sum(objective_ratio(fleet, call) <= 1.0 for call in done)
    return on_time / len(fleet.calls)


def count_late(fleet):
    """Return the number of jobs that succeeded after their objective."""
    done = sum(call.body == Finished(True) for call in fleet.calls)
    return done - round(share_in_time(fleet) * len(fleet.calls))


def count_rejected(fleet):
    """Return the number of rejected jobs."""
    return sum(isinstance(call.body, Rejected) for call in fleet.calls)
