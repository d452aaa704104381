"""Exchange of reports and grants between the entries."""

import collections

from azurepier.kernel import messages
from azurepier.limits import _account
from azurepier.limits import _home
from azurepier.limits import _ledger
from azurepier.limits import _reports
from azurepier.limits import _state

# Lower bound of the tick length that rates are computed with (s).
_MIN_TICK_S = 1e-3


def on_tick(state, now):
    """Measure the demand and return the messages that are due.

    Called every `TICK_S`. The caller then calls `may_start` again for the
    customers with waiting tasks.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
        Pairs of the receiving entry's name and the message.
    """
    if state.run is None:
        return []
    if now >= state.stale_at:
        _account.reset_after_freeze(state, now)
    elapsed_s = _state.TICK_S
    if state.last_tick_at is not None:
        elapsed_s = max(now - state.last_tick_at, _MIN_TICK_S)
    state.last_tick_at = now
    state.stale_at = now + _state.LEASE_S
    out = _due_reports(state, elapsed_s, now)
    remote = take_outbox(state) + deliver_locally(state, out, now)
    for customer in sorted(state.homed_customers):
        acct = state.accounts.get(customer)
        if acct is None or acct.ledger is None:
            state.homed_customers.discard(customer)
        else:
            remote += deliver_locally(
                state, _home.on_tick(state, acct, now), now
            )
    return remote


def take_outbox(state):
    """Return the messages that should not wait for the next tick.

    `may_start` appends messages to `state.outbox` when the demand exceeds the
    entry's share, and `record_end` when a part of the limit becomes free for
    other entries. The next `on_tick` returns those that were not taken.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    out, state.outbox = state.outbox, []
    return out


def _due_reports(state, elapsed_s, now):
    out = []
    for customer in sorted(state.active_customers):
        acct = state.accounts[customer]
        _account.advance(state, acct, now)
        _reports.measure_demand(acct, elapsed_s)
        if _reports.is_due(acct, now):
            out.append((acct.home, _reports.report(state, acct, now)))
        elif _reports.is_idle(acct, now):
            state.active_customers.discard(customer)
    return out


def deliver_locally(state, out, now):
    """Handle the messages addressed to this entry; return the others."""
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
    """Tell whether a message comes from the current process of a peer.

    Notes
    -----
    Late messages of a process that has ended may arrive after messages of
    its successor. A run identifier that differs from the known one is
    accepted if its process has answered a newer message of this entry, which
    only a live process can.
    """
    peer = state.peers.get(name)
    if peer is None:
        state.peers[name] = _state.Peer(msg.run, msg.echo)
    elif msg.run == peer.run:
        peer.echo = max(peer.echo, msg.echo)
    elif msg.echo > peer.echo:
        state.peers[name] = _state.Peer(msg.run, msg.echo)
        _on_peer_restarted(state, name, now)
    else:
        return False
    return True


def _on_peer_restarted(state, name, now):
    for acct in state.accounts.values():
        if acct.ledger is not None:
            _ledger.member_restarted(state, acct, name, now)
        if acct.home == name:
            _account.reset_exchange(state, acct, now)


def _on_request(state, name, msg, now):
    acct = _account.get_or_create(state, msg.customer, now)
    current = _is_current(state, name, msg, now)
    if acct is None or acct.home != state.self_name:
        return []
    if not current:
        return [(name, _home.poll_message(state, acct, msg.sent_at, now))]
    return _home.on_report(state, acct, name, msg, now)


def _on_grant(state, name, msg, now):
    acct = _account.get_or_create(state, msg.customer, now)
    current = _is_current(state, name, msg, now)
    if acct is None or acct.home != name:
        return []
    if not current:
        return [(name, _reports.report_to_other_run(state, acct, msg, now))]
    if not _reports.apply_grant(state, acct, msg, now):
        return []
    return [(name, _reports.report(state, acct, now))]


_HANDLERS = {
    messages.QuotaRequest: _on_request,
    messages.QuotaGrant: _on_grant,
}


def on_request(state, from_name, msg, now):
    """Handle a report from an entry, as the customer's home.

    The caller then calls `may_start` again for this customer.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    return deliver_locally(state, _on_request(state, from_name, msg, now), now)


def on_grant(state, from_name, msg, now):
    """Handle a lease or poll from the customer's home.

    The caller then calls `may_start` again for this customer.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    return deliver_locally(state, _on_grant(state, from_name, msg, now), now)
