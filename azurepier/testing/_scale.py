"""Control traffic and refusals of fleets of different sizes."""

import random

import attrs

from azurepier.dispatch import Rejected
from azurepier.testing import _load
from azurepier.testing import _pool
from azurepier import wire

# Time over which messages without load are counted, after the start has
# settled (s).
SETTLE_S = 6.0
IDLE_S = 4.0
# Work of the model's jobs (core-seconds), see `_load`: its mean run time by
# the mean number of tasks of one core each.
JOB_CORE_S = sum(_load.WORK_S) / len(_load.WORK_S) * (_load.MAX_TASKS + 1) / 2
CPU = 8000


@attrs.frozen
class Shape:
    """Number of processes and failure domains of a fleet."""

    entries: int
    endpoints: int
    domains: int

    def __str__(self):
        return f'{self.entries} x {self.endpoints}'


@attrs.frozen
class Traffic:
    """Control traffic per process.

    Parameters
    ----------
    messages, kilobytes : float
        Sent and received each second, mean over all processes.
    by_kind : dict
        Messages sent each second by all, by class.
    """

    messages: float
    kilobytes: float
    by_kind: dict


def make(shape, seed=1):
    """Return a fleet of a shape that has settled."""
    fleet = _pool.make_pool(
        seed=seed,
        entries=shape.entries,
        speeds=(1.0,) * shape.endpoints,
        cpu=CPU,
        domains=shape.domains,
    )
    fleet.driver.notes = None
    fleet.run_for(SETTLE_S)
    return fleet


def count(fleet, seconds, act=None):
    """Let time pass, or something act; return the traffic meanwhile."""
    driver = fleet.driver
    driver.sent.clear()
    driver.sent_bytes = 0
    driver.size_of = lambda msg: len(wire.encode(msg))
    since = driver.now
    if act is None:
        fleet.run_for(seconds)
    else:
        act()
    seconds = driver.now - since
    processes = len(fleet.entries) + len(fleet.endpoints)
    per_process = 2 / seconds / processes
    return Traffic(
        messages=sum(driver.sent.values()) * per_process,
        kilobytes=driver.sent_bytes * per_process / 1000,
        by_kind={
            name: round(number / seconds)
            for name, number in sorted(driver.sent.items())
        },
    )


def submit(fleet, load, seconds, busiest=1.0, seed=1):
    """Submit jobs of a part of what the fleet can do.

    Parameters
    ----------
    load : float
        Work of the jobs over the capacity of all endpoints.
    seconds : float
    busiest : float, optional
        Share of the jobs at one entry, as a multiple of an even share.

    Returns
    -------
    list of Call
        The jobs; none has to have ended yet.
    """
    rng = random.Random(seed)
    cores = len(fleet.endpoints) * CPU / 1000
    per_s = load * cores / JOB_CORE_S
    names = list(fleet.entries)
    weights = [busiest] + [1.0] * (len(names) - 1)
    end = fleet.driver.now + seconds
    first = len(fleet.calls)
    while fleet.driver.now < end:
        work_s = rng.choice(_load.WORK_S)
        fleet.submit(
            work_s,
            count=rng.randint(1, _load.MAX_TASKS),
            entry=rng.choices(names, weights)[0],
            declared_ms=round(work_s * 1000 * rng.uniform(*_load.DECLARED)),
        )
        fleet.run_for(rng.expovariate(per_s))
    return fleet.calls[first:]


def refused_share(calls):
    """Return the share of jobs that were turned away."""
    refused = sum(isinstance(call.body, Rejected) for call in calls)
    return refused / len(calls)
