"""Connections of an entry to other entries, and gossip between them.

Load pattern: dozens of entries. Each is connected to a few others and forwards
changes of the membership and the configuration to them. An entry sends its
demand for an endpoint to that endpoint and not to the other entries.
"""

import attrs

from azurepier.dispatch import _arrival
from azurepier.dispatch import _bounds
from azurepier.dispatch import _cancel
from azurepier.dispatch import _cancel_checks
from azurepier.dispatch import _config
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _state
from azurepier.dispatch import _transfer
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

MS_PER_S = 1000


@attrs.define(eq=False)
class Peer:
    """Another entry.

    Attributes
    ----------
    dialed : bool
        Whether this entry opened the connection.
    last_received_at, last_sent_at : float
        Times of the last messages (s).
    sent_roster_version, roster_sent_at : int, float
        Version of the roster that was last sent, and the time (s).
    sends_parts : bool
        Whether it asks for configurations, and sends them, in parts.
    relays_cancels : bool
        Whether it confirms cancels.
    config_version : int
        Newest version of the configuration that it reports to have applied.
    offered_version, offer_count : int
        Newest version that was sent to it, and how often.
    next_offer_at, offer_timeout_s : float
        Time from which that version is sent again, and the pause after that
        (s).
    """

    name: str
    incarnation: str
    address: str
    domain: str
    conn: int
    last_received_at: float
    dialed: bool = False
    sends_parts: bool = False
    relays_cancels: bool = False
    config_version: int = -1
    offered_version: int = -1
    offer_count: int = 0
    next_offer_at: float = 0.0
    offer_timeout_s: float = 0.0
    last_sent_at: float = 0.0
    sent_roster_version: int = -1
    roster_sent_at: float = 0.0


def add_peer(node, conn, hello, now):
    """Register a new connection to another entry."""
    dialed = hello.address in node.dialing
    node.dialing.discard(hello.address)
    out = []
    for other in list(node.peers.values()):
        if other.incarnation == hello.incarnation and _closes_duplicates(
            node, hello
        ):
            # Both entries dialled at the same time; only the one with the
            # lower address closes the older connection.
            out.append(effects.Close(other.conn))
            out += remove_peer(node, other, 'replaced', now)
    peer = Peer(
        hello.name,
        hello.incarnation,
        hello.address,
        hello.domain,
        conn,
        now,
        dialed=dialed,
        sends_parts=bool(hello.config_parts),
        relays_cancels=bool(hello.relays_cancels),
    )
    node.peers[conn] = peer
    node.roster.learn(peer.address, peer.domain, now)
    node.roster.mark_connected(peer.address)
    fields = {'entry': hello.name, 'address': hello.address}
    out.append(effects.Log('entry_connected', fields))
    if node.evacuations is not None:
        # Before the configuration, so that a new entry starts no task in an
        # evacuated failure domain.
        msg = _evacuation.make_heartbeat(node, 0.0)
        out.append(effects.Send(conn, msg))
    out += _arrival.send_former_count(node, conn, hello.name, now)
    out += _cancel.send_all(node, conn, now)
    out += send_roster(node, peer, now)
    return out + _config.on_peer_version(node, peer, hello.config_version, now)


def _closes_duplicates(node, hello):
    return node.options.address < hello.address


def remove_peer(node, peer, reason, now):
    """Remove the connection to another entry."""
    del node.peers[peer.conn]
    _transfer.on_peer_removed(node, peer)
    out = _cancel_checks.on_peer_removed(node, peer, now)
    return [
        *out,
        effects.Log(
            'entry_disconnected', {'entry': peer.name, 'reason': reason}
        ),
    ]


def on_heartbeat(node, peer, msg, now):
    """Apply the peer's updates, and send it the configuration if newer."""
    _arrival.on_peer_heartbeat(node, peer, msg, now)
    out = _evacuation.on_peer_update(node, peer, msg)
    out += _cancel.on_update(node, peer.conn, peer.name, msg, now)
    out += _cancel_checks.on_peer_update(node, peer, msg, now)
    return out + _config.on_peer_version(node, peer, msg.config_version, now)


def on_entries_known(node, peer, msg, now):
    """Add entries, with the time at which any process last saw them."""
    for entry in msg.entries:
        heard_at = now - entry.age_ms / MS_PER_S
        node.roster.learn(entry.address, entry.domain, heard_at)
    node.roster.expire(now)
    return []


def on_members_seen(node, event, now):
    """Add the entries that the platform's store lists."""
    for address, domain in event.entries:
        node.roster.learn(address, domain, now)
    return []


def send_roster(node, link, now):
    """Send all known entries, including this one, to a process."""
    link.sent_roster_version, link.roster_sent_at = node.roster.version, now
    own_entry = (node.options.address, node.options.domain, 0.0)
    entries = [
        messages.KnownEntry(
            address=address, domain=domain, age_ms=round(age_s * MS_PER_S)
        )
        for address, domain, age_s in [own_entry, *node.roster.ages(now)]
    ]
    return [effects.Send(link.conn, messages.EntriesKnown(entries=entries))]


def send_roster_if_due(node, link, now):
    """Send the roster after it has changed, and at a refresh interval."""
    age_s = now - link.roster_sent_at
    changed = link.sent_roster_version != node.roster.version
    if age_s < (
        membership.GOSSIP_DELAY_S if changed else membership.GOSSIP_REFRESH_S
    ):
        return []
    return send_roster(node, link, now)


def send_heartbeats(node, now):
    """Send due heartbeats to other entries, and abort silent connections."""
    msg = messages.Beat(
        config_version=_state.config_version(node),
        demand=0.0,
        endpoints=_arrival.own_count(node),
    )
    out = []
    for peer in list(node.peers.values()):
        if now - peer.last_received_at > _bounds.IDLE_SILENCE_S:
            out.append(effects.Abort(peer.conn))
            out += remove_peer(node, peer, 'silent', now)
            continue
        node.roster.learn(peer.address, peer.domain, peer.last_received_at)
        out += send_roster_if_due(node, peer, now)
        if _bounds.is_due(now - peer.last_sent_at, _bounds.IDLE_HEARTBEAT_S):
            peer.last_sent_at = now
            out.append(effects.Send(peer.conn, msg))
    return out


def on_dial_timer(node, _, now):
    """Open missing connections, and close one that is surplus."""
    node.timers.set('dial', now + _bounds.DIAL_INTERVAL_S)
    node.roster.expire(now)
    wanted = membership.peers_for_entry(node.roster)
    connected = {peer.address for peer in node.peers.values()}
    out = []
    for address in node.roster.due_dials(wanted, connected, now, node.rng):
        node.dialing.add(address)
        out.append(effects.Dial(address))
    surplus = [
        peer
        for peer in node.peers.values()
        if peer.dialed and peer.address not in wanted
    ]
    if surplus and connected.issuperset(wanted):
        peer = surplus[0]
        out.append(effects.Close(peer.conn))
        out += remove_peer(node, peer, 'surplus', now)
    return out


def abort_connections(node, reason, now):
    """Abort all connections to other entries."""
    out = []
    for peer in list(node.peers.values()):
        out.append(effects.Abort(peer.conn))
        out += remove_peer(node, peer, reason, now)
    return out
