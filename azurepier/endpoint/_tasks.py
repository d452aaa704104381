"""Starts, cancellations and outcomes of tasks; health of the worker."""

from azurepier.endpoint import _credits
from azurepier.endpoint import _drain
from azurepier.endpoint import _retention
from azurepier.endpoint import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages

# A task is stopped this long after the job's deadline (s), in case the entry
# that should have cancelled it has failed.
LIMIT_GRACE_S = 1.0
# How long no task starts after a connection to the worker failed (s).
WORKER_RETRY_S = 1.0
Status = kernel.Status


def on_start_batch(node, link, msg, now):
    """Run or refuse each start of a batch."""
    acknowledge(link, msg.acked)
    if msg.want >= 0:
        link.slots_requested = msg.want
    out = []
    refused = []
    for start in msg.starts:
        status = _refusal_status(node, link, start, now)
        if status is None:
            out += _start_task(node, link, start, now)
        else:
            refused.append(_refuse(node, link, start, status))
            out.append(
                effects.Record(
                    'refused',
                    start.job_id,
                    start.task,
                    node.options.name,
                    status.name.lower(),
                )
            )
    to_notify = _credits.distribute(node)
    if refused:
        to_notify.discard(link.incarnation)
        out.append(outcome_batch(node, link, refused, now))
    return out + _credits.grant_effects(node, to_notify, now)


def _refusal_status(node, link, start, now):
    """Return the status that a start is refused with, None if it may run."""
    link.highest_seq = max(link.highest_seq, start.seq)
    allowed = (
        _credits.free_slots(node) > 0
        if start.urgent
        else _credits.admit_ordinary(node, link)
    )
    if node.draining:
        return Status.LEAVING
    if start.job_id in node.fenced_until:
        return Status.FENCED
    if not allowed:
        return Status.REFUSED
    if start.long_running and _credits.long_free(node, now) == 0:
        return Status.REFUSED
    if not _retention.record_start(node, start):
        node.count('duplicate_starts')
        return Status.LOST
    return None


def _start_task(node, link, start, now):
    key = (link.incarnation, start.seq)
    node.running[key] = _state.RunningTask(start, link, now)
    limit_s = start.limit_ms / 1000 + LIMIT_GRACE_S
    node.timers.set(('limit', key), now + limit_s)
    node.count('starts')
    return [
        effects.RunTask(key, start),
        effects.Record(
            'admitted', start.job_id, start.task, node.options.name
        ),
    ]


def _refuse(node, link, start, status):
    """Return the outcome of a refused start, kept until acknowledged."""
    node.count('refusals')
    outcome = messages.Outcome(
        seq=start.seq, status=int(status), output=b'', run_ms=0
    )
    link.unacked[start.seq] = outcome
    return outcome


def outcome_batch(node, link, outcomes, now):
    """Return the effect that sends outcomes and the current credits."""
    return effects.Send(
        link.conn,
        messages.OutcomeBatch(
            outcomes=outcomes,
            granted=link.granted,
            free=_credits.free_slots(node),
            long_free=_credits.long_free(node, now),
            seen=link.highest_seq,
        ),
    )


def output_size(outcome):
    """Return the size of a task's output in bytes."""
    return len(outcome.output)


def acknowledge(link, acked):
    """Discard the outcomes that the entry has received."""
    for seq in acked:
        link.unacked.pop(seq, None)


def on_cancel(node, link, msg, now):
    """Stop the running tasks that the entry has cancelled."""
    out = []
    for seq in msg.seqs:
        key = (link.incarnation, seq)
        running = node.running.get(key)
        if running is not None and not running.cancelled:
            running.cancelled = True
            out.append(effects.StopTask(key))
    return out


def on_task_ended(node, event, now):
    """Record the outcome of a task, report it and distribute its slot."""
    running = node.running.pop(event.key, None)
    if running is None:
        return []
    node.timers.cancel(('limit', event.key))
    start, link = running.start, running.link
    if event.status == Status.REFUSED:
        return _on_worker_unreachable(node, link, start, now)
    outcome = messages.Outcome(
        seq=start.seq,
        status=int(event.status),
        output=event.output,
        run_ms=event.run_ms,
    )
    link.unacked[start.seq] = outcome
    _retention.record_outcome(node, start, event.status, event.output, now)
    to_notify = _credits.distribute(node, link)
    out = [
        effects.Record(
            'ended',
            start.job_id,
            start.task,
            node.options.name,
            Status(event.status).name.lower(),
        )
    ]
    if link.conn is not None:
        to_notify.discard(link.incarnation)
        out.insert(0, outcome_batch(node, link, [outcome], now))
    return (
        out
        + _credits.grant_effects(node, to_notify, now)
        + _drain.on_run_ended(node, now)
    )


def _on_worker_unreachable(node, link, start, now):
    """Report a start as not run because the worker refused the connection.

    The worker counts as unhealthy until it is reported healthy or
    `WORKER_RETRY_S` has passed; otherwise the entry would immediately send
    the same task again.
    """
    _retention.discard_start(node, start)
    node.healthy = False
    node.timers.set('worker', now + WORKER_RETRY_S)
    _credits.distribute(node)
    out = []
    refusal = _refuse(node, link, start, Status.REFUSED)
    if link.conn is not None:
        out.append(outcome_batch(node, link, [refusal], now))
    return out + _credits.grant_effects(node, set(node.links), now)


def on_worker_timer(node, _, now):
    """Count the worker as healthy again after a refused connection."""
    return on_worker_health_changed(
        node, events.WorkerHealthChanged(healthy=True), now
    )


def on_worker_health_changed(node, event, now):
    """Grant credits again or take them back as the health changes."""
    if event.healthy == node.healthy:
        return []
    node.healthy = event.healthy
    node.timers.cancel('worker')
    _credits.distribute(node)
    event_name = 'worker_up' if event.healthy else 'worker_down'
    out = [effects.Record(event_name, endpoint=node.options.name)]
    return out + _credits.grant_effects(node, set(node.links), now)


def on_time_limit(node, key, now):
    """Stop a task that has exceeded its time limit."""
    running = node.running.get(key)
    if running is None or running.cancelled:
        return []
    running.cancelled = True
    return [effects.StopTask(key)]
