"""Connections of an entry to endpoint processes."""

from azurepier.dispatch import _bounds
from azurepier.dispatch import _demand
from azurepier.dispatch import _peers
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status


def endpoint_up(node, conn, hello, now):
    """Take an endpoint process's new connection into use."""
    out = []
    endpoint = node.endpoints.get(hello.incarnation)
    if endpoint is None:
        endpoint = _state.Endpoint(hello.name, hello.incarnation, hello.domain)
        node.endpoints[hello.incarnation] = endpoint
    elif endpoint.conn is not None:
        out.append(effects.Close(endpoint.conn))
        del node.by_conn[endpoint.conn]
    if not node.by_conn:
        node.opened_at = now
    endpoint.conn = conn
    endpoint.accepting = False
    endpoint.last_heard = now
    node.by_conn[conn] = endpoint
    out.append(
        effects.Log(
            'endpoint_up',
            {'endpoint': hello.name, 'runs': len(endpoint.runs)},
        )
    )
    return out + _peers.tell(node, endpoint, now)


def endpoint_lost(node, endpoint, reason, now):
    """Keep what runs on an endpoint until it reports or can't run."""
    node.by_conn.pop(endpoint.conn, None)
    endpoint.conn = None
    endpoint.accepting = False
    endpoint.over_at = now + _bounds.RUNS_OVER_S
    node.timers.set(('over', endpoint.incarnation), endpoint.over_at)
    node.dirty = True
    return [
        effects.Log(
            'endpoint_lost',
            {
                'endpoint': endpoint.name,
                'reason': reason,
                'runs': len(endpoint.runs),
                'age_ms': round((now - endpoint.last_heard) * 1000),
            },
        )
    ]


def on_over(node, incarnation, now):
    """Give up what ran on an endpoint that did not come back."""
    endpoint = node.endpoints.get(incarnation)
    if endpoint is None or endpoint.conn is not None:
        return []
    if now < endpoint.over_at:
        return []
    out = [
        effects.Log(
            'endpoint_gone',
            {'endpoint': endpoint.name, 'runs': len(endpoint.runs)},
        )
    ]
    for run in list(endpoint.runs.values()):
        out += _runs.end(
            node, endpoint, run, Status.LOST, 'endpoint_gone', now
        )
    del node.endpoints[incarnation]
    return out


def on_known(node, endpoint, msg, now):
    """Compare what an endpoint runs with what was started on it."""
    take_state(endpoint, msg.state)
    endpoint.over_at = None
    node.timers.cancel(('over', endpoint.incarnation))
    out = []
    for end in msg.ends:
        out += on_end(node, endpoint, end, now)
    running = set(msg.running)
    stops = [seq for seq in running if seq not in endpoint.runs]
    for run in list(endpoint.runs.values()):
        if run.seq not in running:
            # The connection that carried the order is closed, so that it
            # can't arrive any more.
            out += _runs.end(
                node, endpoint, run, Status.REFUSED, 'not_received', now
            )
        elif run.stopping:
            stops.append(run.seq)
    if stops:
        out.append(effects.Send(endpoint.conn, messages.RunStops(seqs=stops)))
    node.dirty = True
    return out


def on_state(node, endpoint, msg, now):
    """Take over what an endpoint reports of itself."""
    take_state(endpoint, msg)
    node.dirty = node.dirty or any(job.waiting for job in node.jobs.values())
    return []


def on_ends(node, endpoint, msg, now):
    """Process the ends of runs."""
    out = []
    for end in msg.ends:
        out += on_end(node, endpoint, end, now)
    take_state(endpoint, msg.state)
    node.dirty = True
    return out


def on_end(node, endpoint, end, now):
    """Process the end of one run; a repetition has no effect."""
    run = endpoint.runs.get(end.seq)
    if run is None:
        return []
    return _runs.end(node, endpoint, run, Status(end.status), end.reason, now)


def take_state(endpoint, state):
    """Keep a report, less the orders that it does not include."""
    endpoint.pool = state.pool
    endpoint.labels = frozenset(state.labels)
    endpoint.cpu, endpoint.mem_mb = state.cpu, state.mem_mb
    endpoint.gpu = state.gpu
    endpoint.free_cpu = state.free_cpu
    endpoint.free_mem_mb = state.free_mem_mb
    endpoint.free_gpu = state.free_gpu
    endpoint.accepting = state.accepting
    endpoint.speed = max(state.speed, 0.01)
    endpoint.failures = state.failures
    endpoint.wanted = state.wanted
    endpoint.entries = state.entries
    for run in endpoint.runs.values():
        if run.seq > state.seen:
            _runs.reserve(endpoint, run.needs)


def on_beat(node, endpoint, msg, now):
    """Nothing but the time of the message matters."""
    return []


# Periodic ----------------------------------------------------------------


def on_beat_timer(node, _, now):
    """Send what keeps connections alive, and drop silent ones."""
    busy = any(endpoint.runs for endpoint in node.by_conn.values())
    pause_s = _bounds.BEAT_S if busy else _bounds.IDLE_TICK_S
    node.timers.set('beat', now + pause_s)
    _demand.forget(node, now)
    return _peers.beat(node, now) + _beat_endpoints(node, now)


def _beat_endpoints(node, now):
    msg = messages.Beat(
        config_version=_state.config_version(node),
        demand=_demand.cores_of_each(node),
    )
    out = []
    for endpoint in list(node.by_conn.values()):
        if is_silent(endpoint, now):
            out.append(effects.Abort(endpoint.conn))
            out += endpoint_lost(node, endpoint, 'silent', now)
            continue
        out += _peers.tell_if_due(node, endpoint, now)
        pause_s = _bounds.BEAT_S if endpoint.runs else _bounds.IDLE_BEAT_S
        if _bounds.is_due(now - endpoint.told_at, pause_s):
            endpoint.told_at = now
            out.append(effects.Send(endpoint.conn, msg))
    return out


def is_silent(endpoint, now):
    """Tell whether a connection has to be given up."""
    if not endpoint.runs:
        return now - endpoint.last_heard > _bounds.IDLE_SILENCE_S
    since = max(endpoint.last_heard, endpoint.busy_since)
    return now - since > _bounds.SILENCE_S


def drop_all(node, now, reason):
    """Give up all connections, after the process was paused or has failed.

    The peers may have given up on this process meanwhile, and what waits in
    the sockets is out of date.
    """
    out = []
    for conn, endpoint in list(node.by_conn.items()):
        out.append(effects.Abort(conn))
        out += endpoint_lost(node, endpoint, reason, now)
    return out + _peers.drop_all(node, reason)
