"""Interface of the limits: what may start at this entry now."""

import collections

from azurepier.kernel import messages
from azurepier.limits import _account
from azurepier.limits import _home
from azurepier.limits import _ledger
from azurepier.limits import _reports
from azurepier.limits import _shares
from azurepier.limits import _state

# A token is whole if it lacks no more than this rounding error.
_WHOLE = 1 - _shares.EPSILON
# Shortest tick that rates are measured over (s).
_LEAST_TICK_S = 1e-3


def create(self_name, wait=True, home_key=None):
    """Return the state of an entry that has no plans and no members yet.

    Parameters
    ----------
    self_name : str
        Name of this entry among the members.
    wait : bool
        Whether a new home waits for what the others hold; see `Limits`.
    home_key : str or None
        If given, all customers have the same home; see `Limits`.

    Returns
    -------
    Limits
    """
    return _state.Limits(self_name, wait, home_key)


def set_plans(state, plan_of_customer, now):
    """Adopt a new configuration.

    Parameters
    ----------
    state : Limits
    plan_of_customer : callable or mapping
        Returns the `azurepier.config.Plan` of a customer's name, or None.
    now : float
        This entry's clock (s).
    """
    if callable(plan_of_customer):
        state.plan_of = plan_of_customer
    else:
        state.plan_of = dict(plan_of_customer).get
    for acct in list(state.accounts.values()):
        _account.advance(state, acct, now)
        old = acct.limit
        acct.limit = _shares.limit_of(state.plan_of(acct.customer))
        if acct.limit == old:
            continue
        _account.share(state, acct, now)
        state.active.add(acct.customer)
        if acct.ledger is not None:
            _ledger.plan_changed(state, acct, old, now)


def _start_run(state, count, now):
    state.run = now
    state.fresh_until = now + _state.HELD_S
    state.low_count = count


def _note_counts(state, old, new, now):
    """Remember how the number of entries changed.

    Notes
    -----
    The minimum grows only when the leases given from it have ended, and the
    home allows for tasks that were started under a larger minimum.
    """
    held = max(old, state.held_count if now < state.held_until else 0)
    if new < held:
        state.held_count = held
        state.held_until = now + _state.HELD_S
    low = min(old, state.low_count if now < state.low_until else old)
    if new > low:
        state.low_count = low
        state.low_until = now + _state.HELD_S


def set_members(state, live_entry_names, now):
    """Adopt the entries that this entry sees alive, including itself.

    Parameters
    ----------
    state : Limits
    live_entry_names : iterable of str
    now : float
        This entry's clock (s).
    """
    old = set(state.members)
    new = {*live_entry_names, state.self_name}
    if new == old:
        return
    if state.run is None:
        _start_run(state, len(new), now)
    for acct in state.accounts.values():
        _account.advance(state, acct, now)
    if old:
        _note_counts(state, len(old), len(new), now)
    state.members = tuple(sorted(new))
    state.members_since = _state.next_stamp(state, now)
    for acct in state.accounts.values():
        _adopt_members(state, acct, new - old, now)


def _adopt_members(state, acct, added, now):
    if acct.home in state.members:
        changed = _account.find_home(state, acct, sorted(added), now)
    else:
        acct.home_score = -1
        changed = _account.find_home(state, acct, state.members, now)
    if acct.ledger is not None and not changed:
        _ledger.members_changed(state, acct, now)
    _account.share(state, acct, now)
    state.active.add(acct.customer)


def may_start(state, customer, now):
    """Tell whether a task of the customer may start here now.

    Parameters
    ----------
    state : Limits
    customer : str
    now : float
        This entry's clock (s).

    Returns
    -------
    bool
    """
    acct = state.accounts.get(customer)
    if acct is None or now >= acct.valid_until or now >= state.stale_at:
        acct = _account.get(state, customer, now)
        if acct is None:
            return False
    if acct.running < acct.concurrent:
        filled = acct.tokens + (now - acct.tokens_at) * acct.rate
        if filled >= _WHOLE:
            return True
    return now >= acct.press_at and _press(state, acct, now)


def _press(state, acct, now):
    """Report a growing demand; tell whether a task may start then.

    Notes
    -----
    If this entry is the customer's home, a lease is granted immediately.
    """
    if len(state.members) < 2 or not _reports.outgrows(acct, now):
        return False
    msg = _reports.report(state, acct, now)
    state.outbox += _deliver(state, [(acct.home, msg)], now)
    filled = acct.tokens + (now - acct.tokens_at) * acct.rate
    return acct.running < acct.concurrent and filled >= _WHOLE


def allowance(state, customer, now):
    """Return how many tasks of the customer may start here now.

    Returns
    -------
    int
    """
    acct = _account.get(state, customer, now)
    if acct is None:
        return 0
    filled = acct.tokens + (now - acct.tokens_at) * acct.rate
    whole = int(min(filled, acct.cap) + _shares.EPSILON)
    return max(0, min(whole, acct.concurrent - acct.running))


def next_allowed_at(state, customer, now):
    """Return when `may_start` should be asked again.

    Returns
    -------
    float or None
        Time in this entry's clock (s); None if only an event can change the
        answer: the end of a task, a grant, a tick or a new configuration.
    """
    acct = _account.get(state, customer, now)
    if acct is None:
        return None
    if acct.running >= acct.concurrent or not acct.rate:
        if len(state.members) < 2:
            return None
        ends = (state.fresh_until, state.held_until, acct.kept_until)
        return min((end for end in ends if end > now), default=None)
    filled = acct.tokens + (now - acct.tokens_at) * acct.rate
    return now + max(0.0, 1.0 - filled) / acct.rate


def started(state, customer, now):
    """Count the start of a task, which `may_start` allowed.

    Notes
    -----
    A start that was not allowed is counted too and delays later ones.
    """
    acct = state.accounts.get(customer)
    if acct is None or now >= acct.valid_until or now >= state.stale_at:
        acct = _account.get(state, customer, now)
        if acct is None:
            return
    filled = acct.tokens + (now - acct.tokens_at) * acct.rate
    acct.tokens = (filled if filled < acct.cap else acct.cap) - 1.0
    acct.tokens_at = now
    acct.starts += 1
    acct.running = running = acct.running + 1
    if running > acct.peak:
        acct.peak = running
    state.active.add(customer)


def ended(state, customer, now):
    """Count the end of a task that was counted with `started`."""
    acct = state.accounts.get(customer)
    if acct is None or not acct.running:
        return
    acct.running -= 1
    if acct.running == acct.concurrent and _reports.is_released(acct):
        msg = _reports.report(state, acct, now)
        state.outbox += _deliver(state, [(acct.home, msg)], now)


def demand(state, customer, waiting, now):
    """Note the number of the customer's tasks that wait at this entry."""
    acct = state.accounts.get(customer)
    if acct is None:
        acct = _account.get(state, customer, now)
        if acct is None:
            return
    acct.waiting = waiting
    load = acct.running + waiting
    if load > acct.peak:
        acct.peak = load
    state.active.add(customer)


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
    remote = take_outbox(state) + _deliver(state, out, now)
    for customer in sorted(state.homes):
        acct = state.accounts.get(customer)
        if acct is None or acct.ledger is None:
            state.homes.discard(customer)
        else:
            remote += _deliver(state, _home.on_tick(state, acct, now), now)
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


def _deliver(state, out, now):
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


def _is_current(state, name, run):
    """Tell whether a message comes from the present run of a peer."""
    known = state.peer_runs.get(name)
    if run == known:
        return True
    if run in state.past_runs[name]:
        return False
    state.peer_runs[name] = run
    if known is not None:
        state.past_runs[name].append(known)
    return True


def _check_run(state, name, run, now):
    known = state.peer_runs.get(name)
    if not _is_current(state, name, run):
        return False
    if known is None or known == run:
        return True
    for acct in state.accounts.values():
        if acct.ledger is not None:
            _ledger.member_restarted(state, acct, name, now)
        if acct.home == name:
            _account.leave_home(state, acct, now)
    return True


def _on_request(state, name, msg, now):
    acct = _account.get(state, msg.customer, now)
    if not _check_run(state, name, msg.run, now):
        return []
    if acct is None or acct.home != state.self_name:
        return []
    return _home.on_report(state, acct, name, msg, now)


def _on_grant(state, name, msg, now):
    acct = _account.get(state, msg.customer, now)
    if not _check_run(state, name, msg.run, now):
        return []
    if acct is None or acct.home != name:
        return []
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
    return _deliver(state, _on_request(state, from_name, msg, now), now)


def on_grant(state, from_name, msg, now):
    """Handle a lease or poll from the customer's home.

    The caller then asks `may_start` again for this customer.

    Returns
    -------
    list of (str, QuotaRequest or QuotaGrant)
    """
    return _deliver(state, _on_grant(state, from_name, msg, now), now)
