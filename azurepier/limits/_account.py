"""Share and token bucket of each customer at this entry."""

import hashlib
import math

from azurepier.limits import _shares
from azurepier.limits import _state


def _rendezvous_score(key, name):
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def effective_entry_count(state, now):
    """Return the number of entries that this entry's minimum is based on.

    Returns
    -------
    int or float
        Infinite while this entry has no minimum.
    """
    count = len(state.members)
    if count < 2:
        return count
    if now < state.no_minimum_until:
        return math.inf
    return (
        max(count, state.high_count) if now < state.high_count_until else count
    )


def update_share(state, acct, now):
    """Refill the bucket up to `now` and compute the share from then on."""
    limit = acct.limit
    available = acct.tokens + (now - acct.refilled_at) * acct.rate
    minimum = _shares.entry_minimum(limit, effective_entry_count(state, now))
    if now >= acct.kept_until:
        acct.kept_rate, acct.kept_concurrent = minimum
    else:
        acct.kept_rate = min(acct.kept_rate, minimum[0])
        acct.kept_concurrent = min(acct.kept_concurrent, minimum[1])
    rate, concurrent = acct.kept_rate, acct.kept_concurrent
    if now < acct.lease_until:
        rate += acct.lease_rate
        concurrent += acct.lease_concurrent
    rate = min(rate, limit.rate)
    if not _shares.is_usable(limit, rate):
        rate = 0.0
    old_bucket_size = acct.bucket_size
    acct.rate = rate
    acct.concurrent = min(concurrent, limit.concurrent)
    acct.bucket_size = limit.burst * rate / limit.rate if rate else 0.0
    acct.tokens = min(available, old_bucket_size, acct.bucket_size)
    acct.refilled_at = now
    acct.valid_until = min(
        (end for end in _change_times(state, acct) if end > now),
        default=math.inf,
    )


def _change_times(state, acct):
    return (
        state.no_minimum_until,
        state.high_count_until,
        acct.kept_until,
        acct.lease_until,
    )


def advance(state, acct, now):
    """Apply all changes of the share that were due by `now`."""
    if now >= state.stale_at:
        reset_after_freeze(state, now)
    while acct.valid_until <= now:
        update_share(state, acct, acct.valid_until)


def reset_after_freeze(state, now):
    """Drop the shares of all customers, but not the running tasks.

    Notes
    -----
    Needed after this process was frozen: the other entries may have removed
    it from the members and divided its share.
    """
    state.stale_at = now + _state.LEASE_S
    if len(state.members) < 2:
        return
    state.no_minimum_until = now + _state.REDUCED_MINIMUM_MEMBER_S
    for acct in state.accounts.values():
        while acct.valid_until <= now:
            update_share(state, acct, acct.valid_until)
        reset_exchange(state, acct, now)
        acct.lease_until = -math.inf
        update_share(state, acct, now)


def reset_exchange(state, acct, now):
    """Reset the exchange with the home; messages sent before are ignored."""
    acct.home_since = _state.next_timestamp(state, now)
    acct.grant_timestamp = 0.0
    acct.sent_timestamps.clear()
    acct.report_answered = acct.report_due = True
    acct.reported_rate = 0.0
    acct.reported_concurrent = 0
    acct.ledger = None
    state.active_customers.add(acct.customer)


def update_home(state, acct, names, now):
    """Replace the home if one of the members `names` has a higher score.

    Returns
    -------
    bool
        Whether the home changed.
    """
    key = acct.customer if state.home_key is None else state.home_key
    scores = [(_rendezvous_score(key, name), name) for name in names]
    score, name = max(scores, default=(-1, ''))
    if score <= acct.home_score:
        return False
    acct.home, acct.home_score = name, score
    reset_exchange(state, acct, now)
    return True


def get_or_create(state, customer, now):
    """Return the customer's account, created on first use and up to date.

    Returns
    -------
    Account or None
        None if the customer has no plan.
    """
    acct = state.accounts.get(customer)
    if acct is None:
        plan = state.plan_of(customer)
        if plan is None:
            return None
        acct = _state.Account(customer, _shares.limit_of(plan))
        state.accounts[customer] = acct
        update_home(state, acct, state.members, now)
        # No messages about this customer were exchanged since the members
        # changed last, and its bucket has filled at least since then.
        acct.home_since = state.members_since
        ends = (state.no_minimum_until, state.high_count_until)
        since = max((end for end in ends if end <= now), default=-math.inf)
        since = max(since, state.members_since)
        update_share(state, acct, now)
        acct.tokens = min(acct.bucket_size, (now - since) * acct.rate)
    advance(state, acct, now)
    return acct
