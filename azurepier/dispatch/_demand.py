"""How the entries share what the endpoints offer.

Load pattern: clients that are spread unevenly over the entries, so that one
entry gets several times the jobs of another. If each counted on an equal
share, the busy one would turn jobs away while endpoints have room. An entry
tells each of its endpoints what it wants of it, and an endpoint tells what
all others want; no entry has to know the others.
"""

import math

from azurepier.dispatch import _order

# Time over which arriving work is averaged (s).
ARRIVALS_S = 1.0
# A backlog counts as if it had to be worked off in this time (s).
BACKLOG_S = 0.3
# An entry counts on at least this part of an equal share.
LEAST_SHARE = 0.5


def note_arrival(node, job):
    """Count the work of a job that has arrived."""
    node.arrived += _order.work(job)


def forget(node, now):
    """Let arrivals fade."""
    node.arrived *= math.exp((node.arrived_at - now) / ARRIVALS_S)
    node.arrived_at = now


def cores_wanted(node):
    """Return the cores that arriving and waiting work wants."""
    waiting = sum(_order.work(job) for job in node.jobs.values())
    return node.arrived / ARRIVALS_S + waiting / BACKLOG_S


def cores_of_each(node):
    """Return the cores that are wanted of each open endpoint."""
    open_ = sum(endpoint.accepting for endpoint in node.by_conn.values())
    return cores_wanted(node) / max(open_, 1)


def share(endpoint, mine):
    """Return the part of an endpoint that this entry may count on.

    Parameters
    ----------
    endpoint : Endpoint
    mine : float
        Cores that this entry wants of it.
    """
    least = LEAST_SHARE / max(endpoint.entries, 1)
    total = mine + endpoint.wanted
    return max(mine / total, least) if total > 0 else 2 * least
