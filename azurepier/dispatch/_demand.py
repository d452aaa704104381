"""Fair division of the endpoints' capacity between entries.

Load pattern: callers are spread unevenly over the entries, so that one entry
gets several times as many jobs as another. If each counted on an equal share,
the busy one would reject jobs while endpoints have free capacity. An entry
sends its demand to each of its endpoints, and an endpoint reports the total
demand of the other entries, so that entries need not know of each other.
"""

import math

from azurepier.dispatch import _order

# Time constant of the average of arriving work (s).
ARRIVAL_WINDOW_S = 1.0
# Target time to complete the backlog (s), which determines the demand of the
# waiting jobs.
BACKLOG_CLEAR_S = 0.3
# Minimum that an entry may count on, as a fraction of an equal share.
MIN_SHARE = 0.5


def record_arrival(node, job):
    """Add the work of a job that has arrived."""
    node.arrived_work += _order.waiting_work(job)


def decay_arrivals(node, now):
    """Decay the arrived work exponentially."""
    node.arrived_work *= math.exp(
        (node.arrivals_updated_at - now) / ARRIVAL_WINDOW_S
    )
    node.arrivals_updated_at = now


def total_demand(node):
    """Return the demand of arriving and waiting work (cores)."""
    backlog = sum(_order.waiting_work(job) for job in node.jobs.values())
    return node.arrived_work / ARRIVAL_WINDOW_S + backlog / BACKLOG_CLEAR_S


def demand_per_endpoint(node):
    """Return the demand per endpoint that accepts tasks (cores)."""
    accepting_count = sum(
        endpoint.accepting for endpoint in node.by_conn.values()
    )
    return total_demand(node) / max(accepting_count, 1)


def share(endpoint, own_demand):
    """Return the share of an endpoint's capacity for this entry.

    Parameters
    ----------
    endpoint : Endpoint
    own_demand : float
        Demand of this entry for the endpoint (cores).
    """
    min_share = MIN_SHARE / max(endpoint.entry_count, 1)
    total = own_demand + endpoint.others_demand
    return max(own_demand / total, min_share) if total > 0 else 2 * min_share
