"""Messages about shares of quotas between entries."""

import math

from azurepier.kernel import effects
from azurepier import limits

QUOTA_INTERVAL_S = 0.25


def quota_effects(node, now):
    """Send the quota messages that are due."""
    return _to_names(node, limits.on_tick(node.limits, now))


def urgent_effects(node):
    """Send the quota messages that should not wait for the next tick."""
    return _to_names(node, limits.take_outbox(node.limits))


def _to_names(node, addressed):
    conns = {peer.name: peer.conn for peer in node.peers.values()}
    return [
        effects.Send(conns[name], msg)
        for name, msg in addressed
        if name in conns
    ]


def _is_finite(msg):
    """Tell whether all numbers of a quota message can be calculated with."""
    return all(
        math.isfinite(value)
        for value in (getattr(msg, name) for name in msg.__slots__)
        if isinstance(value, float)
    )


def on_quota_request(node, peer, msg, now):
    """Lend parts of a customer's limits to another entry."""
    if not _is_finite(msg):
        return [effects.Close(peer.conn)]
    sent = limits.on_request(node.limits, peer.name, msg, now)
    return _to_names(node, sent)


def on_quota_grant(node, peer, msg, now):
    """Take over parts of a customer's limits."""
    if not _is_finite(msg):
        return [effects.Close(peer.conn)]
    node.dirty = True
    sent = limits.on_grant(node.limits, peer.name, msg, now)
    return _to_names(node, sent)
