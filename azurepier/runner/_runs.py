"""Runs on the worker: starts, ends, stops and the lease.

Each run belongs to the connection with the entry that asked for it. A run
whose entry is silent is stopped; a run that nobody knows is stopped too. A
task name that is already on the worker is refused, because the caller may
have submitted its job again through another entry.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.runner import _model
from azurepier.runner import _progress
from azurepier.runner import _room
from azurepier.runner import _state
from azurepier.runner import _trial

MS_PER_S = 1000
# How long the worker may hold the answer back while nothing ends (ms).
LIST_WAIT_MS = 150
# Interval of lists while nothing runs; keeps the worker's clock known (s).
IDLE_LIST_S = 1.0
# Pause after lists that failed (s).
LIST_RETRY_S = 0.05
# A worker that has not answered for so long gets no new runs (s). Single
# answers get lost without a fault of the worker.
UNREACHABLE_S = 0.4
# A stop that is not confirmed is repeated after this time (s).
STOP_RETRY_S = 0.08
# Run numbers tried on a worker that has seen higher ones.
NUMBER_RETRIES = 3
NUMBER_STEP = 64
# How long the last run number of a task is remembered (tasks).
NUMBERS_MAX = 4096
# Pause after a worker said that it is unhealthy (s).
UNHEALTHY_S = 0.5
# Added to the generation when the worker has seen a higher one.
GENERATION_STEP = 3600

_STATUS_OF_HOW = {
    _model.How.DONE: Status.DONE,
    _model.How.FAILED: Status.FAILED,
    _model.How.STOPPED: Status.STOPPED,
    _model.How.LAPSED: Status.STOPPED,
    _model.How.OTHER: Status.STOPPED,
}


def lease_ms(node, now):
    """Return the end of a lease that begins now, on the worker's clock."""
    if node.clock_offset_ms is None:
        return None
    return round((now + bounds.LEASE_S) * MS_PER_S + node.clock_offset_ms)


# Orders ------------------------------------------------------------------


def on_orders(node, link, msg, now):
    """Start what an entry asks for, or refuse it."""
    out = []
    for order in msg.orders:
        link.seen = max(link.seen, order.seq)
        reason = _refusal(node, link, order, now)
        if reason is not None:
            end = _end_message(order, Status.REFUSED, 0, reason)
            link.fresh_ends.append(end)
            node.count(f'refused_{reason}')
            continue
        out += _start(node, link, order, now)
    node.changed = True
    return out


def _refusal(node, link, order, now):
    if not _room.accepts(node, now):
        return 'not_accepting'
    if order.task in node.runs or order.task in node.strays:
        return 'already_there'
    if not _room.has_room(node, order):
        return 'no_room'
    if _trial.refuses(node, link, now):
        return 'on_trial'
    return None


def _start(node, link, order, now):
    number = max(order.attempt, node.numbers.get(order.task, 0) + 1)
    _remember_number(node, order.task, number)
    run = _state.Run(order, link, number, now)
    node.runs[order.task] = run
    link.runs[order.seq] = run
    _room.take(node, order)
    _trial.note_start(node, link, now)
    node.count('starts')
    out = [_start_effect(node, run, now)]
    return out + want_list(node, now)


def _remember_number(node, task, number):
    node.numbers[task] = number
    node.numbers.move_to_end(task)
    while len(node.numbers) > NUMBERS_MAX:
        node.numbers.popitem(last=False)


def _start_effect(node, run, now):
    # The worker extends the lease of everything that runs on it.
    node.lease_until = now + bounds.LEASE_S
    return _model.StartRun(
        task=run.order.task,
        number=run.number,
        spec=run.order.spec,
        lease_ms=lease_ms(node, now),
        generation=node.generation,
        worker=node.worker.id if node.worker else '',
    )


def on_start_answered(node, event, now):
    """Process the worker's answer to a start."""
    run = node.runs.get(event.task)
    if run is None or run.number != event.number:
        return []
    if run.phase is not _state.Phase.STARTING:
        if event.result is _model.StartResult.STARTED:
            run.sure_at = now
        return []
    return _ON_RESULT[event.result](node, run, event.result, now)


def _started(node, run, result, now):
    run.phase = _state.Phase.RUNNING
    run.sure_at = now
    node.observe('start', now - run.asked_at)
    return want_list(node, now)


def _old_number(node, run, result, now):
    """Try again with a higher number."""
    if run.retries >= NUMBER_RETRIES:
        return _refuse(node, run, result, now)
    run.retries += 1
    run.number += NUMBER_STEP * run.retries
    run.asked_at = now
    _remember_number(node, run.order.task, run.number)
    return [_start_effect(node, run, now)]


def _old_generation(node, run, result, now):
    raise_generation(node)
    return _old_number(node, run, result, now)


def raise_generation(node):
    """Exceed a generation that the worker has seen from an earlier run.

    Only the process beside the worker sends it orders, so a higher number
    comes from a run of this process that has ended.
    """
    node.generation += GENERATION_STEP


def _refuse(node, run, result, now):
    return end_run(node, run, Status.REFUSED, result.value, now)


def _unhealthy(node, run, result, now):
    node.unhealthy_until = now + UNHEALTHY_S
    node.timers.set('changed', node.unhealthy_until)
    return _refuse(node, run, result, now)


def _not_sent(node, run, result, now):
    return _refuse(node, run, result, now) + unreachable(node, 'not_sent', now)


def _no_answer(node, run, result, now):
    """Let the next list tell whether the run is there."""
    run.phase = _state.Phase.UNSURE
    run.sure_at = now
    out = [_note_run(node, 'start_unanswered', run, now)]
    return out + list_now(node, now)


_ON_RESULT = {
    _model.StartResult.STARTED: _started,
    _model.StartResult.OLD_NUMBER: _old_number,
    _model.StartResult.OLD_GENERATION: _old_generation,
    _model.StartResult.TOO_LATE: _refuse,
    _model.StartResult.NO_ROOM: _refuse,
    _model.StartResult.UNHEALTHY: _unhealthy,
    _model.StartResult.OTHER_WORKER: _refuse,
    _model.StartResult.INVALID: _refuse,
    _model.StartResult.NOT_SENT: _not_sent,
    _model.StartResult.NO_ANSWER: _no_answer,
}


# Stops -------------------------------------------------------------------


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
    return _ask_stop(node, run.order.task, run.number, now)


def _ask_stop(node, task, number, now):
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
    return _ask_stop(node, task, number, now)


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
    return list_now(node, now)


# Lists -------------------------------------------------------------------


def want_list(node, now):
    """Ask the worker for its runs unless a request is open."""
    if node.listing:
        return []
    node.listing = True
    busy = any(run.phase is _state.Phase.RUNNING for run in node.runs.values())
    unsettled = any(
        run.phase is not _state.Phase.RUNNING for run in node.runs.values()
    )
    wait_ms = LIST_WAIT_MS if busy and not unsettled else 0
    return [_list_effect(node, wait_ms, now)]


def _list_effect(node, wait_ms, now):
    """Return a request for the list, which renews the lease if it may.

    A worker that does not answer may still carry the request out. It is not
    renewed then, so that the end of the last lease is known.
    """
    lease = lease_ms(node, now) if node.reachable else None
    if lease is not None:
        node.lease_until = now + bounds.LEASE_S
    return _model.ListRuns(lease, node.acked, wait_ms, node.generation)


def list_now(node, now):
    """Ask for the list although an earlier request may be held back."""
    node.listing = True
    return [_list_effect(node, 0, now)]


def on_list_timer(node, _, now):
    """Ask for the list although nothing runs."""
    return want_list(node, now)


def on_runs_listed(node, event, now):
    """Compare the worker's list with what should be there."""
    node.listing = False
    if event.asked_at < node.listed_as_of:
        # A later request was answered first.
        return want_list(node, now) if node.runs else []
    node.listed_as_of = event.asked_at
    out = _check_lifetime(node, event.born, now)
    first = node.clock_offset_ms is None
    node.clock_offset_ms = event.clock_ms - now * MS_PER_S
    if not node.reachable or first:
        node.reachable = True
        node.changed = True
        out.append(effects.Note('worker_reachable', {'born': event.born}))
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
    if node.runs or node.strays:
        node.timers.set('list', now + LIST_RETRY_S)
        if _settled(node):
            return out + want_list(node, now)
        return out
    node.timers.set('list', now + IDLE_LIST_S)
    return out


def _settled(node):
    """Tell whether the worker may hold the next list back."""
    return all(run.phase is _state.Phase.RUNNING for run in node.runs.values())


def _on_ended(node, row, now):
    if row.index <= node.acked:
        return []
    node.acked = row.index
    run = node.runs.get(row.task)
    if run is None or run.number != row.number:
        return []
    if run.phase is _state.Phase.STOPPING and row.how is _model.How.FAILED:
        return end_run(node, run, Status.STOPPED, run.reason, now)
    return end_run(
        node, run, _STATUS_OF_HOW[row.how], run.reason or row.how.value, now
    )


def _on_running(node, row, now):
    run = node.runs.get(row.task)
    if run is not None and run.number == row.number:
        out = _progress.on_listed(node, run, row.percent, now)
        if run.phase is _state.Phase.UNSURE:
            return out + _started(node, run, None, now)
        return out
    if run is not None and run.phase is _state.Phase.STARTING:
        # An unanswered start of a lower number was carried out.
        return _ask_stop(node, row.task, row.number, now)
    if node.strays.get(row.task) == row.number:
        return []
    node.strays[row.task] = row.number
    fields = {'task': row.task, 'number': row.number}
    out = [effects.Note('stray_run_stopped', fields)]
    return out + _ask_stop(node, row.task, row.number, now)


def _check_listed(node, run, listed, event, now):
    """Process that a run is not on a list made after it was started."""
    row = listed.get(run.order.task)
    if row is not None and row.number == run.number:
        return []
    if run.phase is _state.Phase.STARTING or event.asked_at <= run.sure_at:
        return []
    return _ON_MISSING[run.phase](node, run, now)


def _vanished(node, run, now):
    return end_run(node, run, Status.STOPPED, 'not_listed', now)


def _never_there(node, run, now):
    """Make sure that an unanswered start is not carried out any more."""
    return stop_run(node, run, 'start_unanswered', now)


def _stopped(node, run, now):
    if ('stop', run.order.task, run.number) in node.timers:
        return []
    status = Status.STOPPED
    if run.reason == 'start_unanswered':
        status = Status.REFUSED
    return end_run(node, run, status, run.reason, now)


_ON_MISSING = {
    _state.Phase.RUNNING: _vanished,
    _state.Phase.UNSURE: _never_there,
    _state.Phase.STOPPING: _stopped,
}


def on_list_failed(node, event, now):
    """Try again soon; what runs ends with its lease."""
    node.listing = False
    if event.old_generation:
        raise_generation(node)
    node.timers.set('list', now)
    out = []
    if now - node.listed_as_of > UNREACHABLE_S:
        node.timers.set('list', now + LIST_RETRY_S)
        out = unreachable(node, event.reason, now)
    if event.other_worker:
        return out + forget_runs(node, 'other_worker', now)
    if now > node.lease_until + bounds.LEASE_MARGIN_S and node.runs:
        return out + forget_runs(node, 'lease_over', now)
    return out


def unreachable(node, reason, now):
    """Note that the worker does not answer."""
    if not node.reachable:
        return []
    node.reachable = False
    node.changed = True
    return [effects.Note('worker_unreachable', {'reason': reason})]


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
    out = [effects.Note('worker_restarted', {'born': born})]
    return out + forget_runs(node, 'worker_restarted', now)


def on_new_lifetime(node, born, now):
    """Forget what an earlier run of the worker had."""
    return _check_lifetime(node, born, now)


def forget_runs(node, reason, now):
    """Report that nothing of what was started is running any more."""
    node.strays.clear()
    out = []
    for run in list(node.runs.values()):
        out += end_run(node, run, Status.STOPPED, reason, now)
    return out


# Ends --------------------------------------------------------------------


def _end_message(order, status, run_ms, reason):
    return messages.RunEnd(
        seq=order.seq, status=int(status), run_ms=run_ms, reason=reason
    )


def _note_run(node, event, run, now):
    fields = {
        'task': run.order.task,
        'number': run.number,
        'entry': run.link.name,
        'ms': round((now - run.asked_at) * MS_PER_S),
        'reason': run.reason,
    }
    return effects.Note(event, fields)


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
    run.link.fresh_ends.append(_end_message(order, status, run_ms, reason))
    if status is Status.DONE:
        return []
    run.reason = reason
    return [_note_run(node, f'run_{status.name.lower()}', run, now)]
