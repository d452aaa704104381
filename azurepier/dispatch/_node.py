"""An entry that dispatches to pools, as a state machine without I/O."""

from azurepier.dispatch import _bounds
from azurepier.dispatch import _callers
from azurepier.dispatch import _drain
from azurepier.dispatch import _links
from azurepier.dispatch import _model
from azurepier.dispatch import _pass
from azurepier.dispatch import _peers
from azurepier.dispatch import _progress
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import Verdict
from azurepier import membership

RoutingSeen = _peers.RoutingSeen

MS_PER_S = 1000
# Another entry may succeed at once with a job that failed here (s).
RETRY_INTERNAL_S = 1


def create(options, rng, now):
    """Return a new entry."""
    node = _state.Entry(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        started_at=now,
        alive_at=now,
        roster=membership.Roster(
            options.name, options.domain, options.seeds, options.address
        ),
    )
    node.timers.set('beat', now)
    node.timers.set('dial', now)
    return node


def handle(node, event, now):
    """Process one event; return the effects for the shell, in order."""
    out = []
    if now - node.alive_at > _bounds.STALL_S:
        paused_ms = round((now - node.alive_at) * MS_PER_S)
        out.append(effects.Log('paused', {'ms': paused_ms}))
        out += _links.drop_all(node, now, 'paused')
    node.alive_at = now
    node.handling = None
    out += _EVENTS[type(event)](node, event, now)
    if node.dirty:
        # One pass serves all that arrives in an iteration of the loop. It
        # also lets a caller's disconnection that waits in a socket be seen
        # before anything is started for it.
        node.dirty = False
        node.timers.set('pass', now)
    return out


def recover(node, now):
    """Return to a sound state after a handler has failed.

    Messages that the handler had made are lost. On new connections both
    sides tell what they have, so that all are given up.
    """
    out = []
    job, node.handling = node.handling, None
    if job is not None and node.jobs.get(job.spec.id) is job:
        # It would fail again in the next pass.
        verdict = Verdict.MAY_HAVE_RUN if job.begun else Verdict.NOT_RUN
        rejected = _model.Rejected('internal', RETRY_INTERNAL_S, verdict)
        out += _runs.finish(node, job, rejected, now)
    node.orders.clear()
    for key in ('beat', 'dial'):
        node.timers.set_earlier(key, now)
    node.dirty = False
    node.timers.set('pass', now)
    return out + _links.drop_all(node, now, 'handler_failed')


def knows(node, req):
    """Tell whether a caller's request will be answered."""
    return req in node.job_of


def is_ready(node, now):
    """Tell whether new connections should be sent to this entry."""
    if node.draining or node.routing is None:
        return False
    return any(endpoint.accepting for endpoint in node.by_conn.values())


def pending(node, queue):
    """Return the number of a queue's jobs that have not begun."""
    return sum(
        1
        for job in node.jobs.values()
        if job.queue.name == queue.name and not job.begun
    )


def status(node, now):
    """Return the state for the metrics as plain data."""
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
        'counters': dict(node.counters),
    }


# Connections -------------------------------------------------------------


def _on_connection_up(node, event, now):
    hello = event.hello
    if hello.role == 'endpoint':
        return _links.endpoint_up(node, event.conn, hello, now)
    return _peers.up(node, event.conn, hello, now)


def _on_connection_lost(node, event, now):
    endpoint = node.by_conn.get(event.conn)
    if endpoint is not None:
        return _links.endpoint_lost(node, endpoint, 'closed', now)
    peer = node.peers.get(event.conn)
    if peer is not None:
        return _peers.lost(node, peer, 'closed')
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
    sender.last_heard = now
    return handler(node, sender, event.msg, now)


# Timers ------------------------------------------------------------------


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMERS[name](node, argument, now)
    return out


def _on_late(node, _, now):
    node.dirty = True
    return []


_EVENTS = {
    _model.Submit: _callers.on_submit,
    events.Abandon: _callers.on_abandon,
    events.ConnectionOpened: _on_connection_up,
    events.ConnectionClosed: _on_connection_lost,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.Drain: _drain.on_drain,
    events.MembersSeen: _peers.on_members_seen,
    _peers.RoutingSeen: _peers.on_routing_seen,
}

_ENDPOINT_MESSAGES = {
    messages.RunsKnown: _links.on_known,
    messages.RunEnds: _links.on_ends,
    messages.PoolState: _links.on_state,
    messages.Beat: _links.on_beat,
    messages.RunProgress: _progress.on_progress,
}

_PEER_MESSAGES = {
    messages.Beat: _peers.on_beat,
    messages.EntriesKnown: _peers.on_entries_known,
    messages.ConfigUpdate: _peers.on_config_update,
}

_TIMERS = {
    'beat': _links.on_beat_timer,
    'dial': _peers.on_dial_timer,
    'over': _links.on_over,
    'pass': _pass.on_pass,
    'late': _on_late,
    'drain_check': _drain.on_drain_check,
    'drain_end': _drain.on_drain_end,
}
