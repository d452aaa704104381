"""Stop requests, which are repeated until the worker confirms them."""

from azurepier.kernel import Status
from azurepier.runner import _ends
from azurepier.runner import _lease
from azurepier.runner import _model
from azurepier.runner import _requests
from azurepier.runner import _runs
from azurepier.runner import _waiting

# Delay before an unconfirmed stop request is repeated (s), and the shorter one
# if the lease would end the run otherwise, with all others. A worker on the
# same machine answers within a millisecond; each repetition may cost a new
# connection.
STOP_RETRY_S = 0.08
URGENT_STOP_RETRY_S = 0.02


def on_stops(node, link, msg, now):
    """Stop the runs that an entry has asked to stop.

    An order that waits ends without a start.
    """
    out = []
    for seq in msg.seqs:
        waiting = link.waiting.get(seq)
        if waiting is not None:
            _waiting.refuse(node, waiting, 'asked', now)
        run = link.runs.get(seq)
        if run is not None:
            out += stop_run(node, run, 'asked', now)
    return out


def stop_run(node, run, reason, now):
    """Request the stop of a run; the end is reported once it is confirmed."""
    _lease.limit_renewal(run, reason, now)
    if run.phase is _runs.Phase.STOPPING:
        return []
    run.phase = _runs.Phase.STOPPING
    run.reason = reason
    return request_stop(node, run.order.task, run.number, now)


def request_stop(node, task, number, now):
    """Return a stop request and schedule its repetition."""
    run = node.runs.get(task)
    retry_s = URGENT_STOP_RETRY_S
    if run is not None and run.number == number:
        run.stop_requests += 1
        if not _lease.limits_renewal(run):
            retry_s = STOP_RETRY_S
    node.timers.set(('stop', task, number), now + retry_s)
    return [_model.StopRun(task, number, node.generation)]


def on_stop_timer(node, argument, now):
    """Repeat a stop request that was not confirmed."""
    task, number = argument
    run = node.runs.get(task)
    is_known = run is not None and run.number == number
    if not is_known and node.orphaned_runs.get(task) != number:
        return []
    if is_known and run.loss is None and _lease.is_over(node, now):
        # It may never have begun, so that no list shows its end. Its start
        # can't be carried out any more either.
        return _ends.end_run(node, run, Status.STOPPED, run.reason, now)
    node.count('stops_repeated')
    return request_stop(node, task, number, now)


def on_stop_answered(node, event, now):
    """Request the list, which shows the end of the stopped run."""
    if not event.confirmed:
        return []
    node.timers.cancel(('stop', event.task, event.number))
    if node.orphaned_runs.get(event.task) == event.number:
        # Lists that were created before the stop still contain the run.
        return []
    run = node.runs.get(event.task)
    if run is None or run.number != event.number:
        return []
    # The capacity is free only once the worker lists the end. A run that never
    # started is on no list and can't be started any more.
    run.call_ended_at = now
    return _requests.request_list_now(node, now)
