"""Sessions with endpoint processes."""

from azurepier.entry import _outcomes
from azurepier.entry import _state
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

Status = kernel.Status


def on_connected(node, conn, hello, now):
    """Start a session with an endpoint process."""
    out = []
    view = node.endpoints.get(hello.incarnation)
    if view is None:
        view = _new_view(node, hello, now)
        node.endpoints[hello.incarnation] = view
        out += _remove_predecessors(node, view, now)
    elif view.conn is not None:
        out.append(effects.Close(view.conn))
        node.by_conn.pop(view.conn, None)
    if now - view.last_received_at > membership.GIVE_UP_AFTER_S:
        # If this process was suspended for long, the endpoint may have
        # discarded the record that proves which starts it never received.
        out += settle_as_lost(node, view, now)
    view.conn = conn
    view.ready = False
    view.last_received_at = now
    view.outbox = []
    view.pending_cancels = []
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
        last_received_at=now,
        history=node.histories.setdefault(
            hello.name, _state.EndpointHistory()
        ),
    )


def _remove_predecessors(node, view, now):
    """Remove disconnected earlier incarnations of an endpoint process."""
    out = []
    for other in list(node.endpoints.values()):
        if other.name == view.name and other.conn is None:
            if other is not view:
                out += remove_endpoint(node, other, now)
    return out


def on_disconnected(node, view, now):
    """Handle the loss of the connection to an endpoint process."""
    node.by_conn.pop(view.conn, None)
    view.conn = None
    view.ready = False
    view.slots_requested = 0
    node.timers.set(
        ('endpoint_expired', view.incarnation),
        now + membership.GIVE_UP_AFTER_S,
    )
    return [effects.Record('endpoint_disconnected', endpoint=view.name)]


def settle_as_lost(node, view, now):
    """Settle all open starts of an endpoint incarnation as lost."""
    out = []
    starts = list(view.open_starts.values())
    view.open_starts.clear()
    for task_start in starts:
        out += _settle_inferred(node, task_start, Status.LOST, now)
    return out


def remove_endpoint(node, view, now):
    """Remove an endpoint incarnation that is not expected to reconnect."""
    out = settle_as_lost(node, view, now)
    node.endpoints.pop(view.incarnation, None)
    if view.conn is not None:
        node.by_conn.pop(view.conn, None)
    node.timers.cancel(('endpoint_expired', view.incarnation))
    out.append(effects.Record('endpoint_removed', endpoint=view.name))
    return out


def _settle_inferred(node, task_start, status, now):
    """Apply an outcome that the endpoint did not report itself."""
    outcome = messages.Outcome(
        seq=task_start.seq, status=int(status), output=b'', run_ms=0
    )
    return _outcomes.apply_outcome(node, task_start, outcome, now)


def on_resume_report(node, view, msg, now):
    """Reconcile open starts with the report of the endpoint process."""
    out = []
    view.sent = 0
    view.granted = msg.granted
    view.free = msg.free
    view.long_free = msg.long_free
    node.dirty = True
    # This entry may have removed the endpoint and know it anew, while the
    # endpoint still reports outcomes under the earlier numbers.
    view.next_seq = max([view.next_seq - 1, msg.highest, *msg.known]) + 1
    view.settled_seq = view.next_seq - 1
    known = set(msg.known)
    for seq, task_start in list(view.open_starts.items()):
        if seq in known:
            continue
        del view.open_starts[seq]
        # -1 says that the endpoint has no record of earlier sessions, which
        # does not prove that it never received the start.
        never_received = 0 <= msg.highest < seq
        status = Status.REFUSED if never_received else Status.LOST
        out += _settle_inferred(node, task_start, status, now)
    for seq in msg.known:
        # Runs that this entry has given up have no open start.
        task_start = view.open_starts.get(seq)
        if task_start is None or task_start.job.answer is not None:
            view.pending_cancels.append(seq)
    view.ready = True
    node.timers.cancel(('endpoint_expired', view.incarnation))
    return out


def _update_credits(node, view, msg):
    new_credits = msg.granted - view.granted
    view.slots_requested = max(view.slots_requested - max(new_credits, 0), 0)
    _update_capacity(view, msg)
    node.dirty = True


def _update_capacity(view, msg):
    view.granted = msg.granted
    # Starts that the endpoint had not received when it sent the message.
    in_flight = view.next_seq - 1 - max(msg.seen, view.settled_seq)
    view.free = msg.free - in_flight
    view.long_free = msg.long_free


def on_grant(node, view, msg, now):
    """Update the credits and free slots of an endpoint."""
    _update_credits(node, view, msg)
    return []


def on_outcome_batch(node, view, msg, now):
    """Handle a batch of outcomes and the credits that it carries."""
    _update_credits(node, view, msg)
    out = []
    for outcome in msg.outcomes:
        out += _outcomes.on_outcome(node, view, outcome, now)
    return out


def on_leave(node, view, msg, now):
    """Stop dispatching to an endpoint that is leaving."""
    view.leaving = True
    return [effects.Record('endpoint_leaving', endpoint=view.name)]


def on_heartbeat(node, view, msg, now):
    """Update an endpoint's state from its heartbeat."""
    view.config_version = msg.config_version
    view.members_version = msg.members_version
    if view.ready:
        before = (view.granted, view.free)
        _update_capacity(view, msg)
        node.dirty = node.dirty or before != (view.granted, view.free)
    return []


def heartbeat_effects(node, recipient, config_version, rank):
    """Return the effects that send a heartbeat to an endpoint or entry.

    The member list follows if the recipient's is stale.
    """
    out = []
    heartbeat = messages.Heartbeat(
        config_version=config_version,
        members_version=node.directory.version,
        queued=node.waiting_tasks,
        granted=0,
        free=0,
        long_free=0,
        seen=0,
        acked=recipient.pending_acks,
        active=node.leads,
        rank=rank,
    )
    recipient.pending_acks = []
    out.append(effects.Send(recipient.conn, heartbeat))
    if recipient.members_version != node.directory.version:
        out.append(effects.Send(recipient.conn, members_message(node)))
        recipient.members_version = node.directory.version
    return out


def members_message(node):
    """Return a `Members` message that lists this entry and all known ones."""
    options = node.options
    own = messages.EntryInfo(
        name=options.name,
        incarnation=node.incarnation,
        address=options.address,
        web_address=options.web_address,
        domain=options.domain,
        draining=node.draining,
    )
    others = [
        info
        for info in membership.entries(node.directory)
        if info.name != options.name
    ]
    return messages.Members(
        version=node.directory.version,
        entries=[own, *others],
        leader=node.leader,
    )
