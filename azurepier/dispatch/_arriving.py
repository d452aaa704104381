"""Rate and width of the jobs that arrive, by pool and priority.

Load pattern: urgent jobs arrive at many entries, unevenly, and their rate
doubles within a second. Each entry knows only its own arrivals, but the
capacity that has to be kept for urgent jobs depends on those of all entries
that use the same workers. An entry tells each of its endpoint processes its
share in the entry's arrivals with the heartbeats that it sends anyway, and
gets the sum of the other entries' shares with the reports of free capacity.
"""

import math

import attrs

from azurepier.dispatch import _bounds

# Time constant of the averages of the arrivals (s). Bursts of urgent jobs last
# 3 s and longer; a shorter average follows chance arrivals.
AVERAGE_S = 1.0
# A priority counts for this long after its last arrival (s), longer than the
# gaps between urgent jobs in a quiet hour.
HOLD_S = 5.0
# Weight of a new job in the mean need of a job.
MEAN_GAIN = 0.1
# Arrivals are sent on a connection at this interval (s), also if orders, which
# replace heartbeats, are sent on it. It is that of idle heartbeats, so that
# idle connections carry no more messages; with each report, they took 3.6 KB/s
# of a process at 65 % load.
SEND_INTERVAL_S = _bounds.IDLE_HEARTBEAT_S
# Number of priorities, the most urgent ones, in a message.
MAX_PRIORITIES = 4
MAX_NUMBER = 2**31 - 1


@attrs.frozen
class Demand:
    """Arrivals of one priority at one or several entries.

    Attributes
    ----------
    priority : int
    cpu_per_s : float
        Rate of what their tasks take (thousandths of a core per s).
    job_cpu : float
        Mean need of all tasks of a job (thousandths of a core).
    """

    priority: int
    cpu_per_s: float
    job_cpu: float


@attrs.define(eq=False)
class Arrivals:
    """Arrivals of one pool and priority at this entry.

    Attributes
    ----------
    cpu_per_s : float
        Average rate of what their tasks take (thousandths of a core per s).
    job_cpu : float
        Mean need of all tasks of a job (thousandths of a core).
    updated_at, last_at : float
        Time for which the averages hold, and time of the last arrival (s).
    """

    cpu_per_s: float
    job_cpu: float
    updated_at: float
    last_at: float


def record_arrival(node, job):
    """Add a job to the averages of its pool and priority."""
    key = job.queue.pool, job.queue.priority
    now = job.received_at
    job_cpu = job.request.resources.cpu * job.request.count
    arrivals = node.arrivals.get(key)
    if arrivals is None:
        node.arrivals[key] = Arrivals(job_cpu / AVERAGE_S, job_cpu, now, now)
        return
    _decay(arrivals, now)
    arrivals.cpu_per_s += job_cpu / AVERAGE_S
    arrivals.job_cpu += MEAN_GAIN * (job_cpu - arrivals.job_cpu)
    arrivals.last_at = max(arrivals.last_at, now)


def _decay(arrivals, now):
    elapsed_s = max(now - arrivals.updated_at, 0.0)
    arrivals.cpu_per_s *= math.exp(-elapsed_s / AVERAGE_S)
    arrivals.updated_at += elapsed_s


def own_demand(node, pool, divisor, now):
    """Return the own arrivals, with the rates divided by a number.

    Returns
    -------
    list of Demand
        The most urgent priority first, at most `MAX_PRIORITIES`.
    """
    demand = []
    for key, arrivals in list(node.arrivals.items()):
        if now - arrivals.last_at > HOLD_S:
            del node.arrivals[key]
        elif key[0] == pool:
            _decay(arrivals, now)
            rate = arrivals.cpu_per_s / divisor
            demand.append(Demand(key[1], rate, arrivals.job_cpu))
    return most_urgent(demand)


def most_urgent(demand):
    """Return the `MAX_PRIORITIES` most urgent priorities in order."""
    return sorted(demand, key=lambda each: each.priority)[:MAX_PRIORITIES]


def add(lists):
    """Return the sum of lists of `Demand`.

    Rates are added; of the mean needs of a job, the largest one counts.
    """
    total = {}
    for each in (each for demand in lists for each in demand):
        other = total.get(each.priority)
        if other is not None:
            each = Demand(
                each.priority,
                each.cpu_per_s + other.cpu_per_s,
                max(each.job_cpu, other.job_cpu),
            )
        total[each.priority] = each
    return most_urgent(total.values())


def encode(demand):
    """Return a list of `Demand` as the integers of a message, or None."""
    if demand is None:
        return None
    return [
        min(round(number), MAX_NUMBER)
        for each in demand
        for number in (each.priority, each.cpu_per_s, each.job_cpu)
    ]


def decode(numbers):
    """Return the list of `Demand` in a message; more than allowed is cut."""
    numbers = numbers[: 3 * MAX_PRIORITIES]
    return [
        Demand(*each)
        for each in zip(numbers[::3], numbers[1::3], numbers[2::3])
    ]
