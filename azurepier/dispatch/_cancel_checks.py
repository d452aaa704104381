"""Confirmation that the other entries have a cancel.

Load pattern: an entry takes a cancel of a job that it doesn't have, while
another entry may have it and be cut off, frozen or about to end. Before the
cancel is acknowledged, a check goes over all links between entries, behind the
cancel. Each entry forwards the first copy of a check and confirms it to the
sender once all entries that it was forwarded to have confirmed or forwarded it
too. So the origin learns which entries have all cancels that it had passed on
before the check, after one round trip over the longest path.

If entries that are known are missing in the result, checks are repeated for
`CONFIRM_WAIT_S`. By then each connection that was cut before the cancel is
known to be lost, and the endpoint processes have passed the cancel on to all
entries that are connected to them (`azurepier.runner._cancels`). A missing
entry is then one that has no connection to the part of the deployment in which
this entry is. If that is the greater part of the entries, or has all endpoint
processes, the cancel is acknowledged: the endpoint processes there have
stopped the job's runs and refuse its orders.
"""

import attrs

from azurepier.dispatch import _model
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

# Time after which a cancel is acknowledged without the entries that are
# missing in the results of all checks, or fails (s). A connection is given up
# after 1.25 s without a message, which a timer of 0.25 s finds; the rest is
# for the result of one more check.
CONFIRM_WAIT_S = 2.0
# Interval of checks while entries are missing, and minimum time between two
# checks (s): cancels that arrive meanwhile share the next one.
REPEAT_S = 0.25
MIN_INTERVAL_S = 0.005
# Interval of checks while entries are missing and no caller waits (s), so that
# the first cancel need not wait for an entry that has been gone for a while.
WATCH_INTERVAL_S = 2.0
# Time for which a check is remembered (s); none is in transit for longer.
REMEMBERED_S = 5.0
# A result that took longer than this waited for a link that had gone silent
# (s); links may take a fifth of a second in all.
PROMPT_S = 0.3
# Retry-After of a cancel that isn't acknowledged (s).
RETRY_AFTER_S = 1
# Time for which an endpoint process counts after its connection was lost (s),
# as for entries (`membership.EXPIRE_AFTER_S`).
LOST_MEMORY_S = membership.EXPIRE_AFTER_S
# Maximum number of jobs that one check asks for.
ASKED_MAX = 1000


@attrs.define(eq=False)
class Wait:
    """A caller that waits for the acknowledgement of a cancel."""

    job_id: str
    since: float
    knows_route: bool


@attrs.define(eq=False)
class Check:
    """A check that this entry has started or forwarded.

    Attributes
    ----------
    started_at : float
        Time at which this entry started or first received it (s).
    conn : int or None
        Connection over which it came; None at its origin.
    job_ids : tuple of str
        Jobs of which the origin wants to know whether an entry had them;
        dropped once the check is forwarded.
    forwarded_to, pending : set of int
        Connections over which it was forwarded, and those of them over which
        neither a confirmation nor the check itself has come.
    confirmed : set of str
        Addresses of entries that have confirmed.
    stopped : set of str
        Those of the jobs that an entry has stopped.
    has_older : bool
        Whether an entry of a version without checks is connected to one that
        has confirmed.
    """

    started_at: float
    conn: int | None
    job_ids: tuple = ()
    forwarded_to: set = attrs.field(factory=set)
    pending: set = attrs.field(factory=set)
    confirmed: set = attrs.field(factory=set)
    stopped: set = attrs.field(factory=set)
    has_older: bool = False
    is_finished: bool = False


@attrs.define(eq=False)
class Checks:
    """State of the checks at an entry.

    Attributes
    ----------
    waits : dict of int to Wait
        By the request of the caller.
    checks : dict of (str, int) to Check
        By origin and number, the oldest first.
    latest : Check or None
        The latest finished check that this entry has started.
    started_at : float
        Time of the latest check that this entry has started (s).
    missing_since : dict of str to float
        Time of the first of the latest checks in which an address was missing
        (s).
    has_lost_peer : bool
        Whether an entry was disconnected since the latest check.
    lost_endpoints : dict of str to float
        Time at which the connection of an endpoint process was lost (s), by
        name.
    """

    waits: dict = attrs.field(factory=dict)
    checks: dict = attrs.field(factory=dict)
    number: int = 0
    latest: Check | None = None
    started_at: float = float('-inf')
    missing_since: dict = attrs.field(factory=dict)
    has_lost_peer: bool = False
    lost_endpoints: dict = attrs.field(factory=dict)


def add_wait(node, event, now):
    """Let a caller wait until the other entries have confirmed."""
    state = node.cancel_checks
    state.waits[event.req] = Wait(event.job_id, now, event.knows_route)
    due_at = max(now, state.started_at + MIN_INTERVAL_S)
    node.timers.set_no_later_than('cancel_check', due_at)
    return []


def on_timer(node, _, now):
    """Answer the callers whose time is over, and check for the others."""
    state = node.cancel_checks
    out = []
    for req, wait in list(state.waits.items()):
        if now - wait.since >= CONFIRM_WAIT_S:
            out += _answer_late(node, req, wait, now)
    if not (state.waits or state.missing_since or state.has_lost_peer):
        return out
    state.has_lost_peer = False
    interval_s = REPEAT_S if state.waits else WATCH_INTERVAL_S
    node.timers.set('cancel_check', now + interval_s)
    return out + _start(node, now)


def _start(node, now):
    state = node.cancel_checks
    _forget_old(node, now)
    if now - state.started_at > REMEMBERED_S:
        state.missing_since.clear()
    state.started_at = now
    state.number += 1
    asked = sorted(
        {each.job_id for each in state.waits.values() if not each.knows_route}
    )
    check = Check(now, None, tuple(asked[:ASKED_MAX]))
    return _forward(node, (node.incarnation, state.number), check, now)


def _forget_old(node, now):
    checks = node.cancel_checks.checks
    while checks:
        key = next(iter(checks))
        if now - checks[key].started_at <= REMEMBERED_S:
            return
        del checks[key]


def _forward(node, key, check, now):
    """Send a check to all entries but the one that it came from."""
    node.cancel_checks.checks[key] = check
    others = [each for each in node.peers.values() if each.conn != check.conn]
    check.has_older = not all(each.relays_cancels for each in others)
    check.forwarded_to = {each.conn for each in others if each.relays_cancels}
    check.pending = set(check.forwarded_to)
    check.stopped = set(check.job_ids) & node.stopped_jobs.keys()
    msg = _message(node)
    msg.cancel_checks = [
        messages.CancelCheck(
            origin=key[0], number=key[1], job_ids=list(check.job_ids)
        )
    ]
    check.job_ids = ()
    out = [effects.Send(conn, msg) for conn in sorted(check.pending)]
    return out + _finish_if_complete(node, key, check, now)


def _message(node):
    return messages.Beat(
        config_version=_state.config_version(node), demand=0.0
    )


def on_peer_update(node, peer, msg, now):
    """Process the checks and confirmations of another entry."""
    out = []
    for received in msg.cancel_checks or ():
        out += _on_check(node, peer, received, now)
    for received in msg.cancel_confirmations or ():
        out += _on_confirmation(node, peer, received, now)
    return out


def _on_check(node, peer, received, now):
    _forget_old(node, now)
    key = received.origin, received.number
    check = node.cancel_checks.checks.get(key)
    if check is None:
        job_ids = tuple(received.job_ids[:ASKED_MAX])
        return _forward(node, key, Check(now, peer.conn, job_ids), now)
    if peer.conn in check.pending:
        # Both have sent it to each other; the peer confirms to its own sender.
        check.pending.discard(peer.conn)
        return _finish_if_complete(node, key, check, now)
    if peer.conn not in check.forwarded_to:
        # The connection is newer than the check.
        return [_confirmation(node, peer.conn, key, Check(now, peer.conn))]
    return []


def _on_confirmation(node, peer, received, now):
    key = received.origin, received.number
    check = node.cancel_checks.checks.get(key)
    if check is None or peer.conn not in check.pending:
        return []
    check.pending.discard(peer.conn)
    check.confirmed |= {peer.address, *received.confirmed}
    check.stopped.update(received.stopped)
    check.has_older = check.has_older or received.has_older
    return _finish_if_complete(node, key, check, now)


def on_peer_removed(node, peer, now):
    """Stop waiting for the confirmations of an entry that is disconnected.

    A check shows whether it is missing before the next cancel comes.
    """
    node.cancel_checks.has_lost_peer = True
    node.timers.set_no_later_than('cancel_check', now + REPEAT_S)
    out = []
    for key, check in list(node.cancel_checks.checks.items()):
        if peer.conn in check.pending:
            check.pending.discard(peer.conn)
            out += _finish_if_complete(node, key, check, now)
    return out


def _confirmation(node, conn, key, check):
    msg = _message(node)
    msg.cancel_confirmations = [
        messages.CancelConfirmation(
            origin=key[0],
            number=key[1],
            confirmed=sorted(check.confirmed),
            stopped=sorted(check.stopped),
            has_older=check.has_older,
        )
    ]
    return effects.Send(conn, msg)


def _finish_if_complete(node, key, check, now):
    if check.pending or check.is_finished:
        return []
    check.is_finished = True
    if check.conn is None:
        return _on_result(node, check, now)
    if check.conn not in node.peers:
        return []
    return [_confirmation(node, check.conn, key, check)]


def _on_result(node, check, now):
    """Answer the callers that waited when the check was started."""
    state = node.cancel_checks
    state.latest = check
    missing = node.roster.known.keys() - check.confirmed
    state.missing_since = {
        address: state.missing_since.get(address, check.started_at)
        for address in missing
    }
    is_prompt = now - check.started_at < PROMPT_S
    gone = all(
        check.started_at - since > CONFIRM_WAIT_S - REPEAT_S
        for since in state.missing_since.values()
    )
    if missing:
        confirmed = is_prompt and gone and _is_greater_part(node, check, now)
    else:
        confirmed = bool(check.confirmed) or _is_alone(node, now)
    if not confirmed:
        return []
    out = []
    for req, wait in list(state.waits.items()):
        if wait.since <= check.started_at:
            out += _confirm(node, req, wait, check, now)
    return out


def _is_alone(node, now):
    """Tell whether there is no other entry.

    One that has started or lost all others a moment ago may not know them.
    """
    others = set(node.options.seeds) - {node.options.address}
    if not others:
        return True
    return bool(node.by_conn) and now - node.started_at > CONFIRM_WAIT_S


def _is_greater_part(node, check, now):
    """Tell whether the entries that are missing can't start tasks here.

    More entries than not have confirmed, this one included, or no endpoint
    process is missing that a missing entry could use. Entries of versions
    without checks, and those behind them, can't be counted.
    """
    known = node.roster.known.keys()
    count, total = len(known & check.confirmed) + 1, len(known) + 1
    if count == 1 and not node.by_conn:
        return False
    if check.has_older:
        return True
    if total <= membership.LINKS_PER_ENDPOINT and _has_all_endpoints(
        node, now
    ):
        return True
    return 2 * count > total


def on_endpoint_lost(node, endpoint, now):
    """Note that an endpoint process may serve entries that aren't reached."""
    lost = node.cancel_checks.lost_endpoints
    lost[endpoint.name] = now
    for name in [each for each in lost if lost[each] < now - LOST_MEMORY_S]:
        del lost[name]


def on_endpoint_connected(node, name):
    """Note that an endpoint process serves this entry."""
    node.cancel_checks.lost_endpoints.pop(name, None)


def _has_all_endpoints(node, now):
    """Tell whether all endpoint processes are connected that were of late.

    Each endpoint process serves all entries if these are few.
    """
    return (
        bool(node.by_conn)
        and now - node.started_at > CONFIRM_WAIT_S
        and not any(
            now - at < LOST_MEMORY_S
            for at in node.cancel_checks.lost_endpoints.values()
        )
    )


def _answer_late(node, req, wait, now):
    """Acknowledge a cancel without the entries that are gone, or refuse."""
    check = node.cancel_checks.latest
    if (
        check is not None
        and check.started_at >= wait.since
        and _is_greater_part(node, check, now)
    ):
        return _confirm(node, req, wait, check, now)
    del node.cancel_checks.waits[req]
    node.count('cancels_unconfirmed')
    fields = {
        'job_id': wait.job_id,
        'peers': len(node.peers),
        'endpoints': len(node.by_conn),
        'entries': len(node.roster.known) + 1,
    }
    return [
        effects.Log('cancel_unconfirmed', fields),
        effects.Answer(req, _model.CancelUnconfirmed(RETRY_AFTER_S)),
    ]


def _confirm(node, req, wait, check, now):
    del node.cancel_checks.waits[req]
    node.count('cancels_confirmed')
    node.observe('cancel_confirmed', now - wait.since)
    had_job = wait.job_id in check.stopped
    return [effects.Answer(req, _model.CancelConfirmed(had_job))]
