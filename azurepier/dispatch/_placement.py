"""Choice of an endpoint for a task.

Load pattern: endpoints whose speeds differ by a factor of two to three. A
task that is too long for a slow endpoint waits for a faster one while it can
still be on time there; a short one uses what is free. An endpoint process
whose worker fails its tasks offers no room but for a trial.
"""

# Failed tasks of distinct jobs in a row after which an endpoint is not counted
# on.
FAILURES_MAX = 2
# Time of the messages that a start and its end take (s).
MESSAGES_S = 0.02
# Part of the room that a job which will be late leaves for jobs that can
# still be in time.
RESERVE_SHARE = 0.15
# Spread of equally good endpoints, so that entries choose different ones.
JITTER = 0.05


def fits(endpoint, needs):
    """Tell whether the endpoint has the room now."""
    return (
        endpoint.free_cpu >= needs.cpu
        and endpoint.free_mem_mb >= needs.mem_mb
        and endpoint.free_gpu >= needs.gpu
    )


def could_fit(endpoint, needs):
    """Tell whether the endpoint has the room when it is empty."""
    return (
        endpoint.cpu >= needs.cpu
        and endpoint.mem_mb >= needs.mem_mb
        and endpoint.gpu >= needs.gpu
        and (not needs.label or needs.label in endpoint.labels)
    )


def is_open(endpoint):
    """Tell whether the endpoint may get tasks at all."""
    return endpoint.conn is not None and endpoint.accepting


def is_sound(endpoint):
    """Tell whether the endpoint is open and does not fail its tasks."""
    return is_open(endpoint) and endpoint.failures < FAILURES_MAX


def has_spare_room(endpoints, job):
    """Tell whether all waiting tasks of a job fit beside the reserve."""
    needs = job.spec.needs
    rooms = 0
    for endpoint in endpoints:
        if fits(endpoint, needs):
            rooms += endpoint.free_cpu // max(needs.cpu, 1)
    if rooms < len(job.waiting):
        return False
    free = sum(endpoint.free_cpu for endpoint in endpoints)
    total = sum(endpoint.cpu for endpoint in endpoints)
    return free - len(job.waiting) * needs.cpu >= total * RESERVE_SHARE


def choose(endpoints, job, now, rng, at_once=False):
    """Return the endpoint for the next task of a job, or None.

    Parameters
    ----------
    endpoints : list of Endpoint
        Open endpoints of the job's pool.
    job : Job
    now : float
    rng : random.Random
    at_once : bool
        Whether the task takes what is free instead of waiting.
    """
    needs = job.spec.needs
    limit = job.spec.max_per_worker
    avoid = job.waiting[-1].avoid
    able = [
        endpoint
        for endpoint in endpoints
        if fits(endpoint, needs)
        and endpoint.name not in avoid
        and (not needs.label or needs.label in endpoint.labels)
        and (not limit or endpoint.per_job[job.spec.id] < limit)
    ]
    if not able:
        return None
    left = job.objective_at - now - MESSAGES_S

    def run_time(endpoint):
        return job.work_s / endpoint.speed

    best = min(
        able, key=lambda each: run_time(each) * (1 + JITTER * rng.random())
    )
    if at_once or run_time(best) <= left:
        return best
    fastest = max(endpoint.speed for endpoint in endpoints)
    if job.work_s / fastest <= left:
        return None
    return best
