"""The endpoint process as a state machine without I/O."""

from azurepier import config
from azurepier.endpoint import _credits
from azurepier.endpoint import _drain
from azurepier.endpoint import _periodic
from azurepier.endpoint import _retention
from azurepier.endpoint import _state
from azurepier.endpoint import _tasks
from azurepier import exchange
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import membership


def create(options, rng, now):
    """Return the node of a new endpoint process.

    Parameters
    ----------
    options : Options
    rng : random.Random
    now : float
        Current time (s).
    """
    node = _state.Endpoint(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        directory=membership.Directory(seeds=tuple(options.seeds)),
        adoption=config.Adoption(),
        exchange=exchange.ConfigExchange(),
        no_entry_since=now,
    )
    node.timers.set(_periodic.HEARTBEAT, now)
    first_read_at = now + rng.uniform(
        0.0, _periodic.PLATFORM_FIRST_READ_SPREAD_S
    )
    node.timers.set('platform', first_read_at)
    return node


def handle(node, event, now):
    """Process one event.

    Returns
    -------
    list
        Effects for the shell, in order.
    """
    return _EVENT_HANDLERS[type(event)](node, event, now)


def _on_connected(node, event, now):
    hello = event.hello
    if hello.role != 'entry':
        return [effects.Close(event.conn)]
    out = []
    link = node.links.get(hello.incarnation)
    if link is None:
        link = _state.Link(
            hello.name,
            hello.incarnation,
            hello.address,
            now,
            highest_seq=_retention.take_highest_seq(node, hello.incarnation),
        )
        node.links[hello.incarnation] = link
    elif link.conn is not None:
        out.append(effects.Close(link.conn))
        _periodic.mark_disconnected(node, link, now)
    link.conn = event.conn
    link.last_received_at = now
    link.granted = link.received = link.slots_requested = 0
    node.by_conn[event.conn] = link
    membership.learn(node.directory, _entry_info(hello), now)
    _credits.distribute(node)
    _credits.give_fair_share(node, link)
    out.append(effects.Send(event.conn, _resume_report(node, link, now)))
    for outcomes in kernel.batches(link.unacked.values(), _tasks.output_size):
        out.append(_tasks.outcome_batch(node, link, outcomes, now))
    if node.draining:
        out.append(effects.Send(event.conn, messages.Leave(reason='drain')))
    out += exchange.on_version(
        node.exchange, node.adoption, event.conn, hello.config_version, now
    )
    return out


def _entry_info(hello):
    return messages.EntryInfo(
        name=hello.name,
        incarnation=hello.incarnation,
        address=hello.address,
        web_address=hello.web_address,
        domain=hello.domain,
        draining=False,
    )


def _resume_report(node, link, now):
    running = [
        task.start.seq for task in node.running.values() if task.link is link
    ]
    return messages.ResumeReport(
        highest=link.highest_seq,
        known=[*running, *link.unacked],
        granted=link.granted,
        free=_credits.free_slots(node),
        long_free=_credits.long_free(node, now),
    )


def _on_disconnected(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        return []
    _periodic.mark_disconnected(node, link, now)
    return _credits.grant_effects(node, _credits.distribute(node), now)


def _on_received(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        # A message of an earlier session must not change the current state.
        node.count('messages_of_old_sessions')
        return []
    link.last_received_at = now
    handler = _MESSAGE_HANDLERS.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    return handler(node, link, event.msg, now)


def _on_want(node, link, msg, now):
    link.slots_requested = max(msg.count, 0)
    to_notify = _credits.distribute(node)
    to_notify |= _credits.reassign_unused(node, link)
    return _credits.grant_effects(node, to_notify, now)


def _on_fence(node, link, msg, now):
    _retention.fence(node, msg.job_id, now)
    out = [
        effects.Send(link.conn, report)
        for report in _retention.fence_reports(node, msg)
    ]
    out.append(effects.Record('fenced', msg.job_id, -1, node.options.name))
    return out


def _on_heartbeat(node, link, msg, now):
    _tasks.acknowledge(link, msg.acked)
    to_notify = _credits.update_role(node, link, msg.active, msg.queued)
    out = _credits.grant_effects(node, to_notify, now)
    out += exchange.on_version(
        node.exchange, node.adoption, link.conn, msg.config_version, now
    )
    return out + _drain.stop_if_drained(node, now)


def _on_members(node, link, msg, now):
    link.members = tuple(info.name for info in msg.entries)
    link.members_version = msg.version
    node.directory.leader = msg.leader
    for info in msg.entries:
        membership.learn(node.directory, info, now)
    return []


def _on_config_request(node, link, msg, now):
    return exchange.on_request(node.exchange, node.adoption, link.conn, msg)


def _on_config_update(node, link, msg, now):
    if not exchange.on_update(node.exchange, node.adoption, msg):
        return []
    return [effects.Record('config_adopted', detail=f'version {msg.version}')]


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMER_HANDLERS[name](node, argument, now)
    return out


def _on_members_seen(node, event, now):
    for info in event.entries:
        membership.learn(node.directory, info, now)
    return _periodic.dial_entries(node, now)


def _on_config_seen(node, event, now):
    try:
        cfg = config.from_json(event.body)
    except kernel.InvalidInputError as exc:
        return [effects.Record('config_rejected', detail=str(exc))]
    if config.adopt(node.adoption, cfg):
        exchange.record_current(node.exchange, node.adoption)
    return []


_EVENT_HANDLERS = {
    events.ConnectionOpened: _on_connected,
    events.ConnectionClosed: _on_disconnected,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.TaskEnded: _tasks.on_task_ended,
    events.WorkerHealthChanged: _tasks.on_worker_health_changed,
    events.MembersSeen: _on_members_seen,
    events.ConfigSeen: _on_config_seen,
    events.Drain: _drain.on_drain,
}

_MESSAGE_HANDLERS = {
    messages.StartBatch: _tasks.on_start_batch,
    messages.Want: _on_want,
    messages.CancelTasks: _tasks.on_cancel,
    messages.FenceJob: _on_fence,
    messages.Heartbeat: _on_heartbeat,
    messages.Members: _on_members,
    messages.ConfigRequest: _on_config_request,
    messages.ConfigUpdate: _on_config_update,
}

_TIMER_HANDLERS = {
    _periodic.HEARTBEAT: _periodic.on_heartbeat_timer,
    'limit': _tasks.on_time_limit,
    'platform': _periodic.on_platform_timer,
    'acks': _drain.on_acks_timer,
    'worker': _tasks.on_worker_timer,
}
