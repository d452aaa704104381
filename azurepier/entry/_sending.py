"""Messages to endpoints: starts, wanted slots and cancellations."""

import math

from azurepier.entry import _outcomes
from azurepier.entry import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import placement

NO_CHANGE = -1


def start(node, view, job, task, work_s, long_running, now):
    spec = job.spec
    urgent = job.waiting.urgent
    seq = view.next_seq
    view.next_seq += 1
    view.sent += not urgent
    view.urgent += urgent
    view.free -= 1
    view.long_free -= long_running
    task_spec = spec.tasks[task]
    task_start = _state.OpenStart(
        job, task, task_spec, work_s, urgent, long_running, now, seq, view
    )
    view.open[seq] = task_start
    job.open[task] = task_start
    limits.started(node.limits, spec.customer, now)
    placement.breaker.record_start(view.history.breaker)
    waiting = _outcomes.count_waiting(node, spec.customer, -1)
    limits.demand(node.limits, spec.customer, waiting, now)
    node.count('starts_sent')
    view.outbox.append(
        messages.Start(
            seq=seq,
            job_id=job.id,
            task=task,
            customer=spec.customer,
            kind=task_spec.kind,
            payload=task_spec.payload,
            urgent=urgent,
            long_running=long_running,
            idempotent=spec.idempotent,
            limit_ms=max(math.ceil((job.deadline_at - now) * 1000), 1),
        )
    )


def update_wants(node):
    """Work out how many slots to ask each endpoint for."""
    views = [v for v in node.by_conn.values() if v.ready and not v.leaving]
    slots = sum(view.slots for view in views)
    for view in views:
        share = node.waiting_tasks * view.slots / slots
        held = view.credit + len(view.open)
        missing = max(view.slots - held, 0)
        view.want = min(math.ceil(share), missing)


def flush(node):
    out = []
    for view in node.by_conn.values():
        if view.outbox:
            out += _start_batches(view)
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


def _start_batches(view):
    want = NO_CHANGE
    if view.want != view.wanted:
        want = view.wanted = view.want
    out = []
    acked = view.acked
    for starts in kernel.batches(view.outbox, _payload_size):
        msg = messages.StartBatch(starts=starts, want=want, acked=acked)
        out.append(effects.Send(view.conn, msg))
        want, acked = NO_CHANGE, []
    return out


def _payload_size(start):
    return len(start.payload)
