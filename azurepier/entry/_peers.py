"""Connections to other entries and forwarding of requests to them."""

import attrs

from azurepier.entry import _outcomes
from azurepier.entry import _recovery
from azurepier.entry import _state
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import membership

# An owner that is unreachable for this long is considered lost.
OWNER_TIMEOUT_S = 2.0
# An entry that receives a request forwarded this many times answers it even if
# it does not own the job.
HOPS_MAX = 2


def on_connected(node, conn, hello, now):
    """Register a connection to another entry."""
    peer = _state.Peer(
        name=hello.name,
        incarnation=hello.incarnation,
        conn=conn,
        address=hello.address,
        last_received_at=now,
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
    update_entry(node, info, now)
    _update_limits(node, now)
    out = [effects.Record('entry_connected', detail=hello.name)]
    for forwarded in node.forwards.values():
        if forwarded.incarnation == hello.incarnation:
            if forwarded.conn is None:
                out += _send_forward(forwarded, conn)
    return out


def on_disconnected(node, peer, now):
    """Handle the loss of the connection to another entry."""
    node.peers.pop(peer.conn, None)
    _update_limits(node, now)
    out = [effects.Record('entry_disconnected', detail=peer.name)]
    for forwarded in list(node.forwards.values()):
        if forwarded.conn != peer.conn:
            continue
        if _starts_anew(forwarded.msg):
            del node.forwards[forwarded.query]
            out += _reply_leader_lost(node, forwarded, now)
        else:
            forwarded.conn = None
            forwarded.give_up_at = now + OWNER_TIMEOUT_S
            _set_owner_timer(node, forwarded)
            other = find_connection(node, forwarded.incarnation)
            if other is not None:
                out += _send_forward(forwarded, other)
    _drop_remote_waiters(node, peer.conn)
    return out


def _starts_anew(msg):
    """Tell whether a second copy of a request would start a second job."""
    return msg.action == 'submit' and not msg.job_id


def _drop_remote_waiters(node, conn):
    for job in node.table.jobs.values():
        if job.waiters:
            job.waiters[:] = [w for w in job.waiters if w.conn != conn]


def _update_limits(node, now):
    names = {peer.name for peer in node.peers.values()}
    names.add(node.options.name)
    limits.set_members(node.limits, names, now)


def find_connection(node, incarnation):
    """Return a connection to an entry incarnation, or None."""
    for peer in node.peers.values():
        if peer.incarnation == incarnation:
            return peer.conn
    return None


def alternative_web_address(node):
    """Return the callers' URL of another entry, or an empty string."""
    connected_names = {peer.name for peer in node.peers.values()}
    for info in membership.entries(node.directory):
        if info.name in connected_names and not info.draining:
            return info.web_address
    return ''


def _make_forward(action, **fields):
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


def request_ids(node, waiter, leader, count, now):
    """Request a block of job ids from the leader."""
    msg = _make_forward('ids', count=count)
    forwarded = _new_forward(node, waiter, msg, leader.incarnation, now)
    return _send_forward(forwarded, leader.conn)


def submit_to_leader(node, waiter, leader, spec, detach, now):
    """Forward a job without an id to the leader, which issues one."""
    msg = _make_forward(
        'submit',
        customer=spec.customer,
        body=jobs.spec_to_json(spec),
        detach=detach,
    )
    forwarded = _new_forward(node, waiter, msg, leader.incarnation, now)
    return _send_forward(forwarded, leader.conn)


def forward_submission(
    node, waiter, parsed_id, job_id, spec, detach, hops, now
):
    """Forward a submission to the entry that owns its id."""
    msg = _make_forward(
        'submit',
        job_id=job_id,
        customer=spec.customer,
        body=jobs.spec_to_json(spec),
        hops=hops + 1,
        detach=detach,
    )
    return _forward_to_owner(node, waiter, parsed_id, msg, now)


def forward_request(
    node, waiter, parsed_id, action, job_id, customer, wait_s, hops, now
):
    """Forward a request other than a submission to the job's owner."""
    msg = _make_forward(
        action,
        job_id=job_id,
        customer=customer,
        wait_ms=int(wait_s * 1000),
        hops=hops + 1,
    )
    return _forward_to_owner(node, waiter, parsed_id, msg, now)


def _forward_to_owner(node, waiter, parsed_id, msg, now):
    if msg.job_id in node.recoveries:
        return _recovery.recover(node, waiter, msg, now)
    if _is_replaced(node, parsed_id.incarnation):
        return _forward_to_recoverer(node, waiter, msg, now)
    forwarded = _new_forward(node, waiter, msg, parsed_id.incarnation, now)
    conn = find_connection(node, parsed_id.incarnation)
    if conn is not None:
        return _send_forward(forwarded, conn)
    _set_owner_timer(node, forwarded)
    return []


def _is_replaced(node, incarnation):
    """Tell whether a newer incarnation has replaced the owner.

    An unknown incarnation doesn't count as replaced: it may belong to an
    entry that has just started, so the request waits for it to connect. Nor
    does one that is connected, whatever lists of other processes say.
    """
    return (
        incarnation in node.former_incarnations
        and find_connection(node, incarnation) is None
    )


def _new_forward(node, waiter, msg, incarnation, now):
    query = node.next_query
    node.next_query += 1
    msg.query = query
    forwarded = _state.ForwardedRequest(
        query, waiter, msg, incarnation, now + OWNER_TIMEOUT_S
    )
    node.forwards[query] = forwarded
    if waiter.req is not None:
        node.waiters_by_req[waiter.req] = []
    return forwarded


def _set_owner_timer(node, forwarded):
    node.timers.set(('owner_timeout', forwarded.query), forwarded.give_up_at)


def _send_forward(forwarded, conn):
    forwarded.conn = conn
    forwarded.repeated = forwarded.sent
    forwarded.sent = True
    return [effects.Send(conn, forwarded.msg)]


def on_owner_timer(node, query, now):
    """Recover a job whose owner stayed unreachable."""
    forwarded = node.forwards.get(query)
    if forwarded is None or forwarded.conn is not None:
        return []
    del node.forwards[query]
    if not forwarded.msg.job_id:
        return _reply_leader_lost(node, forwarded, now)
    return _forward_to_recoverer(
        node, forwarded.waiter, forwarded.msg, now, forwarded.sent
    )


def _reply_leader_lost(node, forwarded, now):
    """Answer a request without a job id whose leader is lost.

    The leader may have accepted the job under an id that this entry doesn't
    know, so a submission may have run.
    """
    _outcomes.unregister_waiter(node, forwarded.waiter)
    if forwarded.msg.action == 'ids':
        ids = jobs.table.issue_ids(node.table, forwarded.msg.count, now)
        answer = kernel.Ids(ids, jobs.table.ID_VALIDITY_S)
        return [_outcomes.reply(forwarded.waiter, answer)]
    answer = kernel.Refused(
        '',
        'owner-lost',
        kernel.Verdict.MAY_HAVE_RUN,
        'the connection to the entry that handled the request was lost',
        OWNER_TIMEOUT_S,
    )
    return [_outcomes.reply(forwarded.waiter, answer)]


def _forward_to_recoverer(node, waiter, msg, now, reached_owner=True):
    """Recover a job, or forward the request to the entry that does.

    Entries select the recovering entry by rendezvous hashing of the job id,
    so that all callers get the same answer.
    """
    peers = {peer.name: peer for peer in node.peers.values()}
    chosen = membership.preferred(msg.job_id, {*peers, node.options.name})
    if chosen == node.options.name or msg.hops >= HOPS_MAX:
        return _recovery.recover(node, waiter, msg, now, reached_owner)
    peer = peers[chosen]
    msg.hops = HOPS_MAX
    forwarded = _new_forward(node, waiter, msg, peer.incarnation, now)
    return _send_forward(forwarded, peer.conn)


def on_forward_answer(node, peer, msg, now):
    """Return the answer of another entry to the caller."""
    forwarded = node.forwards.pop(msg.query, None)
    if forwarded is None:
        return []
    node.timers.cancel(('owner_timeout', msg.query))
    _outcomes.unregister_waiter(node, forwarded.waiter)
    try:
        answer = jobs.answer_from_json(msg.body)
    except kernel.InvalidInputError as exc:
        answer = kernel.Refused(
            forwarded.msg.job_id,
            'internal',
            kernel.Verdict.MAY_HAVE_RUN,
            str(exc),
        )
    if forwarded.repeated and getattr(answer, 'type', '') == 'expired':
        # The first copy may have used the id. To a caller that submitted once
        # `expired` says that nobody did.
        answer = attrs.evolve(
            answer,
            type='owner-lost',
            detail='the answer was lost and is no longer retained',
        )
    return [_outcomes.reply(forwarded.waiter, answer)]


def update_entry(node, info, now):
    """Update the directory with information about another entry."""
    if info.name == node.options.name:
        return
    known = node.directory.known.get(info.name)
    if known is not None and known.info.incarnation != info.incarnation:
        if _is_outdated(node, known.info.incarnation, info.incarnation):
            return
        node.former_incarnations[known.info.incarnation] = now
        node.former_incarnations.pop(info.incarnation, None)
    membership.learn(node.directory, info, now)


def _is_outdated(node, known, listed):
    """Tell whether a list names an earlier incarnation than the known one.

    Lists don't say which of two incarnations is the later one, but only a
    running process has a connection.
    """
    if find_connection(node, listed) is not None:
        return False
    return (
        listed in node.former_incarnations
        or find_connection(node, known) is not None
    )
