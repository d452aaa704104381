"""Division of a limit between entries."""

import math

from azurepier.limits import _state

# Fraction of the limit that all entries together may use without a lease.
GUARANTEED_FRACTION = 0.5
# Fraction of its minimum that an idle entry keeps, so that its first tasks
# start without a round trip to the home.
IDLE_KEPT_FRACTION = 1 / 16
# Tolerance for rounding errors in sums of fractions of tokens.
EPSILON = 1e-6


def limit_of(plan):
    """Return the `Limit` of a plan, or `NO_LIMIT` for None."""
    if plan is None or plan.starts_per_s <= 0 or plan.concurrent < 1:
        return _state.NO_LIMIT
    rate = float(plan.starts_per_s)
    burst = max(rate * _state.BURST_S, float(plan.largest_job), 1.0)
    return _state.Limit(rate, int(plan.concurrent), burst, rate / burst)


def entry_minimum(limit, count):
    """Return the part of a limit that each entry may use without a lease.

    Returns
    -------
    rate : float
        Starts per second.
    concurrent : int
        Running tasks. Both are 0 if either is too small to start a task;
        then the home leases out the whole limit.
    """
    if count <= 1:
        return limit.rate, limit.concurrent
    if math.isinf(count):
        return 0.0, 0
    rate = limit.rate * GUARANTEED_FRACTION / count
    concurrent = int(limit.concurrent * GUARANTEED_FRACTION / count)
    if not concurrent or not is_usable(limit, rate):
        return 0.0, 0
    return rate, concurrent


def is_usable(limit, rate):
    """Tell whether the bucket of a share holds at least one token."""
    return rate >= limit.min_usable_rate * (1 - EPSILON)


def minimum_to_keep(acct, limit, minimum):
    """Return the part of `minimum` that an entry's demand needs."""
    rate, concurrent = minimum
    idle_rate = rate * IDLE_KEPT_FRACTION
    rate = min(rate, max(acct.demand_rate, idle_rate))
    concurrent = max(
        acct.demand_concurrent, int(concurrent * IDLE_KEPT_FRACTION)
    )
    concurrent = min(minimum[1], concurrent)
    if acct.demand_concurrent:
        rate = min(minimum[0], max(rate, limit.min_usable_rate))
    if not concurrent or not is_usable(limit, rate):
        return 0.0, 0
    return rate, concurrent


def fair_level(demands, budget):
    """Return the largest share in the max-min fair division of a budget.

    Parameters
    ----------
    demands : list of float
        Upper bound of each share.
    budget : float
        Upper bound of the sum of all shares.

    Returns
    -------
    float
        The level `x` at which the sum of ``min(demand, x)`` is the budget;
        infinite if all demands can be met.
    """
    remaining = max(budget, 0.0)
    ordered = sorted(demands)
    count = len(ordered)
    for index, demand in enumerate(ordered):
        even_share = remaining / (count - index)
        if demand > even_share:
            return even_share
        remaining -= demand
    return math.inf


def divide(demands, budget):
    """Divide `budget` between `demands` with max-min fairness.

    Returns
    -------
    list of float
        One share for each demand, in the same order.
    """
    level = fair_level(demands, budget)
    return [min(demand, level) for demand in demands]


def divide_whole(demands, budget):
    """Divide whole units; earlier demands receive the remainder.

    Returns
    -------
    list of int
        One share for each demand, in the same order.
    """
    shares = [int(share + EPSILON) for share in divide(demands, budget)]
    remaining = max(budget, 0) - sum(shares)
    for index, demand in enumerate(demands):
        if remaining <= 0:
            break
        if shares[index] < demand:
            shares[index] += 1
            remaining -= 1
    return shares
