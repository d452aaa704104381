"""An entry's side of the exchange: demand, reports and leases."""

import math

from azurepier.kernel import messages
from azurepier.limits import _account
from azurepier.limits import _shares
from azurepier.limits import _state

# A lease in use is renewed after this time (s). With `RETRY_INTERVAL_S`, one
# message may be lost before the lease expires.
RENEW_INTERVAL_S = 1.0
# An unanswered report is sent again after this time (s).
RETRY_INTERVAL_S = 0.25
# Shortest interval between reports sent before the next tick (s).
EARLY_REPORT_INTERVAL_S = 0.05
# A decrease of the lease by a smaller fraction is not reported at once.
MIN_LEASE_DECREASE = 0.05
# A report is sent before the next tick if the demand exceeds this multiple of
# the reported demand by this number of tasks.
GROWTH_FACTOR = 2.0
GROWTH_MIN_TASKS = 4
# How long a limit counts as scarce after a lease that left the share no larger
# than the reported demand (s).
SCARCITY_S = 3.0
# Weights of the last tick in the exponential moving averages of the demand:
# of a tick with demand and of one without.
EWMA_WEIGHT = 0.25
IDLE_EWMA_WEIGHT = 0.5
# Run time assumed for tasks that are too short to be seen at a tick (s).
MIN_TASK_S = 0.05
# Averages below this count as no demand (tasks).
MIN_AVERAGE_LOAD = 0.5
# Target time to start the waiting tasks (s): in regular reports, and in those
# sent before the next tick.
BACKLOG_DRAIN_S = 1.0
BURST_BACKLOG_DRAIN_S = 0.25


def measure_demand(acct, elapsed_s):
    """Update the customer's demand at this entry at the end of a tick.

    Parameters
    ----------
    acct : Account
    elapsed_s : float
        Length of the tick (s).

    Notes
    -----
    The demand is an average, since shares sized for the peak of each entry
    leave much of a scarce limit unused: with a limit of 100 running tasks, 10
    entries and 80 % of the demand at one of them, 81 % of the limit was used
    with averages and 44 % with peaks (`bench_limits`).
    """
    limit = acct.limit
    load = acct.running + acct.waiting
    active = max(acct.peak_load, load) > 0
    acct.peak_load = load
    max_waiting = max(limit.concurrent, limit.rate * BACKLOG_DRAIN_S)
    waiting = min(acct.waiting, max_waiting)
    weight = EWMA_WEIGHT if active else IDLE_EWMA_WEIGHT
    acct.mean_running += (acct.running - acct.mean_running) * weight
    acct.mean_waiting += (waiting - acct.mean_waiting) * weight
    acct.start_rate += (acct.starts / elapsed_s - acct.start_rate) * weight
    acct.starts = 0
    if not active and acct.mean_running + acct.mean_waiting < MIN_AVERAGE_LOAD:
        acct.mean_running = acct.mean_waiting = acct.start_rate = 0.0
    _set_demand(acct, active)


def _set_demand(acct, active):
    limit = acct.limit
    rate = acct.start_rate + acct.mean_waiting / BACKLOG_DRAIN_S
    acct.demand_rate = min(limit.rate, rate)
    concurrent = acct.mean_running
    concurrent += acct.mean_waiting * min(
        1.0, _mean_task_s(acct) / BACKLOG_DRAIN_S
    )
    concurrent = min(limit.concurrent, math.ceil(concurrent))
    acct.demand_concurrent = max(concurrent, 1) if active else concurrent


def _mean_task_s(acct):
    """Return the mean run time of the customer's tasks (s)."""
    if not acct.start_rate:
        return math.inf
    return max(acct.mean_running / acct.start_rate, MIN_TASK_S)


def _needs_lease(acct):
    return (
        acct.demand_concurrent > acct.kept_concurrent
        or acct.demand_rate > acct.kept_rate
        or acct.running > acct.kept_concurrent
    )


def _demand_ended(acct):
    return acct.reported_concurrent > 0 and not acct.demand_concurrent


def is_due(acct, now):
    """Tell whether a report to the home is due."""
    leased = acct.lease_until > now
    age = now - acct.reported_at
    if not leased and not _needs_lease(acct):
        # Tells the home that the demand has ended.
        return (
            _demand_ended(acct)
            if acct.report_answered
            else age >= RETRY_INTERVAL_S
        )
    if acct.report_due or _demand_ended(acct) or has_freed_excess(acct):
        return True
    return age >= (
        RENEW_INTERVAL_S if acct.report_answered else RETRY_INTERVAL_S
    )


def has_freed_excess(acct):
    """Tell whether tasks above the share have ended since the last report.

    Notes
    -----
    The home entry can lease the freed capacity to other entries only after
    this report.
    """
    return acct.running < acct.reported_running > acct.concurrent


def is_idle(acct, now):
    """Tell whether ticks can skip the account until it is used again."""
    return (
        not acct.demand_concurrent
        and acct.report_answered
        and acct.lease_until <= now
        and not acct.reported_concurrent
        and acct.running <= acct.kept_concurrent
    )


def _reduce_minimum(state, acct, now):
    """Reduce the minimum to the part that the demand needs.

    Notes
    -----
    The home relies on the reduction for `REDUCED_MINIMUM_S` after it sent the
    message that the report answers. So this entry keeps to it for
    `REDUCED_MINIMUM_MEMBER_S` after it received that message.
    """
    until = acct.grant_received_at + _state.REDUCED_MINIMUM_MEMBER_S
    if not acct.grant_timestamp or until <= now:
        return
    minimum = acct.kept_rate, acct.kept_concurrent
    kept = _shares.minimum_to_keep(acct, acct.limit, minimum)
    acct.kept_rate, acct.kept_concurrent = kept
    acct.kept_until = max(acct.kept_until, until)
    _account.update_share(state, acct, now)


def report(state, acct, now):
    """Return a report to the customer's home, to be sent immediately.

    Returns
    -------
    QuotaRequest
    """
    _account.advance(state, acct, now)
    if not acct.demand_concurrent and not acct.running:
        acct.lease_until = _state.NEVER  # the lease is returned
    _reduce_minimum(state, acct, now)
    remaining_s = max(acct.lease_until - now, 0.0)
    acct.report_timestamp = _state.next_timestamp(state, now)
    acct.sent_timestamps.append(acct.report_timestamp)
    acct.reported_at = now
    idle = not (
        acct.demand_concurrent or acct.reported_concurrent or remaining_s
    )
    acct.report_answered = idle and acct.report_answered
    acct.report_due = False
    acct.reported_rate = acct.demand_rate
    acct.reported_concurrent = acct.demand_concurrent
    acct.reported_running = acct.running
    return messages.QuotaRequest(
        customer=acct.customer,
        rate=acct.demand_rate,
        concurrent=acct.demand_concurrent,
        running=acct.running,
        kept_rate=acct.kept_rate,
        kept_concurrent=acct.kept_concurrent,
        leased_rate=acct.lease_rate if remaining_s else 0.0,
        leased_concurrent=acct.lease_concurrent if remaining_s else 0,
        leased_ms=math.ceil(remaining_s * 1000),
        run=state.run,
        sent_at=acct.report_timestamp,
        echo=acct.grant_timestamp,
    )


def report_to_other_run(state, acct, msg, now):
    """Return a report that answers a message of an unknown run of the home.

    Notes
    -----
    The message is not accepted. If its sender is a new process of the home,
    this report is all it knows, so grants that the previous process has sent
    are ignored from now on.
    """
    accepted = acct.grant_timestamp, acct.grant_received_at
    acct.sent_timestamps.clear()
    acct.grant_timestamp, acct.grant_received_at = msg.sent_at, now
    out = report(state, acct, now)
    acct.grant_timestamp, acct.grant_received_at = accepted
    return out


def check_growth(acct, now):
    """Tell whether blocked demand is to be reported before the next tick.

    Notes
    -----
    Of the rate and the concurrency, only the one that blocks the start
    counts. While the limit is scarce (the share doesn't exceed the reported
    demand), it is divided by averages alone.
    """
    acct.next_early_report_at = now + EARLY_REPORT_INTERVAL_S
    if now < acct.scarce_until:
        return False
    limit = acct.limit
    waiting = max(acct.waiting, 1)
    tasks = min(limit.concurrent, acct.running + waiting)
    rate = min(limit.rate, acct.start_rate + waiting / BURST_BACKLOG_DRAIN_S)
    if acct.running < acct.concurrent:
        tasks = 0
    elif acct.rate:
        rate = 0.0
    is_first = not acct.reported_concurrent
    margin = 0 if is_first else GROWTH_MIN_TASKS
    if (
        tasks <= GROWTH_FACTOR * acct.reported_concurrent + margin
        and rate
        <= GROWTH_FACTOR * acct.reported_rate + margin / BURST_BACKLOG_DRAIN_S
    ):
        return False
    acct.demand_concurrent = max(acct.demand_concurrent, tasks, 1)
    acct.demand_rate = max(acct.demand_rate, rate)
    return True


def apply_grant(state, acct, msg, now):
    """Apply a lease unless it is outdated or has expired.

    Returns
    -------
    bool
        Whether a report is to be sent immediately: the home polled for it,
        or waits for it before it leases a scarce part to another entry.
    """
    _account.advance(state, acct, now)
    if msg.sent_at <= acct.grant_timestamp:
        return False
    acct.grant_timestamp = msg.sent_at
    acct.grant_received_at = now
    if not msg.ttl_ms:
        return True
    if msg.echo == acct.report_timestamp:
        acct.report_answered = True
    until = msg.echo + min(_state.LEASE_S, msg.ttl_ms / 1000)
    if msg.echo not in acct.sent_timestamps or until <= now:
        return False
    _account.update_share(state, acct, now)
    old = (0.0, 0)
    if acct.lease_until > now:
        old = acct.lease_rate, acct.lease_concurrent
    acct.lease_rate = msg.rate
    acct.lease_concurrent = msg.concurrent
    acct.lease_until = until if msg.concurrent or msg.rate else _state.NEVER
    _account.update_share(state, acct, now)
    acct.tokens = min(acct.bucket_size, acct.tokens + msg.tokens)
    state.active_customers.add(acct.customer)
    # While the customer was idle, no demand was reported, so a share of 0 does
    # not mean that the limit is scarce.
    scarce = (
        0 < acct.reported_rate >= acct.rate,
        0 < acct.reported_concurrent >= acct.concurrent,
    )
    if any(scarce):
        acct.scarce_until = now + SCARCITY_S
    return (scarce[0] and msg.rate < old[0] * (1 - MIN_LEASE_DECREASE)) or (
        scarce[1] and msg.concurrent < old[1]
    )
