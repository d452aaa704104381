"""What may start at this entry now."""

from azurepier.limits import _account
from azurepier.limits import _exchange
from azurepier.limits import _ledger
from azurepier.limits import _reports
from azurepier.limits import _shares
from azurepier.limits import _state

# A token is whole if it lacks no more than this rounding error.
_WHOLE = 1 - _shares.EPSILON


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
    acct.due = True  # the next tick reports the averages
    state.outbox += _exchange.deliver(state, [(acct.home, msg)], now)
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
        state.outbox += _exchange.deliver(state, [(acct.home, msg)], now)


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
