"""Starts of the runs that entries order.

Each run belongs to the link of the entry that ordered it. An order for a task
that is already on the worker is refused, because the caller may have submitted
its job again through another entry.

Load pattern: workers that answer only a share of their calls, for seconds,
while urgent jobs have a tenth of a second to spare. A worker takes a repeated
start with the number of an existing run as the same start, so that a start
without an answer is repeated at once. Only if that fails, a list of the
worker's runs has to show whether the run exists.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _cancels
from azurepier.runner import _capacity
from azurepier.runner import _crashes
from azurepier.runner import _ends
from azurepier.runner import _evacuation
from azurepier.runner import _lease
from azurepier.runner import _model
from azurepier.runner import _requests
from azurepier.runner import _requirements
from azurepier.runner import _runs
from azurepier.runner import _suspects
from azurepier.runner import _trial
from azurepier.runner import _waiting

# Maximum number of retries of a start with a higher run number, if the worker
# has already seen the number.
NUMBER_RETRIES_MAX = 3
NUMBER_STEP = 64
# Maximum number of repetitions of a start without an answer, and time after
# the first one in which they are sent (s). A worker that answers half of its
# calls leaves one start in 32 without an answer; one that doesn't answer at
# all gets a single repetition.
START_REPEATS_MAX = 4
START_REPEATS_WINDOW_S = 0.1
# Maximum number of tasks whose last run number is remembered.
REMEMBERED_NUMBERS_MAX = 4096
# Time without new runs after a worker answered that it is unhealthy (s).
UNHEALTHY_PAUSE_S = 0.5
# Reason of the refusal of an order for which the free capacity isn't enough.
NO_ROOM = 'no_room'
_FAILED_CALLS = frozenset(
    {
        _model.StartResult.NOT_SENT,
        _model.StartResult.UNIDENTIFIED,
        _model.StartResult.NO_ANSWER,
    }
)


def on_orders(node, link, msg, now):
    """Start or refuse the runs that an entry orders."""
    if not all(0 <= order.spec < len(msg.specs) for order in msg.orders):
        return [effects.Close(link.conn)]
    out = []
    if node.refuses_connections:
        # It may be back as another kind. The next list shows its incarnation.
        out += _requests.mark_unreachable(node, 'refused', now)
    canceled = [
        order
        for order in msg.orders
        if _cancels.refuses(node, link, order, now)
    ]
    # The entry has to know of the cancels before the refusals, or it would
    # order the runs again at once.
    out += _cancels.tell(node, link, canceled, now)
    for order in msg.orders:
        link.highest_seq = max(link.highest_seq, order.seq)
        reason = _refusal_reason(node, link, order, now)
        if reason == NO_ROOM and _waiting.may_wait(node, link, order):
            reason = _suitability_reason(node, link, order, now)
            if reason is None:
                spec = msg.specs[order.spec]
                _waiting.add(node, link, order, spec, now)
                continue
        if reason is not None:
            end = _ends.end_message(order, Status.REFUSED, 0, reason)
            link.unreported_ends.append(end)
            node.count(f'refused_{reason}')
            continue
        out += _start(node, link, order, msg.specs[order.spec], now)
    node.changed = True
    return out


def _refusal_reason(node, link, order, now):
    if _cancels.refuses(node, link, order, now):
        return _cancels.REASON
    if _evacuation.is_evacuated(node):
        return 'evacuated'
    if not _capacity.accepts(node, now) or link.close_at is not None:
        return 'not_accepting'
    if order.task in node.runs or order.task in node.waiting:
        return 'already_there'
    unmet = _requirements.find_unmet(node, order)
    if unmet is not None:
        return unmet
    if not _waiting.has_capacity(node, order, now):
        return NO_ROOM
    return _suitability_reason(node, link, order, now)


def _suitability_reason(node, link, order, now):
    if _trial.must_refuse(node, link, now):
        return 'on_trial'
    return _suspects.refusal_reason(node, link, order, now)


def advance_waiting(node, now):
    """Start the waiting orders that may start, refuse those that can't.

    Called after each event, since what rules an order out may change with any
    of them.
    """
    out = []
    if node.refuses_connections:
        out += _requests.mark_unreachable(node, 'refused', now)
    for entry in _waiting.sequence(node):
        reason = _waiting_refusal_reason(node, entry, now)
        if reason is not None:
            _waiting.refuse(node, entry, reason, now)
    if not node.changed or not node.waiting:
        return out
    plan, _ = _waiting.make_plan(node, now)
    for entry, start in plan:
        if entry.expected_at is None and start is not None:
            entry.expected_at = now + start
        if start == 0 and _capacity.fits(node, entry.order):
            out += _start_waiting(node, entry, now)
        elif _waiting.will_expire(entry, start, now):
            _waiting.refuse(node, entry, NO_ROOM, now)
    return out


def _waiting_refusal_reason(node, entry, now):
    """Return why a waiting order must not wait any longer, or None."""
    order, link = entry.order, entry.link
    if _cancels.refuses(node, link, order, now):
        return _cancels.REASON
    if _evacuation.is_evacuated(node):
        return 'evacuated'
    if not _capacity.accepts(node, now) or link.close_at is not None:
        return 'not_accepting'
    unmet = _requirements.find_unmet(node, order)
    if unmet is not None:
        return unmet
    if now >= entry.ends_at:
        return NO_ROOM
    return _suitability_reason(node, link, order, now)


def _start_waiting(node, entry, now):
    order, link = entry.order, entry.link
    if not _waiting.is_link_alive(link, now):
        return []
    # The start of another order may rule this one out.
    reason = _waiting_refusal_reason(node, entry, now)
    if reason is not None:
        _waiting.refuse(node, entry, reason, now)
        return []
    _waiting.remove(node, entry)
    _waiting.record_start(node, entry, now)
    return _start(node, link, order, entry.spec, now)


def _start(node, link, order, spec, now):
    number = max(order.attempt, node.last_run_numbers.get(order.task, 0) + 1)
    _remember_number(node, order.task, number)
    run = _runs.Run(
        order,
        spec,
        link,
        number,
        now,
        worker=node.worker.id,
        born=node.worker.born,
    )
    node.runs[order.task] = run
    link.runs[order.seq] = run
    _capacity.update_usage(node, order)
    node.timers.set_no_later_than('heartbeat', now + bounds.HEARTBEAT_S)
    _trial.consume_offer(node, link, now)
    _suspects.record_start(node, order, now)
    node.count('starts')
    out = [_start_effect(node, run, now)]
    return out + _requests.request_list(node, now)


def _remember_number(node, task, number):
    node.last_run_numbers[task] = number
    node.last_run_numbers.move_to_end(task)
    while len(node.last_run_numbers) > REMEMBERED_NUMBERS_MAX:
        node.last_run_numbers.popitem(last=False)


def _start_effect(node, run, now):
    # A start renews the lease of all runs on the worker.
    lease_ms = _lease.renew(node, now)
    return _model.StartRun(
        task=run.order.task,
        number=run.number,
        spec=run.spec,
        lease_ms=lease_ms,
        generation=node.generation,
        worker=run.worker,
        born=run.born,
    )


def may_send_start(node, effect):
    """Tell whether a start that has waited may still be sent.

    Meanwhile its run may have been stopped or reported as ended, or the
    failure domain evacuated.

    Parameters
    ----------
    node : Endpoint
    effect : StartRun
    """
    run = node.runs.get(effect.task)
    may_send = (
        run is not None
        and run.number == effect.number
        and run.phase is _runs.Phase.STARTING
        and _evacuation.takes_runs(node)
    )
    if not may_send:
        node.count('starts_withdrawn')
    return may_send


def make_starts_unsure(node, now):
    """Let a list show which of the starts under way took effect.

    After a pause the entries may count their runs as lost, so that starts that
    wait must not be sent; after a failure of the process, requests may be
    lost.
    """
    starting = [
        run for run in node.runs.values() if run.phase is _runs.Phase.STARTING
    ]
    for run in starting:
        run.phase, run.call_ended_at = _runs.Phase.UNSURE, now
    return _requests.request_list_now(node, now) if starting else []


def on_start_answered(node, event, now):
    """Process the worker's answer to a start."""
    if event.result is _model.StartResult.STARTED:
        _crashes.record_answer(node)
    if event.result in _FAILED_CALLS:
        _crashes.record_failed_call(node, now)
    run = node.runs.get(event.task)
    if run is None or run.number != event.number:
        return _log_unknown_start(node, event)
    if run.phase is not _runs.Phase.STARTING:
        if event.result is _model.StartResult.STARTED:
            run.call_ended_at = now
        return []
    return _ON_RESULT[event.result](node, run, event.result, now)


def _log_unknown_start(node, event):
    """Log a start that succeeded after the end of its run was reported."""
    if event.result is not _model.StartResult.STARTED:
        return []
    node.count('unknown_runs_started')
    fields = {'task': event.task, 'number': event.number}
    return [effects.Log('unknown_run_started', fields)]


def _on_old_number(node, run, result, now):
    """Repeat the start with a higher number, unless that is ruled out."""
    if (
        run.repeats
        or run.retries >= NUMBER_RETRIES_MAX
        or _evacuation.is_evacuated(node)
    ):
        return _refuse(node, run, result, now)
    run.retries += 1
    run.number += NUMBER_STEP * run.retries
    run.requested_at = now
    _remember_number(node, run.order.task, run.number)
    return [_start_effect(node, run, now)]


def _on_old_generation(node, run, result, now):
    _requests.raise_generation(node)
    return _on_old_number(node, run, result, now)


def _refuse(node, run, result, now):
    """Report the run as refused, unless an earlier start may have begun it."""
    if run.repeats:
        return _resolve_by_list(node, run, now)
    return _ends.end_run(node, run, Status.REFUSED, result.value, now)


def _on_unhealthy(node, run, result, now):
    node.unhealthy_until = now + UNHEALTHY_PAUSE_S
    node.timers.set('changed', node.unhealthy_until)
    return _refuse(node, run, result, now)


def _on_not_sent(node, run, result, now):
    return _refuse(node, run, result, now) + _requests.mark_unreachable(
        node, 'not_sent', now
    )


def _on_other_incarnation(node, run, result, now):
    """Refuse the run, and request the list of the incarnation that is back."""
    node.count('starts_withheld')
    out = [_ends.run_log_event(node, 'start_withheld', run, now)]
    out += _refuse(node, run, result, now)
    out += _requests.mark_unreachable(node, result.value, now)
    return out + _requests.request_list_now(node, now)


def _on_no_answer(node, run, result, now):
    """Repeat the start, a limited number of times."""
    out = [_ends.run_log_event(node, 'start_unanswered', run, now)]
    if (
        run.repeats >= START_REPEATS_MAX
        or now - run.requested_at > START_REPEATS_WINDOW_S
        or _evacuation.is_evacuated(node)
    ):
        return out + _resolve_by_list(node, run, now)
    run.repeats += 1
    node.count('starts_repeated')
    return [*out, _start_effect(node, run, now)]


def _resolve_by_list(node, run, now):
    """Request a list, which shows whether the run exists."""
    run.phase = _runs.Phase.UNSURE
    run.call_ended_at = now
    return _requests.request_list_now(node, now)


_ON_RESULT = {
    _model.StartResult.STARTED: _requests.confirm_started,
    _model.StartResult.OLD_NUMBER: _on_old_number,
    _model.StartResult.OLD_GENERATION: _on_old_generation,
    _model.StartResult.TOO_LATE: _refuse,
    _model.StartResult.NO_ROOM: _refuse,
    _model.StartResult.WITHDRAWN: _refuse,
    _model.StartResult.UNHEALTHY: _on_unhealthy,
    _model.StartResult.OTHER_WORKER: _refuse,
    _model.StartResult.OTHER_INCARNATION: _on_other_incarnation,
    _model.StartResult.UNIDENTIFIED: _refuse,
    _model.StartResult.INVALID: _refuse,
    _model.StartResult.NOT_SENT: _on_not_sent,
    _model.StartResult.NO_ANSWER: _on_no_answer,
}
