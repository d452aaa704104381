"""Sessions with endpoint processes."""

from azurepier.entry import _outcomes
from azurepier.entry import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

Status = kernel.Status


def connected(node, conn, hello, now):
    """Take up a session with an endpoint process."""
    out = []
    view = node.endpoints.get(hello.incarnation)
    if view is None:
        view = _new_view(node, hello, now)
        node.endpoints[hello.incarnation] = view
        out += _replace_predecessors(node, view, now)
    elif view.conn is not None:
        out.append(effects.Close(view.conn))
        node.by_conn.pop(view.conn, None)
    if now - view.last_heard > membership.GIVE_UP_AFTER_S:
        # This process may have been frozen for longer than the endpoint
        # keeps the record that proves what it never received.
        out += give_up(node, view, now)
    view.conn = conn
    view.ready = False
    view.last_heard = now
    view.outbox = []
    view.cancels = []
    view.members_version = 0
    node.by_conn[conn] = view
    out.append(effects.Record('endpoint_connected', endpoint=view.name))
    return out


def _new_view(node, hello, now):
    return _state.EndpointView(
        name=hello.name,
        incarnation=hello.incarnation,
        worker=hello.worker,
        domain=hello.domain,
        slots=max(hello.slots, 1),
        kinds=frozenset(hello.kinds),
        largest_size=hello.largest_size,
        web_address=hello.web_address,
        last_heard=now,
        history=node.histories.setdefault(hello.name, _state.History()),
    )


def _replace_predecessors(node, view, now):
    """Give up earlier incarnations of the same endpoint process."""
    out = []
    for other in list(node.endpoints.values()):
        if other.name == view.name and other.conn is None:
            if other is not view:
                out += remove(node, other, now)
    return out


def lost(node, view, now):
    """Note that the session's connection is gone."""
    node.by_conn.pop(view.conn, None)
    view.conn = None
    view.ready = False
    view.wanted = 0
    node.timers.set(
        ('give_up', view.incarnation), now + membership.GIVE_UP_AFTER_S
    )
    return [effects.Record('endpoint_disconnected', endpoint=view.name)]


def give_up(node, view, now):
    """Treat all open starts of an endpoint incarnation as lost."""
    out = []
    starts = list(view.open.values())
    view.open.clear()
    for task_start in starts:
        out += _infer(node, task_start, Status.LOST, now)
    return out


def remove(node, view, now):
    """Forget an endpoint incarnation that is gone for good."""
    out = give_up(node, view, now)
    node.endpoints.pop(view.incarnation, None)
    if view.conn is not None:
        node.by_conn.pop(view.conn, None)
    node.timers.cancel(('give_up', view.incarnation))
    out.append(effects.Record('endpoint_removed', endpoint=view.name))
    return out


def _infer(node, task_start, status, now):
    outcome = messages.Outcome(
        seq=task_start.seq, status=int(status), output=b'', run_ms=0
    )
    return _outcomes.settle(node, task_start, outcome, now)


def on_resume_report(node, view, msg, now):
    """Reconcile open starts with what the endpoint process knows."""
    out = []
    view.sent = 0
    view.granted = msg.granted
    view.free = msg.free
    view.long_free = msg.long_free
    node.dirty = True
    known = set(msg.known)
    for seq, task_start in list(view.open.items()):
        if seq in known:
            continue
        del view.open[seq]
        never_received = 0 <= msg.highest < seq
        status = Status.REFUSED if never_received else Status.LOST
        out += _infer(node, task_start, status, now)
    for seq, task_start in view.open.items():
        if task_start.job.answer is not None:
            view.cancels.append(seq)
    view.ready = True
    node.timers.cancel(('give_up', view.incarnation))
    return out


def _take_credits(node, view, msg):
    gained = msg.granted - view.granted
    view.wanted = max(view.wanted - max(gained, 0), 0)
    _take_free(view, msg)
    node.dirty = True


def _take_free(view, msg):
    view.granted = msg.granted
    # Starts that were still under way when the endpoint sent this.
    in_flight = view.next_seq - 1 - msg.seen
    view.free = msg.free - in_flight
    view.long_free = msg.long_free


def on_grant(node, view, msg, now):
    """Take over credits."""
    _take_credits(node, view, msg)
    return []


def on_outcome_batch(node, view, msg, now):
    """Process outcomes and the credits that come with them."""
    _take_credits(node, view, msg)
    out = []
    for outcome in msg.outcomes:
        out += _outcomes.on_outcome(node, view, outcome, now)
    return out


def on_leave(node, view, msg, now):
    """Start nothing more on an endpoint that is leaving."""
    view.leaving = True
    return [effects.Record('endpoint_leaving', endpoint=view.name)]


def on_heartbeat(node, view, msg, now):
    """Take over the state that an endpoint's heartbeat carries."""
    view.config_version = msg.config_version
    view.members_version = msg.members_version
    if view.ready:
        before = (view.granted, view.free)
        _take_free(view, msg)
        node.dirty = node.dirty or before != (view.granted, view.free)
    return []


def heartbeat_effects(node, view, config_version, rank):
    """Return the heartbeat, and the member list if it has changed."""
    out = []
    heartbeat = messages.Heartbeat(
        config_version=config_version,
        members_version=node.directory.version,
        queued=node.waiting_tasks,
        granted=0,
        free=0,
        long_free=0,
        seen=0,
        acked=view.acked,
        active=node.leads,
        rank=rank,
    )
    view.acked = []
    out.append(effects.Send(view.conn, heartbeat))
    if view.members_version != node.directory.version:
        out.append(effects.Send(view.conn, members_message(node)))
        view.members_version = node.directory.version
    return out


def members_message(node):
    """Return the `Members` message of this entry, itself included."""
    opt = node.options
    own = messages.EntryInfo(
        name=opt.name,
        incarnation=node.incarnation,
        address=opt.address,
        web_address=opt.web_address,
        domain=opt.domain,
        draining=node.draining,
    )
    others = [
        info
        for info in membership.entries(node.directory)
        if info.name != opt.name
    ]
    return messages.Members(
        version=node.directory.version,
        entries=[own, *others],
        leader=node.leader,
    )
