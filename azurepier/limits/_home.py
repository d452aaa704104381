"""The home's side: dividing a customer's limit and granting leases."""

from azurepier.kernel import messages
from azurepier.limits import _ledger
from azurepier.limits import _shares
from azurepier.limits import _state

# A grant is sent without a request if it changes the share by this part.
PUSH_CHANGE = 0.1
# Interval between requests for a report to a member that is silent (s).
POLL_S = 0.5
# The minimum of an idle member is asked for again this long before the
# member may use it again (s): the last lease granted from it has to end, and
# two messages may be lost. Members that renew leases need no poll.
POLL_AHEAD_S = _ledger.LEASE_COUNTED_S + 1.5
# When there are fewer parts to lend than entries that want one, each entry
# holds its part for this long (s), but for at least `TURN_TOKENS` starts.
TURN_S = 2.0
TURN_TOKENS = 4
# Part of what nobody wants that is lent in advance, so that a growing demand
# need not wait; the rest remains for entries whose demand begins.
LENT_AHEAD = 0.5
# The limit is divided again before the next tick if a demand begins, ends or
# grows by this factor, and in the next tick if it falls by it. Without such
# changes it is divided again after `QUIET_S`.
RETARGET = 1.2
QUIET_S = 1.0


def _is_active(member, now):
    return (
        member.want_concurrent > 0
        and not member.left
        and now - member.received_at < _state.LEASE_S
    )


def _take_turns(members, slots, limit, now):
    """Choose the members that may hold a lease and mark their turns."""
    if len(members) <= slots:
        return members
    length = max(TURN_S, TURN_TOKENS * slots / limit.rate)

    def order(member):
        return now - member.turn_at >= length, member.turn_at

    chosen = sorted(members, key=order)[:slots]
    for index, member in enumerate(chosen):
        if now - member.turn_at >= length:
            # Of turns that begin together, one has to count as the older.
            member.turn_at = now + index * 1e-6
    return chosen


def set_targets(state, acct, now):
    """Divide the limit between the members that want a share.

    Notes
    -----
    A share of the rate is useless below `Limit.least_rate` and of the
    concurrency below 1, which limits the number of members with a lease.
    """
    ledger, limit = acct.ledger, acct.limit
    members = ledger.members.values()
    for member in members:
        member.target_rate = 0.0
        member.target_concurrent = 0
    active = [member for member in members if _is_active(member, now)]
    slots = min(int(limit.burst + _shares.EPSILON), limit.concurrent)
    chosen = _take_turns(active, slots, limit, now)
    wants = _divide_rate(chosen, ledger, limit)
    wants_concurrent = _divide_concurrent(chosen, ledger, limit)
    if len(active) <= slots:
        _lend_ahead(chosen, ledger, limit)
    # The demand is compared with what would be left if all others used
    # their minimum, so that no minimum returns while it is still needed.
    floor = _ledger.assumed_minimum(state, acct, now)
    silent = len(ledger.members) - len(chosen)
    ledger.short = (
        wants + silent * floor[0] > limit.rate
        or wants_concurrent + silent * floor[1] > limit.concurrent
    )


def _divide_rate(chosen, ledger, limit):
    counted = sum(member.count_rate for member in chosen)
    budget = limit.rate - ledger.count_rate + counted
    least = limit.least_rate
    wants = [max(m.want_rate, m.kept_rate, least) for m in chosen]
    for member, share in zip(chosen, _shares.divide(wants, budget)):
        member.target_rate = share
    return sum(wants)


def _divide_concurrent(chosen, ledger, limit):
    counted = sum(member.count_concurrent for member in chosen)
    budget = limit.concurrent - ledger.count_concurrent + counted
    wants = [max(m.want_concurrent, m.kept_concurrent) for m in chosen]
    for member, share in zip(chosen, _shares.divide_whole(wants, budget)):
        member.target_concurrent = share
    return sum(wants)


def _lend_ahead(chosen, ledger, limit):
    """Add to the targets a part of what nobody wants."""
    spare_rate = limit.rate - ledger.count_rate
    spare = limit.concurrent - ledger.count_concurrent
    for member in chosen:
        spare_rate -= member.target_rate - member.count_rate
        spare -= member.target_concurrent - member.count_concurrent
    part = LENT_AHEAD / max(1, len(chosen))
    for member in chosen:
        member.target_rate += max(0.0, spare_rate * part)
        member.target_concurrent += max(0, int(spare * part))


def _offer(acct, member, floor, now):
    """Return the lease that a member may have now."""
    ledger, limit = acct.ledger, acct.limit
    kept_rate, kept_concurrent = _ledger.kept_of(member, floor, now)
    free_rate = limit.rate - ledger.count_rate + member.count_rate
    free = limit.concurrent - ledger.count_concurrent
    free += member.count_concurrent
    rate = max(min(member.target_rate, free_rate) - kept_rate, 0.0)
    concurrent = min(member.target_concurrent, free) - kept_concurrent
    concurrent = max(concurrent, 0)
    if not _shares.usable(limit, kept_rate + rate):
        return 0.0, 0
    if kept_concurrent + concurrent < 1:
        return 0.0, 0
    return rate, concurrent


def _grant(state, acct, member, offer, now):
    rate, concurrent = offer
    before = member.count_rate
    lease = _state.Lease(
        sent_at=_state.next_stamp(state, now),
        echo=member.sent_at,
        rate=rate,
        concurrent=concurrent,
        until=member.received_at + _ledger.LEASE_COUNTED_S,
    )
    member.leases.append(lease)
    member.stamps.append(lease.sent_at)
    pool = acct.ledger.tokens
    _ledger.count_again(state, acct, member, now)
    limit = acct.limit
    growth = max(member.count_rate - before, 0.0)
    # Tokens go to the member along with the part of the bucket's size.
    tokens = min(pool, limit.burst * growth / limit.rate)
    acct.ledger.tokens = min(acct.ledger.tokens, pool - tokens)
    return messages.QuotaGrant(
        customer=acct.customer,
        rate=rate,
        concurrent=concurrent,
        ttl_ms=int(_state.LEASE_S * 1000),
        tokens=tokens,
        run=state.run,
        sent_at=lease.sent_at,
        echo=member.sent_at,
    )


def _poll(state, acct, member, now):
    member.polled_at = now
    msg = poll(state, acct, member.sent_at, now)
    member.poll_stamp = msg.sent_at
    member.stamps.append(msg.sent_at)
    return msg


def poll(state, acct, echo, now):
    """Return a message that asks for a report and leaves leases alone."""
    return messages.QuotaGrant(
        customer=acct.customer,
        rate=0.0,
        concurrent=0,
        ttl_ms=0,
        tokens=0.0,
        run=state.run,
        sent_at=_state.next_stamp(state, now),
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
    if member is None or member.left or not acct.limit.rate:
        return []
    if msg.sent_at <= member.sent_at:
        return []
    if msg.echo not in member.stamps:
        # What the member tells may be older than the leases of an earlier
        # home; only an answer to this home's poll is certain to be newer.
        return [(name, _poll(state, acct, member, now))]
    waited = bool(ledger.unheard)
    before = _wants(member, now)
    counted = member.count_rate, member.count_concurrent
    _ledger.take(state, acct, name, msg, now)
    wants = _wants(member, now)
    if wants[1]:
        ledger.busy_until = now + _state.LEASE_S
    if not _ledger.is_ready(acct, now):
        return []
    if _is_silent_answer(member, msg, before, wants) and not waited:
        return _after_polls(state, acct, name, now)
    freed = (
        member.count_rate < counted[0] * (1 - PUSH_CHANGE)
        or member.count_concurrent < counted[1]
    )
    changed = waited or _differ(before, wants) or (freed and ledger.short)
    if changed or _differ(wants, before):
        ledger.tick_at = now
    if changed:
        set_targets(state, acct, now)
    floor = _ledger.assumed_minimum(state, acct, now)
    offer = _offer(acct, member, floor, now)
    out = [(name, _grant(state, acct, member, offer, now))]
    if changed:
        out += _pushes(state, acct, now)
        out += _polls(state, acct, now)
    return out


def _wants(member, now):
    if not _is_active(member, now):
        return 0.0, 0
    return member.want_rate, member.want_concurrent


def _differ(before, wants):
    """Tell whether the limit is to be divided again immediately."""
    return (wants[1] > 0) != (before[1] > 0) or any(
        new > old * RETARGET for old, new in zip(before, wants)
    )


def _is_silent_answer(member, msg, before, wants):
    """Tell whether a report only answers a poll; it needs no grant."""
    asked = msg.echo == member.poll_stamp
    member.poll_stamp = 0.0
    return asked and not (before[1] or wants[1] or member.leases)


def _after_polls(state, acct, name, now):
    """Lend what idle members gave up when the last of them has answered."""
    ledger = acct.ledger
    ledger.polled.discard(name)
    if ledger.polled:
        return []
    set_targets(state, acct, now)
    return _pushes(state, acct, now)


def _is_change(old, new, least):
    return abs(new - old) >= max(least, old * PUSH_CHANGE)


def _pushes(state, acct, now):
    """Send grants that differ from the last ones without a request.

    Notes
    -----
    A part of a share grows for a member that wants more than it has. It
    shrinks only if another member can't get what it wants of it.
    """
    limit = acct.limit
    floor = _ledger.assumed_minimum(state, acct, now)
    active = [
        (name, member)
        for name, member in acct.ledger.members.items()
        if _is_active(member, now)
    ]
    short = [False, False]
    for _, member in active:
        rate, concurrent = _offer(acct, member, floor, now)
        want = max(member.want_rate, limit.least_rate) * (1 - PUSH_CHANGE)
        short[0] |= rate + member.kept_rate < want
        concurrent += member.kept_concurrent
        short[1] |= concurrent < member.want_concurrent
    out = []
    for name, member in active:
        # An older request would leave too little time to use the lease.
        if now - member.received_at > _state.LEASE_S / 2:
            continue
        offer = _offer(acct, member, floor, now)
        if _is_useful(member, offer, limit, short):
            out.append((name, _grant(state, acct, member, offer, now)))
    return out


def _is_useful(member, offer, limit, short):
    last = (0.0, 0)
    if member.leases:
        last = member.leases[-1].rate, member.leases[-1].concurrent
    wants = (
        member.want_rate - member.kept_rate,
        member.want_concurrent - member.kept_concurrent,
    )
    least = (limit.least_rate * PUSH_CHANGE, 1)
    return any(
        _is_change(last[part], offer[part], least[part])
        and (
            short[part]
            if offer[part] < last[part]
            else last[part] < wants[part]
        )
        for part in (0, 1)
    )


def _polls(state, acct, now):
    ledger = acct.ledger
    to_lend = _ledger.assumed_minimum(state, acct, now)[1] > 0
    out = []
    for name, member in ledger.members.items():
        if member.left or now - member.polled_at < POLL_S:
            continue
        silent = member.kept_until < now + POLL_AHEAD_S
        if name in ledger.unheard or (ledger.short and to_lend and silent):
            out.append((name, _poll(state, acct, member, now)))
    if out:
        ledger.polled = {name for name, _ in out}
    return out


def on_tick(state, acct, now):
    """Return what the home of a customer sends in this tick.

    Returns
    -------
    list of (str, QuotaGrant)
    """
    ledger = acct.ledger
    if now < ledger.tick_at or now >= ledger.busy_until:
        return []
    if not acct.limit.rate:
        return []
    _ledger.recount(state, acct, now)
    out = []
    if _ledger.is_ready(acct, now):
        set_targets(state, acct, now)
        out += _pushes(state, acct, now)
    out += _polls(state, acct, now)
    if not out and not ledger.unheard:
        quiet = now + QUIET_S - _state.TICK_S / 2
        ledger.tick_at = min(quiet, ledger.counted_until, ledger.shrinks_at)
    return out
