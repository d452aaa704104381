"""Choice of an endpoint for a task.

Load pattern: endpoints whose speeds differ by a factor of two to three. A task
that is too long for a slow endpoint waits for a faster one while it can still
end in time there; a short one takes any endpoint with free capacity. An
endpoint process whose worker fails its tasks offers capacity only for trials.
"""

# Number of distinct jobs with failed or stalled tasks, without a success in
# between, after which an endpoint counts as unhealthy.
FAILURES_MAX = 2
# Maximum number of runs of an entry on an endpoint, whatever they need. The
# worker lists all its runs several times a second.
MAX_RUNS_PER_ENDPOINT = 512
# Delay of the messages for the start and the end of a run (s).
MESSAGE_DELAY_S = 0.02
# Share of the capacity that is reserved for jobs that can still be answered in
# time; late jobs may not use it.
LATE_JOB_RESERVE_SHARE = 0.15
# Maximum relative random increase of an expected run time, so that entries
# spread their tasks over equally good endpoints.
JITTER = 0.05


def fits(endpoint, resources):
    """Tell whether the endpoint has enough free capacity now."""
    return (
        endpoint.free_cpu >= resources.cpu
        and endpoint.free_mem_mb >= resources.mem_mb
        and endpoint.free_gpu >= resources.gpu
    )


def could_fit(endpoint, resources):
    """Tell whether the endpoint would be suitable if it were idle."""
    return (
        endpoint.cpu >= resources.cpu
        and endpoint.mem_mb >= resources.mem_mb
        and endpoint.gpu >= resources.gpu
        and (not resources.label or resources.label in endpoint.labels)
    )


def is_open(endpoint):
    """Tell whether the endpoint is connected and accepts tasks."""
    return (
        endpoint.conn is not None
        and endpoint.accepting
        and not endpoint.evacuated
    )


def is_healthy(endpoint):
    """Tell whether the endpoint is open and has few recent failures."""
    return is_open(endpoint) and endpoint.failures < FAILURES_MAX


def has_spare_capacity(endpoints, job):
    """Tell whether all waiting tasks of a job fit beside the reserve."""
    resources = job.request.resources
    capacity = 0
    for endpoint in endpoints:
        if fits(endpoint, resources):
            capacity += endpoint.free_cpu // max(resources.cpu, 1)
    if capacity < len(job.waiting):
        return False
    free = sum(endpoint.free_cpu for endpoint in endpoints)
    total = sum(endpoint.cpu for endpoint in endpoints)
    return free - len(job.waiting) * resources.cpu >= (
        total * LATE_JOB_RESERVE_SHARE
    )


def find_rule_against(endpoint, job):
    """Return why the next task can't start at an open endpoint, or None."""
    resources = job.request.resources
    limit = job.request.max_per_worker
    if (
        not fits(endpoint, resources)
        or len(endpoint.runs) >= MAX_RUNS_PER_ENDPOINT
    ):
        return 'no_room'
    if endpoint.name in job.waiting[-1].avoided_endpoints:
        return 'avoided'
    if resources.label and resources.label not in endpoint.labels:
        return 'label'
    if limit and endpoint.runs_per_job[job.request.id] >= limit:
        return 'max_per_worker'
    return None


def find_candidates(endpoints, job):
    """Return the endpoints on which the next task of a job may start now."""
    return [
        endpoint
        for endpoint in endpoints
        if find_rule_against(endpoint, job) is None
    ]


def choose(endpoints, job, now, rng, allow_late=False):
    """Return the endpoint for the next task of a job, or None.

    Parameters
    ----------
    endpoints : list of Endpoint
        Open endpoints of the job's pool.
    job : Job
    now : float
    rng : random.Random
    allow_late : bool
        Whether the task may end late instead of waiting for a faster endpoint.
    """
    candidates = find_candidates(endpoints, job)
    if not candidates:
        return None
    time_left_s = job.objective_at - now - MESSAGE_DELAY_S

    def run_time(endpoint):
        return job.work_s / endpoint.speed

    best = min(
        candidates,
        key=lambda each: run_time(each) * (1 + JITTER * rng.random()),
    )
    if allow_late or run_time(best) <= time_left_s:
        return best
    max_speed = max(endpoint.speed for endpoint in endpoints)
    if job.work_s / max_speed <= time_left_s:
        return None
    return best
