"""How the entries share what the endpoints offer.

Load pattern: clients that are spread unevenly over the entries, so that one
entry gets several times the jobs of another. If each counted on an equal
share, the busy one would turn jobs away while endpoints have room. Entries
tell each other what they want with their heartbeats.
"""

import math

from azurepier.dispatch import _bounds
from azurepier.dispatch import _order

# Time over which arriving work is averaged (s).
ARRIVALS_S = 1.0
# A backlog counts as if it had to be worked off in this time (s).
BACKLOG_S = 0.3
# An entry counts on at least this part of an equal share.
LEAST_SHARE = 0.5
_KEEP = math.exp(-_bounds.BEAT_S / ARRIVALS_S)


def note_arrival(node, job):
    """Count the work of a job that has arrived."""
    node.arrived += _order.work(job)


def forget(node):
    """Let arrivals fade; called with each heartbeat."""
    node.arrived *= _KEEP


def cores_wanted(node):
    """Return the cores that arriving and waiting work wants."""
    waiting = sum(_order.work(job) for job in node.jobs.values())
    return node.arrived / ARRIVALS_S + waiting / BACKLOG_S


def share(node):
    """Return the part of the endpoints that this entry may count on."""
    mine = cores_wanted(node)
    total = mine + sum(peer.demand for peer in node.peers.values())
    equal = 1.0 / (len(node.peers) + 1)
    if total <= 0:
        return equal
    return max(mine / total, equal * LEAST_SHARE)
