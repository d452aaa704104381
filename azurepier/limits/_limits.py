"""Admission of task starts at this entry."""

from azurepier.limits import _account
from azurepier.limits import _exchange
from azurepier.limits import _ledger
from azurepier.limits import _reports
from azurepier.limits import _shares
from azurepier.limits import _state

# Least content of a bucket that counts as a whole token.
_WHOLE_TOKEN = 1 - _shares.EPSILON


def create(self_name, wait_for_reports=True, home_key=None):
    """Return the state of an entry that has no plans and no members yet.

    Parameters
    ----------
    self_name : str
        Name of this entry among the members.
    wait_for_reports : bool
        Whether a new home waits for the reports of the others; see `Limits`.
    home_key : str or None
        If given, all customers have the same home; see `Limits`.

    Returns
    -------
    Limits
    """
    return _state.Limits(self_name, wait_for_reports, home_key)


def set_plans(state, plan_of_customer, now):
    """Adopt a new configuration.

    Parameters
    ----------
    state : Limits
    plan_of_customer : callable or mapping
        The `azurepier.config.Plan` by customer name, None if there is none.
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
        _account.update_share(state, acct, now)
        state.active_customers.add(acct.customer)
        if acct.ledger is not None:
            _ledger.plan_changed(state, acct, old, now)


def _start_run(state, count, now):
    state.run = now
    state.no_minimum_until = now + _state.REDUCED_MINIMUM_MEMBER_S
    state.low_count = count


def _record_entry_counts(state, old, new, now):
    """Record a change of the number of entries.

    Notes
    -----
    This entry's minimum grows only after the leases that were granted from
    the growth have expired, and the home allows for tasks that started under
    a larger minimum.
    """
    high = max(old, state.high_count if now < state.high_count_until else 0)
    if new < high:
        state.high_count = high
        state.high_count_until = now + _state.REDUCED_MINIMUM_MEMBER_S
    low = min(old, state.low_count if now < state.low_count_until else old)
    if new > low:
        state.low_count = low
        state.low_count_until = now + _state.REDUCED_MINIMUM_MEMBER_S


def set_members(state, live_entry_names, now):
    """Adopt the live entries that this entry knows, itself included.

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
        _record_entry_counts(state, len(old), len(new), now)
    state.members = tuple(sorted(new))
    state.members_since = _state.next_timestamp(state, now)
    for acct in state.accounts.values():
        _adopt_members(state, acct, new - old, now)


def _adopt_members(state, acct, added, now):
    if acct.home in state.members:
        changed = _account.update_home(state, acct, sorted(added), now)
    else:
        acct.home_score = -1
        changed = _account.update_home(state, acct, state.members, now)
    if acct.ledger is not None and not changed:
        _ledger.members_changed(state, acct, now)
    _account.update_share(state, acct, now)
    state.active_customers.add(acct.customer)


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
        acct = _account.get_or_create(state, customer, now)
        if acct is None:
            return False
    if acct.running < acct.concurrent:
        available = acct.tokens + (now - acct.refilled_at) * acct.rate
        if available >= _WHOLE_TOKEN:
            return True
    return now >= acct.next_early_report_at and _report_growth(
        state, acct, now
    )


def _report_growth(state, acct, now):
    """Report a growing demand; tell whether a task may start afterwards.

    Notes
    -----
    If this entry is the customer's home, it grants itself a lease at once.
    """
    if len(state.members) < 2 or not _reports.check_growth(acct, now):
        return False
    msg = _reports.report(state, acct, now)
    acct.report_due = True  # the next tick reports the averages
    state.outbox += _exchange.deliver_locally(state, [(acct.home, msg)], now)
    available = acct.tokens + (now - acct.refilled_at) * acct.rate
    return acct.running < acct.concurrent and available >= _WHOLE_TOKEN


def allowance(state, customer, now):
    """Return how many tasks of the customer may start here now.

    Returns
    -------
    int
    """
    acct = _account.get_or_create(state, customer, now)
    if acct is None:
        return 0
    available = acct.tokens + (now - acct.refilled_at) * acct.rate
    whole = int(min(available, acct.bucket_size) + _shares.EPSILON)
    return max(0, min(whole, acct.concurrent - acct.running))


def next_allowed_at(state, customer, now):
    """Return when `may_start` should be called again.

    Returns
    -------
    float or None
        Time in this entry's clock (s); None if only an event can change the
        answer: the end of a task, a grant, a tick or a new configuration.
    """
    acct = _account.get_or_create(state, customer, now)
    if acct is None:
        return None
    if acct.running >= acct.concurrent or not acct.rate:
        if len(state.members) < 2:
            return None
        ends = (
            state.no_minimum_until,
            state.high_count_until,
            acct.kept_until,
        )
        return min((end for end in ends if end > now), default=None)
    available = acct.tokens + (now - acct.refilled_at) * acct.rate
    return now + max(0.0, 1.0 - available) / acct.rate


def record_start(state, customer, now):
    """Record the start of a task that `may_start` has allowed.

    Notes
    -----
    A start that was not allowed is recorded too and delays later ones.
    """
    acct = state.accounts.get(customer)
    if acct is None or now >= acct.valid_until or now >= state.stale_at:
        acct = _account.get_or_create(state, customer, now)
        if acct is None:
            return
    available = acct.tokens + (now - acct.refilled_at) * acct.rate
    acct.tokens = (
        available if available < acct.bucket_size else acct.bucket_size
    ) - 1.0
    acct.refilled_at = now
    acct.starts += 1
    acct.running = running = acct.running + 1
    if running > acct.peak_load:
        acct.peak_load = running
    state.active_customers.add(customer)


def record_end(state, customer, now):
    """Record the end of a task that was recorded by `record_start`."""
    acct = state.accounts.get(customer)
    if acct is None or not acct.running:
        return
    acct.running -= 1
    if acct.running == acct.concurrent and _reports.has_freed_excess(acct):
        msg = _reports.report(state, acct, now)
        state.outbox += _exchange.deliver_locally(
            state, [(acct.home, msg)], now
        )


def set_waiting(state, customer, waiting, now):
    """Set the number of the customer's tasks that wait at this entry."""
    acct = state.accounts.get(customer)
    if acct is None:
        acct = _account.get_or_create(state, customer, now)
        if acct is None:
            return
    acct.waiting = waiting
    load = acct.running + waiting
    if load > acct.peak_load:
        acct.peak_load = load
    state.active_customers.add(customer)
