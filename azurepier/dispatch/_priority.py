"""Capacity that follows the urgent jobs that arrive.

Load pattern: the urgent queue doubles its rate for some seconds while less
urgent queues have more jobs than fit. A fixed reserve is too small then, and
unused capacity while few urgent jobs arrive. So a job of a less urgent queue
is begun only if what the urgent jobs of the next moments need stays free. The
need is the rate at which they arrive at all entries (`_arriving`), over a
window, and at least that of one job of average width; it ends with them.

All entries that use the same workers compare the same free capacity with the
same need, so that the reserve doesn't add up and a job is treated alike at
each of them. A less urgent queue is begun without regard to the reserve while
its recent starts are below a minimum, so that a lasting urgent load doesn't
starve it.
"""

import collections
import math

import attrs

from azurepier.dispatch import _arriving
from azurepier.dispatch import _bounds
from azurepier.dispatch import _policy
from azurepier.dispatch import _reserve

MS_PER_S = 1000
# Time constant of the average of the work started for a queue (s). The
# longest tasks in use take 2 s.
STARTED_AVERAGE_S = 2.0
# Work that a queue started longer ago has decayed, and is forgotten (s).
FORGET_S = 10 * STARTED_AVERAGE_S
# The need is computed again after this time (s). The averages and the reports
# change more slowly, and a pass may follow each message.
REFRESH_S = 0.05
# A need that was computed longer ago is not shown in the metrics (s).
RECENT_S = 5.0


@attrs.define(eq=False)
class StartedWork:
    """Exponentially decayed sum of the work started for a queue.

    Attributes
    ----------
    core_s : float
        Work (core-seconds).
    updated_at : float
        Time for which the sum holds (s).
    """

    core_s: float
    updated_at: float

    def add(self, core_s, now):
        """Decay the sum and add some work (core-seconds)."""
        elapsed_s = now - self.updated_at
        self.core_s *= math.exp(-elapsed_s / STARTED_AVERAGE_S)
        self.core_s += core_s
        self.updated_at = now


def _part_in_use(node):
    """Return the settings of the part, or None if it is not in use."""
    part = node.options.policy.urgent_reserve
    if part is None:
        return None
    entry_count = len(node.roster.known) + 1
    return part if _policy.is_in_use(part, entry_count) else None


def record_arrival(node, job):
    """Record the arrival of a job."""
    _reserve.record_arrival(node, job)
    if node.options.policy.urgent_reserve is not None:
        _arriving.record_arrival(node, job)


def record_start(node, job, now):
    """Record that a task of a job was ordered."""
    _add_started(node, job, job.work_s, now)


def withdraw_start(node, job, now):
    """Record that an order was refused, so that the task was not started."""
    _add_started(node, job, -job.work_s, now)


def _add_started(node, job, work_s, now):
    if node.options.policy.urgent_reserve is None:
        return
    core_s = work_s * job.request.resources.cpu / 1000
    key = job.queue.pool, job.queue.name
    started = node.started_work.setdefault(key, StartedWork(0.0, now))
    started.add(core_s, now)


def own_arriving(node, now):
    """Return what is sent to each endpoint of a pool, by pool.

    Returns
    -------
    dict of str to list of Demand
        Empty if the part is not in use.
    """
    if _part_in_use(node) is None:
        return {}
    for key, started in list(node.started_work.items()):
        if now - started.updated_at > FORGET_S:
            del node.started_work[key]
    counts = collections.Counter(
        each.pool for each in node.by_conn.values() if each.accepting
    )
    return {
        pool: _arriving.own_demand(node, pool, count, now)
        for pool, count in counts.items()
    }


def due_update(endpoint, arriving, now):
    """Return the own arrivals if they have to be sent to an endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    arriving : dict
        Returned by `own_arriving`.
    now : float

    Returns
    -------
    list of Demand or None
        An empty list needs no message of its own.
    """
    elapsed_s = now - endpoint.arriving_sent_at
    if _bounds.is_due(elapsed_s, _arriving.SEND_INTERVAL_S):
        return arriving.get(endpoint.pool)
    return None


def sort_jobs(node, endpoints, ordered, now):
    """Move the waiting jobs of queues below their minimum to the front.

    They come before started jobs too: under lasting overload by wide jobs
    there are always some of these, which take all capacity that becomes free.
    Jobs after their objective stay where they are.

    Parameters
    ----------
    node : Entry
    endpoints : list of Endpoint
        Open endpoints of the jobs' pool.
    ordered : list of Job
        Sorted by `_order.sort_jobs`.
    now : float
    """
    part = _part_in_use(node)
    if part is None or not endpoints:
        return ordered
    queues = {job.queue.name: job.queue for job in ordered}
    if len(queues) < 2:
        return ordered
    below = {
        name
        for name, queue in queues.items()
        if is_below_minimum(node, endpoints, queue, part, now)
    }
    raised, others = [], []
    for job in ordered:
        is_raised = (
            job.queue.name in below
            and not job.has_started
            and now < job.objective_at
        )
        (raised if is_raised else others).append(job)
    return raised + others


def is_deferred(node, endpoints, job, now):
    """Tell whether a job must not start because of more urgent queues.

    Parameters
    ----------
    node : Entry
    endpoints : list of Endpoint
        Open endpoints of the job's pool.
    job : Job
    now : float
    """
    part = _part_in_use(node)
    if part is None:
        return _reserve.is_deferred(node, endpoints, job, now)
    if job.has_started or not endpoints:
        return False
    cpu = job.request.resources.cpu
    total = sum(endpoint.cpu for endpoint in endpoints)
    needed = needed_cpu(node, endpoints, job.queue, part, now)
    reserved = min(needed, part.max_share * total)
    if not reserved or cpu + reserved > total:
        return False
    free = sum(max(endpoint.free_cpu, 0) for endpoint in endpoints)
    if free - cpu >= reserved:
        return False
    if is_below_minimum(node, endpoints, job.queue, part, now):
        node.count('starts_below_minimum')
        return False
    node.count('starts_deferred')
    return True


def needed_cpu(node, endpoints, queue, part, now):
    """Return what more urgent jobs than a queue's need (thousandths)."""
    key = queue.pool, queue.priority
    at, needed = node.reserves.get(key, (-math.inf, 0.0))
    if now - at >= REFRESH_S:
        window_s = part.window_ms / MS_PER_S
        needed = max(
            (
                max(each.cpu_per_s * window_s, each.job_cpu)
                for each in pool_arriving(node, endpoints, queue.pool, now)
                if each.priority < queue.priority
            ),
            default=0.0,
        )
        node.reserves[key] = now, needed
    return needed


def pool_arriving(node, endpoints, pool, now):
    """Return the arrivals that concern the endpoints of this entry.

    An endpoint process of an earlier build doesn't report those of its other
    entries, which are taken to be like the own ones.
    """
    reported = [
        each.others_arriving
        for each in endpoints
        if each.others_arriving is not None
    ]
    unknown = sum(
        max(each.entry_count - 1, 0)
        for each in endpoints
        if each.others_arriving is None
    )
    share = len(endpoints) / (len(endpoints) + unknown)
    own = _arriving.own_demand(node, pool, share, now)
    return _arriving.add([own, *reported])


def is_below_minimum(node, endpoints, queue, part, now):
    """Tell whether a queue's recent starts are below its minimum here.

    The minimum is a share of the cores of each endpoint, divided equally
    between the entries that it serves.
    """
    cores = sum(
        endpoint.cpu / 1000 / max(endpoint.entry_count, 1)
        for endpoint in endpoints
    )
    started = node.started_work.get((queue.pool, queue.name))
    if started is None:
        return True
    started.add(0.0, now)
    return started.core_s / STARTED_AVERAGE_S < part.min_share * cores


def status(node, now):
    """Return what the metrics and the log show; empty if not in use."""
    if _part_in_use(node) is None:
        return {}
    recent = [
        needed for at, needed in node.reserves.values() if now - at < RECENT_S
    ]
    return {'urgent_reserve_cores': max(recent, default=0.0) / 1000}
