"""State machine of a pool's endpoint process, without I/O."""

from azurepier.dispatch import bounds
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import membership
from azurepier.runner import _cancels
from azurepier.runner import _capacity
from azurepier.runner import _crashes
from azurepier.runner import _ends
from azurepier.runner import _evacuation
from azurepier.runner import _identity
from azurepier.runner import _links
from azurepier.runner import _lists
from azurepier.runner import _model
from azurepier.runner import _orders
from azurepier.runner import _progress
from azurepier.runner import _reports
from azurepier.runner import _requests
from azurepier.runner import _runs
from azurepier.runner import _state
from azurepier.runner import _stops
from azurepier.runner import _suspects
from azurepier.runner import _trial
from azurepier.runner import _waiting

# Runs that are still open this long before the process is killed are stopped,
# so that their entries can start them elsewhere (s).
DRAIN_MARGIN_S = 1.0


def create(options, rng, now):
    """Return the initial state of an endpoint process."""
    node = _state.Endpoint(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        last_event_at=now,
        generation=options.generation,
        roster=membership.Roster(options.name, options.domain, options.seeds),
    )
    for timer in ('heartbeat', 'dial', 'list'):
        node.timers.set(timer, now)
    node.timers.set('no_entry', now + _links.STORE_LOOKUP_DELAY_S)
    node.timers.set('evacuations', now + _evacuation.CHECK_INTERVAL_S)
    return node


def handle(node, event, now):
    """Process an event and return the effects for the shell, in order."""
    out = []
    if now - node.last_event_at > bounds.PAUSE_THRESHOLD_S:
        paused_ms = round((now - node.last_event_at) * _ends.MS_PER_S)
        out.append(effects.Log('paused', {'ms': paused_ms}))
        out += _links.abort_connections(node, now, 'paused')
        out += _orders.make_starts_unsure(node, now)
    node.last_event_at = now
    out += _EVENTS[type(event)](node, event, now)
    if node.changed:
        out += _trial.update_suspicion(node, now)
    if node.waiting:
        out += _orders.advance_waiting(node, now)
    if node.changed:
        # All changes of one iteration of the event loop share one report.
        node.changed = False
        node.timers.set('changed', now)
    return out


def recover(node, now):
    """Restore a consistent state after a handler has failed.

    Requests to the worker and messages that the handler created may be lost.
    The next list shows the runs of the worker, and on each new connection
    both sides exchange the runs that they know.
    """
    for key in (
        'heartbeat',
        'dial',
        'list',
        'no_entry',
        'evacuations',
        'cancels',
    ):
        node.timers.set_no_later_than(key, now)
    node.list_pending = False
    out = _orders.make_starts_unsure(node, now)
    for run in node.runs.values():
        if run.phase is _runs.Phase.STOPPING:
            node.timers.set(('stop', run.order.task, run.number), now)
    return out + _links.abort_connections(node, now, 'handler_failed')


def knows(node, req):
    """Return False, since endpoint processes have no callers."""
    return False


def status(node, now):
    """Return the state that the metrics show, as plain data."""
    return {
        'role': 'endpoint',
        'runs': len(node.runs),
        'used_cpu': node.used_cpu,
        'waiting_orders': len(node.waiting),
        'entries': len(node.by_conn),
        'accepting': int(_capacity.accepts(node, now)),
        'evacuated': int(_evacuation.is_evacuated(node)),
        'evacuations_revision': (
            -1 if node.evacuations is None else node.evacuations.revision
        ),
        'speed': _progress.speed(node, now),
        'counters': dict(node.counters),
    }


def _on_received(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        node.count('messages_of_lost_connections')
        return []
    handler = _MESSAGES.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    link.last_received_at = now
    return handler(node, link, event.msg, now)


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key, None
        if isinstance(key, tuple):
            name = key[0]
            argument = key[1] if len(key) == 2 else key[1:]
        out += _TIMERS[name](node, argument, now)
    return out


def _on_drain(node, event, now):
    node.draining = True
    node.changed = True
    drain_end_at = now + node.options.grace_s - DRAIN_MARGIN_S
    node.timers.set('drain_end', drain_end_at)
    node.timers.set('drain_check', now + bounds.HEARTBEAT_S)
    return []


def _on_drain_check(node, _, now):
    if not node.runs:
        return [effects.Stopped()]
    node.timers.set('drain_check', now + bounds.HEARTBEAT_S)
    return []


def _on_drain_end(node, _, now):
    out = []
    for run in list(node.runs.values()):
        if run.loss is None:
            out += _stops.stop_run(node, run, 'draining', now)
        else:
            # Nobody would report the end of the run after this process.
            out += _crashes.end_lost_run(node, run, now)
    return out


_EVENTS = {
    events.ConnectionOpened: _links.on_connected,
    events.ConnectionClosed: _links.on_disconnected,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.MembersSeen: _links.on_members_seen,
    events.Drain: _on_drain,
    membership.EvacuationsLoaded: _evacuation.on_evacuations_loaded,
    _model.WorkerReported: _identity.on_worker_reported,
    _model.WorkerLeft: _identity.on_worker_left,
    _model.RunsListed: _lists.on_runs_listed,
    _model.ListFailed: _lists.on_list_failed,
    _model.StartAnswered: _orders.on_start_answered,
    _model.StopAnswered: _stops.on_stop_answered,
}

_MESSAGES = {
    messages.RunOrders: _orders.on_orders,
    messages.RunStops: _stops.on_stops,
    messages.Beat: _links.on_heartbeat,
    messages.EntriesKnown: _links.on_entries_known,
}

_TIMERS = {
    'heartbeat': _links.on_heartbeat_timer,
    'dial': _links.on_dial_timer,
    'list': _requests.on_list_timer,
    'changed': _reports.on_changed,
    'report': _reports.on_report_timer,
    'no_entry': _links.on_no_entry_timer,
    'reconnect_timeout': _links.on_reconnect_timeout,
    'forget': _links.on_forget_timer,
    'stop': _stops.on_stop_timer,
    'evacuations': _evacuation.on_check_timer,
    'cancels': _cancels.on_relay_timer,
    'trial': _trial.on_trial_timer,
    'alone': _suspects.on_alone_timer,
    'waiting': _waiting.on_timer,
    'drain_check': _on_drain_check,
    'drain_end': _on_drain_end,
}
