"""Exchange of configurations by version.

Each heartbeat names the version in force at its sender. A process that
hears of a higher version asks that sender for it; the answer holds only the
difference where the sender still knows the asker's version.
"""

import attrs

from azurepier import config
from azurepier.kernel import effects
from azurepier.kernel import messages

# Configurations kept to compute differences from; a process that is further
# behind gets the whole configuration.
RECENT_MAX = 16
# An unanswered request is repeated, to whichever peer names a higher version.
ASK_AGAIN_AFTER_S = 1.0


@attrs.define
class ConfigExchange:
    """Recent configurations by version, and the open request."""

    recent: dict = attrs.field(factory=dict)
    asked_at: float | None = None
    whole: bool = False
    bodies: dict = attrs.field(factory=dict)  # base version -> encoded body


def current_version(adoption):
    """Return the version in force, 0 if there is none."""
    return adoption.current.version if adoption.current else 0


def record_current(exchange, adoption):
    """Keep the configuration now in force for computing differences."""
    current = adoption.current
    if current is None:
        return
    exchange.recent[current.version] = current
    exchange.bodies.clear()
    while len(exchange.recent) > RECENT_MAX:
        del exchange.recent[min(exchange.recent)]


def on_version(exchange, adoption, conn, version, now):
    """Ask for a configuration that a peer has and this process lacks."""
    have = current_version(adoption)
    if version <= have:
        return []
    asked = exchange.asked_at
    if asked is not None and now - asked < ASK_AGAIN_AFTER_S:
        return []
    exchange.asked_at = now
    have = 0 if exchange.whole else have
    return [effects.Send(conn, messages.ConfigRequest(have=have))]


def on_request(exchange, adoption, conn, msg):
    """Answer a `ConfigRequest`."""
    current = adoption.current
    if current is None or current.version <= msg.have:
        return []
    base = exchange.recent.get(msg.have)
    body = exchange.bodies.get(base.version if base else 0)
    if body is None:
        body = _encode(base, current)
        exchange.bodies[base.version if base else 0] = body
    update = messages.ConfigUpdate(
        version=current.version,
        base=base.version if base else 0,
        body=body,
    )
    return [effects.Send(conn, update)]


def _encode(base, current):
    if base is None:
        return config.to_json(current)
    return config.make_delta(base, current)


def on_update(exchange, adoption, msg):
    """Take over a configuration from a peer.

    Returns
    -------
    bool
        Whether it is now in force. A difference from another base or an
        invalid body is ignored; the next heartbeat leads to a new request.
    """
    exchange.asked_at = None
    if config.adopt_body(adoption, msg.body, msg.base):
        record_current(exchange, adoption)
        return True
    # The next request asks for the whole configuration, in case the
    # difference was made from another edit of the same version.
    exchange.whole = msg.base > 0
    return False
