"""Reconciliation of the worker's list of runs with the expected runs.

Orphaned runs are stopped. The list also reveals starts and stops that were
lost, a new incarnation of the worker, and the worker's clock.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _crashes
from azurepier.runner import _ends
from azurepier.runner import _identity
from azurepier.runner import _model
from azurepier.runner import _progress
from azurepier.runner import _requests
from azurepier.runner import _runs
from azurepier.runner import _stops

# Interval of list requests while there are no runs (s); they keep the offset
# of the worker's clock up to date.
IDLE_LIST_INTERVAL_S = 1.0
# Delay before a list request is repeated (s).
LIST_RETRY_S = 0.05
# A worker that has not answered for this time gets no new runs (s). The loss
# of a single answer doesn't indicate a fault of the worker.
UNREACHABLE_AFTER_S = 0.4
_STATUS_BY_OUTCOME = {
    _model.RunOutcome.DONE: Status.DONE,
    _model.RunOutcome.FAILED: Status.FAILED,
    _model.RunOutcome.STOPPED: Status.STOPPED,
    _model.RunOutcome.LAPSED: Status.STOPPED,
    _model.RunOutcome.OTHER: Status.STOPPED,
}


def on_runs_listed(node, event, now):
    """Reconcile the worker's list with the expected runs."""
    is_latest = _requests.complete_request(node, event)
    if event.requested_at < node.last_list_requested_at:
        # The answer to a later request has arrived already.
        return []
    node.last_list_requested_at = event.requested_at
    rows = (*event.running, *event.ended)
    listed_runs = {(row.task, row.number) for row in rows}
    has_restarted = node.born not in (None, event.born)
    out = _check_incarnation(node, event, listed_runs, now)
    _crashes.record_answer(node)
    is_first_list = node.clock_offset_ms is None
    node.clock_offset_ms = event.clock_ms - now * _ends.MS_PER_S
    if not node.reachable or is_first_list:
        node.reachable = True
        node.changed = True
        out.append(effects.Log('worker_reachable', {'born': event.born}))
    for row in event.ended:
        out += _on_ended(node, row, now)
    listed = {}
    for row in event.running:
        listed[row.task] = row
        out += _on_running(node, row, now)
    if has_restarted:
        # The next list makes the worker refuse starts of ended runs, too.
        out += _requests.request_list_now(node, now)
    if event.omitted:
        # A run that seems to be missing may be one of the omitted rows.
        node.count('list_rows_omitted', event.omitted)
        out += _crashes.end_overdue_runs(node, now)
    else:
        out += _check_missing(node, listed, event, now)
    return out + (_request_next_list(node, now) if is_latest else [])


def _check_missing(node, listed, event, now):
    out = []
    for run in list(node.runs.values()):
        out += _check_listed(node, run, listed, event, now)
    for task in list(node.orphaned_runs):
        if task not in listed:
            _forget_orphaned_run(node, task)
    return out


def _forget_orphaned_run(node, task):
    number = node.orphaned_runs.pop(task)
    node.timers.cancel(('stop', task, number))


def _request_next_list(node, now):
    if not node.runs and not node.orphaned_runs:
        node.timers.set('list', now + IDLE_LIST_INTERVAL_S)
        return []
    node.timers.set('list', now + LIST_RETRY_S)
    if _requests.is_settled(node):
        return _requests.request_list(node, now)
    return []


def _on_ended(node, row, now):
    if row.index <= node.acked:
        return []
    node.acked = row.index
    if node.orphaned_runs.get(row.task) == row.number:
        _forget_orphaned_run(node, row.task)
    run = node.runs.get(row.task)
    if run is None or run.number != row.number:
        return []
    if (
        run.phase is _runs.Phase.STOPPING
        and row.outcome is _model.RunOutcome.FAILED
    ):
        return _ends.end_run(node, run, Status.STOPPED, run.reason, now)
    return _ends.end_run(
        node,
        run,
        _STATUS_BY_OUTCOME[row.outcome],
        run.reason or row.outcome.value,
        now,
    )


def _on_running(node, row, now):
    run = node.runs.get(row.task)
    if run is not None and run.number == row.number:
        out = []
        if row.percent is not None:
            out = _progress.on_listed(node, run, row.percent, now)
        run.loss = run.fenced_from = None
        if run.phase is _runs.Phase.UNSURE:
            return out + _requests.confirm_started(node, run, None, now)
        return out
    if run is not None and run.phase is _runs.Phase.STARTING:
        # The worker executed an unanswered start with a lower number.
        return _stops.request_stop(node, row.task, row.number, now)
    if node.orphaned_runs.get(row.task) == row.number:
        return []
    node.orphaned_runs[row.task] = row.number
    fields = {'task': row.task, 'number': row.number}
    out = [effects.Log('orphaned_run_stopped', fields)]
    return out + _stops.request_stop(node, row.task, row.number, now)


def _check_listed(node, run, listed, event, now):
    """Handle a run that should be listed and is missing."""
    row = listed.get(run.order.task)
    if row is not None and row.number == run.number:
        return []
    if _crashes.is_fenced(run, event.number):
        if row is not None:
            # A start with another number was carried out; it is being stopped.
            return []
        return _crashes.end_lost_run(node, run, now)
    if (
        run.phase is _runs.Phase.STARTING
        or event.requested_at <= run.call_ended_at
    ):
        return []
    return _ON_MISSING[run.phase](node, run, now)


def _on_run_missing(node, run, now):
    return _ends.end_run(node, run, Status.STOPPED, 'not_listed', now)


def _on_start_not_listed(node, run, now):
    """Prevent the worker from executing an unanswered start later."""
    return _stops.stop_run(node, run, 'start_unanswered', now)


def _on_stopped(node, run, now):
    if ('stop', run.order.task, run.number) in node.timers:
        return []
    status = Status.STOPPED
    if run.reason == 'start_unanswered' and run.loss is None:
        status = Status.REFUSED
    return _ends.end_run(node, run, status, run.reason, now)


_ON_MISSING = {
    _runs.Phase.RUNNING: _on_run_missing,
    _runs.Phase.UNSURE: _on_start_not_listed,
    _runs.Phase.STOPPING: _on_stopped,
}


def on_list_failed(node, event, now):
    """Retry soon, and end the runs whose lease must have expired."""
    is_latest = _requests.complete_request(node, event)
    _crashes.record_failed_call(node, now, event.refused)
    if event.old_generation and is_latest:
        # Earlier requests may have a generation that was raised meanwhile.
        _requests.raise_generation(node)
    out = []
    delay_s = 0.0
    if now - node.last_list_requested_at > UNREACHABLE_AFTER_S:
        delay_s = LIST_RETRY_S
        out = _requests.mark_unreachable(node, event.reason, now)
    if is_latest:
        node.timers.set('list', now + delay_s)
    if event.other_worker:
        return out + _crashes.end_lost_runs(node, 'other_worker', now)
    if now > node.lease_end_at + bounds.LEASE_MARGIN_S and node.runs:
        return out + _crashes.end_lost_runs(node, 'lease_over', now)
    return out


def _check_incarnation(node, event, listed_runs, now):
    """Recognise a new incarnation, and end the runs that it doesn't list.

    It may have taken a start before this process knew of it.
    """
    is_known = node.born is None or event.born == node.born
    out = _identity.on_listed(node, event.born, now)
    if is_known:
        return out
    node.acked = 0
    node.clock_offset_ms = None
    # The new incarnation may carry out a delayed start of the earlier one, if
    # it has the same id. The next call makes it refuse the lower generation.
    node.generation += 1
    for run in node.runs.values():
        # A start that was confirmed after the request for this list may have
        # been carried out by the new incarnation, after the list.
        if run.call_ended_at >= event.requested_at:
            run.starts_resolved = False
    out.append(effects.Log('worker_restarted', {'born': event.born}))
    return out + _crashes.end_lost_runs(
        node, 'worker_restarted', now, listed_runs
    )
