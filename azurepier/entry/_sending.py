"""Messages to endpoints: starts, requests for slots and cancellations."""

import math

from azurepier.entry import _outcomes
from azurepier.entry import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import placement

WANT_UNCHANGED = -1


def start_task(node, view, job, task, work_s, long_running, now):
    """Record the start of a task and queue its message to the endpoint."""
    spec = job.spec
    urgent = job.waiting.urgent
    seq = view.next_seq
    view.next_seq += 1
    view.sent += not urgent
    view.urgent_open_starts += urgent
    view.free -= 1
    view.long_free -= long_running
    task_spec = spec.tasks[task]
    task_start = _state.OpenStart(
        job, task, task_spec, work_s, urgent, long_running, now, seq, view
    )
    view.open_starts[seq] = task_start
    job.open_starts[task] = task_start
    limits.record_start(node.limits, spec.customer, now)
    placement.breaker.record_start(view.history.breaker)
    waiting = _outcomes.adjust_waiting_count(node, spec.customer, -1)
    limits.set_waiting(node.limits, spec.customer, waiting, now)
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


def update_wanted_slots(node):
    """Update the number of slots wanted of each endpoint."""
    views = [v for v in node.by_conn.values() if v.ready and not v.leaving]
    slots = sum(view.slots for view in views)
    for view in views:
        share = node.waiting_tasks * view.slots / slots
        allotted = view.credit + len(view.open_starts)
        unallotted = max(view.slots - allotted, 0)
        view.slots_wanted = min(math.ceil(share), unallotted)


def flush(node):
    """Return effects that send all pending messages to the endpoints."""
    out = []
    for view in node.by_conn.values():
        if view.outbox:
            out += _start_batches(view)
            view.outbox = []
            view.pending_acks = []
        elif view.ready and view.slots_wanted and not view.slots_requested:
            # Without a request, the endpoint would grant slots that become
            # free to entries without waiting tasks.
            view.slots_requested = view.slots_wanted
            out.append(
                effects.Send(view.conn, messages.Want(count=view.slots_wanted))
            )
            node.count('wants_sent')
        if view.pending_cancels:
            msg = messages.CancelTasks(seqs=view.pending_cancels)
            out.append(effects.Send(view.conn, msg))
            view.pending_cancels = []
    return out


def _start_batches(view):
    want = WANT_UNCHANGED
    if view.slots_wanted != view.slots_requested:
        want = view.slots_requested = view.slots_wanted
    out = []
    acked = view.pending_acks
    for starts in kernel.batches(view.outbox, _payload_size):
        msg = messages.StartBatch(starts=starts, want=want, acked=acked)
        out.append(effects.Send(view.conn, msg))
        want, acked = WANT_UNCHANGED, []
    return out


def _payload_size(start):
    return len(start.payload)
