"""Capacity of a pool that an entry may count on.

Load pattern: all processes are killed or lose power while callers go on
sending, and the entries are back some tenths of a second before the endpoint
processes. Until these have connected, the capacity is not known, and refusals
that follow from it would be wrong: the workers are idle. Jobs wait for them,
also those that are late already, since their callers would lose more time with
another submission.
"""

import attrs

from azurepier.dispatch import _arrival
from azurepier.dispatch import _demand
from azurepier.dispatch import _order
from azurepier.dispatch import _placement

# Warm-up after the first endpoint has connected, during which the total
# capacity is unknown (s). After a power failure eleven endpoint processes
# connect within 0.4 s.
WARM_UP_S = 0.4
# Jobs are rejected once their pool has had no open endpoint for this time (s).
NO_ENDPOINT_TIMEOUT_S = 1.0


def pool_supply(node, pool, open_endpoints, now):
    """Return the `Supply` of a pool.

    Parameters
    ----------
    node : Entry
    pool : str
    open_endpoints : list of Endpoint
        Those of the pool.
    now : float
    """
    if not open_endpoints:
        return _order.UNKNOWN_SUPPLY
    # Unhealthy endpoints only get an occasional trial task.
    open_endpoints = [
        each for each in open_endpoints if _placement.is_healthy(each)
    ] or open_endpoints
    max_speed = max(endpoint.speed for endpoint in open_endpoints)
    if is_warming_up(node, now):
        return attrs.evolve(_order.UNKNOWN_SUPPLY, max_speed=max_speed)
    own_demand = _demand.demand_per_endpoint(node)
    cores = sum(
        endpoint.cpu
        / 1000
        * endpoint.speed
        * _demand.share(endpoint, own_demand)
        for endpoint in open_endpoints
    )
    return _order.Supply(max_speed, cores)


def is_warming_up(node, now):
    """Tell whether the first endpoints have connected only recently."""
    if _arrival.is_in_use(node):
        return _arrival.is_awaited(node, now)
    return now - node.warm_up_since < WARM_UP_S


def is_expected(node, pool, any_open, now):
    """Tell whether endpoints are expected to connect or reconnect shortly.

    Parameters
    ----------
    node : Entry
    pool : str
    any_open : bool
        Whether the pool has an open endpoint.
    now : float
    """
    if any_open:
        return is_warming_up(node, now)
    if _arrival.is_pending(node, now):
        return True
    since = node.unavailable_since.get(pool, now)
    return now - since < NO_ENDPOINT_TIMEOUT_S


def is_pool_evacuated(node, pool, now):
    """Tell whether all endpoints of a pool are in evacuated domains."""
    endpoints = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == pool and endpoint.cpu
    ]
    return (
        bool(endpoints)
        and all(each.evacuated for each in endpoints)
        and not is_warming_up(node, now)
    )
