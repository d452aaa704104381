"""Starts of runs that entries ask for.

Each run belongs to the connection with the entry that asked for it. A task
name that is already on the worker is refused, because the caller may have
submitted its job again through another entry.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _ends
from azurepier.runner import _model
from azurepier.runner import _requests
from azurepier.runner import _room
from azurepier.runner import _state
from azurepier.runner import _trial

# Run numbers tried on a worker that has seen higher ones.
NUMBER_RETRIES = 3
NUMBER_STEP = 64
# How long the last run number of a task is remembered (tasks).
NUMBERS_MAX = 4096
# Pause after a worker said that it is unhealthy (s).
UNHEALTHY_S = 0.5


def on_orders(node, link, msg, now):
    """Start what an entry asks for, or refuse it."""
    if not all(0 <= order.spec < len(msg.specs) for order in msg.orders):
        return [effects.Close(link.conn)]
    out = []
    for order in msg.orders:
        link.seen = max(link.seen, order.seq)
        reason = _refusal(node, link, order, now)
        if reason is not None:
            end = _ends.end_message(order, Status.REFUSED, 0, reason)
            link.fresh_ends.append(end)
            node.count(f'refused_{reason}')
            continue
        out += _start(node, link, order, msg.specs[order.spec], now)
    node.changed = True
    return out


def _refusal(node, link, order, now):
    if not _room.accepts(node, now) or link.parting_at is not None:
        return 'not_accepting'
    if order.task in node.runs or order.task in node.strays:
        return 'already_there'
    if not _room.has_room(node, order):
        return 'no_room'
    if _trial.refuses(node, link, now):
        return 'on_trial'
    return None


def _start(node, link, order, spec, now):
    number = max(order.attempt, node.numbers.get(order.task, 0) + 1)
    _remember_number(node, order.task, number)
    run = _state.Run(order, spec, link, number, now)
    node.runs[order.task] = run
    link.runs[order.seq] = run
    _room.take(node, order)
    node.timers.set_earlier('beat', now + bounds.BEAT_S)
    _trial.note_start(node, link, now)
    node.count('starts')
    out = [_start_effect(node, run, now)]
    return out + _requests.want_list(node, now)


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
        spec=run.spec,
        lease_ms=_requests.lease_ms(node, now),
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
    _requests.raise_generation(node)
    return _old_number(node, run, result, now)


def _refuse(node, run, result, now):
    return _ends.end_run(node, run, Status.REFUSED, result.value, now)


def _unhealthy(node, run, result, now):
    node.unhealthy_until = now + UNHEALTHY_S
    node.timers.set('changed', node.unhealthy_until)
    return _refuse(node, run, result, now)


def _not_sent(node, run, result, now):
    return _refuse(node, run, result, now) + _requests.unreachable(
        node, 'not_sent', now
    )


def _no_answer(node, run, result, now):
    """Let the next list tell whether the run is there."""
    run.phase = _state.Phase.UNSURE
    run.sure_at = now
    out = [_ends.note_run(node, 'start_unanswered', run, now)]
    return out + _requests.list_now(node, now)


_ON_RESULT = {
    _model.StartResult.STARTED: _requests.note_started,
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
