"""The home's record of which entry may use which part of a limit."""

import math

from azurepier.limits import _shares
from azurepier.limits import _state

# How long the home reserves a lease, counted from the arrival of its request
# (s).
LEASE_RESERVED_S = _state.LEASE_S * (1 + _state.CLOCK_DRIFT)


def assumed_minimum(state, acct, now):
    """Return the largest minimum that a silent member may use."""
    count = len(state.members)
    if now < state.low_count_until:
        count = min(count, state.low_count)
    return _shares.entry_minimum(acct.limit, count)


def open_ledger(state, acct, now):
    """Create the ledger of a customer whose home is this entry.

    Notes
    -----
    Entries may hold leases of an earlier home, or run tasks that started
    under them, until each has reported or `REDUCED_MINIMUM_S` has passed.
    """
    known_at = acct.home_since + _state.REDUCED_MINIMUM_S
    missing_reports = (
        state.members if state.wait_for_reports and now < known_at else ()
    )
    ledger = _state.Ledger(
        members={name: _state.Member() for name in state.members},
        missing_reports=set(missing_reports),
        refilled_at=now if missing_reports else min(now, known_at),
    )
    acct.ledger = ledger
    state.homed_customers.add(acct.customer)
    recompute_reservations(state, acct, now)
    return ledger


def is_ready(acct, now):
    """Tell whether the home knows enough to grant leases."""
    ledger = acct.ledger
    if now >= acct.home_since + _state.REDUCED_MINIMUM_S:
        mark_reported(ledger, set(ledger.missing_reports), now)
    return not ledger.missing_reports


def members_changed(state, acct, now):
    """Adopt the new members; the leases of those that left expire."""
    ledger = acct.ledger
    names = set(state.members)
    for name, member in ledger.members.items():
        member.has_left = name not in names
    for name in names - ledger.members.keys():
        ledger.members[name] = _state.Member()
    mark_reported(ledger, ledger.missing_reports - names, now)
    recompute_reservations(state, acct, now)


def member_restarted(state, acct, name, now):
    """Forget what an earlier process of a member held."""
    old = acct.ledger.members.get(name)
    if old is not None:
        acct.ledger.members[name] = _state.Member(
            kept_rate=old.kept_rate,
            kept_concurrent=old.kept_concurrent,
            kept_until=old.kept_until,
        )
        recompute_reservations(state, acct, now)


def plan_changed(state, acct, old_limit, now):
    """Reserve the old plan's minimum for members that may still use it."""
    rate, concurrent = _shares.entry_minimum(old_limit, len(state.members))
    for member in acct.ledger.members.values():
        if member.kept_until <= now and concurrent > 0:
            member.kept_rate = rate
            member.kept_concurrent = concurrent
            member.kept_until = now + _state.REDUCED_MINIMUM_S
    recompute_reservations(state, acct, now)


def _refill_unreserved(acct, now):
    ledger, limit = acct.ledger, acct.limit
    if ledger.missing_reports:
        ledger.refilled_at = now
        return
    unreserved_rate = max(limit.rate - ledger.reserved_rate, 0.0)
    available = ledger.tokens + (now - ledger.refilled_at) * unreserved_rate
    bucket_size = (
        limit.burst * unreserved_rate / limit.rate if limit.rate else 0.0
    )
    ledger.tokens = min(available, bucket_size)
    ledger.refilled_at = max(now, ledger.refilled_at)


def kept_minimum(member, minimum, now):
    """Return the minimum that a member may use while a new lease lasts."""
    if member.has_left:
        return 0.0, 0
    if now >= member.kept_until:
        return minimum
    kept = member.kept_rate, member.kept_concurrent
    if now + LEASE_RESERVED_S < member.kept_until:
        return kept
    return max(kept[0], minimum[0]), max(kept[1], minimum[1])


def _reserved_for(member, minimum, now):
    """Return the most that a member may use until its next report."""
    rate, concurrent = kept_minimum(member, minimum, now)
    if not member.leases:
        return rate, max(concurrent, member.running)
    leases = member.leases
    rate += max(
        (lease.rate for lease in leases if lease.until > now), default=0.0
    )
    # Tasks started under an expired lease count as running until the member
    # reports that they have ended.
    concurrent += max(lease.concurrent for lease in leases)
    return rate, max(concurrent, member.running)


def _forget_silent(ledger, now):
    for name, member in list(ledger.members.items()):
        if now - member.received_at > _state.REDUCED_MINIMUM_S:
            member.leases = []
            member.running = 0
        # A member that left can start nothing once its leases have expired.
        if member.has_left and all(
            lease.until <= now for lease in member.leases
        ):
            del ledger.members[name]


def recompute_reservations(state, acct, now):
    """Recompute what is reserved for each member."""
    ledger = acct.ledger
    ledger.next_tick_at = now
    _forget_silent(ledger, now)
    _refill_unreserved(acct, now)
    minimum = assumed_minimum(state, acct, now)
    total_rate = 0.0
    total_concurrent = 0
    ledger.reserved_grows_at = ledger.reserved_shrinks_at = math.inf
    for member in ledger.members.values():
        rate, concurrent = _reserved_for(member, minimum, now)
        member.reserved_rate = rate
        member.reserved_concurrent = concurrent
        total_rate += rate
        total_concurrent += concurrent
        _note_reservation_changes(ledger, member, now)
    ledger.reserved_rate = total_rate
    ledger.reserved_concurrent = total_concurrent
    _refill_unreserved(acct, now)


def mark_reported(ledger, names, now):
    """Stop waiting for reports of `names`; the bucket refills from now."""
    if not ledger.missing_reports.isdisjoint(names):
        ledger.missing_reports.difference_update(names)
        ledger.refilled_at = now


def _note_reservation_changes(ledger, member, now):
    """Record when the reservation of a member changes without a report.

    Notes
    -----
    The reservation grows one lease duration before the member may use its
    full minimum again, so that by then no lease of the part that the member
    gave up is in force. It shrinks when a lease expires.
    """
    grows_at = member.kept_until - LEASE_RESERVED_S
    if now < grows_at < ledger.reserved_grows_at:
        ledger.reserved_grows_at = grows_at
    for lease in member.leases:
        if now < lease.until < ledger.reserved_shrinks_at:
            ledger.reserved_shrinks_at = lease.until


def update_reservation(state, acct, member, now):
    """Recompute what is reserved for one member."""
    ledger = acct.ledger
    _refill_unreserved(acct, now)
    rate, concurrent = _reserved_for(
        member, assumed_minimum(state, acct, now), now
    )
    ledger.reserved_rate += rate - member.reserved_rate
    ledger.reserved_concurrent += concurrent - member.reserved_concurrent
    member.reserved_rate = rate
    member.reserved_concurrent = concurrent
    _refill_unreserved(acct, now)


def record_report(state, acct, name, msg, now):
    """Record a member's report.

    Notes
    -----
    A member never applies a grant older than the newest one it has received.
    So it can only have in force the lease that it reports and the grants sent
    after the message that the report answers.
    """
    ledger = acct.ledger
    member = ledger.members[name]
    member.report_timestamp = msg.sent_at
    member.received_at = now
    member.demand_rate = msg.rate
    member.demand_concurrent = msg.concurrent
    member.running = msg.running
    member.kept_rate = msg.kept_rate
    member.kept_concurrent = msg.kept_concurrent
    member.kept_until = msg.echo + _state.REDUCED_MINIMUM_S
    oldest_echo = msg.sent_at - _state.LEASE_S
    member.leases = _reported_lease(msg, now) + [
        lease
        for lease in member.leases
        if lease.sent_at > msg.echo and lease.echo > oldest_echo
    ]
    mark_reported(ledger, {name}, now)
    _note_reservation_changes(ledger, member, now)
    if now >= ledger.reserved_grows_at:
        recompute_reservations(state, acct, now)
    else:
        update_reservation(state, acct, member, now)


def _reported_lease(msg, now):
    if not msg.leased_ms:
        return []
    remaining_s = msg.leased_ms / 1000
    lease = _state.Lease(
        sent_at=msg.echo,
        echo=msg.sent_at + remaining_s - _state.LEASE_S,
        rate=msg.leased_rate,
        concurrent=msg.leased_concurrent,
        until=now + remaining_s * (1 + _state.CLOCK_DRIFT),
    )
    return [lease]
