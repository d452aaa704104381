"""An entry that dispatches to pools, as a state machine without I/O."""

from azurepier.dispatch import _arrival
from azurepier.dispatch import _bounds
from azurepier.dispatch import _callers
from azurepier.dispatch import _cancel
from azurepier.dispatch import _cancel_checks
from azurepier.dispatch import _config
from azurepier.dispatch import _drain
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _links
from azurepier.dispatch import _model
from azurepier.dispatch import _pass
from azurepier.dispatch import _peers
from azurepier.dispatch import _priority
from azurepier.dispatch import _progress
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.dispatch import _transfer
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import Verdict
from azurepier import membership

MS_PER_S = 1000
# Retry-After of a job whose handler raised (s); another entry may serve it
# without a delay.
INTERNAL_ERROR_RETRY_S = 1


def create(options, rng, now):
    """Return a new entry."""
    node = _state.Entry(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        started_at=now,
        last_event_at=now,
        store_seen_at=now,
        cancel_checks=_cancel_checks.Checks(),
        roster=membership.Roster(
            options.name, options.domain, options.seeds, options.address
        ),
    )
    node.timers.set('heartbeat', now)
    node.timers.set('dial', now)
    return node


def handle(node, event, now):
    """Process one event; return the effects for the shell, in order."""
    out = []
    if now - node.last_event_at > _bounds.PAUSE_THRESHOLD_S:
        paused_ms = round((now - node.last_event_at) * MS_PER_S)
        out.append(effects.Log('paused', {'ms': paused_ms}))
        node.woke_at = now
        out += _links.abort_connections(node, now, 'paused')
    node.last_event_at = now
    node.current_job = None
    out += _EVENTS[type(event)](node, event, now)
    if node.dirty:
        # One pass serves all events of an iteration of the event loop.
        node.dirty = False
        node.timers.set('pass', now)
    return out


def recover(node, now):
    """Return to a consistent state after a handler has raised.

    The messages that the handler had prepared are lost. All connections are
    closed, since both sides report their state on new ones.
    """
    out = []
    job, node.current_job = node.current_job, None
    if job is not None and node.jobs.get(job.request.id) is job:
        # The job would fail again in the next pass.
        verdict = Verdict.MAY_HAVE_RUN if job.has_started else Verdict.NOT_RUN
        rejected = _model.Rejected('internal', INTERNAL_ERROR_RETRY_S, verdict)
        out += _runs.finish_job(node, job, rejected, now)
    node.unsent_orders.clear()
    for key in ('heartbeat', 'dial', 'cancels', 'cancel_check'):
        node.timers.set_no_later_than(key, now)
    node.dirty = False
    node.timers.set('pass', now)
    return out + _links.abort_connections(node, now, 'handler_failed')


def knows(node, req):
    """Tell whether a caller's request is still unanswered."""
    return (
        req in node.job_by_req
        or req in node.canceled_reqs
        or req in node.cancel_checks.waits
    )


def is_ready(node, now):
    """Tell whether new connections should be routed to this entry.

    While all failure domains are evacuated, it rejects jobs as every other
    entry would.
    """
    if node.draining or node.routing is None:
        return False
    return any(
        endpoint.accepting or endpoint.evacuated
        for endpoint in node.by_conn.values()
    )


def pending(node, queue):
    """Return the number of a queue's jobs that have not started."""
    return sum(
        1
        for job in node.jobs.values()
        if job.queue.name == queue.name and not job.has_started
    )


def status(node, now):
    """Return the state as plain data for the metrics."""
    waiting = sum(len(job.waiting) for job in node.jobs.values())
    return {
        'role': 'entry',
        'jobs': len(node.jobs),
        'waiting_tasks': waiting,
        'running_tasks': sum(len(job.running) for job in node.jobs.values()),
        'endpoints': len(node.by_conn),
        'entries': len(node.roster.known) + 1,
        'peers': len(node.peers),
        'config_version': _state.config_version(node),
        'config_heard': node.config_heard,
        'config_behind_s': _config.behind_s(node, now),
        'evacuated_domains': (
            -1 if node.evacuations is None else len(node.evacuations.domains)
        ),
        **_arrival.status(node, now),
        'store_silent_s': now - node.store_seen_at,
        **_priority.status(node, now),
        'counters': dict(node.counters),
    }


def _on_connected(node, event, now):
    hello = event.hello
    if hello.role == 'endpoint':
        return _links.register_connection(node, event.conn, hello, now)
    return _peers.add_peer(node, event.conn, hello, now)


def _on_disconnected(node, event, now):
    endpoint = node.by_conn.get(event.conn)
    if endpoint is not None:
        return _links.mark_disconnected(node, endpoint, 'closed', now)
    peer = node.peers.get(event.conn)
    if peer is not None:
        return _peers.remove_peer(node, peer, 'closed', now)
    return []


def _on_received(node, event, now):
    sender, table = node.by_conn.get(event.conn), _ENDPOINT_MESSAGES
    if sender is None:
        sender, table = node.peers.get(event.conn), _PEER_MESSAGES
    if sender is None:
        node.count('messages_of_lost_connections')
        return []
    handler = table.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    sender.last_received_at = now
    return handler(node, sender, event.msg, now)


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMERS[name](node, argument, now)
    return out


def _on_recheck_timer(node, _, now):
    node.dirty = True
    return []


_EVENTS = {
    _model.Submit: _callers.on_submit,
    _model.CancelJob: _cancel.on_cancel,
    _model.CallersConfirmed: _pass.on_callers_confirmed,
    events.Abandon: _callers.on_abandon,
    events.ConnectionOpened: _on_connected,
    events.ConnectionClosed: _on_disconnected,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.Drain: _drain.on_drain,
    events.MembersSeen: _peers.on_members_seen,
    membership.EvacuationsLoaded: _evacuation.on_evacuations_loaded,
    _config.RoutingLoaded: _config.on_routing_loaded,
    _transfer.StoreAnswering: _transfer.on_store_answering,
}

_ENDPOINT_MESSAGES = {
    messages.RunsKnown: _links.on_runs_known,
    messages.RunEnds: _links.on_run_ends,
    messages.PoolState: _links.on_pool_state,
    messages.Beat: _links.on_heartbeat,
    messages.RunProgress: _progress.on_progress,
}

_PEER_MESSAGES = {
    messages.Beat: _peers.on_heartbeat,
    messages.EntriesKnown: _peers.on_entries_known,
    messages.ConfigUpdate: _config.on_update,
    messages.ConfigRequest: _transfer.on_request,
}

_TIMERS = {
    'heartbeat': _links.on_heartbeat_timer,
    'dial': _peers.on_dial_timer,
    'cancels': _cancel.on_endpoint_timer,
    'cancel_check': _cancel_checks.on_timer,
    'transfer': _transfer.on_timer,
    'runs_expired': _links.on_runs_expired,
    'pass': _pass.on_pass_timer,
    'recheck': _on_recheck_timer,
    'retry': _on_recheck_timer,
    'drain_check': _drain.on_drain_check,
    'drain_end': _drain.on_drain_end,
}
