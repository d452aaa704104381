"""Connections of an entry to endpoint processes and other entries."""

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _demand
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status

# Addresses learned from others are forgotten after this time without news of
# them (s). It outlasts a restart, and a pause of the platform's store.
ADDRESS_LIFETIME_S = 30.0


def endpoint_up(node, conn, hello, now):
    """Take an endpoint process's new connection into use."""
    out = []
    endpoint = node.endpoints.get(hello.incarnation)
    if endpoint is None:
        endpoint = _state.Endpoint(hello.name, hello.incarnation, hello.domain)
        node.endpoints[hello.incarnation] = endpoint
    elif endpoint.conn is not None:
        out.append(effects.Close(endpoint.conn))
        del node.by_conn[endpoint.conn]
    if not node.by_conn:
        node.opened_at = now
    endpoint.conn = conn
    endpoint.accepting = False
    endpoint.last_heard = now
    node.by_conn[conn] = endpoint
    out.append(
        effects.Note(
            'endpoint_up',
            {'endpoint': hello.name, 'runs': len(endpoint.runs)},
        )
    )
    out.append(effects.Send(conn, beat(node)))
    return out


def endpoint_lost(node, endpoint, reason, now):
    """Keep what runs on an endpoint until it reports or can't run."""
    node.by_conn.pop(endpoint.conn, None)
    endpoint.conn = None
    endpoint.accepting = False
    endpoint.over_at = now + _bounds.RUNS_OVER_S
    node.timers.set(('over', endpoint.incarnation), endpoint.over_at)
    node.dirty = True
    return [
        effects.Note(
            'endpoint_lost',
            {
                'endpoint': endpoint.name,
                'reason': reason,
                'runs': len(endpoint.runs),
                'age_ms': round((now - endpoint.last_heard) * 1000),
            },
        )
    ]


def on_over(node, incarnation, now):
    """Give up what ran on an endpoint that did not come back."""
    endpoint = node.endpoints.get(incarnation)
    if endpoint is None or endpoint.conn is not None:
        return []
    if now < endpoint.over_at:
        return []
    out = [
        effects.Note(
            'endpoint_gone',
            {'endpoint': endpoint.name, 'runs': len(endpoint.runs)},
        )
    ]
    for run in list(endpoint.runs.values()):
        out += _runs.end(
            node, endpoint, run, Status.LOST, 'endpoint_gone', now
        )
    del node.endpoints[incarnation]
    return out


def on_known(node, endpoint, msg, now):
    """Compare what an endpoint runs with what was started on it."""
    take_state(endpoint, msg.state)
    endpoint.over_at = None
    node.timers.cancel(('over', endpoint.incarnation))
    out = []
    for end in msg.ends:
        out += on_end(node, endpoint, end, now)
    running = set(msg.running)
    stops = [seq for seq in running if seq not in endpoint.runs]
    for run in list(endpoint.runs.values()):
        if run.seq not in running:
            # The connection that carried the order is closed, so that it
            # can't arrive any more.
            out += _runs.end(
                node, endpoint, run, Status.REFUSED, 'not_received', now
            )
        elif run.stopping:
            stops.append(run.seq)
    if stops:
        out.append(effects.Send(endpoint.conn, messages.RunStops(seqs=stops)))
    node.dirty = True
    return out


def on_state(node, endpoint, msg, now):
    """Take over what an endpoint reports of itself."""
    take_state(endpoint, msg)
    node.dirty = True
    return []


def on_ends(node, endpoint, msg, now):
    """Process the ends of runs."""
    out = []
    for end in msg.ends:
        out += on_end(node, endpoint, end, now)
    take_state(endpoint, msg.state)
    node.dirty = True
    return out


def on_end(node, endpoint, end, now):
    """Process the end of one run; a repetition has no effect."""
    run = endpoint.runs.get(end.seq)
    if run is None:
        return []
    return _runs.end(node, endpoint, run, Status(end.status), end.reason, now)


def take_state(endpoint, state):
    """Keep a report, less the orders that it does not include."""
    endpoint.pool = state.pool
    endpoint.labels = frozenset(state.labels)
    endpoint.cpu, endpoint.mem_mb = state.cpu, state.mem_mb
    endpoint.gpu = state.gpu
    endpoint.free_cpu = state.free_cpu
    endpoint.free_mem_mb = state.free_mem_mb
    endpoint.free_gpu = state.free_gpu
    endpoint.accepting = state.accepting
    endpoint.speed = max(state.speed, 0.01)
    endpoint.failures = state.failures
    for run in endpoint.runs.values():
        if run.seq > state.seen:
            _runs.reserve(endpoint, run.needs)


# Other entries -----------------------------------------------------------


def peer_up(node, conn, hello, now):
    """Take a connection to another entry into use."""
    peer = _state.Peer(
        hello.name, hello.address, conn, now, hello.config_version
    )
    node.peers[conn] = peer
    learn(node, hello.address, now)
    out = [
        effects.Note(
            'entry_up', {'entry': hello.name, 'address': hello.address}
        ),
        effects.Send(conn, beat(node)),
    ]
    return out + offer_config(node, peer)


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


def learn(node, address, now):
    """Remember the address of an entry."""
    if address and address != node.options.address:
        node.addresses[address] = now


def known_addresses(node):
    """Return the addresses of the entries, this one included."""
    return sorted({node.options.address, *node.addresses})


def beat(node):
    """Return the message that keeps a connection alive."""
    return messages.Beat(
        config_version=_state.config_version(node),
        entries=known_addresses(node),
        demand=_demand.cores_wanted(node),
    )


def on_peer_beat(node, peer, msg, now):
    """Learn addresses, and whether the peer lacks a configuration."""
    for address in msg.entries:
        if address not in node.addresses:
            learn(node, address, now)
    learn(node, peer.address, now)
    peer.demand = msg.demand
    peer.config_version = max(peer.config_version, msg.config_version)
    return offer_config(node, peer)


def on_endpoint_beat(node, endpoint, msg, now):
    """Nothing but the time of the message matters."""
    return []


# Periodic ----------------------------------------------------------------


def on_beat_timer(node, _, now):
    """Send heartbeats, drop silent connections and dial other entries."""
    node.timers.set('beat', now + _bounds.BEAT_S)
    out = drop_silent(node, now)
    _demand.forget(node)
    msg = beat(node)
    out += [effects.Send(conn, msg) for conn in node.by_conn]
    out += [effects.Send(conn, msg) for conn in node.peers]
    for address, heard in list(node.addresses.items()):
        if now - heard > ADDRESS_LIFETIME_S:
            del node.addresses[address]
    return out


def on_dial_timer(node, _, now):
    """Open connections to entries that have none yet."""
    node.timers.set('dial', now + _bounds.DIAL_S)
    connected = {peer.address for peer in node.peers.values()}
    wanted = {*node.options.seeds, *node.addresses} - connected
    wanted.discard(node.options.address)
    return [effects.Dial(address) for address in sorted(wanted)]


def drop_silent(node, now):
    """Give up connections that were silent for too long."""
    limit = now - _bounds.SILENCE_S
    out = []
    for conn, endpoint in list(node.by_conn.items()):
        if endpoint.last_heard < limit:
            out.append(effects.Abort(conn))
            out += endpoint_lost(node, endpoint, 'silent', now)
    for conn, peer in list(node.peers.items()):
        if peer.last_heard < limit:
            out.append(effects.Abort(conn))
            out += peer_lost(node, peer, 'silent')
    return out


def peer_lost(node, peer, reason):
    """Forget the connection to another entry."""
    del node.peers[peer.conn]
    return [effects.Note('entry_lost', {'entry': peer.name, 'reason': reason})]


def drop_all(node, now):
    """Give up all connections after the process was paused.

    The peers may have given up on this process meanwhile, and what waits in
    the sockets is out of date.
    """
    out = []
    for conn, endpoint in list(node.by_conn.items()):
        out.append(effects.Abort(conn))
        out += endpoint_lost(node, endpoint, 'paused', now)
    for conn, peer in list(node.peers.items()):
        out.append(effects.Abort(conn))
        out += peer_lost(node, peer, 'paused')
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
        effects.Note(
            'config_in_force',
            {'version': routing.version, 'queues': len(routing.queues)},
        )
    ]
    for peer in node.peers.values():
        out += offer_config(node, peer)
    return out
