"""Evacuated failure domains at an entry.

Load pattern: an operator evacuates a failure domain, which takes up to a third
of the capacity away at once, for seconds or minutes, and takes it back. From
the moment at which an entry knows of it, its endpoints don't count as supply,
so that refusals and Retry-After follow from the remaining capacity. Runs that
are at work go on.

An entry learns of changes from the store, and from the other entries while it
is cut off from the store. It passes them on to its endpoint processes, which
refuse the orders of entries that don't know yet.
"""

from azurepier.dispatch import _demand
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

# An entry that has received nothing from the store for this time tells its
# endpoint processes, which then read the store themselves (s). A watch is
# answered within 1.5 s.
STORE_SILENT_AFTER_S = 2.0
# Retry-After of a job whose whole pool is evacuated (s).
RETRY_EVACUATED_S = 5


def on_evacuations_loaded(node, event, now):
    """Apply what the store has returned, and note the contact to it."""
    node.store_seen_at = now
    return _apply(node, event.evacuations, 'store')


def on_peer_update(node, peer, msg):
    """Apply the evacuations in the heartbeat of another entry, if any."""
    if msg.evacuations_revision is None or msg.evacuated is None:
        return []
    evacuations = membership.Evacuations(
        msg.evacuations_revision, frozenset(msg.evacuated)
    )
    return _apply(node, evacuations, peer.name)


def _apply(node, evacuations, source):
    if not membership.is_newer(evacuations, node.evacuations):
        return []
    is_first = node.evacuations is None
    evacuated, restored = membership.changed_domains(
        evacuations, node.evacuations
    )
    node.evacuations = evacuations
    if not is_first and not evacuated and not restored:
        return []
    node.dirty = True
    for endpoint in node.endpoints.values():
        endpoint.evacuated = is_evacuated(node, endpoint.domain)
    out = [
        effects.Log(
            event,
            {
                'domain': domain,
                'revision': evacuations.revision,
                'source': source,
                'endpoints': sum(
                    endpoint.domain == domain
                    for endpoint in node.by_conn.values()
                ),
            },
        )
        for event, domains in (
            ('domain_evacuated', evacuated),
            ('domain_restored', restored),
        )
        for domain in domains
    ]
    peer_msg = make_heartbeat(node, 0.0)
    out += [effects.Send(conn, peer_msg) for conn in node.peers]
    endpoint_msg = make_heartbeat(node, _demand.demand_per_endpoint(node))
    return out + [effects.Send(conn, endpoint_msg) for conn in node.by_conn]


def make_heartbeat(node, demand):
    """Return a heartbeat that carries the evacuations, if they are known."""
    msg = messages.Beat(
        config_version=_state.config_version(node), demand=demand
    )
    if node.evacuations is not None:
        msg.evacuations_revision = node.evacuations.revision
        msg.evacuated = sorted(node.evacuations.domains)
    return msg


def store_silent_ms(node, now):
    """Return for how long the store has been silent, None if it is not."""
    silent_s = now - node.store_seen_at
    return None if silent_s < STORE_SILENT_AFTER_S else round(silent_s * 1000)


def is_evacuated(node, domain):
    """Tell whether a failure domain is known to be evacuated."""
    return node.evacuations is not None and domain in node.evacuations.domains
