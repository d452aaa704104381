"""Messages between the entries: ticks, reports and grants."""

import collections

from azurepier.kernel import messages
from azurepier.limits import _account
from azurepier.limits import _home
from azurepier.limits import _ledger
from azurepier.limits import _reports
from azurepier.limits import _state

# Shortest tick that rates are measured over (s).
_LEAST_TICK_S = 1e-3


def on_tick(state, now):
    """Measure the demand and return the messages that are due.

    Called every `TICK_S`. The caller then asks `may_start` again for the
    customers whose tasks wait.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
        Messages with the names of the entries they go to.
    """
    if state.run is None:
        return []
    if now >= state.stale_at:
        _account.restart(state, now)
    elapsed = _state.TICK_S
    if state.ticked_at is not None:
        elapsed = max(now - state.ticked_at, _LEAST_TICK_S)
    state.ticked_at = now
    state.stale_at = now + _state.LEASE_S
    out = _reports_due(state, elapsed, now)
    remote = take_outbox(state) + deliver(state, out, now)
    for customer in sorted(state.homes):
        acct = state.accounts.get(customer)
        if acct is None or acct.ledger is None:
            state.homes.discard(customer)
        else:
            remote += deliver(state, _home.on_tick(state, acct, now), now)
    return remote


def take_outbox(state):
    """Return the messages that should not wait for the next tick.

    `may_start` leaves messages in `state.outbox` when it finds a demand above
    the entry's share, and `ended` when a part of the limit becomes free for
    other entries. `on_tick` returns them at the latest.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    out, state.outbox = state.outbox, []
    return out


def _reports_due(state, elapsed, now):
    out = []
    for customer in sorted(state.active):
        acct = state.accounts[customer]
        _account.advance(state, acct, now)
        _reports.measure(acct, elapsed)
        if _reports.is_due(acct, now):
            out.append((acct.home, _reports.report(state, acct, now)))
        elif _reports.is_idle(acct, now):
            state.active.discard(customer)
    return out


def deliver(state, out, now):
    """Handle the messages to this entry itself; return the others."""
    remote = []
    queue = collections.deque(out)
    while queue:
        name, msg = queue.popleft()
        if name == state.self_name:
            queue.extend(_HANDLERS[type(msg)](state, name, msg, now))
        else:
            remote.append((name, msg))
    return remote


def _is_current(state, name, msg, now):
    """Tell whether a message comes from the present run of a peer.

    Notes
    -----
    Late messages of a process that has ended may follow those of the next
    one. A different run is accepted when it has answered a newer stamp of
    this entry than the run known so far, which only a living one does.
    """
    peer = state.peers.get(name)
    if peer is None:
        state.peers[name] = _state.Peer(msg.run, msg.echo)
    elif msg.run == peer.run:
        peer.echo = max(peer.echo, msg.echo)
    elif msg.echo > peer.echo:
        state.peers[name] = _state.Peer(msg.run, msg.echo)
        _forget_run(state, name, now)
    else:
        return False
    return True


def _forget_run(state, name, now):
    for acct in state.accounts.values():
        if acct.ledger is not None:
            _ledger.member_restarted(state, acct, name, now)
        if acct.home == name:
            _account.leave_home(state, acct, now)


def _on_request(state, name, msg, now):
    acct = _account.get(state, msg.customer, now)
    current = _is_current(state, name, msg, now)
    if acct is None or acct.home != state.self_name:
        return []
    if not current:
        return [(name, _home.poll(state, acct, msg.sent_at, now))]
    return _home.on_report(state, acct, name, msg, now)


def _on_grant(state, name, msg, now):
    acct = _account.get(state, msg.customer, now)
    current = _is_current(state, name, msg, now)
    if acct is None or acct.home != name:
        return []
    if not current:
        return [(name, _reports.answer(state, acct, msg, now))]
    if not _reports.apply_grant(state, acct, msg, now):
        return []
    return [(name, _reports.report(state, acct, now))]


_HANDLERS = {
    messages.QuotaRequest: _on_request,
    messages.QuotaGrant: _on_grant,
}


def on_request(state, from_name, msg, now):
    """Handle a report from an entry, as the customer's home.

    The caller then asks `may_start` again for this customer.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    return deliver(state, _on_request(state, from_name, msg, now), now)


def on_grant(state, from_name, msg, now):
    """Handle a lease or poll from the customer's home.

    The caller then asks `may_start` again for this customer.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    return deliver(state, _on_grant(state, from_name, msg, now), now)
