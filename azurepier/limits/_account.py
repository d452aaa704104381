"""Shares and token buckets of the customers at this entry."""

import hashlib
import math

from azurepier.limits import _shares
from azurepier.limits import _state


def _score(key, name):
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), 'big')


def count_at(state, now):
    """Return the number of entries that this entry's minimum is based on."""
    count = len(state.members)
    if count < 2:
        return count
    if now < state.fresh_until:
        return math.inf
    return max(count, state.held_count) if now < state.held_until else count


def share(state, acct, now):
    """Fill the bucket up to `now` and compute the share from then on."""
    limit = acct.limit
    filled = acct.tokens + (now - acct.tokens_at) * acct.rate
    floor = _shares.minimum(limit, count_at(state, now))
    if now >= acct.kept_until:
        acct.kept_rate, acct.kept_concurrent = floor
    else:
        acct.kept_rate = min(acct.kept_rate, floor[0])
        acct.kept_concurrent = min(acct.kept_concurrent, floor[1])
    rate, concurrent = acct.kept_rate, acct.kept_concurrent
    if now < acct.lease_until:
        rate += acct.lease_rate
        concurrent += acct.lease_concurrent
    rate = min(rate, limit.rate)
    if not _shares.usable(limit, rate):
        rate = 0.0
    old_cap = acct.cap
    acct.rate = rate
    acct.concurrent = min(concurrent, limit.concurrent)
    acct.cap = limit.burst * rate / limit.rate if rate else 0.0
    acct.tokens = min(filled, old_cap, acct.cap)
    acct.tokens_at = now
    acct.valid_until = min(
        (end for end in _ends(state, acct) if end > now), default=math.inf
    )


def _ends(state, acct):
    return (
        state.fresh_until,
        state.held_until,
        acct.kept_until,
        acct.lease_until,
    )


def advance(state, acct, now):
    """Apply every change of the share that was due until `now`."""
    if now >= state.stale_at:
        restart(state, now)
    while acct.valid_until <= now:
        share(state, acct, acct.valid_until)


def restart(state, now):
    """Give up everything but running tasks, as after a restart.

    Notes
    -----
    Needed after a freeze: the other entries may have removed this one from
    the members and divided its share.
    """
    state.stale_at = now + _state.LEASE_S
    if len(state.members) < 2:
        return
    state.fresh_until = now + _state.HELD_S
    for acct in state.accounts.values():
        while acct.valid_until <= now:
            share(state, acct, acct.valid_until)
        leave_home(state, acct, now)
        acct.lease_until = -math.inf
        share(state, acct, now)


def leave_home(state, acct, now):
    """Forget the exchange with the home; older messages become void."""
    acct.home_since = _state.next_stamp(state, now)
    acct.seen = 0.0
    acct.stamps.clear()
    acct.answered = acct.due = True
    acct.reported_rate = 0.0
    acct.reported_concurrent = 0
    acct.ledger = None
    state.active.add(acct.customer)


def find_home(state, acct, names, now):
    """Let the members `names` compete with the present home.

    Returns
    -------
    bool
        Whether the home changed.
    """
    key = acct.customer if state.home_key is None else state.home_key
    scores = [(_score(key, name), name) for name in names]
    score, name = max(scores, default=(-1, ''))
    if score <= acct.home_score:
        return False
    acct.home, acct.home_score = name, score
    leave_home(state, acct, now)
    return True


def get(state, customer, now):
    """Return the customer's account, created if necessary.

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
        find_home(state, acct, state.members, now)
        # Nothing was exchanged about this customer since the last change of
        # the members, and its bucket has filled at least since then.
        acct.home_since = state.members_since
        ends = (state.fresh_until, state.held_until)
        since = max((end for end in ends if end <= now), default=-math.inf)
        since = max(since, state.members_since)
        share(state, acct, now)
        acct.tokens = min(acct.cap, (now - since) * acct.rate)
    advance(state, acct, now)
    return acct
