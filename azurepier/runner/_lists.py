"""The worker's list of runs, compared with what should be there.

Runs that nobody knows are stopped. The list also shows lost starts and stops,
a new lifetime of the worker and its clock.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _ends
from azurepier.runner import _model
from azurepier.runner import _progress
from azurepier.runner import _requests
from azurepier.runner import _state
from azurepier.runner import _stops

# Interval of lists while nothing runs; keeps the worker's clock known (s).
IDLE_LIST_S = 1.0
# Pause after lists that failed (s).
LIST_RETRY_S = 0.05
# A worker that has not answered for so long gets no new runs (s). Single
# answers get lost without a fault of the worker.
UNREACHABLE_S = 0.4
_STATUS_OF_HOW = {
    _model.How.DONE: Status.DONE,
    _model.How.FAILED: Status.FAILED,
    _model.How.STOPPED: Status.STOPPED,
    _model.How.LAPSED: Status.STOPPED,
    _model.How.OTHER: Status.STOPPED,
}


def on_runs_listed(node, event, now):
    """Compare the worker's list with what should be there."""
    latest = _requests.is_latest(node, event)
    if event.asked_at < node.listed_as_of:
        # A later request was answered first.
        return []
    node.listed_as_of = event.asked_at
    out = _check_lifetime(node, event.born, now)
    first = node.clock_offset_ms is None
    node.clock_offset_ms = event.clock_ms - now * _ends.MS_PER_S
    if not node.reachable or first:
        node.reachable = True
        node.changed = True
        out.append(effects.Log('worker_reachable', {'born': event.born}))
    for row in event.ended:
        out += _on_ended(node, row, now)
    listed = {}
    for row in event.running:
        listed[row.task] = row
        out += _on_running(node, row, now)
    for run in list(node.runs.values()):
        out += _check_listed(node, run, listed, event, now)
    for task, number in list(node.strays.items()):
        if task not in listed:
            del node.strays[task]
            node.timers.cancel(('stop', task, number))
    return out + (_next_list(node, now) if latest else [])


def _next_list(node, now):
    if not node.runs and not node.strays:
        node.timers.set('list', now + IDLE_LIST_S)
        return []
    node.timers.set('list', now + LIST_RETRY_S)
    if _requests.is_settled(node):
        return _requests.want_list(node, now)
    return []


def _on_ended(node, row, now):
    if row.index <= node.acked:
        return []
    node.acked = row.index
    run = node.runs.get(row.task)
    if run is None or run.number != row.number:
        return []
    if run.phase is _state.Phase.STOPPING and row.how is _model.How.FAILED:
        return _ends.end_run(node, run, Status.STOPPED, run.reason, now)
    return _ends.end_run(
        node, run, _STATUS_OF_HOW[row.how], run.reason or row.how.value, now
    )


def _on_running(node, row, now):
    run = node.runs.get(row.task)
    if run is not None and run.number == row.number:
        out = _progress.on_listed(node, run, row.percent, now)
        if run.phase is _state.Phase.UNSURE:
            return out + _requests.note_started(node, run, None, now)
        return out
    if run is not None and run.phase is _state.Phase.STARTING:
        # An unanswered start of a lower number was carried out.
        return _stops.ask_stop(node, row.task, row.number, now)
    if node.strays.get(row.task) == row.number:
        return []
    node.strays[row.task] = row.number
    fields = {'task': row.task, 'number': row.number}
    out = [effects.Log('stray_run_stopped', fields)]
    return out + _stops.ask_stop(node, row.task, row.number, now)


def _check_listed(node, run, listed, event, now):
    """Process that a run is not on a list made after it was started."""
    row = listed.get(run.order.task)
    if row is not None and row.number == run.number:
        return []
    if run.phase is _state.Phase.STARTING or event.asked_at <= run.sure_at:
        return []
    return _ON_MISSING[run.phase](node, run, now)


def _vanished(node, run, now):
    return _ends.end_run(node, run, Status.STOPPED, 'not_listed', now)


def _never_there(node, run, now):
    """Make sure that an unanswered start is not carried out any more."""
    return _stops.stop_run(node, run, 'start_unanswered', now)


def _stopped(node, run, now):
    if ('stop', run.order.task, run.number) in node.timers:
        return []
    status = Status.STOPPED
    if run.reason == 'start_unanswered':
        status = Status.REFUSED
    return _ends.end_run(node, run, status, run.reason, now)


_ON_MISSING = {
    _state.Phase.RUNNING: _vanished,
    _state.Phase.UNSURE: _never_there,
    _state.Phase.STOPPING: _stopped,
}


def on_list_failed(node, event, now):
    """Try again soon; what runs ends with its lease."""
    latest = _requests.is_latest(node, event)
    if event.old_generation:
        _requests.raise_generation(node)
    out = []
    pause_s = 0.0
    if now - node.listed_as_of > UNREACHABLE_S:
        pause_s = LIST_RETRY_S
        out = _requests.unreachable(node, event.reason, now)
    if latest:
        node.timers.set('list', now + pause_s)
    if event.other_worker:
        return out + _ends.forget_runs(node, 'other_worker', now)
    if now > node.lease_until + bounds.LEASE_MARGIN_S and node.runs:
        return out + _ends.forget_runs(node, 'lease_over', now)
    return out


def _check_lifetime(node, born, now):
    if node.born is None or born == node.born:
        node.born = born
        return []
    node.born = born
    node.acked = 0
    node.clock_offset_ms = None
    if node.worker is not None and node.worker.born != born:
        node.worker = None
        node.changed = True
    out = [effects.Log('worker_restarted', {'born': born})]
    return out + _ends.forget_runs(node, 'worker_restarted', now)


def on_new_lifetime(node, born, now):
    """Forget what an earlier run of the worker had."""
    return _check_lifetime(node, born, now)
