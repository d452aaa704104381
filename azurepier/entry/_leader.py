"""Choice of the leader, the entry that dispatches new jobs.

All entries accept requests, but one of them, the leader, owns and dispatches
all new jobs: a single queue makes the best use of the slots of a fleet. Each
entry determines the leader by rendezvous hashing of the names of the entries
that it is connected to. Disagreement costs efficiency but not correctness:
two leaders share the credits of the endpoints.
"""

import enum

from azurepier import membership

# A new entry may not start tasks yet, because other entries may still use its
# share of the limits; see `azurepier.limits`.
READY_AFTER_S = 7.0
_LEADER_KEY = 'leader'


class Rank(enum.IntEnum):
    """Eligibility to lead; only entries of the highest rank are considered."""

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
    """Return the `Peer` that is the leader, or None if this entry is."""
    ranks = {node.options.name: rank(node, now)}
    peers = {}
    for peer in node.peers.values():
        peers[peer.name] = peer
        ranks[peer.name] = peer.rank
    best = max(ranks.values())
    names = [name for name, value in ranks.items() if value == best]
    return peers.get(membership.preferred(_LEADER_KEY, names))
