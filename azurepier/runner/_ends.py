"""Ends of runs, as an endpoint process reports them."""

from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.runner import _progress
from azurepier.runner import _room

MS_PER_S = 1000


def end_message(order, status, run_ms, reason):
    """Return the message that reports the end of a run."""
    return messages.RunEnd(
        seq=order.seq, status=int(status), run_ms=run_ms, reason=reason
    )


def note_run(node, event, run, now):
    """Return the log line of an event of a run."""
    fields = {
        'task': run.order.task,
        'number': run.number,
        'entry': run.link.name,
        'ms': round((now - run.asked_at) * MS_PER_S),
        'reason': run.reason,
    }
    return effects.Log(event, fields)


def end_run(node, run, status, reason, now):
    """Forget a run and report its end to the entry."""
    order = run.order
    del node.runs[order.task]
    run.link.runs.pop(order.seq, None)
    node.timers.cancel(('stop', order.task, run.number))
    _room.take(node, order, -1)
    run_ms = round((now - run.asked_at) * MS_PER_S)
    if status is Status.DONE:
        _room.note_done(node, run)
        _progress.on_done(node, run, now)
    elif status is Status.FAILED:
        _room.note_failed(node, order.task.partition('.')[0], now)
    node.count(f'ended_{status.name.lower()}')
    node.observe(f'run_{status.name.lower()}', now - run.asked_at)
    run.link.fresh_ends.append(end_message(order, status, run_ms, reason))
    if status is Status.DONE:
        return []
    run.reason = reason
    return [note_run(node, f'run_{status.name.lower()}', run, now)]


def forget_runs(node, reason, now):
    """Report that nothing of what was started is running any more."""
    node.strays.clear()
    out = []
    for run in list(node.runs.values()):
        out += end_run(node, run, Status.STOPPED, reason, now)
    return out
