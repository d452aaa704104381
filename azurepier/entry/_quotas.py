"""Exchange of quota messages between entries."""

import math

from azurepier.kernel import effects
from azurepier import limits

QUOTA_INTERVAL_S = 0.25


def quota_effects(node, now):
    """Return effects that send the quota messages that are due."""
    return _send_to_peers(node, limits.on_tick(node.limits, now))


def immediate_quota_effects(node):
    """Return effects that send quota messages without waiting for a tick."""
    return _send_to_peers(node, limits.take_outbox(node.limits))


def _send_to_peers(node, addressed):
    conns = {peer.name: peer.conn for peer in node.peers.values()}
    return [
        effects.Send(conns[name], msg)
        for name, msg in addressed
        if name in conns
    ]


def _is_finite(msg):
    """Tell whether all floats of a quota message are finite."""
    return all(
        math.isfinite(value)
        for value in (getattr(msg, name) for name in msg.__slots__)
        if isinstance(value, float)
    )


def on_quota_request(node, peer, msg, now):
    """Handle another entry's request for a share of a customer's limits."""
    if not _is_finite(msg):
        return [effects.Close(peer.conn)]
    addressed = limits.on_request(node.limits, peer.name, msg, now)
    return _send_to_peers(node, addressed)


def on_quota_grant(node, peer, msg, now):
    """Handle the grant of a share of a customer's limits."""
    if not _is_finite(msg):
        return [effects.Close(peer.conn)]
    node.dirty = True
    addressed = limits.on_grant(node.limits, peer.name, msg, now)
    return _send_to_peers(node, addressed)
