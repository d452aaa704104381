"""Ends of runs and their reports to the entries."""

from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.runner import _capacity
from azurepier.runner import _progress

MS_PER_S = 1000


def end_message(order, status, run_ms, reason):
    """Return the message that reports the end of a run."""
    return messages.RunEnd(
        seq=order.seq, status=int(status), run_ms=run_ms, reason=reason
    )


def run_log_event(node, event, run, now):
    """Return the effect that logs an event of a run."""
    fields = {
        'task': run.order.task,
        'number': run.number,
        'entry': run.link.name,
        'ms': round((now - run.requested_at) * MS_PER_S),
        'phase': run.phase.name.lower(),
        'starts': 1 + run.retries + run.repeats,
        'stops': run.stop_requests,
        'reason': run.reason,
    }
    return effects.Log(event, fields)


def end_run(node, run, status, reason, now, lost_age_s=None):
    """Remove a run and queue the report of its end for the entry.

    `lost_age_s` is the age of a run at the loss of its worker (s).
    """
    order = run.order
    del node.runs[order.task]
    run.link.runs.pop(order.seq, None)
    node.timers.cancel(('stop', order.task, run.number))
    _capacity.update_usage(node, order, -1)
    run_ms = round((now - run.requested_at) * MS_PER_S)
    if status is Status.DONE:
        _capacity.record_success(node, run)
        _progress.on_done(node, run, now)
    elif status is Status.FAILED:
        _capacity.record_failure(node, order.task.partition('.')[0], now)
    node.count(f'ended_{status.name.lower()}')
    node.observe(f'run_{status.name.lower()}', now - run.requested_at)
    run.link.unreported_ends.append(end_message(order, status, run_ms, reason))
    if status is Status.DONE:
        return []
    run.reason = reason
    event = run_log_event(node, f'run_{status.name.lower()}', run, now)
    if lost_age_s is not None:
        event.fields['lost_age_ms'] = round(lost_age_s * MS_PER_S)
    return [event]
