"""Dispatch: matches waiting tasks with free slots."""

import math

from azurepier.entry import _outcomes
from azurepier.entry import _state
from azurepier import jobs
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import placement
from azurepier import queueing
from azurepier.queueing import Placed

# A task that is expected to take longer counts as long-running.
LONG_LIMIT_S = 1.0
# Tasks that are held for faster endpoints before a pass ends.
HELD_MAX = 500
# Tasks of a job that are tried in a pass.
SKIPPED_MAX = 32
NO_CHANGE = -1
# Slots of an endpoint for which there are no credits; see
# `azurepier.endpoint`.
RESERVED = 1
# Estimates are rough, so a job is given up only when even this share of the
# expected run time no longer fits.
LATE_SHARE = 0.3
RETRY_LATE_S = 1.0


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
    _update_wants(node)
    return out + _flush(node)


def _match(node, now):
    ready = _ready_views(node, now)
    out = []
    if not ready:
        return out
    plan = _plan(node, now)
    held = 0
    candidates = node.queue.candidates()
    try:
        waiting = next(candidates)
        while ready and held < HELD_MAX:
            placed = _place(node, waiting, ready, plan, now, out)
            if placed is Placed.BLOCKED:
                held += len(waiting.tasks)
            waiting = candidates.send(placed)
    except StopIteration:
        pass
    finally:
        candidates.close()
    return out


def _ready_views(node, now):
    """Return the endpoints that may take a task, the fastest first."""
    ready = [
        view
        for view in node.by_conn.values()
        if view.ready
        and not view.leaving
        and view.free > 0
        and placement.breaker.allows(view.history.breaker, now)
    ]
    ready.sort(key=lambda view: -view.history.speed)
    return ready


def _plan(node, now):
    views = [
        view
        for view in node.by_conn.values()
        if view.ready
        and not view.leaving
        and view.history.breaker.open_until is None
    ]
    views.sort(key=lambda view: -view.history.speed)
    return placement.Plan(views, now)


def _can_run(view, spec, urgent, long_running):
    if not urgent and view.credit <= 0:
        return False
    if long_running and view.long_free <= 0:
        return False
    if view.kinds and spec.kind not in view.kinds:
        return False
    return spec.size <= view.largest_size


def _place(node, waiting, ready, plan, now, out):
    job = node.table.jobs[waiting.job_id]
    customer = waiting.customer
    if not limits.may_start(node.limits, customer, now):
        at = limits.next_allowed_at(node.limits, customer, now)
        if at is not None:
            node.timers.set(('quota', customer), at)
        return Placed.CUSTOMER_BLOCKED
    found = _choose(node, waiting, job, ready, plan)
    if found is None:
        return Placed.BLOCKED
    index, view = found
    task = queueing.pop_task(waiting, index)
    work_s = waiting.work[task]
    _start(node, view, job, task, work_s, work_s > LONG_LIMIT_S, now)
    out.append(effects.Record('start', job.id, task, view.name))
    if view.free <= 0 or view.history.breaker.probing:
        ready.remove(view)
    return Placed.STARTED


def _choose(node, waiting, job, ready, plan):
    """Choose a task of a job and an endpoint for it.

    The longest task comes first. If it is held for a faster endpoint, a
    shorter one, which would wait behind it, may still start now.

    Returns
    -------
    tuple of (int, EndpointView) or None
        Index in `waiting.tasks` and the endpoint.
    """
    able = previous = None
    count = len(waiting.tasks)
    for skipped in range(min(count, SKIPPED_MAX)):
        task = waiting.tasks[-1 - skipped]
        spec = job.spec.tasks[task]
        work_s = waiting.work[task]
        wanted = (spec.kind, spec.size)
        if wanted != previous:
            previous = wanted
            able = [
                view
                for view in ready
                if _can_run(view, spec, waiting.urgent, work_s > LONG_LIMIT_S)
            ]
        if not able:
            continue
        need = placement.Need(work_s, plan)
        view = node.choose(able, need)
        if view is not placement.HOLD:
            return count - 1 - skipped, view
    return None


def _start(node, view, job, task, work_s, long_running, now):
    spec = job.spec
    urgent = job.waiting.urgent
    seq = view.next_seq
    view.next_seq += 1
    view.sent += not urgent
    view.free -= 1
    view.long_free -= long_running
    kind = spec.tasks[task].kind
    task_start = _state.OpenStart(
        job, task, kind, work_s, urgent, long_running, now, seq, view
    )
    view.open[seq] = task_start
    job.open[task] = task_start
    limits.started(node.limits, spec.customer, now)
    placement.breaker.started(view.history.breaker)
    waiting = _outcomes.count_waiting(node, spec.customer, -1)
    limits.demand(node.limits, spec.customer, waiting, now)
    node.count('starts_sent')
    view.outbox.append(
        messages.Start(
            seq=seq,
            job_id=job.id,
            task=task,
            customer=spec.customer,
            kind=kind,
            payload=spec.tasks[task].payload,
            urgent=urgent,
            long_running=long_running,
            idempotent=spec.idempotent,
            limit_ms=max(math.ceil((job.deadline_at - now) * 1000), 1),
        )
    )


def _update_wants(node):
    """Work out how many slots to ask each endpoint for."""
    views = [v for v in node.by_conn.values() if v.ready and not v.leaving]
    slots = sum(view.slots for view in views)
    for view in views:
        share = node.waiting_tasks * view.slots / slots
        held = view.credit + len(view.open)
        missing = max(view.slots - RESERVED - held, 0)
        view.want = min(math.ceil(share), missing)


def _flush(node):
    out = []
    for view in node.by_conn.values():
        if view.outbox:
            out.append(effects.Send(view.conn, _start_batch(view)))
            view.outbox = []
            view.acked = []
        elif view.ready and view.want and not view.wanted:
            # Without this the endpoint would leave slots that become free
            # to entries that have no work.
            view.wanted = view.want
            out.append(effects.Send(view.conn, messages.Want(count=view.want)))
            node.count('wants_sent')
        if view.cancels:
            msg = messages.CancelTasks(seqs=view.cancels)
            out.append(effects.Send(view.conn, msg))
            view.cancels = []
    return out


def _start_batch(view):
    want = NO_CHANGE
    if view.want != view.wanted:
        want = view.wanted = view.want
    return messages.StartBatch(starts=view.outbox, want=want, acked=view.acked)


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
