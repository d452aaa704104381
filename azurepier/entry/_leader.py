"""Which entry dispatches new jobs.

All entries accept requests, but new jobs are owned and dispatched by one of
them, the leader: the slots of a fleet are used best by one queue. Entries
agree on the leader by hashing the names of the entries that they are
connected with. Nothing depends on their agreement but efficiency; two
leaders share the endpoints' credits.
"""

import enum

from azurepier import membership

# Entries that have just started may start no tasks yet, see
# `azurepier.limits`.
READY_AFTER_S = 7.0
_KEY = 'leader'


class Rank(enum.IntEnum):
    """How fit an entry is to lead; the fittest compete."""

    DRAINING = 0
    STARTING = 1
    READY = 2


def rank(node, now):
    """Return this entry's `Rank`."""
    if node.draining:
        return Rank.DRAINING
    if now - node.started_at < READY_AFTER_S:
        return Rank.STARTING
    return Rank.READY


def find(node, now):
    """Return the `Peer` that leads, or None if this entry does."""
    ranks = {node.options.name: rank(node, now)}
    peers = {}
    for peer in node.peers.values():
        peers[peer.name] = peer
        ranks[peer.name] = peer.rank
    best = max(ranks.values())
    names = [name for name, value in ranks.items() if value == best]
    return peers.get(membership.preferred(_KEY, names))
