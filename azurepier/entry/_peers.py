"""Other entries: forwarding, recovery of lost owners, quotas."""

from azurepier.entry import _outcomes
from azurepier.entry import _recovery
from azurepier.entry import _state
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import membership

# An owner that can't be reached for this long is taken as lost.
OWNER_WAIT_S = 2.0
HOPS_MAX = 2


def connected(node, conn, hello, now):
    """Take up a connection with another entry."""
    peer = _state.Peer(
        name=hello.name,
        incarnation=hello.incarnation,
        conn=conn,
        address=hello.address,
        last_heard=now,
    )
    node.peers[conn] = peer
    info = messages.EntryInfo(
        name=hello.name,
        incarnation=hello.incarnation,
        address=hello.address,
        web_address=hello.web_address,
        domain=hello.domain,
        draining=False,
    )
    learn_entry(node, info, now)
    _update_limits(node, now)
    out = [effects.Record('entry_connected', detail=hello.name)]
    for forwarded in node.forwards.values():
        if forwarded.incarnation == hello.incarnation:
            if forwarded.conn is None:
                out += _send_forward(forwarded, conn)
    return out


def lost(node, peer, now):
    """Note that the connection to another entry is gone."""
    node.peers.pop(peer.conn, None)
    _update_limits(node, now)
    out = [effects.Record('entry_disconnected', detail=peer.name)]
    for forwarded in list(node.forwards.values()):
        if forwarded.conn == peer.conn:
            forwarded.conn = None
            forwarded.give_up_at = now + OWNER_WAIT_S
            _arm(node, forwarded)
            other = connection_of(node, forwarded.incarnation)
            if other is not None:
                out += _send_forward(forwarded, other)
    _drop_remote_waiters(node, peer.conn)
    return out


def _drop_remote_waiters(node, conn):
    for job in node.table.jobs.values():
        if job.waiters:
            job.waiters[:] = [w for w in job.waiters if w.conn != conn]


def _update_limits(node, now):
    names = {peer.name for peer in node.peers.values()}
    names.add(node.options.name)
    limits.set_members(node.limits, names, now)


def connection_of(node, incarnation):
    """Return a connection to an entry incarnation, or None."""
    for peer in node.peers.values():
        if peer.incarnation == incarnation:
            return peer.conn
    return None


def other_web_address(node):
    """Return the callers' URL of another entry, or an empty string."""
    connected_names = {peer.name for peer in node.peers.values()}
    for info in membership.entries(node.directory):
        if info.name in connected_names and not info.draining:
            return info.web_address
    return ''


# Forwarding --------------------------------------------------------------


def _forward(action, **fields):
    defaults = {
        'query': 0,
        'job_id': '',
        'customer': '',
        'body': b'',
        'wait_ms': 0,
        'hops': 1,
        'detach': False,
        'count': 0,
    }
    return messages.Forward(action=action, **{**defaults, **fields})


def ask_for_ids(node, waiter, leader, count, now):
    """Ask the leader for a block of job ids."""
    msg = _forward('ids', count=count)
    forwarded = _new_forward(node, waiter, msg, leader.incarnation, now)
    return _send_forward(forwarded, leader.conn)


def submit_to(node, waiter, leader, spec, detach, now):
    """Submit a job under a new id of the leader."""
    msg = _forward(
        'submit',
        customer=spec.customer,
        body=jobs.spec_to_json(spec),
        detach=detach,
    )
    forwarded = _new_forward(node, waiter, msg, leader.incarnation, now)
    return _send_forward(forwarded, leader.conn)


def pass_on_submit(node, waiter, parts, job_id, spec, detach, hops, now):
    """Pass a submission on to the entry that owns its id."""
    msg = _forward(
        'submit',
        job_id=job_id,
        customer=spec.customer,
        body=jobs.spec_to_json(spec),
        hops=hops + 1,
        detach=detach,
    )
    return _pass_on(node, waiter, parts, msg, now)


def pass_on(node, waiter, parts, action, job_id, customer, wait_s, hops, now):
    """Pass a request other than a submission on to the owner."""
    msg = _forward(
        action,
        job_id=job_id,
        customer=customer,
        wait_ms=int(wait_s * 1000),
        hops=hops + 1,
    )
    return _pass_on(node, waiter, parts, msg, now)


def _pass_on(node, waiter, parts, msg, now):
    if msg.job_id in node.recoveries:
        return _recovery.recover(node, waiter, msg, now)
    if _is_gone(node, parts.incarnation):
        return _to_recoverer(node, waiter, msg, now)
    forwarded = _new_forward(node, waiter, msg, parts.incarnation, now)
    conn = connection_of(node, parts.incarnation)
    if conn is not None:
        return _send_forward(forwarded, conn)
    _arm(node, forwarded)
    return []


def _is_gone(node, incarnation):
    """Tell whether another incarnation has taken the owner's name.

    An incarnation that this entry never heard of may be one that it will
    hear of soon, so it is waited for.
    """
    return incarnation in node.former


def _new_forward(node, waiter, msg, incarnation, now):
    query = node.next_query
    node.next_query += 1
    msg.query = query
    forwarded = _state.Forwarded(
        query, waiter, msg, incarnation, now + OWNER_WAIT_S
    )
    node.forwards[query] = forwarded
    if waiter.req is not None:
        node.pending[waiter.req] = []
    return forwarded


def _arm(node, forwarded):
    node.timers.set(('owner', forwarded.query), forwarded.give_up_at)


def _send_forward(forwarded, conn):
    forwarded.conn = conn
    forwarded.sent = True
    return [effects.Send(conn, forwarded.msg)]


def on_owner_timer(node, query, now):
    """Recover a job whose owner stayed out of reach."""
    forwarded = node.forwards.get(query)
    if forwarded is None or forwarded.conn is not None:
        return []
    del node.forwards[query]
    if not forwarded.msg.job_id:
        return _leader_lost(node, forwarded, now)
    return _to_recoverer(
        node, forwarded.waiter, forwarded.msg, now, forwarded.sent
    )


def _leader_lost(node, forwarded, now):
    """Answer a request that was sent to a leader that is gone.

    The leader may have given the job an id that nobody here knows.
    """
    _outcomes.forget_waiter(node, forwarded.waiter)
    if forwarded.msg.action == 'ids':
        ids = jobs.table.issue_ids(node.table, forwarded.msg.count, now)
        answer = kernel.Ids(ids, jobs.table.ID_VALIDITY_S)
        return [_outcomes.reply(forwarded.waiter, answer)]
    answer = kernel.Refused(
        '',
        'owner-lost',
        kernel.Verdict.MAY_HAVE_RUN,
        'the entry that took the request is gone',
        OWNER_WAIT_S,
    )
    return [_outcomes.reply(forwarded.waiter, answer)]


def _to_recoverer(node, waiter, msg, now, reached=True):
    """Let one agreed entry recover the job, so that answers agree."""
    names = {peer.name: peer for peer in node.peers.values()}
    chosen = membership.preferred(msg.job_id, {*names, node.options.name})
    if chosen == node.options.name or msg.hops >= HOPS_MAX:
        return _recovery.recover(node, waiter, msg, now, reached)
    peer = names[chosen]
    msg.hops = HOPS_MAX
    forwarded = _new_forward(node, waiter, msg, peer.incarnation, now)
    return _send_forward(forwarded, peer.conn)


def on_forward_answer(node, peer, msg, now):
    """Hand an owner's answer to the caller."""
    forwarded = node.forwards.pop(msg.query, None)
    if forwarded is None:
        return []
    node.timers.cancel(('owner', msg.query))
    _outcomes.forget_waiter(node, forwarded.waiter)
    answer = jobs.answer_from_json(msg.body)
    return [_outcomes.reply(forwarded.waiter, answer)]


# Members ----------------------------------------------------------------


def learn_entry(node, info, now):
    """Take over what is known of another entry."""
    if info.name == node.options.name:
        return
    known = node.directory.known.get(info.name)
    if known is not None and known.info.incarnation != info.incarnation:
        if info.incarnation in node.former:
            return  # an outdated list that names an earlier incarnation
        node.former[known.info.incarnation] = now
    membership.learn(node.directory, info, now)
