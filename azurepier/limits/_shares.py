"""Arithmetic of dividing a limit between entries."""

import math

from azurepier.limits import _state

# Part of the limit that all entries together keep without a lease.
GUARANTEED = 0.5
# Part of its minimum that an idle entry keeps, so that its first tasks start
# without a round trip to the home.
KEPT_IDLE = 1 / 16
# Absorbs rounding errors of sums of token parts.
EPSILON = 1e-6


def limit_of(plan):
    """Return the `Limit` of a plan, or `NO_LIMIT` for None."""
    if plan is None or plan.starts_per_s <= 0 or plan.concurrent < 1:
        return _state.NO_LIMIT
    rate = float(plan.starts_per_s)
    burst = max(rate * _state.BURST_S, float(plan.largest_job), 1.0)
    return _state.Limit(rate, int(plan.concurrent), burst, rate / burst)


def minimum(limit, count):
    """Return the part of a limit that each of `count` entries may use.

    Returns
    -------
    rate : float
        Starts per second.
    concurrent : int
        Running tasks. Both are 0 if either is too small to start a task;
        then the home lends the whole limit.
    """
    if count <= 1:
        return limit.rate, limit.concurrent
    if math.isinf(count):
        return 0.0, 0
    rate = limit.rate * GUARANTEED / count
    concurrent = int(limit.concurrent * GUARANTEED / count)
    if not concurrent or not usable(limit, rate):
        return 0.0, 0
    return rate, concurrent


def usable(limit, rate):
    """Tell whether the bucket of a share holds at least one token."""
    return rate >= limit.least_rate * (1 - EPSILON)


def part_to_keep(acct, limit, floor):
    """Return the part of the minimum `floor` that an entry's demand needs."""
    rate, concurrent = floor
    low = rate * KEPT_IDLE
    rate = min(rate, max(acct.want_rate, low))
    concurrent = max(acct.want_concurrent, int(concurrent * KEPT_IDLE))
    concurrent = min(floor[1], concurrent)
    if acct.want_concurrent:
        rate = min(floor[0], max(rate, limit.least_rate))
    if not concurrent or not usable(limit, rate):
        return 0.0, 0
    return rate, concurrent


def level(wants, budget):
    """Return the largest share that everybody can have.

    Parameters
    ----------
    wants : list of float
        What each one wants; nobody receives more.
    budget : float
        What there is in all.

    Returns
    -------
    float
        The level `x` at which the sum of ``min(want, x)`` is the budget;
        infinite if all wants fit.
    """
    left = max(budget, 0.0)
    ordered = sorted(wants)
    count = len(ordered)
    for index, want in enumerate(ordered):
        part = left / (count - index)
        if want > part:
            return part
        left -= want
    return math.inf


def divide(wants, budget):
    """Divide `budget` between `wants` with max-min fairness.

    Returns
    -------
    list of float
        One share for each of the wants, in their order.
    """
    top = level(wants, budget)
    return [min(want, top) for want in wants]


def divide_whole(wants, budget):
    """Divide whole units; earlier wants receive the remainder.

    Returns
    -------
    list of int
        One share for each of the wants, in their order.
    """
    shares = [int(share + EPSILON) for share in divide(wants, budget)]
    left = max(budget, 0) - sum(shares)
    for index, want in enumerate(wants):
        if left <= 0:
            break
        if shares[index] < want:
            shares[index] += 1
            left -= 1
    return shares
