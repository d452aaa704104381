"""Which entry dispatches new jobs.

All entries accept requests, but new jobs are owned and dispatched by one of
them, the leader: the slots of a fleet are used best by one queue. Entries
agree on the leader by hashing the names of the entries that they are
connected with. Nothing depends on their agreement but efficiency; two
leaders share the endpoints' credits.
"""

from azurepier import membership

# Entries that have just started may start no tasks yet, see
# `azurepier.limits`.
ELIGIBLE_AFTER_S = 7.0
_KEY = 'leader'


def is_eligible(node, now):
    """Tell whether this entry could lead."""
    return not node.draining and now - node.started_at >= ELIGIBLE_AFTER_S


def find(node, now):
    """Return the `Peer` that leads, or None if this entry does."""
    peers = {peer.name: peer for peer in node.peers.values() if peer.eligible}
    names = set(peers)
    if is_eligible(node, now) or (not names and not node.draining):
        names.add(node.options.name)
    chosen = membership.first(_KEY, names)
    return peers.get(chosen)
