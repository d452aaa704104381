"""Connections of an entry to endpoint processes."""

from azurepier.dispatch import _arrival
from azurepier.dispatch import _arriving
from azurepier.dispatch import _bounds
from azurepier.dispatch import _cancel
from azurepier.dispatch import _cancel_checks
from azurepier.dispatch import _demand
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _lookahead
from azurepier.dispatch import _peers
from azurepier.dispatch import _priority
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status


def register_connection(node, conn, hello, now):
    """Register a new connection of an endpoint process."""
    out = []
    endpoint = node.endpoints.get(hello.incarnation)
    if endpoint is None:
        endpoint = _state.Endpoint(hello.name, hello.incarnation, hello.domain)
        node.endpoints[hello.incarnation] = endpoint
    elif endpoint.conn is not None:
        out.append(effects.Close(endpoint.conn))
        del node.by_conn[endpoint.conn]
    if not node.by_conn:
        node.warm_up_since = now
        _arrival.on_first_connection(node, now)
    endpoint.conn = conn
    endpoint.reports_received = 0
    endpoint.accepting = False
    endpoint.evacuated = _evacuation.is_evacuated(node, endpoint.domain)
    endpoint.last_received_at = now
    node.by_conn[conn] = endpoint
    _cancel_checks.on_endpoint_connected(node, endpoint.name)
    out.append(
        effects.Log(
            'endpoint_connected',
            {'endpoint': hello.name, 'runs': len(endpoint.runs)},
        )
    )
    if node.evacuations is not None:
        demand = _demand.demand_per_endpoint(node)
        msg = _evacuation.make_heartbeat(node, demand)
        out.append(effects.Send(conn, msg))
    out += _cancel.send_all_to_endpoint(node, conn, now)
    return out + _peers.send_roster(node, endpoint, now)


def mark_disconnected(node, endpoint, reason, now):
    """Mark an endpoint as disconnected and keep its runs until they expire."""
    node.by_conn.pop(endpoint.conn, None)
    _cancel_checks.on_endpoint_lost(node, endpoint, now)
    if not node.by_conn:
        _arrival.on_all_lost(node, now)
    endpoint.conn = None
    endpoint.accepting = False
    endpoint.runs_expire_at = now + _bounds.RUN_EXPIRY_S
    node.timers.set(
        ('runs_expired', endpoint.incarnation), endpoint.runs_expire_at
    )
    node.dirty = True
    return [
        effects.Log(
            'endpoint_disconnected',
            {
                'endpoint': endpoint.name,
                'reason': reason,
                'runs': len(endpoint.runs),
                'age_ms': round((now - endpoint.last_received_at) * 1000),
            },
        )
    ]


def on_runs_expired(node, incarnation, now):
    """Treat the runs of an endpoint that did not reconnect as lost."""
    endpoint = node.endpoints.get(incarnation)
    if endpoint is None or endpoint.conn is not None:
        return []
    if now < endpoint.runs_expire_at:
        return []
    out = [
        effects.Log(
            'endpoint_expired',
            {'endpoint': endpoint.name, 'runs': len(endpoint.runs)},
        )
    ]
    for run in list(endpoint.runs.values()):
        out += _runs.end_run(
            node, endpoint, run, Status.LOST, 'endpoint_gone', now
        )
    del node.endpoints[incarnation]
    return out


def on_runs_known(node, endpoint, msg, now):
    """Reconcile the runs that an endpoint reports with those ordered.

    If connections replace each other quickly, the two sides may take them up
    in a different order. A report of an earlier session is older than orders
    that were sent on a later one, and proves nothing about them.
    """
    if msg.session is not None:
        if msg.session < endpoint.latest_session:
            conn = endpoint.conn
            out = mark_disconnected(node, endpoint, 'outdated', now)
            return [*out, effects.Abort(conn)]
        endpoint.latest_session = msg.session
    update_state(endpoint, msg.state, now)
    _arrival.on_state(node, endpoint, now)
    endpoint.runs_expire_at = None
    node.timers.cancel(('runs_expired', endpoint.incarnation))
    out = _log_reconciliation(endpoint, msg)
    for end in msg.ends:
        out += on_run_end(node, endpoint, end, now)
    running = set(msg.running)
    stops = [seq for seq in running if seq not in endpoint.runs]
    for run in list(endpoint.runs.values()):
        if run.seq not in running:
            status, reason = _status_of_missing(run, msg.state)
            out += _runs.end_run(node, endpoint, run, status, reason, now)
        elif run.stopping:
            stops.append(run.seq)
    if stops:
        out.append(effects.Send(endpoint.conn, messages.RunStops(seqs=stops)))
    endpoint.reports_received += 1
    node.dirty = True
    return out


def _status_of_missing(run, state):
    """Return status and reason of a run that an endpoint doesn't report.

    An order above the highest number received was sent on an earlier session,
    whose messages the endpoint process no longer handles. A lower one did
    arrive; the run has ended, and its end is no longer reported. If no order
    was received, the endpoint process may have forgotten this entry.
    """
    if run.seq > state.seen > 0:
        return Status.REFUSED, 'not_received'
    return Status.LOST, 'end_not_reported'


def _log_reconciliation(endpoint, msg):
    """Log what both sides know of each other's runs, if there are any."""
    if not endpoint.runs and not msg.running and not msg.ends:
        return []
    accounted = {*msg.running, *(end.seq for end in msg.ends)}
    missing = [seq for seq in endpoint.runs if seq not in accounted]
    fields = {
        'endpoint': endpoint.name,
        'runs': len(endpoint.runs),
        'running': len(msg.running),
        'ends': len(msg.ends),
        'missing': len(missing),
        # Orders that arrived and of which nothing is known any more.
        'missing_received': sum(seq <= msg.state.seen for seq in missing),
        'received_seq': msg.state.seen,
        'ordered_seq': max(endpoint.runs, default=None),
    }
    return [effects.Log('runs_reconciled', fields)]


def on_pool_state(node, endpoint, msg, now):
    """Apply the state that an endpoint reports."""
    update_state(endpoint, msg, now)
    _arrival.on_state(node, endpoint, now)
    node.dirty = node.dirty or any(job.waiting for job in node.jobs.values())
    return []


def on_run_ends(node, endpoint, msg, now):
    """Process the ends of runs."""
    out = []
    for end in msg.ends:
        out += on_run_end(node, endpoint, end, now)
    update_state(endpoint, msg.state, now)
    endpoint.reports_received += 1
    node.dirty = True
    return out


def on_run_end(node, endpoint, end, now):
    """Process the end of one run; duplicates are ignored."""
    run = endpoint.runs.get(end.seq)
    if run is None:
        return []
    return _runs.end_run(
        node, endpoint, run, Status(end.status), end.reason, now
    )


def update_state(endpoint, state, now):
    """Apply a state report and reserve capacity for newer orders."""
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
    endpoint.others_demand = state.wanted
    endpoint.entry_count = state.entries
    if state.arriving is not None:
        endpoint.others_arriving = _arriving.decode(state.arriving)
    endpoint.waiting_orders = state.waiting_orders or 0
    _lookahead.update(endpoint, state, now)
    for run in endpoint.runs.values():
        if run.seq > state.seen:
            _runs.reserve(endpoint, run)


def on_heartbeat(node, endpoint, msg, now):
    """Apply the cancels that an endpoint process passes on."""
    return _cancel.on_update(node, endpoint.conn, endpoint.name, msg, now)


def on_heartbeat_timer(node, _, now):
    """Send due heartbeats, and abort silent connections."""
    busy = any(endpoint.runs for endpoint in node.by_conn.values())
    interval_s = _bounds.HEARTBEAT_S if busy else _bounds.IDLE_TICK_S
    node.timers.set('heartbeat', now + interval_s)
    _demand.decay_arrivals(node, now)
    out = _arrival.on_heartbeat_timer(node, now)
    out += _peers.send_heartbeats(node, now)
    return out + _send_endpoint_heartbeats(node, now)


def _send_endpoint_heartbeats(node, now):
    demand = _demand.demand_per_endpoint(node)
    store_silent_ms = _evacuation.store_silent_ms(node, now)
    arriving = _priority.own_arriving(node, now)
    out = []
    for endpoint in list(node.by_conn.values()):
        if is_silent(endpoint, now):
            out.append(effects.Abort(endpoint.conn))
            out += mark_disconnected(node, endpoint, 'silent', now)
            continue
        out += _peers.send_roster_if_due(node, endpoint, now)
        interval_s = (
            _bounds.HEARTBEAT_S if endpoint.runs else _bounds.IDLE_HEARTBEAT_S
        )
        update = _priority.due_update(endpoint, arriving, now)
        if update or _bounds.is_due(now - endpoint.last_sent_at, interval_s):
            endpoint.last_sent_at = now
            if update is not None:
                endpoint.arriving_sent_at = now
            msg = messages.Beat(
                config_version=_state.config_version(node),
                demand=demand,
                store_silent_ms=store_silent_ms,
                reports_received=endpoint.reports_received,
                arriving=_arriving.encode(update),
            )
            out.append(effects.Send(endpoint.conn, msg))
    return out


def is_silent(endpoint, now):
    """Tell whether a connection has been silent for too long.

    For a connection with runs, the silence counts from the first order on,
    since fewer heartbeats are sent before it.
    """
    if not endpoint.runs:
        return now - endpoint.last_received_at > _bounds.IDLE_SILENCE_S
    since = max(endpoint.last_received_at, endpoint.busy_since)
    return now - since > _bounds.SILENCE_S


def abort_connections(node, now, reason):
    """Abort all connections after a pause or a failure of the process.

    The peers may have disconnected meanwhile, and unread messages in the
    sockets are stale.
    """
    out = []
    for conn, endpoint in list(node.by_conn.items()):
        out.append(effects.Abort(conn))
        out += mark_disconnected(node, endpoint, reason, now)
    return out + _peers.abort_connections(node, reason, now)
