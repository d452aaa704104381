"""Dispatch of waiting tasks to free slots."""

import math

import attrs

from azurepier.entry import _outcomes
from azurepier.entry import _sending
from azurepier import jobs
from azurepier.kernel import effects
from azurepier import limits
from azurepier import placement
from azurepier import queueing
from azurepier.queueing import DispatchResult

# Tasks with a longer expected run time count as long-running.
LONG_RUNNING_S = 1.0
# A dispatch pass ends after this number of tasks that could not be placed.
BLOCKED_TASKS_MAX = 500
# Tasks of one job that are tried each time the job is considered.
TASKS_TRIED_MAX = 32
# Slots of endpoints that are slower than the fastest by a larger factor do
# not count towards the urgent reserve: urgent work would end late there.
RESERVE_SPEED_RATIO = 1.2
# Largest share of all slots that is kept free for urgent work.
RESERVE_SHARE_MAX = 0.05
URGENT_LOAD_WINDOW_S = 10.0
# Run-time estimates are rough, so a job is unservable only when the time to
# its deadline is less than this share of the expected run time of its longest
# waiting task.
UNSERVABLE_RUN_SHARE = 0.3
UNSERVABLE_RETRY_AFTER_S = 1.0
# A job that seems unservable when it is accepted may still find a free slot
# within this time.
MIN_DISPATCH_WINDOW_S = 0.05


@attrs.define(eq=False)
class _DispatchPass:
    """State of one dispatch pass over the waiting jobs.

    Parameters
    ----------
    ready : list of EndpointView
        Endpoints with a free slot, the fastest first.
    forecast : SlotForecast
        Expected times at which busy slots become free.
    fast_speed : float
        Lowest speed at which a free slot counts towards the urgent reserve.
    spare_fast_slots : int
        Free fast slots beyond the reserve, open to ordinary tasks.
    """

    node: object
    now: float
    ready: list
    forecast: placement.SlotForecast
    fast_speed: float
    spare_fast_slots: int
    blocked_tasks: int = 0
    out: list = attrs.field(factory=list)
    eligible: dict = attrs.field(factory=dict)  # endpoints by requirements


def dispatch(node, now):
    """Start all waiting tasks that can start now.

    Returns
    -------
    list
        Effects; among them a `Send` of a `StartBatch` for each endpoint that
        gets tasks.
    """
    node.dirty = False
    out = []
    if node.waiting_tasks:
        out += _match_tasks(node, now)
    _sending.update_wanted_slots(node)
    return out + _sending.flush(node)


def _match_tasks(node, now):
    state = _begin_pass(node, now)
    candidates = node.queue.candidates()
    try:
        waiting = next(candidates)
        while state.ready and state.blocked_tasks < BLOCKED_TASKS_MAX:
            result = _place_task(state, waiting)
            if result is DispatchResult.BLOCKED:
                state.blocked_tasks += len(waiting.tasks)
            waiting = candidates.send(result)
    except StopIteration:
        pass
    finally:
        candidates.close()
    return state.out


def _begin_pass(node, now):
    views = [
        view
        for view in node.by_conn.values()
        if view.ready
        and not view.leaving
        and placement.breaker.allows(view.history.breaker, now)
    ]
    views.sort(key=lambda view: -view.history.speed)
    ready = [view for view in views if view.free > 0]
    fast_speed = views[0].history.speed / RESERVE_SPEED_RATIO if views else 0.0
    fast_slots = sum(
        view.free for view in ready if view.history.speed >= fast_speed
    )
    fast_slots += sum(view.urgent_open_starts for view in views)
    slots = sum(view.slots for view in views)
    spare_fast_slots = fast_slots - _urgent_reserve(node, slots, now)
    forecast = placement.SlotForecast(views, now)
    return _DispatchPass(
        node, now, ready, forecast, fast_speed, spare_fast_slots
    )


def record_urgent_work(node, work_s, now):
    """Add accepted urgent work to the load that sizes the reserve."""
    urgent_load = node.urgent_load
    decay = math.exp((urgent_load.since - now) / URGENT_LOAD_WINDOW_S)
    urgent_load.done_s = urgent_load.done_s * decay + work_s
    urgent_load.since = now


def _urgent_reserve(node, slots, now):
    """Return the number of fast slots to reserve for urgent tasks.

    Notes
    -----
    Slots in use by urgent tasks count as part of the reserve. It is one slot
    more than the mean number of slots in use by urgent work plus two standard
    deviations of a Poisson distribution with that mean, but at most
    `RESERVE_SHARE_MAX` of all slots.
    """
    urgent_load = node.urgent_load
    decay = math.exp((urgent_load.since - now) / URGENT_LOAD_WINDOW_S)
    load = urgent_load.done_s * decay / URGENT_LOAD_WINDOW_S
    reserve = 1 + math.ceil(load + 2 * math.sqrt(load))
    return min(reserve, int(slots * RESERVE_SHARE_MAX))


def _can_run(state, view, spec, urgent, long_running):
    if not urgent:
        if view.credit <= 0:
            return False
        if (
            state.spare_fast_slots <= 0
            and view.history.speed >= state.fast_speed
        ):
            return False
    if long_running and view.long_free <= 0:
        return False
    if view.kinds and spec.kind not in view.kinds:
        return False
    return spec.size <= view.largest_size


def _place_task(state, waiting):
    node, now = state.node, state.now
    job = node.table.jobs[waiting.job_id]
    customer = waiting.customer
    if not limits.may_start(node.limits, customer, now):
        allowed_at = limits.next_allowed_at(node.limits, customer, now)
        if allowed_at is not None:
            node.timers.set(('quota', customer), allowed_at)
        return DispatchResult.CUSTOMER_BLOCKED
    found = _choose_task(state, waiting, job)
    if found is None:
        return DispatchResult.BLOCKED
    index, view = found
    task = queueing.pop_task(waiting, index)
    work_s = waiting.work[task]
    _sending.start_task(
        node, view, job, task, work_s, work_s > LONG_RUNNING_S, now
    )
    state.out.append(effects.Record('start', job.id, task, view.name))
    _take_slot(state, view)
    return DispatchResult.STARTED


def _take_slot(state, view):
    """Update the state of the pass after a start on an endpoint."""
    state.spare_fast_slots -= view.history.speed >= state.fast_speed
    if view.free <= 0 or view.history.breaker.probing:
        state.ready.remove(view)
        state.eligible.clear()
    elif (
        view.credit <= 0 or view.long_free <= 0 or state.spare_fast_slots <= 0
    ):
        state.eligible.clear()


def _find_eligible(state, spec, urgent, long_running):
    """Return the endpoints that can start a task now, the fastest first."""
    key = (spec.kind, spec.size, urgent, long_running)
    eligible = state.eligible.get(key)
    if eligible is None:
        eligible = state.eligible[key] = [
            view
            for view in state.ready
            if _can_run(state, view, spec, urgent, long_running)
        ]
    return eligible


def _choose_task(state, waiting, job):
    """Choose a task of a job and an endpoint for it.

    The longest task is tried first. If it is held for a faster endpoint, a
    shorter one may still start now instead of waiting behind it.

    Returns
    -------
    tuple of (int, EndpointView) or None
        Index in `waiting.tasks` and the endpoint.
    """
    count = len(waiting.tasks)
    for offset in range(min(count, TASKS_TRIED_MAX)):
        task = waiting.tasks[-1 - offset]
        spec = job.spec.tasks[task]
        work_s = waiting.work[task]
        eligible = _find_eligible(
            state, spec, waiting.urgent, work_s > LONG_RUNNING_S
        )
        if not eligible:
            continue
        request = placement.PlacementRequest(work_s, state.forecast)
        view = state.node.choose_endpoint(eligible, request)
        if view is not placement.HOLD:
            return count - 1 - offset, view
    return None


def unservable_at(job):
    """Return the time (s) at which the job becomes unservable."""
    waiting = job.waiting
    longest_s = max(
        (waiting.work[task] for task in waiting.tasks), default=0.0
    )
    return job.deadline_at - longest_s * UNSERVABLE_RUN_SHARE


def on_unservable_timer(node, job_id, now):
    """Fail a job early if it can no longer meet its deadline."""
    job = node.table.jobs.get(job_id)
    if job is None or job.answer is not None or not job.waiting.tasks:
        return []
    check_at = unservable_at(job)
    if check_at > now:
        node.timers.set(('unservable', job_id), check_at)
        return []
    return _outcomes.fail_job(
        node,
        job,
        'deadline',
        jobs.table.verdict(job),
        'the deadline can no longer be met',
        now,
        retry_after_s=UNSERVABLE_RETRY_AFTER_S,
    )
