"""Exchange of configurations by version.

Each heartbeat carries the configuration version of its sender. A process that
receives a higher version than its own requests that configuration. The answer
is a delta if the sender still has the version of the requester.
"""

import attrs

from azurepier import config
from azurepier.kernel import effects
from azurepier.kernel import messages

# Number of recent configurations kept as bases of deltas. A process that is
# further behind gets the full configuration.
RECENT_MAX = 16
# After this time an unanswered request is repeated, to any peer that has a
# higher version.
REQUEST_TIMEOUT_S = 1.0


@attrs.define
class ConfigExchange:
    """Recent configurations by version, and the pending request.

    With `needs_full` the next request asks for the full configuration.
    """

    recent: dict = attrs.field(factory=dict)
    requested_at: float | None = None
    needs_full: bool = False
    bodies: dict = attrs.field(factory=dict)  # base version -> encoded body


def current_version(adoption):
    """Return the version of the adopted configuration, or 0."""
    return adoption.current.version if adoption.current else 0


def record_current(exchange, adoption):
    """Keep the current configuration as a base of later deltas."""
    current = adoption.current
    if current is None:
        return
    exchange.recent[current.version] = current
    exchange.bodies.clear()
    while len(exchange.recent) > RECENT_MAX:
        del exchange.recent[min(exchange.recent)]


def on_version(exchange, adoption, conn, version, now):
    """Request the configuration of a peer if it is newer."""
    have = current_version(adoption)
    if version <= have:
        return []
    requested_at = exchange.requested_at
    if requested_at is not None and now - requested_at < REQUEST_TIMEOUT_S:
        return []
    exchange.requested_at = now
    have = 0 if exchange.needs_full else have
    return [effects.Send(conn, messages.ConfigRequest(have=have))]


def on_request(exchange, adoption, conn, msg):
    """Answer a `ConfigRequest` unless the requester is up to date."""
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
    """Adopt a configuration that a peer has sent.

    Returns
    -------
    bool
        Whether it was adopted. An invalid body and a delta for another base
        are ignored; the next heartbeat leads to a new request.
    """
    exchange.requested_at = None
    if config.adopt_body(adoption, msg.body, msg.base):
        exchange.needs_full = False
        record_current(exchange, adoption)
        return True
    # The delta may be based on another edit with the same version number, so
    # the next request asks for the full configuration.
    exchange.needs_full = msg.base > 0
    return False
