"""Capacity reserved for urgent queues.

Load pattern: a burst of ordinary jobs beyond the capacity, mixed with jobs of
a more urgent queue that have many short tasks and little slack. Capacity
becomes free task by task and is taken immediately by the next ordinary job, so
that an urgent job that needs capacity for eight tasks within a tenth of a
second gets it too late. A job of a less urgent queue is therefore started only
if some capacity stays free.

Nothing is reserved if all queues have the same priority, or if no urgent job
has arrived recently.
"""

# Share of a pool that stays free for more urgent queues: the capacity for
# about one of their jobs.
URGENT_RESERVE_SHARE = 0.04
# Capacity stays reserved this long after the arrival of an urgent job (s):
# longer than the gaps between urgent jobs in a quiet hour.
URGENT_RESERVE_HOLD_S = 5.0


def record_arrival(node, job):
    """Record when a job of this pool and priority last arrived."""
    node.last_arrival_at[job.queue.pool, job.queue.priority] = job.received_at


def _has_recent_urgent_arrival(node, job, now):
    return any(
        pool == job.queue.pool
        and priority < job.queue.priority
        and now - at < URGENT_RESERVE_HOLD_S
        for (pool, priority), at in node.last_arrival_at.items()
    )


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
    if job.has_started or not _has_recent_urgent_arrival(node, job, now):
        return False
    cpu = job.request.resources.cpu
    total = sum(endpoint.cpu for endpoint in endpoints)
    reserved_cpu = URGENT_RESERVE_SHARE * total
    if cpu + reserved_cpu > total:
        # Otherwise the task could never start.
        return False
    free = sum(max(endpoint.free_cpu, 0) for endpoint in endpoints)
    return free - cpu < reserved_cpu
