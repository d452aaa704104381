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
LOWERED = 0.05
# A report is sent before the next tick if the demand is this many times what
# was reported, and by at least this many tasks more.
GROWTH = 2.0
GROWTH_TASKS = 4
# How long a limit counts as scarce after a lease without a reserve (s).
SCARCE_S = 3.0
# Weight of the last tick in the averages of the demand, and that of a tick
# without any.
WEIGHT = 0.25
IDLE_WEIGHT = 0.5
# Run time that is assumed for tasks too short to be seen running (s).
LEAST_TASK_S = 0.05
# Averages below this are no demand.
LEAST = 0.5
# Tasks that wait are to be started within this time (s); a burst that is
# reported before the next tick within the shorter one.
DRAIN_S = 1.0
BURST_DRAIN_S = 0.25


def measure(acct, elapsed):
    """Compute what the customer wants here from the tick that ended.

    Parameters
    ----------
    acct : Account
    elapsed : float
        Length of the tick (s).

    Notes
    -----
    Averages are used, since shares for the peaks of each entry leave much of
    a scarce limit unused: of 100 running tasks, with 10 entries and 80 % of
    the demand at one of them, 81 % were used with averages and 44 % with
    peaks (`bench_limits`).
    """
    limit = acct.limit
    load = acct.running + acct.waiting
    active = max(acct.peak, load) > 0
    acct.peak = load
    most = max(limit.concurrent, limit.rate * DRAIN_S)
    waiting = min(acct.waiting, most)
    weight = WEIGHT if active else IDLE_WEIGHT
    acct.mean_running += (acct.running - acct.mean_running) * weight
    acct.mean_waiting += (waiting - acct.mean_waiting) * weight
    acct.start_rate += (acct.starts / elapsed - acct.start_rate) * weight
    acct.starts = 0
    if not active and acct.mean_running + acct.mean_waiting < LEAST:
        acct.mean_running = acct.mean_waiting = acct.start_rate = 0.0
    _set_wants(acct, active)


def _set_wants(acct, active):
    limit = acct.limit
    rate = acct.start_rate + acct.mean_waiting / DRAIN_S
    acct.want_rate = min(limit.rate, rate)
    tasks = acct.mean_running
    tasks += acct.mean_waiting * min(1.0, _task_s(acct) / DRAIN_S)
    tasks = min(limit.concurrent, math.ceil(tasks))
    acct.want_concurrent = max(tasks, 1) if active else tasks


def _task_s(acct):
    """Return the mean run time of the customer's tasks (s)."""
    if not acct.start_rate:
        return math.inf
    return max(acct.mean_running / acct.start_rate, LEAST_TASK_S)


def _needs_lease(acct):
    return (
        acct.want_concurrent > acct.kept_concurrent
        or acct.want_rate > acct.kept_rate
        or acct.running > acct.kept_concurrent
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
    if acct.due or _ended(acct) or is_released(acct):
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
        not acct.want_concurrent
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


def answer(state, acct, msg, now):
    """Return a report that answers a message without accepting it.

    Notes
    -----
    If its sender is a new run of the home, it counts on the report alone.
    Grants that an earlier run has sent become void.
    """
    seen = acct.seen, acct.seen_time
    acct.stamps.clear()
    acct.seen, acct.seen_time = msg.sent_at, now
    out = report(state, acct, now)
    acct.seen, acct.seen_time = seen
    return out


def outgrows(acct, now):
    """Tell whether a blocked demand is to be reported before the next tick.

    Notes
    -----
    Only a growth of the part that blocks counts. While the home lends no
    more than was reported the limit is scarce, and it is divided by averages
    alone.
    """
    acct.press_at = now + PRESS_S
    if now < acct.scarce_until:
        return False
    limit = acct.limit
    waiting = max(acct.waiting, 1)
    tasks = min(limit.concurrent, acct.running + waiting)
    rate = min(limit.rate, acct.start_rate + waiting / BURST_DRAIN_S)
    if acct.running < acct.concurrent:
        tasks = 0
    elif acct.rate:
        rate = 0.0
    first = not acct.reported_concurrent
    more = 0 if first else GROWTH_TASKS
    if (
        tasks <= GROWTH * acct.reported_concurrent + more
        and rate <= GROWTH * acct.reported_rate + more / BURST_DRAIN_S
    ):
        return False
    acct.want_concurrent = max(acct.want_concurrent, tasks, 1)
    acct.want_rate = max(acct.want_rate, rate)
    return True


def apply_grant(state, acct, msg, now):
    """Bring a lease into force, unless it is void or late.

    Returns
    -------
    bool
        Whether a report is to be sent immediately: the home asked for it,
        or waits for it before it lends a scarce part to another entry.
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
    old = (0.0, 0)
    if acct.lease_until > now:
        old = acct.lease_rate, acct.lease_concurrent
    acct.lease_rate = msg.rate
    acct.lease_concurrent = msg.concurrent
    acct.lease_until = until if msg.concurrent or msg.rate else _state.NEVER
    _account.share(state, acct, now)
    acct.tokens = min(acct.cap, acct.tokens + msg.tokens)
    state.active.add(acct.customer)
    # Nothing was asked for while the customer was idle, so that a share of
    # nothing says nothing about the limit.
    scarce = (
        0 < acct.reported_rate >= acct.rate,
        0 < acct.reported_concurrent >= acct.concurrent,
    )
    if any(scarce):
        acct.scarce_until = now + SCARCE_S
    return (scarce[0] and msg.rate < old[0] * (1 - LOWERED)) or (
        scarce[1] and msg.concurrent < old[1]
    )
