"""Connections of an entry to other entries, and what they tell each other.

Load pattern: dozens of entries. Each is linked with a few others; news of
entries and configurations goes on from link to link. What an entry wants of
an endpoint is told to that endpoint, not to the other entries.
"""

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

MS_PER_S = 1000


def up(node, conn, hello, now):
    """Take a connection to another entry into use."""
    dialed = hello.address in node.dialed
    node.dialed.discard(hello.address)
    out = []
    for other in list(node.peers.values()):
        if other.incarnation == hello.incarnation and _decides(node, hello):
            # Both have dialled at the same time; one of them keeps order.
            out.append(effects.Close(other.conn))
            out += lost(node, other, 'replaced')
    peer = _state.Peer(
        hello.name,
        hello.incarnation,
        hello.address,
        hello.domain,
        conn,
        now,
        dialed=dialed,
        config_version=hello.config_version,
    )
    node.peers[conn] = peer
    node.roster.learn(peer.address, peer.domain, now)
    node.roster.mark_connected(peer.address)
    fields = {'entry': hello.name, 'address': hello.address}
    out.append(effects.Log('entry_up', fields))
    return out + tell(node, peer, now) + offer_config(node, peer)


def _decides(node, hello):
    return node.options.address < hello.address


def lost(node, peer, reason):
    """Forget the connection to another entry."""
    del node.peers[peer.conn]
    return [effects.Log('entry_lost', {'entry': peer.name, 'reason': reason})]


def offer_config(node, peer):
    """Send the configuration in force to an entry that has an older one."""
    version = _state.config_version(node)
    if peer.config_version >= version:
        return []
    peer.config_version = version
    update = messages.ConfigUpdate(
        version=version, base=0, body=node.routing.body
    )
    return [effects.Send(peer.conn, update)]


def on_beat(node, peer, msg, now):
    """Learn whether the peer lacks a configuration."""
    peer.config_version = max(peer.config_version, msg.config_version)
    return offer_config(node, peer)


def on_entries_known(node, peer, msg, now):
    """Learn of entries, as of when anybody heard from them."""
    for entry in msg.entries:
        heard_at = now - entry.age_ms / MS_PER_S
        node.roster.learn(entry.address, entry.domain, heard_at)
    node.roster.expire(now)
    return []


def on_members_seen(node, event, now):
    """Learn of the entries that the platform's store lists."""
    for address, domain in event.entries:
        node.roster.learn(address, domain, now)
    return []


def tell(node, link, now):
    """Tell a process of the entries known, this one included."""
    link.roster_version, link.roster_at = node.roster.version, now
    own = (node.options.address, node.options.domain, 0.0)
    entries = [
        messages.KnownEntry(
            address=address, domain=domain, age_ms=round(age_s * MS_PER_S)
        )
        for address, domain, age_s in [own, *node.roster.ages(now)]
    ]
    return [effects.Send(link.conn, messages.EntriesKnown(entries=entries))]


def tell_if_due(node, link, now):
    """Tell a process of changes after a pause, and of all now and then."""
    age_s = now - link.roster_at
    changed = link.roster_version != node.roster.version
    if age_s < (
        membership.GOSSIP_DELAY_S if changed else membership.GOSSIP_REFRESH_S
    ):
        return []
    return tell(node, link, now)


def beat(node, now):
    """Keep the connections to other entries alive."""
    msg = messages.Beat(config_version=_state.config_version(node), demand=0.0)
    out = []
    for peer in list(node.peers.values()):
        if now - peer.last_heard > _bounds.IDLE_SILENCE_S:
            out.append(effects.Abort(peer.conn))
            out += lost(node, peer, 'silent')
            continue
        node.roster.learn(peer.address, peer.domain, peer.last_heard)
        out += tell_if_due(node, peer, now)
        if _bounds.is_due(now - peer.told_at, _bounds.IDLE_BEAT_S):
            peer.told_at = now
            out.append(effects.Send(peer.conn, msg))
    return out


def on_dial_timer(node, _, now):
    """Open the connections that should be there, and close others."""
    node.timers.set('dial', now + _bounds.DIAL_S)
    node.roster.expire(now)
    wanted = membership.peers_for_entry(node.roster)
    connected = {peer.address for peer in node.peers.values()}
    out = []
    for address in node.roster.due_dials(wanted, connected, now, node.rng):
        node.dialed.add(address)
        out.append(effects.Dial(address))
    surplus = [
        peer
        for peer in node.peers.values()
        if peer.dialed and peer.address not in wanted
    ]
    if surplus and connected.issuperset(wanted):
        peer = surplus[0]
        out.append(effects.Close(peer.conn))
        out += lost(node, peer, 'surplus')
    return out


def drop_all(node, reason):
    """Give up all connections to other entries."""
    out = []
    for peer in list(node.peers.values()):
        out.append(effects.Abort(peer.conn))
        out += lost(node, peer, reason)
    return out


@attrs.frozen
class RoutingSeen:
    """A version of the operator's configuration was read."""

    routing: object


def on_routing_seen(node, event, now):
    """Put a newer configuration in force; an older one is ignored."""
    routing = event.routing
    if routing.version <= _state.config_version(node):
        return []
    node.routing = routing
    node.dirty = True
    out = [
        effects.Log(
            'config_in_force',
            {'version': routing.version, 'queues': len(routing.queues)},
        )
    ]
    for peer in node.peers.values():
        out += offer_config(node, peer)
    return out


def on_config_update(node, peer, msg, now):
    """Let the shell decode what another entry has in force."""
    peer.config_version = max(peer.config_version, msg.version)
    if msg.version <= _state.config_version(node):
        return []
    return [effects.Decode(msg.body)]
