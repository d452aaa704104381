"""The home's side: division of a customer's limit and grants of leases."""

from azurepier.kernel import messages
from azurepier.limits import _ledger
from azurepier.limits import _shares
from azurepier.limits import _state

# A grant is sent without a request if it changes the lease by this fraction.
PUSH_MIN_CHANGE = 0.1
# Interval between polls of a member (s).
POLL_INTERVAL_S = 0.5
# An idle member is polled this long before it may use its full minimum again
# (s): leases granted from its unused part have to expire first, and two
# messages may be lost. Members that renew leases need no poll.
POLL_AHEAD_S = _ledger.LEASE_RESERVED_S + 1.5
# When more members need a lease than can hold one at a time, they take turns.
# A turn lasts this long (s), but at least for `TURN_MIN_STARTS` starts.
TURN_MIN_S = 2.0
TURN_MIN_STARTS = 4
# Fraction of the unused part of a limit that is leased to the members with
# demand, so that a growing demand need not wait. The rest is left for entries
# whose demand begins.
SURPLUS_FRACTION = 0.5
# The limit is divided again immediately if the demand of a member begins, ends
# or grows by this factor, and in the next tick if it falls by this factor.
# Without such changes it is divided again after `RETARGET_INTERVAL_S`.
RETARGET_FACTOR = 1.2
RETARGET_INTERVAL_S = 1.0


def _is_active(member, now):
    """Tell whether a member has demand and has reported it recently."""
    return (
        member.demand_concurrent > 0
        and not member.has_left
        and now - member.received_at < _state.LEASE_S
    )


def _select_lessees(members, max_lessees, limit, now):
    """Choose the members that may hold a lease and start their turns."""
    if len(members) <= max_lessees:
        return members
    turn_s = max(TURN_MIN_S, TURN_MIN_STARTS * max_lessees / limit.rate)

    def sort_key(member):
        return now - member.turn_started_at >= turn_s, member.turn_started_at

    chosen = sorted(members, key=sort_key)[:max_lessees]
    for index, member in enumerate(chosen):
        if now - member.turn_started_at >= turn_s:
            # Breaks ties between turns that start at the same time.
            member.turn_started_at = now + index * 1e-6
    return chosen


def set_targets(state, acct, now):
    """Divide the limit between the members with demand.

    Notes
    -----
    A share with a rate below `Limit.min_usable_rate` or a concurrency below 1
    is useless, which limits the number of members with a lease.
    """
    ledger, limit = acct.ledger, acct.limit
    members = ledger.members.values()
    for member in members:
        member.target_rate = 0.0
        member.target_concurrent = 0
    active = [member for member in members if _is_active(member, now)]
    max_lessees = min(int(limit.burst + _shares.EPSILON), limit.concurrent)
    chosen = _select_lessees(active, max_lessees, limit, now)
    total_rate = _divide_rate(chosen, ledger, limit)
    total_concurrent = _divide_concurrent(chosen, ledger, limit)
    if len(active) <= max_lessees:
        _add_surplus(chosen, ledger, limit)
    # Compares the demand with the capacity that is left if all other members
    # use their whole minimum. If it is larger, those members are polled in
    # time to renew their reduced minimum.
    minimum = _ledger.assumed_minimum(state, acct, now)
    others = len(ledger.members) - len(chosen)
    ledger.oversubscribed = (
        total_rate + others * minimum[0] > limit.rate
        or total_concurrent + others * minimum[1] > limit.concurrent
    )


def _divide_rate(chosen, ledger, limit):
    reserved_rate = sum(member.reserved_rate for member in chosen)
    budget = limit.rate - ledger.reserved_rate + reserved_rate
    min_rate = limit.min_usable_rate
    demands = [max(m.demand_rate, m.kept_rate, min_rate) for m in chosen]
    for member, share in zip(chosen, _shares.divide(demands, budget)):
        member.target_rate = share
    return sum(demands)


def _divide_concurrent(chosen, ledger, limit):
    reserved = sum(member.reserved_concurrent for member in chosen)
    budget = limit.concurrent - ledger.reserved_concurrent + reserved
    demands = [max(m.demand_concurrent, m.kept_concurrent) for m in chosen]
    for member, share in zip(chosen, _shares.divide_whole(demands, budget)):
        member.target_concurrent = share
    return sum(demands)


def _add_surplus(chosen, ledger, limit):
    """Add a part of the unused limit to the targets."""
    spare_rate = limit.rate - ledger.reserved_rate
    spare_concurrent = limit.concurrent - ledger.reserved_concurrent
    for member in chosen:
        spare_rate -= member.target_rate - member.reserved_rate
        spare_concurrent -= (
            member.target_concurrent - member.reserved_concurrent
        )
    fraction = SURPLUS_FRACTION / max(1, len(chosen))
    for member in chosen:
        member.target_rate += max(0.0, spare_rate * fraction)
        member.target_concurrent += max(0, int(spare_concurrent * fraction))


def _offer(acct, member, minimum, now):
    """Return the rate and concurrency of the lease to offer a member now."""
    ledger, limit = acct.ledger, acct.limit
    kept_rate, kept_concurrent = _ledger.kept_minimum(member, minimum, now)
    free_rate = limit.rate - ledger.reserved_rate + member.reserved_rate
    free_concurrent = limit.concurrent - ledger.reserved_concurrent
    free_concurrent += member.reserved_concurrent
    rate = max(min(member.target_rate, free_rate) - kept_rate, 0.0)
    concurrent = (
        min(member.target_concurrent, free_concurrent) - kept_concurrent
    )
    concurrent = max(concurrent, 0)
    if not _shares.is_usable(limit, kept_rate + rate):
        return 0.0, 0
    if kept_concurrent + concurrent < 1:
        return 0.0, 0
    return rate, concurrent


def _grant(state, acct, member, offer, now):
    """Record a lease of a member and return the message that grants it."""
    rate, concurrent = offer
    old_rate = member.reserved_rate
    lease = _state.Lease(
        sent_at=_state.next_timestamp(state, now),
        echo=member.report_timestamp,
        rate=rate,
        concurrent=concurrent,
        until=member.received_at + _ledger.LEASE_RESERVED_S,
    )
    member.leases.append(lease)
    member.sent_timestamps.append(lease.sent_at)
    unreserved_tokens = acct.ledger.tokens
    _ledger.update_reservation(state, acct, member, now)
    limit = acct.limit
    growth = max(member.reserved_rate - old_rate, 0.0)
    # Moves tokens to the member in proportion to the growth of its bucket.
    tokens = min(unreserved_tokens, limit.burst * growth / limit.rate)
    acct.ledger.tokens = min(acct.ledger.tokens, unreserved_tokens - tokens)
    return messages.QuotaGrant(
        customer=acct.customer,
        rate=rate,
        concurrent=concurrent,
        ttl_ms=int(_state.LEASE_S * 1000),
        tokens=tokens,
        run=state.run,
        sent_at=lease.sent_at,
        echo=member.report_timestamp,
    )


def _poll_member(state, acct, member, now):
    member.polled_at = now
    msg = poll_message(state, acct, member.report_timestamp, now)
    member.poll_timestamp = msg.sent_at
    member.sent_timestamps.append(msg.sent_at)
    return msg


def poll_message(state, acct, echo, now):
    """Return a message that requests a report and changes no lease."""
    return messages.QuotaGrant(
        customer=acct.customer,
        rate=0.0,
        concurrent=0,
        ttl_ms=0,
        tokens=0.0,
        run=state.run,
        sent_at=_state.next_timestamp(state, now),
        echo=echo,
    )


def on_report(state, acct, name, msg, now):
    """Record a report; answer it with a lease or a poll.

    Returns
    -------
    list of (str, QuotaGrant)
        May contain messages to other entries too.
    """
    ledger = acct.ledger or _ledger.open_ledger(state, acct, now)
    member = ledger.members.get(name)
    if member is None or member.has_left or not acct.limit.rate:
        return []
    if msg.sent_at <= member.report_timestamp:
        return []
    if msg.echo not in member.sent_timestamps:
        # The report may be older than a lease of an earlier home; only an
        # answer to a message of this home is certain to be newer.
        return [(name, _poll_member(state, acct, member, now))]
    was_waiting = bool(ledger.missing_reports)
    old_demand = _demand_of(member, now)
    old_reservation = member.reserved_rate, member.reserved_concurrent
    _ledger.record_report(state, acct, name, msg, now)
    new_demand = _demand_of(member, now)
    if new_demand[1]:
        ledger.busy_until = now + _state.LEASE_S
    if not _ledger.is_ready(acct, now):
        return []
    if (
        _is_idle_poll_answer(member, msg, old_demand, new_demand)
        and not was_waiting
    ):
        return _on_poll_answered(state, acct, name, now)
    freed = (
        member.reserved_rate < old_reservation[0] * (1 - PUSH_MIN_CHANGE)
        or member.reserved_concurrent < old_reservation[1]
    )
    changed = (
        was_waiting
        or _needs_retarget(old_demand, new_demand)
        or (freed and ledger.oversubscribed)
    )
    if changed or _needs_retarget(new_demand, old_demand):
        ledger.next_tick_at = now
    if changed:
        set_targets(state, acct, now)
    minimum = _ledger.assumed_minimum(state, acct, now)
    offer = _offer(acct, member, minimum, now)
    out = [(name, _grant(state, acct, member, offer, now))]
    if changed:
        out += _push_grants(state, acct, now)
        out += _poll_members(state, acct, now)
    return out


def _demand_of(member, now):
    """Return the demanded rate and concurrency, 0 if not active."""
    if not _is_active(member, now):
        return 0.0, 0
    return member.demand_rate, member.demand_concurrent


def _needs_retarget(old_demand, new_demand):
    """Tell whether the limit is to be divided again immediately."""
    return (new_demand[1] > 0) != (old_demand[1] > 0) or any(
        new > old * RETARGET_FACTOR for old, new in zip(old_demand, new_demand)
    )


def _is_idle_poll_answer(member, msg, old_demand, new_demand):
    """Tell whether an idle member only answers a poll and needs no grant."""
    is_poll_answer = msg.echo == member.poll_timestamp
    member.poll_timestamp = 0.0
    return is_poll_answer and not (
        old_demand[1] or new_demand[1] or member.leases
    )


def _on_poll_answered(state, acct, name, now):
    """Lease out the unused minimum of idle members once all have answered."""
    ledger = acct.ledger
    ledger.pending_polls.discard(name)
    if ledger.pending_polls:
        return []
    set_targets(state, acct, now)
    return _push_grants(state, acct, now)


def _is_significant(old, new, min_change):
    return abs(new - old) >= max(min_change, old * PUSH_MIN_CHANGE)


def _push_grants(state, acct, now):
    """Return grants to members whose lease should change, without a request.

    Notes
    -----
    The rate or the concurrency of a lease grows if the member's demand
    exceeds it. It shrinks only if the demand of some member is unmet.
    """
    limit = acct.limit
    minimum = _ledger.assumed_minimum(state, acct, now)
    active = [
        (name, member)
        for name, member in acct.ledger.members.items()
        if _is_active(member, now)
    ]
    unmet = [False, False]  # demand of some member: rate, concurrency
    for _, member in active:
        rate, concurrent = _offer(acct, member, minimum, now)
        wanted_rate = max(member.demand_rate, limit.min_usable_rate) * (
            1 - PUSH_MIN_CHANGE
        )
        unmet[0] |= rate + member.kept_rate < wanted_rate
        concurrent += member.kept_concurrent
        unmet[1] |= concurrent < member.demand_concurrent
    out = []
    for name, member in active:
        # The lease starts at the report that it answers, so too little time
        # would be left to use it.
        if now - member.received_at > _state.LEASE_S / 2:
            continue
        offer = _offer(acct, member, minimum, now)
        if _is_push_useful(member, offer, limit, unmet):
            out.append((name, _grant(state, acct, member, offer, now)))
    return out


def _is_push_useful(member, offer, limit, unmet):
    last = (0.0, 0)
    if member.leases:
        last = member.leases[-1].rate, member.leases[-1].concurrent
    wanted = (
        member.demand_rate - member.kept_rate,
        member.demand_concurrent - member.kept_concurrent,
    )
    min_changes = (limit.min_usable_rate * PUSH_MIN_CHANGE, 1)
    return any(
        _is_significant(last[index], offer[index], min_changes[index])
        and (
            unmet[index]
            if offer[index] < last[index]
            else last[index] < wanted[index]
        )
        for index in (0, 1)
    )


def _poll_members(state, acct, now):
    """Return polls for missing reports and reduced minima that end soon."""
    ledger = acct.ledger
    has_minimum = _ledger.assumed_minimum(state, acct, now)[1] > 0
    out = []
    for name, member in ledger.members.items():
        if member.has_left or now - member.polled_at < POLL_INTERVAL_S:
            continue
        expires_soon = member.kept_until < now + POLL_AHEAD_S
        if name in ledger.missing_reports or (
            ledger.oversubscribed and has_minimum and expires_soon
        ):
            out.append((name, _poll_member(state, acct, member, now)))
    if out:
        ledger.pending_polls = {name for name, _ in out}
    return out


def on_tick(state, acct, now):
    """Return the messages that the home of a customer sends in this tick.

    Returns
    -------
    list of (str, QuotaGrant)
    """
    ledger = acct.ledger
    if now < ledger.next_tick_at or now >= ledger.busy_until:
        return []
    if not acct.limit.rate:
        return []
    _ledger.recompute_reservations(state, acct, now)
    out = []
    if _ledger.is_ready(acct, now):
        set_targets(state, acct, now)
        out += _push_grants(state, acct, now)
    out += _poll_members(state, acct, now)
    if not out and not ledger.missing_reports:
        retarget_at = now + RETARGET_INTERVAL_S - _state.TICK_S / 2
        ledger.next_tick_at = min(
            retarget_at, ledger.reserved_grows_at, ledger.reserved_shrinks_at
        )
    return out
