"""The home's record of who may use which part of a customer's limit."""

import math

from azurepier.limits import _shares
from azurepier.limits import _state

# How long the home counts a lease after the request for it arrived (s).
LEASE_COUNTED_S = _state.LEASE_S * (1 + _state.CLOCK_DRIFT)


def assumed_minimum(state, acct, now):
    """Return the largest minimum that a silent member may use."""
    count = len(state.members)
    if now < state.low_until:
        count = min(count, state.low_count)
    return _shares.minimum(acct.limit, count)


def open_ledger(state, acct, now):
    """Create the record of a customer whose home this entry is.

    Notes
    -----
    Entries may hold leases of an earlier home, and tasks started under them,
    until each of them has reported or `HOLD_S` has passed.
    """
    known_at = acct.home_since + _state.HOLD_S
    unheard = state.members if state.wait and now < known_at else ()
    ledger = _state.Ledger(
        members={name: _state.Member() for name in state.members},
        unheard=set(unheard),
        tokens_at=now if unheard else min(now, known_at),
    )
    acct.ledger = ledger
    state.homes.add(acct.customer)
    recount(state, acct, now)
    return ledger


def is_ready(acct, now):
    """Tell whether the home knows enough to lend."""
    ledger = acct.ledger
    if now >= acct.home_since + _state.HOLD_S:
        heard(ledger, set(ledger.unheard), now)
    return not ledger.unheard


def members_changed(state, acct, now):
    """Adopt the new members; the leases of those that left run out."""
    ledger = acct.ledger
    names = set(state.members)
    for name, member in ledger.members.items():
        member.left = name not in names
    for name in names - ledger.members.keys():
        ledger.members[name] = _state.Member()
    heard(ledger, ledger.unheard - names, now)
    recount(state, acct, now)


def member_restarted(state, acct, name, now):
    """Forget what an earlier run of a member held."""
    old = acct.ledger.members.get(name)
    if old is not None:
        acct.ledger.members[name] = _state.Member(
            kept_rate=old.kept_rate,
            kept_concurrent=old.kept_concurrent,
            kept_until=old.kept_until,
        )
        recount(state, acct, now)


def plan_changed(state, acct, old_limit, now):
    """Allow for silent members that still use the old plan's minimum."""
    rate, concurrent = _shares.minimum(old_limit, len(state.members))
    for member in acct.ledger.members.values():
        if member.kept_until <= now and concurrent > 0:
            member.kept_rate = rate
            member.kept_concurrent = concurrent
            member.kept_until = now + _state.HOLD_S
    recount(state, acct, now)


def _fill_pool(acct, now):
    ledger, limit = acct.ledger, acct.limit
    if ledger.unheard:
        ledger.tokens_at = now
        return
    unlent = max(limit.rate - ledger.count_rate, 0.0)
    filled = ledger.tokens + (now - ledger.tokens_at) * unlent
    cap = limit.burst * unlent / limit.rate if limit.rate else 0.0
    ledger.tokens = min(filled, cap)
    ledger.tokens_at = max(now, ledger.tokens_at)


def kept_of(member, floor, now):
    """Return the minimum that a member may use while a new lease lasts."""
    if member.left:
        return 0.0, 0
    if now >= member.kept_until:
        return floor
    kept = member.kept_rate, member.kept_concurrent
    if now + LEASE_COUNTED_S < member.kept_until:
        return kept
    return max(kept[0], floor[0]), max(kept[1], floor[1])


def _count(member, floor, now):
    """Return what a member may use at most until its next report."""
    rate, concurrent = kept_of(member, floor, now)
    if not member.leases:
        return rate, max(concurrent, member.running)
    leases = member.leases
    rate += max(
        (lease.rate for lease in leases if lease.until > now), default=0.0
    )
    # Tasks started under a lease that has ended may run until the member
    # reports that they do not.
    concurrent += max(lease.concurrent for lease in leases)
    return rate, max(concurrent, member.running)


def _forget_silent(ledger, now):
    for name, member in list(ledger.members.items()):
        if now - member.received_at > _state.HOLD_S:
            member.leases = []
            member.running = 0
        # A member that left can start nothing when its leases have ended.
        if member.left and all(lease.until <= now for lease in member.leases):
            del ledger.members[name]


def recount(state, acct, now):
    """Count anew what all members may use."""
    ledger = acct.ledger
    ledger.tick_at = now
    _forget_silent(ledger, now)
    _fill_pool(acct, now)
    floor = assumed_minimum(state, acct, now)
    total_rate = 0.0
    total_concurrent = 0
    ledger.counted_until = ledger.shrinks_at = math.inf
    for member in ledger.members.values():
        rate, concurrent = _count(member, floor, now)
        member.count_rate = rate
        member.count_concurrent = concurrent
        total_rate += rate
        total_concurrent += concurrent
        _note_ends(ledger, member, now)
    ledger.count_rate = total_rate
    ledger.count_concurrent = total_concurrent
    _fill_pool(acct, now)


def heard(ledger, names, now):
    """Wait no longer for reports of `names`; the bucket fills from now."""
    if not ledger.unheard.isdisjoint(names):
        ledger.unheard.difference_update(names)
        ledger.tokens_at = now


def _note_ends(ledger, member, now):
    """Note when what a member may use changes without a report.

    Notes
    -----
    It grows when the member may use its minimum again, which has to be known
    before the next lease; when a lease ends, it shrinks.
    """
    end = member.kept_until - LEASE_COUNTED_S
    if now < end < ledger.counted_until:
        ledger.counted_until = end
    for lease in member.leases:
        if now < lease.until < ledger.shrinks_at:
            ledger.shrinks_at = lease.until


def count_again(state, acct, member, now):
    """Count anew what one member may use."""
    ledger = acct.ledger
    _fill_pool(acct, now)
    rate, concurrent = _count(member, assumed_minimum(state, acct, now), now)
    ledger.count_rate += rate - member.count_rate
    ledger.count_concurrent += concurrent - member.count_concurrent
    member.count_rate = rate
    member.count_concurrent = concurrent
    _fill_pool(acct, now)


def take(state, acct, name, msg, now):
    """Take a member's report into the record.

    Notes
    -----
    A member never applies grants older than the newest one it has seen. So
    what it may have in force is the lease it reports and what was sent after
    the message that the report names.
    """
    ledger = acct.ledger
    member = ledger.members[name]
    member.sent_at = msg.sent_at
    member.received_at = now
    member.want_rate = msg.rate
    member.want_concurrent = msg.concurrent
    member.running = msg.running
    member.kept_rate = msg.kept_rate
    member.kept_concurrent = msg.kept_concurrent
    member.kept_until = msg.echo + _state.HOLD_S
    ended = msg.sent_at - _state.LEASE_S
    member.leases = _lease_in_force(msg, now) + [
        lease
        for lease in member.leases
        if lease.sent_at > msg.echo and lease.echo > ended
    ]
    heard(ledger, {name}, now)
    _note_ends(ledger, member, now)
    if now >= ledger.counted_until:
        recount(state, acct, now)
    else:
        count_again(state, acct, member, now)


def _lease_in_force(msg, now):
    if not msg.leased_ms:
        return []
    left = msg.leased_ms / 1000
    lease = _state.Lease(
        sent_at=msg.echo,
        echo=msg.sent_at + left - _state.LEASE_S,
        rate=msg.leased_rate,
        concurrent=msg.leased_concurrent,
        until=now + left * (1 + _state.CLOCK_DRIFT),
    )
    return [lease]
