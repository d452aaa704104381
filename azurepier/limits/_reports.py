"""An entry's side of the exchange: demand, reports and leases."""

import math

from azurepier.kernel import messages
from azurepier.limits import _account
from azurepier.limits import _shares
from azurepier.limits import _state

# A lease in use is asked for again after this time (s); with `RETRY_S` this
# allows for one lost message before the lease ends.
RENEW_S = 1.0
# A report that was not answered is sent again after this time (s).
RETRY_S = 0.25
# Shortest interval between reports of a growing demand before a tick (s).
PRESS_S = 0.05
# A lease that falls by less than this part is not worth a report.
LOWERED = 0.01
# A demand that grows by this factor is reported immediately.
CHANGE = 1.5
# What is left of the largest demand after one tick without it.
PEAK_DECAY = 0.7
# Weight of the last tick in the average rate of starts.
RATE_WEIGHT = 0.5
# Demand is reported with this much headroom.
HEADROOM = 1.25
# Waiting tasks are to be started within this time (s).
DRAIN_S = 0.25
# Average rates below this are no demand (starts/s).
LEAST_RATE = 0.05


def measure(acct, elapsed):
    """Compute what the customer wants here from the tick that ended.

    Parameters
    ----------
    acct : Account
    elapsed : float
        Length of the tick (s).
    """
    load = acct.running + acct.waiting
    peak = max(acct.peak, load, int(acct.load * PEAK_DECAY))
    acct.load = min(peak, acct.limit.concurrent)
    acct.peak = load
    rate = acct.starts / elapsed
    acct.starts = 0
    acct.start_rate += (rate - acct.start_rate) * RATE_WEIGHT
    if acct.start_rate < LEAST_RATE:
        acct.start_rate = 0.0
    estimate(acct)


def estimate(acct):
    """Compute what the customer wants from its load and rate of starts."""
    limit = acct.limit
    spare = int(acct.load * (HEADROOM - 1))
    acct.want_concurrent = min(limit.concurrent, acct.load + spare)
    if acct.load:
        rate = acct.start_rate * HEADROOM + acct.waiting / DRAIN_S
        acct.want_rate = min(limit.rate, rate)
    else:
        acct.want_rate = 0.0


def _needs_lease(acct):
    return (
        acct.want_concurrent > acct.kept_concurrent
        or acct.want_rate > acct.kept_rate
        or acct.running > acct.kept_concurrent
    )


def _grew(acct):
    wants_more = (
        acct.want_rate > acct.rate or acct.want_concurrent > acct.concurrent
    )
    return wants_more and (
        acct.want_rate > acct.reported_rate * CHANGE
        or acct.want_concurrent > acct.reported_concurrent * CHANGE
    )


def _ended(acct):
    return acct.reported_concurrent > 0 and not acct.want_concurrent


def is_due(acct, now):
    """Tell whether a report to the home is due."""
    leased = acct.lease_until > now
    age = now - acct.sent_time
    if not leased and not _needs_lease(acct):
        # The home is told that nothing is wanted any more.
        return _ended(acct) if acct.answered else age >= RETRY_S
    if acct.due or _grew(acct) or _ended(acct) or is_released(acct):
        return True
    return age >= (RENEW_S if acct.answered else RETRY_S)


def is_released(acct):
    """Tell whether tasks ended that ran beyond the share.

    Notes
    -----
    The home lends their part to others only after a report.
    """
    return acct.running < acct.reported_running > acct.concurrent


def is_idle(acct, now):
    """Tell whether the account needs no more attention in ticks."""
    return (
        not acct.load
        and not acct.start_rate
        and acct.answered
        and acct.lease_until <= now
        and not acct.reported_concurrent
        and acct.running <= acct.kept_concurrent
    )


def _cede(state, acct, now):
    """Keep only the part of the minimum that the demand needs.

    Notes
    -----
    The home counts on it for `HOLD_S` after its message that the report
    names, so it is binding from when that message was received.
    """
    until = acct.seen_time + _state.HELD_S
    if not acct.seen or until <= now:
        return
    floor = acct.kept_rate, acct.kept_concurrent
    kept = _shares.part_to_keep(acct, acct.limit, floor)
    acct.kept_rate, acct.kept_concurrent = kept
    acct.kept_until = max(acct.kept_until, until)
    _account.share(state, acct, now)


def report(state, acct, now):
    """Return the report to the customer's home, to be sent immediately.

    Returns
    -------
    QuotaRequest
    """
    _account.advance(state, acct, now)
    if not acct.want_concurrent and not acct.running:
        acct.lease_until = _state.NEVER  # given back
    _cede(state, acct, now)
    left = max(acct.lease_until - now, 0.0)
    acct.sent_at = _state.next_stamp(state, now)
    acct.stamps.append(acct.sent_at)
    acct.sent_time = now
    idle = not (acct.want_concurrent or acct.reported_concurrent or left)
    acct.answered = idle and acct.answered
    acct.due = False
    acct.reported_rate = acct.want_rate
    acct.reported_concurrent = acct.want_concurrent
    acct.reported_running = acct.running
    return messages.QuotaRequest(
        customer=acct.customer,
        rate=acct.want_rate,
        concurrent=acct.want_concurrent,
        running=acct.running,
        kept_rate=acct.kept_rate,
        kept_concurrent=acct.kept_concurrent,
        leased_rate=acct.lease_rate if left else 0.0,
        leased_concurrent=acct.lease_concurrent if left else 0,
        leased_ms=math.ceil(left * 1000),
        run=state.run,
        sent_at=acct.sent_at,
        echo=acct.seen,
    )


def outgrows(acct, now):
    """Tell whether a blocked demand is to be reported before the next tick.

    Notes
    -----
    Only a growth counts: when the limit itself is reached, the demand has
    been reported and nothing is gained by asking more often.
    """
    load = acct.running + max(acct.waiting, 1)
    acct.press_at = now + PRESS_S
    acct.load = min(max(acct.load, load), acct.limit.concurrent)
    estimate(acct)
    return _grew(acct)


def apply_grant(state, acct, msg, now):
    """Bring a lease into force, unless it is void or late.

    Returns
    -------
    bool
        Whether a report is to be sent immediately: the home asked for it,
        or lends what was given back only after it.
    """
    _account.advance(state, acct, now)
    if msg.sent_at <= acct.seen:
        return False
    acct.seen = msg.sent_at
    acct.seen_time = now
    if not msg.ttl_ms:
        return True
    if msg.echo == acct.sent_at:
        acct.answered = True
    until = msg.echo + min(_state.LEASE_S, msg.ttl_ms / 1000)
    if msg.echo not in acct.stamps or until <= now:
        return False
    _account.share(state, acct, now)
    lowered = acct.lease_until > now and (
        msg.rate < acct.lease_rate * (1 - LOWERED)
        or msg.concurrent < acct.lease_concurrent
    )
    acct.lease_rate = msg.rate
    acct.lease_concurrent = msg.concurrent
    acct.lease_until = until if msg.concurrent or msg.rate else _state.NEVER
    _account.share(state, acct, now)
    acct.tokens = min(acct.cap, acct.tokens + msg.tokens)
    state.active.add(acct.customer)
    return lowered
