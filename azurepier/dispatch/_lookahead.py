"""Choice among endpoints by the forecasts of their free capacity.

Load pattern: a burst beyond the capacity at many entries. Each learns late
that capacity has become free, and its orders compete for it with those of the
others. Endpoint processes keep orders until they can start
(`azurepier.runner._waiting`) and report what will be free, with the orders of
all entries taken into account. A job begins on free capacity; its other tasks
are ordered where the forecasts let them end first.

An endpoint without a recent forecast is used by its free capacity only.
"""

import attrs

from azurepier.dispatch import _placement
from azurepier.dispatch import _policy

# Times of the values of a forecast (s).
OFFSETS_S = (0.0, 0.025, 0.05, 0.1, 0.2, 0.4)
# Older forecasts aren't used (s).
MAX_AGE_S = 0.5
# Longest expected wait (s). Others see the same forecast and use it too, so
# that a task which would wait for longer is better kept until capacity is
# free somewhere.
MAX_EXPECTED_WAIT_S = 0.1
# Time for which an order may wait beyond its expected start (s), for the error
# of the forecast and the orders of other entries.
GRACE_S = 0.03
# Pause after the refusal of an order that was sent by a forecast (s): the
# capacity went to another entry, and the next forecast may be as old.
RETRY_PAUSE_S = 0.05
# Shortest wait that an order allows (s).
MIN_WAIT_S = 0.02
_MS_PER_S = 1000


@attrs.define(eq=False)
class Forecast:
    """Forecast of an endpoint's free CPU.

    Attributes
    ----------
    at : float
        Time of the report (s).
    free : list of int
        Free CPU at `OFFSETS_S` after it, less that of newer orders
        (thousandths of a core).
    draw : float or None
        Random number from 0 to 1 that decides whether this entry sends orders
        to wait by this report; None until it is needed.
    """

    at: float
    free: list
    draw: float | None = None


def is_in_use(node):
    """Tell whether orders may wait at endpoint processes."""
    return _policy.is_in_use(
        node.options.policy.waiting_orders, len(node.roster.known) + 1
    )


def update(endpoint, state, now):
    """Apply the forecast of a report, if it has one."""
    samples = state.forecast_cpu
    if samples is None or len(samples) + 1 != len(OFFSETS_S):
        endpoint.forecast = None
        return
    endpoint.forecast = Forecast(now, [state.free_cpu, *samples])


def occupy(endpoint, cpu, start_at, end_at):
    """Subtract an order that isn't in the endpoint's forecast yet."""
    forecast = endpoint.forecast
    if forecast is None:
        return
    for index, offset in enumerate(OFFSETS_S):
        if start_at <= forecast.at + offset < end_at:
            forecast.free[index] -= cpu


def find_start(endpoint, cpu, duration_s, now):
    """Return the time at which a task is expected to start (s), or None.

    None if it isn't expected to start within the time of the forecast.
    """
    forecast = endpoint.forecast
    if forecast is None or now - forecast.at > MAX_AGE_S:
        return None
    start_at = None
    for index, offset in enumerate(OFFSETS_S):
        at = forecast.at + offset
        following = index + 1
        if following < len(OFFSETS_S) and (
            forecast.at + OFFSETS_S[following] <= now
        ):
            continue
        if start_at is not None and at >= start_at + duration_s:
            break
        if forecast.free[index] < cpu:
            start_at = None
        elif start_at is None:
            start_at = max(at, now)
    return start_at


def _may_use(endpoint, rng):
    """Tell whether this entry may send orders to wait by the last report.

    All entries of the endpoint process get the same forecast at about the same
    time. If each used it, most of their orders would be refused; so one does
    on average.
    """
    forecast = endpoint.forecast
    if forecast.draw is None:
        forecast.draw = rng.random()
    return forecast.draw * endpoint.entry_count <= 1.0


def latest_start_at(endpoint, job):
    """Return the latest start on an endpoint for an end in time (s)."""
    return (
        job.objective_at
        - job.work_s / endpoint.speed
        - _placement.MESSAGE_DELAY_S
    )


def choose(endpoints, job, now, rng):
    """Return the endpoint where a task that has to wait ends first, or None.

    Parameters
    ----------
    endpoints : list of Endpoint
        Open endpoints of the job's pool.
    job : Job
    now : float
    rng : random.Random

    Returns
    -------
    tuple of (Endpoint, float) or None
        With the expected start (s).
    """
    task = job.waiting[-1]
    if now < task.forecast_not_before:
        return None
    resources = job.request.resources
    limit = job.request.max_per_worker
    avoided = task.avoided_endpoints
    best, best_end = None, None
    for endpoint in endpoints:
        run_s = job.work_s / endpoint.speed
        start_at = find_start(endpoint, resources.cpu, run_s, now)
        if start_at is None or start_at > latest_start_at(endpoint, job):
            continue
        if start_at - now > MAX_EXPECTED_WAIT_S:
            continue
        if not _may_use(endpoint, rng):
            continue
        if (
            endpoint.name in avoided
            or endpoint.failures >= _placement.FAILURES_MAX
            or not _placement.could_fit(endpoint, resources)
            or endpoint.free_mem_mb < resources.mem_mb
            or endpoint.free_gpu < resources.gpu
            or (limit and endpoint.runs_per_job[job.request.id] >= limit)
        ):
            continue
        end = start_at - now + run_s * (1 + _placement.JITTER * rng.random())
        if best is None or end < best_end:
            best, best_end = (endpoint, start_at), end
    return best


def wait_ms(node, endpoint, job, now, start_at):
    """Return how long an order may wait (ms), or None if it may not.

    `start_at` is the expected start of an order that has to wait (s).
    """
    if endpoint.forecast is None or not is_in_use(node):
        return None
    max_wait_ms = node.options.policy.waiting_orders.max_wait_ms
    expected_s = 0.0 if start_at is None else start_at - now
    max_wait_ms = min(max_wait_ms, round((expected_s + GRACE_S) * _MS_PER_S))
    left_s = latest_start_at(endpoint, job) - now
    if left_s < 0 and job.has_started:
        # Late already; the work done so far is lost if it isn't completed.
        return max_wait_ms
    return min(round(max(left_s, MIN_WAIT_S) * _MS_PER_S), max_wait_ms)
