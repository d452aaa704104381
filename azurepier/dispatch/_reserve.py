"""Room that is kept for urgent queues.

Load pattern: a burst of usual jobs beyond the capacity, and among them jobs
of a more urgent queue: many short tasks with little slack. Room becomes free
task by task, and the next usual job takes it at once; an urgent job that
needs room for eight tasks within a tenth of a second gets it too late. A job
of a less urgent queue is begun only while some room stays free.

Nothing is kept where all queues have the same priority, or while no urgent
job has come for a while.
"""

# Part of a pool that stays free for more urgent queues: room for about one
# of their jobs.
URGENT_SHARE = 0.04
# How long room is kept after an urgent job has come (s): longer than the
# pauses between urgent jobs of a calm hour.
URGENT_S = 5.0


def note_arrival(node, job):
    """Note that a job of a queue's priority has come."""
    node.arrived_of[job.queue.pool, job.queue.priority] = job.received_at


def _more_urgent_came(node, job, now):
    return any(
        pool == job.queue.pool
        and priority < job.queue.priority
        and now - at < URGENT_S
        for (pool, priority), at in node.arrived_of.items()
    )


def is_kept(node, endpoints, job, now):
    """Tell whether a job is not begun because of more urgent queues.

    Parameters
    ----------
    node : Entry
    endpoints : list of Endpoint
        Open endpoints of the job's pool.
    job : Job
    now : float
    """
    if job.begun or not _more_urgent_came(node, job, now):
        return False
    cpu = job.spec.needs.cpu
    total = sum(endpoint.cpu for endpoint in endpoints)
    kept = URGENT_SHARE * total
    if cpu + kept > total:
        # Such a task would never start.
        return False
    free = sum(max(endpoint.free_cpu, 0) for endpoint in endpoints)
    return free - cpu < kept
