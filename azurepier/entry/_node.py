"""State machine of an entry, free of I/O."""

from azurepier import config
from azurepier.entry import _acceptance
from azurepier.entry import _callers
from azurepier.entry import _dispatch
from azurepier.entry import _endpoints
from azurepier.entry import _forwarded
from azurepier.entry import _leader
from azurepier.entry import _peers
from azurepier.entry import _quotas
from azurepier.entry import _recovery
from azurepier.entry import _state
from azurepier import exchange
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.kernel import registry
from azurepier import limits
from azurepier import membership

HEARTBEAT = 'heartbeat'
DISPATCH = 'dispatch'
QUOTA_TICK = 'quota_tick'
ENDPOINTS_DISCOVERED = 'endpoints_discovered'
SECRET_BITS = 256


def create(options, rng, now):
    """Return a new entry node.

    Parameters
    ----------
    options : Options
    rng : random.Random
        Source of the incarnation and of the key that authenticates job ids;
        daemons pass `random.SystemRandom`.
    now : float
        Time in seconds.
    """
    incarnation = kernel.ids.new_incarnation(rng)
    secret = rng.getrandbits(SECRET_BITS).to_bytes(SECRET_BITS // 8, 'big')
    node = _state.Entry(
        options=options,
        incarnation=incarnation,
        rng=rng,
        table=jobs.Table(incarnation, secret),
        directory=membership.Directory(seeds=tuple(options.seeds)),
        adoption=config.Adoption(),
        exchange=exchange.ConfigExchange(),
        queue=registry.get('queueing', options.queueing)(),
        choose_endpoint=registry.get('placement', options.placement)(rng),
        limits=limits.create(options.name),
        started_at=now,
    )
    limits.set_members(node.limits, {options.name}, now)
    node.timers.set(HEARTBEAT, now)
    node.timers.set(QUOTA_TICK, now + _quotas.QUOTA_INTERVAL_S)
    node.timers.set(
        ENDPOINTS_DISCOVERED, now + _acceptance.ENDPOINT_DISCOVERY_S
    )
    return node


def handle(node, event, now):
    """Handle one event.

    Returns
    -------
    list
        Effects for the shell, in order.
    """
    out = _EVENT_HANDLERS[type(event)](node, event, now)
    if node.dirty:
        # One dispatch pass covers all events of one iteration of the shell's
        # loop; a pass for each outcome costs twice as much.
        node.dirty = False
        node.timers.set(DISPATCH, now)
    if node.draining:
        out += _check_drained(node)
    return out


def _on_connected(node, event, now):
    hello = event.hello
    connect = _CONNECT_HANDLERS.get(hello.role)
    if connect is None or hello.name == node.options.name:
        return [effects.Close(event.conn)]
    out = connect(node, event.conn, hello, now)
    return out + exchange.on_version(
        node.exchange, node.adoption, event.conn, hello.config_version, now
    )


def _on_disconnected(node, event, now):
    view = node.by_conn.get(event.conn)
    if view is not None:
        return _endpoints.on_disconnected(node, view, now)
    peer = node.peers.get(event.conn)
    if peer is not None:
        return _peers.on_disconnected(node, peer, now)
    return []


def _on_received(node, event, now):
    sender = node.by_conn.get(event.conn)
    handlers = _ENDPOINT_MESSAGES
    if sender is None:
        sender = node.peers.get(event.conn)
        handlers = _PEER_MESSAGES
    if sender is None:
        return []
    handler = handlers.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    sender.last_received_at = now
    return handler(node, sender, event.msg, now)


def _on_endpoint_heartbeat(node, view, msg, now):
    out = _endpoints.on_heartbeat(node, view, msg, now)
    return out + exchange.on_version(
        node.exchange, node.adoption, view.conn, msg.config_version, now
    )


def _on_peer_heartbeat(node, peer, msg, now):
    peer.config_version = msg.config_version
    peer.rank = msg.rank
    return exchange.on_version(
        node.exchange, node.adoption, peer.conn, msg.config_version, now
    )


def _on_config_request(node, sender, msg, now):
    return exchange.on_request(node.exchange, node.adoption, sender.conn, msg)


def _on_config_update(node, sender, msg, now):
    if not exchange.on_update(node.exchange, node.adoption, msg):
        return []
    return _apply_config(node, now)


def _apply_config(node, now):
    """Apply a new configuration and announce its version immediately."""
    cfg = node.adoption.current
    plans = {
        name: cfg.plans[customer.plan]
        for name, customer in cfg.customers.items()
    }
    limits.set_plans(node.limits, plans, now)
    node.dirty = True
    detail = f'version {cfg.version}'
    out = [effects.Record('config_adopted', detail=detail)]
    return out + _heartbeat_effects(node, now)


def _on_members(node, peer, msg, now):
    for info in msg.entries:
        _peers.update_entry(node, info, now)
    return []


def _on_members_seen(node, event, now):
    for info in event.entries:
        _peers.update_entry(node, info, now)
    return _dial_entries(node, now)


def _on_config_seen(node, event, now):
    adopted = config.adopt_body(node.adoption, event.body)
    if not adopted:
        return []
    exchange.record_current(node.exchange, node.adoption)
    return _apply_config(node, now)


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMER_HANDLERS[name](node, argument, now)
    return out


def _on_heartbeat_timer(node, _, now):
    node.timers.set(HEARTBEAT, now + membership.HEARTBEAT_INTERVAL_S)
    out = _close_silent(node, now)
    out += _heartbeat_effects(node, now)
    names = {peer.name for peer in node.peers.values()}
    membership.evict_stale(node.directory, names, now)
    jobs.table.expire(node.table, now)
    _recovery.expire_recoveries(node, now)
    _expire_former_incarnations(node, now)
    return out + _dial_entries(node, now)


def _expire_former_incarnations(node, now):
    oldest = now - jobs.table.ID_VALIDITY_S
    node.former_incarnations = {
        incarnation: replaced_at
        for incarnation, replaced_at in node.former_incarnations.items()
        if replaced_at > oldest
    }


def _heartbeat_effects(node, now):
    version = exchange.current_version(node.adoption)
    leader = _leader.find(node, now)
    node.leads = leader is None
    name = node.options.name if node.leads else leader.name
    if name != node.leader:
        node.leader = name
        node.directory.version += 1
    rank = _leader.rank(node, now)
    out = []
    for view in node.by_conn.values():
        if not node.waiting_tasks:
            # A heartbeat that reports no waiting tasks makes the endpoint
            # discard this entry's request for slots.
            view.slots_requested = 0
        out += _endpoints.heartbeat_effects(node, view, version, rank)
    for peer in node.peers.values():
        out += _endpoints.heartbeat_effects(node, peer, version, rank)
    return out


def _close_silent(node, now):
    out = []
    for view in list(node.by_conn.values()):
        if membership.is_silent(view.last_received_at, now):
            out.append(effects.Close(view.conn))
            out += _endpoints.on_disconnected(node, view, now)
    for peer in list(node.peers.values()):
        if membership.is_silent(peer.last_received_at, now):
            out.append(effects.Close(peer.conn))
            out += _peers.on_disconnected(node, peer, now)
    return out


def _dial_entries(node, now):
    own_name = node.options.name
    known_addresses = [
        info.address
        for info in membership.entries(node.directory)
        if info.name != own_name
    ]
    addresses = [
        each for each in known_addresses if each != node.options.address
    ]
    connected = {peer.address for peer in node.peers.values()}
    connected.add(node.options.address)
    due = membership.due_dials(
        node.directory, addresses, connected, now, node.rng
    )
    return [effects.Dial(address) for address in due]


def _on_dispatch(node, _, now):
    out = _dispatch.dispatch(node, now)
    return out + _quotas.immediate_quota_effects(node)


def _on_endpoint_expired(node, incarnation, now):
    view = node.endpoints.get(incarnation)
    if view is None or view.conn is not None:
        return []
    return _endpoints.remove_endpoint(node, view, now)


def _on_quota_tick(node, _, now):
    node.timers.set(QUOTA_TICK, now + _quotas.QUOTA_INTERVAL_S)
    return _quotas.quota_effects(node, now)


def _request_dispatch(node, _, now):
    node.dirty = True
    return []


def _on_drain(node, event, now):
    if node.draining:
        return []
    node.draining = True
    node.directory.version += 1
    out = [effects.Record('draining')]
    return out + _heartbeat_effects(node, now)


def _check_drained(node):
    """Stop once no job, forwarded request or acknowledgement is pending."""
    if node.stopped or node.table.unfinished or node.forwards:
        return []
    if any(recovery.answer is None for recovery in node.recoveries.values()):
        return []
    if any(view.pending_acks for view in node.by_conn.values()):
        return []
    node.stopped = True
    return [effects.Stopped()]


_CONNECT_HANDLERS = {
    'endpoint': _endpoints.on_connected,
    'entry': _peers.on_connected,
}

_EVENT_HANDLERS = {
    events.ConnectionOpened: _on_connected,
    events.ConnectionClosed: _on_disconnected,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.Submit: _callers.on_submit,
    events.Fetch: _callers.on_fetch,
    events.CancelJob: _callers.on_cancel,
    events.Abandon: _callers.on_abandon,
    events.NewIds: _callers.on_new_ids,
    events.MembersSeen: _on_members_seen,
    events.ConfigSeen: _on_config_seen,
    events.Drain: _on_drain,
}

_ENDPOINT_MESSAGES = {
    messages.ResumeReport: _endpoints.on_resume_report,
    messages.OutcomeBatch: _endpoints.on_outcome_batch,
    messages.Grant: _endpoints.on_grant,
    messages.Leave: _endpoints.on_leave,
    messages.Heartbeat: _on_endpoint_heartbeat,
    messages.FenceReport: _recovery.on_fence_report,
    messages.ConfigRequest: _on_config_request,
    messages.ConfigUpdate: _on_config_update,
}

_PEER_MESSAGES = {
    messages.Heartbeat: _on_peer_heartbeat,
    messages.Members: _on_members,
    messages.Forward: _forwarded.on_forward,
    messages.ForwardAnswer: _peers.on_forward_answer,
    messages.QuotaRequest: _quotas.on_quota_request,
    messages.QuotaGrant: _quotas.on_quota_grant,
    messages.ConfigRequest: _on_config_request,
    messages.ConfigUpdate: _on_config_update,
}


_TIMER_HANDLERS = {
    DISPATCH: _on_dispatch,
    HEARTBEAT: _on_heartbeat_timer,
    QUOTA_TICK: _on_quota_tick,
    ENDPOINTS_DISCOVERED: _callers.on_discovery_timer,
    'deadline': _callers.on_deadline,
    'unservable': _dispatch.on_unservable_timer,
    'fetch': _callers.on_fetch_timer,
    'endpoint_expired': _on_endpoint_expired,
    'owner_timeout': _peers.on_owner_timer,
    'recovery': _recovery.on_recovery_timer,
    'probe': _request_dispatch,
    'quota': _request_dispatch,
}
