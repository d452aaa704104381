"""The endpoint process as a state machine without I/O."""

from azurepier import config
from azurepier.endpoint import _credits
from azurepier.endpoint import _retention
from azurepier.endpoint import _state
from azurepier import exchange
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import membership

HEARTBEAT = 'heartbeat'
# A task is stopped this long after its deadline, in case the entry that
# should have cancelled it is gone.
LIMIT_GRACE_S = 1.0
# A drain waits this long for entries to confirm the last outcomes.
ACK_WAIT_S = 3.0
# After a connection to the worker failed, one is tried again.
WORKER_RETRY_S = 1.0
# With no entry connected for this long, the platform is asked for the list.
ENTRY_MISSING_S = 2.0
PLATFORM_BACKOFF_S = 1.0
# Spreads the first reads of a failure domain that starts as a whole.
FIRST_READ_SPREAD_S = 2.0
PLATFORM_BACKOFF_MAX_S = 30.0

Status = kernel.Status


def create(options, rng, now):
    """Return a new endpoint node.

    Parameters
    ----------
    options : Options
    rng : random.Random
    now : float
        Time in seconds.
    """
    node = _state.Endpoint(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        directory=membership.Directory(seeds=tuple(options.seeds)),
        adoption=config.Adoption(),
        exchange=exchange.Exchange(),
        no_entry_since=now,
    )
    node.timers.set(HEARTBEAT, now)
    first_read_at = now + rng.uniform(0.0, FIRST_READ_SPREAD_S)
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


# Connections -------------------------------------------------------------


def _on_connection_up(node, event, now):
    hello = event.hello
    if hello.role != 'entry':
        return [effects.Close(event.conn)]
    out = []
    link = node.links.get(hello.incarnation)
    if link is None:
        link = _state.Link(
            hello.name, hello.incarnation, hello.address, now, highest=-1
        )
        node.links[hello.incarnation] = link
    elif link.conn is not None:
        out.append(effects.Close(link.conn))
        _detach(node, link, now)
    link.conn = event.conn
    link.last_heard = now
    link.granted = link.received = link.wants = 0
    node.by_conn[event.conn] = link
    membership.learn(node.directory, _info_of(hello), now)
    _credits.distribute(node)
    _credits.share_with(node, link)
    out.append(effects.Send(event.conn, _resume_report(node, link, now)))
    link.highest = max(link.highest, 0)
    for outcomes in kernel.batches(link.unacked.values(), _output_size):
        out.append(_outcome_batch(node, link, outcomes, now))
    if node.draining:
        out.append(effects.Send(event.conn, messages.Leave(reason='drain')))
    out += exchange.on_version(
        node.exchange, node.adoption, event.conn, hello.config_version, now
    )
    return out


def _info_of(hello):
    return messages.EntryInfo(
        name=hello.name,
        incarnation=hello.incarnation,
        address=hello.address,
        web_address=hello.web_address,
        domain=hello.domain,
        draining=False,
    )


def _resume_report(node, link, now):
    running = [r.start.seq for r in node.running.values() if r.link is link]
    return messages.ResumeReport(
        highest=link.highest,
        known=[*running, *link.unacked],
        granted=link.granted,
        free=_credits.free_slots(node),
        long_free=_credits.long_free(node, now),
    )


def _detach(node, link, now):
    node.by_conn.pop(link.conn, None)
    link.conn = None
    link.granted = link.received = link.wants = 0
    link.active = False
    link.lost_at = now
    if not node.by_conn:
        node.no_entry_since = now


def _on_connection_lost(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        return []
    _detach(node, link, now)
    return _credits.tell(node, _credits.distribute(node), now)


# Messages ----------------------------------------------------------------


def _on_received(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        # A message of an older session; the session rule drops it.
        node.count('messages_of_old_sessions')
        return []
    link.last_heard = now
    handler = _MESSAGE_HANDLERS.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    return handler(node, link, event.msg, now)


def _on_start_batch(node, link, msg, now):
    _acknowledge(link, msg.acked)
    if msg.want >= 0:
        link.wants = msg.want
    out = []
    refused = []
    for start in msg.starts:
        status = _admission(node, link, start, now)
        if status is None:
            out += _run(node, link, start, now)
        else:
            refused.append(_refusal(node, link, start, status))
            out.append(
                effects.Record(
                    'refused',
                    start.job_id,
                    start.task,
                    node.options.name,
                    status.name.lower(),
                )
            )
    told = _credits.distribute(node)
    if refused:
        told.discard(link.incarnation)
        out.append(_outcome_batch(node, link, refused, now))
    return out + _credits.tell(node, told, now)


def _admission(node, link, start, now):
    """Return why a start is not run, or None if it may run."""
    link.highest = max(link.highest, start.seq)
    allowed = (
        _credits.free_slots(node) > 0
        if start.urgent
        else _credits.admit_ordinary(node, link)
    )
    if node.draining:
        return Status.LEAVING
    if start.job_id in node.fenced:
        return Status.FENCED
    if not allowed:
        return Status.REFUSED
    if start.long_running and _credits.long_free(node, now) == 0:
        return Status.REFUSED
    if not _retention.note_started(node, start):
        node.count('duplicate_starts')
        return Status.LOST
    return None


def _run(node, link, start, now):
    key = (link.incarnation, start.seq)
    node.running[key] = _state.Running(start, link, now)
    limit_s = start.limit_ms / 1000 + LIMIT_GRACE_S
    node.timers.set(('limit', key), now + limit_s)
    node.count('starts')
    return [
        effects.RunTask(key, start),
        effects.Record(
            'admitted', start.job_id, start.task, node.options.name
        ),
    ]


def _refusal(node, link, start, status):
    node.count('refusals')
    outcome = messages.Outcome(
        seq=start.seq, status=int(status), output=b'', run_ms=0
    )
    link.unacked[start.seq] = outcome
    return outcome


def _outcome_batch(node, link, outcomes, now):
    return effects.Send(
        link.conn,
        messages.OutcomeBatch(
            outcomes=outcomes,
            granted=link.granted,
            free=_credits.free_slots(node),
            long_free=_credits.long_free(node, now),
            seen=link.highest,
        ),
    )


def _output_size(outcome):
    return len(outcome.output)


def _acknowledge(link, acked):
    for seq in acked:
        link.unacked.pop(seq, None)


def _on_want(node, link, msg, now):
    link.wants = max(msg.count, 0)
    told = _credits.distribute(node)
    told |= _credits.reassign_idle(node, link)
    return _credits.tell(node, told, now)


def _on_cancel(node, link, msg, now):
    out = []
    for seq in msg.seqs:
        key = (link.incarnation, seq)
        running = node.running.get(key)
        if running is not None and not running.cancelled:
            running.cancelled = True
            out.append(effects.StopTask(key))
    return out


def _on_fence(node, link, msg, now):
    _retention.fence(node, msg.job_id, now)
    out = [
        effects.Send(link.conn, report)
        for report in _retention.reports(node, msg)
    ]
    out.append(effects.Record('fenced', msg.job_id, -1, node.options.name))
    return out


def _on_heartbeat(node, link, msg, now):
    _acknowledge(link, msg.acked)
    told = _credits.update_role(node, link, msg.active, msg.queued)
    out = _credits.tell(node, told, now)
    out += exchange.on_version(
        node.exchange, node.adoption, link.conn, msg.config_version, now
    )
    return out + _finish_drain(node, now)


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


# Tasks and the worker ----------------------------------------------------


def _on_task_ended(node, event, now):
    running = node.running.pop(event.key, None)
    if running is None:
        return []
    node.timers.cancel(('limit', event.key))
    start, link = running.start, running.link
    if event.status == Status.REFUSED:
        return _worker_unreachable(node, link, start, now)
    outcome = messages.Outcome(
        seq=start.seq,
        status=int(event.status),
        output=event.output,
        run_ms=event.run_ms,
    )
    link.unacked[start.seq] = outcome
    _retention.note_ended(node, start, event.status, event.output, now)
    told = _credits.distribute(node, link)
    out = [
        effects.Record(
            'ended',
            start.job_id,
            start.task,
            node.options.name,
            Status(event.status).name.lower(),
        )
    ]
    if link.conn is not None:
        told.discard(link.incarnation)
        out.insert(0, _outcome_batch(node, link, [outcome], now))
    return out + _credits.tell(node, told, now) + _finish_drain(node, now)


def _worker_unreachable(node, link, start, now):
    """Report a start as not run because the worker took no connection.

    The endpoint counts as down until the worker is seen again; otherwise
    the same task would come back at once.
    """
    _retention.forget_started(node, start)
    node.healthy = False
    node.timers.set('worker', now + WORKER_RETRY_S)
    _credits.distribute(node)
    out = []
    refusal = _refusal(node, link, start, Status.REFUSED)
    if link.conn is not None:
        out.append(_outcome_batch(node, link, [refusal], now))
    return out + _credits.tell(node, set(node.links), now)


def _on_worker_timer(node, _, now):
    return _on_worker_seen(node, events.WorkerSeen(healthy=True), now)


def _on_worker_seen(node, event, now):
    if event.healthy == node.healthy:
        return []
    node.healthy = event.healthy
    node.timers.cancel('worker')
    _credits.distribute(node)
    state = 'worker_up' if event.healthy else 'worker_down'
    out = [effects.Record(state, endpoint=node.options.name)]
    return out + _credits.tell(node, set(node.links), now)


# Timers and drain --------------------------------------------------------


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key if isinstance(key, tuple) else (key, None)
        out += _TIMER_HANDLERS[name](node, argument, now)
    return out


def _on_limit(node, key, now):
    running = node.running.get(key)
    if running is None or running.cancelled:
        return []
    running.cancelled = True
    return [effects.StopTask(key)]


def _on_heartbeat_timer(node, _, now):
    node.timers.set(HEARTBEAT, now + membership.HEARTBEAT_INTERVAL_S)
    out = _drop_silent(node, now)
    for link in node.by_conn.values():
        out.append(effects.Send(link.conn, _heartbeat(node, link, now)))
        for name in link.members:
            membership.keep(node.directory, name, now)
    _forget(node, now)
    out += _dial(node, now)
    return out + _finish_drain(node, now)


def _heartbeat(node, link, now):
    return messages.Heartbeat(
        config_version=exchange.version_in_force(node.adoption),
        members_version=link.members_version,
        queued=0,
        granted=link.granted,
        free=_credits.free_slots(node),
        long_free=_credits.long_free(node, now),
        seen=link.highest,
        acked=[],
        active=False,
        rank=0,
    )


def _drop_silent(node, now):
    silent = [
        link
        for link in node.by_conn.values()
        if membership.is_silent(link.last_heard, now)
    ]
    out = []
    for link in silent:
        out.append(effects.Close(link.conn))
        out.append(
            effects.Record(
                'connection_silent',
                endpoint=node.options.name,
                detail=link.name,
            )
        )
        _detach(node, link, now)
    if silent:
        out += _credits.tell(node, _credits.distribute(node), now)
    return out


def _forget(node, now):
    _retention.expire(node, now)
    names = [link.name for link in node.by_conn.values()]
    if names:
        membership.forget_stale(node.directory, names, now)
    gone = [
        incarnation
        for incarnation, link in node.links.items()
        if link.conn is None and now - link.lost_at > _retention.RETAIN_S
    ]
    for incarnation in gone:
        del node.links[incarnation]


def _dial(node, now):
    if node.draining:
        return []
    wanted = membership.subset(
        node.directory, node.options.name, node.options.domain
    )
    connected = {link.address for link in node.by_conn.values()}
    due = membership.due_dials(
        node.directory,
        [info.address for info in wanted],
        connected,
        now,
        node.rng,
    )
    return [effects.Dial(address) for address in due]


def _on_platform_timer(node, _, now):
    node.timers.set('platform', now + ENTRY_MISSING_S / 4)
    if node.by_conn or node.draining:
        node.platform_backoff_s = 0.0
        return []
    missing_s = now - node.no_entry_since
    if missing_s < node.platform_backoff_s:
        return []
    # The next read comes after a random delay that doubles, so that a
    # failure domain that restarts as a whole doesn't flood the platform.
    step = max(node.platform_backoff_s, PLATFORM_BACKOFF_S)
    step = min(step, PLATFORM_BACKOFF_MAX_S) * node.rng.uniform(0.5, 1.5)
    node.platform_backoff_s = missing_s + step
    return [effects.ReadPlatform()]


def _on_members_seen(node, event, now):
    for info in event.entries:
        membership.learn(node.directory, info, now)
    return _dial(node, now)


def _on_config_seen(node, event, now):
    try:
        cfg = config.from_json(event.body)
    except kernel.InvalidInputError as exc:
        return [effects.Record('config_rejected', detail=str(exc))]
    if config.adopt(node.adoption, cfg):
        exchange.remember(node.exchange, node.adoption)
    return []


def _on_drain(node, event, now):
    if node.draining:
        return []
    node.draining = True
    node.timers.set('acks', now + ACK_WAIT_S)
    out = [
        effects.Send(link.conn, messages.Leave(reason='drain'))
        for link in node.by_conn.values()
    ]
    out.append(effects.Record('draining', endpoint=node.options.name))
    return out + _finish_drain(node, now)


def _on_acks_timer(node, _, now):
    if node.running:
        node.timers.set('acks', now + ACK_WAIT_S)
        return []
    return _stop(node)


def _finish_drain(node, now):
    if not node.draining or node.running:
        return []
    if any(link.unacked for link in node.by_conn.values()):
        return []
    return _stop(node)


def _stop(node):
    if node.stopped:
        return []
    node.stopped = True
    return [effects.Stopped()]


_EVENT_HANDLERS = {
    events.ConnectionUp: _on_connection_up,
    events.ConnectionLost: _on_connection_lost,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.TaskEnded: _on_task_ended,
    events.WorkerSeen: _on_worker_seen,
    events.MembersSeen: _on_members_seen,
    events.ConfigSeen: _on_config_seen,
    events.Drain: _on_drain,
}

_MESSAGE_HANDLERS = {
    messages.StartBatch: _on_start_batch,
    messages.Want: _on_want,
    messages.CancelTasks: _on_cancel,
    messages.FenceJob: _on_fence,
    messages.Heartbeat: _on_heartbeat,
    messages.Members: _on_members,
    messages.ConfigRequest: _on_config_request,
    messages.ConfigUpdate: _on_config_update,
}

_TIMER_HANDLERS = {
    HEARTBEAT: _on_heartbeat_timer,
    'limit': _on_limit,
    'platform': _on_platform_timer,
    'acks': _on_acks_timer,
    'worker': _on_worker_timer,
}
