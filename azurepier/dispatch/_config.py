"""Versions of the operator's configuration at an entry.

Load pattern: a dozen changes a minute, of which every entry has to know within
seconds. An entry gets a version from the store, and asks another entry for it
(`azurepier.dispatch._transfer`) if the store doesn't send it. It tells the
others which version it has applied.
"""

import attrs

from azurepier.dispatch import _arrival
from azurepier.dispatch import _model
from azurepier.dispatch import _state
from azurepier.dispatch import _transfer
from azurepier.kernel import effects
from azurepier.kernel import messages

MS_PER_S = 1000
STORE = 'store'
# Time after which a version is sent again to an entry of an earlier build that
# has not reported it; the entry sends heartbeats every 0.5 s. It doubles with
# each repetition, since a peer may be unable to decode the version (s).
OFFER_TIMEOUT_S = 1.25
OFFER_TIMEOUT_MAX_S = 20.0
# Maximum number of routes of earlier versions that are remembered. At the
# design scale of 12,000 changes a day this covers most of a day, while jobs
# last for less than a minute.
FORMER_ROUTES_MAX = 10_000


@attrs.frozen
class RoutingLoaded:
    """A version of the operator's configuration was read.

    Parameters
    ----------
    routing : Routing
    source : str
        `STORE`, or the name of the entry that sent it.
    revision : int
        Revision of the item in the store; -1 if another entry sent it.
    """

    routing: object
    source: str = STORE
    revision: int = -1


def on_routing_loaded(node, event, now):
    """Apply a newer configuration; ignore an older one."""
    routing = event.routing
    if routing.version <= _state.config_version(node):
        return []
    out = hear(node, routing.version, event.source, now)
    if node.routing is None:
        out.append(_model.FirstConfigApplied())
        _arrival.on_first_config(node, now)
    _remember_routes(node, routing)
    node.routing = routing
    node.dirty = True
    fields = {
        'version': routing.version,
        'queues': len(routing.queues),
        'source': event.source,
        'revision': event.revision,
        'heard_ms': round((now - node.config_heard_at) * MS_PER_S),
        'bytes': len(routing.body),
    }
    out.append(effects.Log('config_applied', fields))
    _transfer.update(node, now)
    for peer in node.peers.values():
        out += offer(node, peer, now)
    return out


def _remember_routes(node, routing):
    """Note the routes that a new version removes.

    Jobs that were accepted on them may still be running, and are canceled with
    requests to these routes.
    """
    former = node.former_routes
    for route in routing.queues:
        former.pop(route, None)
    queues = {} if node.routing is None else node.routing.queues
    for route in queues:
        if route not in routing.queues:
            former[route] = None
            node.longest_former_prefix = max(
                node.longest_former_prefix, len(route[1])
            )
    while len(former) > FORMER_ROUTES_MAX:
        former.popitem(last=False)


def had_route(node, host, path):
    """Tell whether an earlier version had a route to a queue for this path."""
    route = _model.find_route(
        node.former_routes, host, path, node.longest_former_prefix
    )
    return route is not None


def hear(node, version, source, now):
    """Note a version that is newer than all that this entry has heard of."""
    if version <= node.config_heard:
        return []
    node.config_heard, node.config_heard_at = version, now
    fields = {'version': version, 'source': source}
    return [effects.Log('config_heard', fields)]


def on_peer_version(node, peer, version, now):
    """Note the version of another entry, and offer it a newer one."""
    out = hear(node, version, peer.name, now)
    peer.config_version = max(peer.config_version, version)
    _transfer.update(node, now)
    return out + offer(node, peer, now)


def offer(node, peer, now):
    """Tell an entry that has an older configuration of the applied one.

    It asks for the text if it needs it. An entry of an earlier build doesn't;
    it is sent the text until it reports that it has applied it.
    """
    version = _state.config_version(node)
    if peer.config_version >= version:
        return []
    if peer.sends_parts:
        if peer.offered_version >= version:
            return []
        peer.offered_version = version
        msg = messages.Beat(config_version=version, demand=0.0)
        return [effects.Send(peer.conn, msg)]
    if peer.offered_version < version:
        peer.offered_version, peer.offer_count = version, 0
        peer.offer_timeout_s = OFFER_TIMEOUT_S
    elif now < peer.next_offer_at:
        return []
    peer.next_offer_at = now + peer.offer_timeout_s
    peer.offer_timeout_s = min(2 * peer.offer_timeout_s, OFFER_TIMEOUT_MAX_S)
    peer.offer_count += 1
    update = messages.ConfigUpdate(
        version=version, base=0, body=node.routing.body
    )
    fields = {
        'version': version,
        'entry': peer.name,
        'attempt': peer.offer_count,
        'bytes': len(update.body),
    }
    return [
        effects.Log('config_offered', fields),
        effects.Send(peer.conn, update),
    ]


def on_update(node, peer, msg, now):
    """Let the shell decode the configuration of another entry.

    Entries of earlier builds send the whole text.
    """
    if msg.offset is not None:
        return _transfer.on_part(node, peer, msg, now)
    out = hear(node, msg.version, peer.name, now)
    peer.config_version = max(peer.config_version, msg.version)
    if msg.version <= _state.config_version(node):
        return out
    return [*out, effects.Decode(msg.body, peer.name)]


def behind_s(node, now):
    """Return for how long a newer version has been known of, 0 if none is."""
    if node.config_heard <= _state.config_version(node):
        return 0.0
    return now - node.config_heard_at
