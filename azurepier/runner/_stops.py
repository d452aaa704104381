"""Stops of runs, which are repeated until the worker confirms them."""

from azurepier.runner import _model
from azurepier.runner import _requests
from azurepier.runner import _state

# A stop that is not confirmed is repeated after this time (s).
STOP_RETRY_S = 0.08


def on_stops(node, link, msg, now):
    """Stop runs that an entry does not want any more."""
    out = []
    for seq in msg.seqs:
        run = link.runs.get(seq)
        if run is not None:
            out += stop_run(node, run, 'asked', now)
    return out


def stop_run(node, run, reason, now):
    """Stop a run; its end follows."""
    if run.phase is _state.Phase.STOPPING:
        return []
    run.phase = _state.Phase.STOPPING
    run.reason = reason
    return ask_stop(node, run.order.task, run.number, now)


def ask_stop(node, task, number, now):
    """Return the stop of a run, and repeat it until it is confirmed."""
    node.timers.set(('stop', task, number), now + STOP_RETRY_S)
    return [_model.StopRun(task, number, node.generation)]


def on_stop_timer(node, argument, now):
    """Repeat a stop that was not confirmed."""
    task, number = argument
    run = node.runs.get(task)
    is_run = run is not None and run.number == number
    if not is_run and node.strays.get(task) != number:
        return []
    node.count('stops_repeated')
    return ask_stop(node, task, number, now)


def on_stop_answered(node, event, now):
    """Treat a confirmed stop as the end of the run."""
    if not event.confirmed:
        return []
    node.timers.cancel(('stop', event.task, event.number))
    if node.strays.get(event.task) == event.number:
        # Lists made before the stop still show it.
        return []
    run = node.runs.get(event.task)
    if run is None or run.number != event.number:
        return []
    # The room is free only when the worker lists the end. A run that was
    # never there is listed nowhere and can't start any more.
    run.sure_at = now
    return _requests.list_now(node, now)
