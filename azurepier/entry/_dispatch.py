"""Dispatch: matches waiting tasks with free slots."""

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

# A task that is expected to take longer counts as long-running.
LONG_LIMIT_S = 1.0
# Tasks that are held for faster endpoints before a pass ends.
HELD_MAX = 500
# Tasks of a job that are tried in a pass.
SKIPPED_MAX = 32
# Slots of endpoints that are slower than the fastest by a larger factor are
# no reserve for urgent work, which would end late there anyway.
RESERVE_SPEED = 1.2
# Largest share of all slots that is kept free for urgent work.
RESERVE_SHARE_MAX = 0.05
URGENT_WINDOW_S = 10.0
# Estimates are rough, so a job is given up only when even this share of the
# expected run time no longer fits.
LATE_SHARE = 0.3
RETRY_LATE_S = 1.0
# A job that seems too long from the start may still find free slots first.
TRY_AT_LEAST_S = 0.05


@attrs.define(eq=False)
class _Pass:
    """State of one attempt to start what waits.

    Parameters
    ----------
    ready : list of EndpointView
        Endpoints with a free slot, the fastest first.
    plan : SlotForecast
        When busy slots are expected to become free.
    fast : float
        Speed from which on a free slot counts for the urgent reserve.
    spare : int
        Fast slots that ordinary tasks may take.
    """

    node: object
    now: float
    ready: list
    plan: placement.SlotForecast
    fast: float
    spare: int
    held: int = 0
    out: list = attrs.field(factory=list)
    able: dict = attrs.field(factory=dict)  # endpoints by what a task needs


def dispatch(node, now):
    """Start what can be started now.

    Returns
    -------
    list
        Effects: one `StartBatch` for each endpoint that gets tasks.
    """
    node.dirty = False
    out = []
    if node.waiting_tasks:
        out += _match(node, now)
    _sending.update_wants(node)
    return out + _sending.flush(node)


def _match(node, now):
    run = _new_pass(node, now)
    candidates = node.queue.candidates()
    try:
        waiting = next(candidates)
        while run.ready and run.held < HELD_MAX:
            placed = _place(run, waiting)
            if placed is DispatchResult.BLOCKED:
                run.held += len(waiting.tasks)
            waiting = candidates.send(placed)
    except StopIteration:
        pass
    finally:
        candidates.close()
    return run.out


def _new_pass(node, now):
    views = [
        view
        for view in node.by_conn.values()
        if view.ready
        and not view.leaving
        and placement.breaker.allows(view.history.breaker, now)
    ]
    views.sort(key=lambda view: -view.history.speed)
    ready = [view for view in views if view.free > 0]
    fast = views[0].history.speed / RESERVE_SPEED if views else 0.0
    free = sum(view.free for view in ready if view.history.speed >= fast)
    free += sum(view.urgent for view in views)
    slots = sum(view.slots for view in views)
    spare = free - _urgent_reserve(node, slots, now)
    plan = placement.SlotForecast(views, now)
    return _Pass(node, now, ready, plan, fast, spare)


def note_urgent(node, work_s, now):
    """Count accepted urgent work for the size of the reserve."""
    use = node.urgent_load
    decay = math.exp((use.since - now) / URGENT_WINDOW_S)
    use.done_s = use.done_s * decay + work_s
    use.since = now


def _urgent_reserve(node, slots, now):
    """Return how many fast slots urgent tasks hold or may take at once.

    Notes
    -----
    The mean number of slots that urgent work holds, plus twice its square
    root for fluctuation, as for arrivals at random.
    """
    use = node.urgent_load
    decay = math.exp((use.since - now) / URGENT_WINDOW_S)
    load = use.done_s * decay / URGENT_WINDOW_S
    wanted = 1 + math.ceil(load + 2 * math.sqrt(load))
    return min(wanted, int(slots * RESERVE_SHARE_MAX))


def _can_run(run, view, spec, urgent, long_running):
    if not urgent:
        if view.credit <= 0:
            return False
        if run.spare <= 0 and view.history.speed >= run.fast:
            return False
    if long_running and view.long_free <= 0:
        return False
    if view.kinds and spec.kind not in view.kinds:
        return False
    return spec.size <= view.largest_size


def _place(run, waiting):
    node, now = run.node, run.now
    job = node.table.jobs[waiting.job_id]
    customer = waiting.customer
    if not limits.may_start(node.limits, customer, now):
        at = limits.next_allowed_at(node.limits, customer, now)
        if at is not None:
            node.timers.set(('quota', customer), at)
        return DispatchResult.CUSTOMER_BLOCKED
    found = _choose(run, waiting, job)
    if found is None:
        return DispatchResult.BLOCKED
    index, view = found
    task = queueing.pop_task(waiting, index)
    work_s = waiting.work[task]
    _sending.start(node, view, job, task, work_s, work_s > LONG_LIMIT_S, now)
    run.out.append(effects.Record('start', job.id, task, view.name))
    _use_slot(run, view)
    return DispatchResult.STARTED


def _use_slot(run, view):
    """Update what is ready after a start on an endpoint."""
    run.spare -= view.history.speed >= run.fast
    if view.free <= 0 or view.history.breaker.probing:
        run.ready.remove(view)
        run.able.clear()
    elif view.credit <= 0 or view.long_free <= 0 or run.spare <= 0:
        run.able.clear()


def _able(run, spec, urgent, long_running):
    """Return the endpoints that may take a task now, the fastest first."""
    key = (spec.kind, spec.size, urgent, long_running)
    able = run.able.get(key)
    if able is None:
        able = run.able[key] = [
            view
            for view in run.ready
            if _can_run(run, view, spec, urgent, long_running)
        ]
    return able


def _choose(run, waiting, job):
    """Choose a task of a job and an endpoint for it.

    The longest task comes first. If it is held for a faster endpoint, a
    shorter one, which would wait behind it, may still start now.

    Returns
    -------
    tuple of (int, EndpointView) or None
        Index in `waiting.tasks` and the endpoint.
    """
    count = len(waiting.tasks)
    for skipped in range(min(count, SKIPPED_MAX)):
        task = waiting.tasks[-1 - skipped]
        spec = job.spec.tasks[task]
        work_s = waiting.work[task]
        able = _able(run, spec, waiting.urgent, work_s > LONG_LIMIT_S)
        if not able:
            continue
        need = placement.PlacementRequest(work_s, run.plan)
        view = run.node.choose(able, need)
        if view is not placement.HOLD:
            return count - 1 - skipped, view
    return None


def late_at(job):
    """Return when the job can no longer end before its deadline."""
    waiting = job.waiting
    longest = max((waiting.work[task] for task in waiting.tasks), default=0.0)
    return job.deadline_at - longest * LATE_SHARE


def on_late(node, job_id, now):
    """Answer a job at once if it can't end before its deadline."""
    job = node.table.jobs.get(job_id)
    if job is None or job.answer is not None or not job.waiting.tasks:
        return []
    at = late_at(job)
    if at > now:
        node.timers.set(('late', job_id), at)
        return []
    return _outcomes.fail_job(
        node,
        job,
        'deadline',
        jobs.table.verdict(job),
        'the deadline can no longer be met',
        now,
        retry_after_s=RETRY_LATE_S,
    )
