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
        'reason': run.reason,
    }
    return effects.Log(event, fields)


def end_run(node, run, status, reason, now):
    """Remove a run and queue the report of its end for the entry."""
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
    return [run_log_event(node, f'run_{status.name.lower()}', run, now)]


def end_all_runs(node, reason, now):
    """End all runs, because the worker has lost or stopped them."""
    node.orphaned_runs.clear()
    out = []
    for run in list(node.runs.values()):
        out += end_run(node, run, Status.STOPPED, reason, now)
    return out
