"""Control traffic and rejections of simulated fleets by size."""

import random

import attrs

from azurepier.dispatch import Rejected
from azurepier.testing import _load
from azurepier.testing import _pool
from azurepier import wire

# Time in which the connections of a new fleet settle, and time in which the
# messages of an idle fleet are counted (s).
SETTLE_S = 6.0
IDLE_S = 4.0
# Mean work of a simulated job (core-seconds), see `_load`: the mean run time
# times the mean number of tasks, which use one core each.
JOB_CORE_S = (
    sum(_load.RUN_TIMES_S) / len(_load.RUN_TIMES_S) * (_load.TASKS_MAX + 1) / 2
)
# Capacity of a worker (thousandths of a core).
WORKER_CPU = 8000


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
        Sent and received per second, mean over all processes.
    by_kind : dict
        Messages sent per second by all processes, by class name.
    """

    messages: float
    kilobytes: float
    by_kind: dict


def make_fleet(shape, seed=1):
    """Return a fleet of a shape after its connections have settled."""
    fleet = _pool.make_pool(
        seed=seed,
        entries=shape.entries,
        speeds=(1.0,) * shape.endpoints,
        cpu=WORKER_CPU,
        domains=shape.domains,
    )
    fleet.driver.log_effects = None
    fleet.run_for(SETTLE_S)
    return fleet


def measure_traffic(fleet, seconds, action=None):
    """Return the traffic during `action()`, or over `seconds` without one."""
    driver = fleet.driver
    driver.sent.clear()
    driver.sent_bytes = 0
    driver.size_of = lambda msg: len(wire.encode(msg))
    started_at = driver.now
    if action is None:
        fleet.run_for(seconds)
    else:
        action()
    seconds = driver.now - started_at
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


def submit_jobs(fleet, load, seconds, busiest=1.0, seed=1):
    """Submit jobs at a share of the fleet's capacity.

    Parameters
    ----------
    load : float
        Ratio of the jobs' work to the capacity of all endpoints.
    seconds : float
        Duration of the submissions (s).
    busiest : float, optional
        Share of the jobs at the first entry, as a multiple of the shares of
        the others.

    Returns
    -------
    list of Call
        The submitted jobs, which may still be running.
    """
    rng = random.Random(seed)
    cores = len(fleet.endpoints) * WORKER_CPU / 1000
    per_s = load * cores / JOB_CORE_S
    names = list(fleet.entries)
    weights = [busiest] + [1.0] * (len(names) - 1)
    end = fleet.driver.now + seconds
    first_call = len(fleet.calls)
    while fleet.driver.now < end:
        work_s = rng.choice(_load.RUN_TIMES_S)
        fleet.submit(
            work_s,
            count=rng.randint(1, _load.TASKS_MAX),
            entry=rng.choices(names, weights)[0],
            declared_ms=round(
                work_s * 1000 * rng.uniform(*_load.DECLARED_FACTORS)
            ),
        )
        fleet.run_for(rng.expovariate(per_s))
    return fleet.calls[first_call:]


def rejected_share(calls):
    """Return the share of rejected jobs."""
    rejected = sum(isinstance(call.body, Rejected) for call in calls)
    return rejected / len(calls)
