"""Connections between an endpoint process and the entries that it serves."""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership
from azurepier.runner import _arriving
from azurepier.runner import _cancels
from azurepier.runner import _ends
from azurepier.runner import _evacuation
from azurepier.runner import _reports
from azurepier.runner import _state
from azurepier.runner import _stops
from azurepier.runner import _waiting

# Entry addresses are read from the store after this time without a connection
# to an entry (s).
STORE_LOOKUP_DELAY_S = 1.0
# A disconnected link without runs is removed after this time (s), and after
# the longer one if the entry has not acknowledged all ends. Callers wait for
# an answer for up to 40 s, also for that of an entry that was frozen.
LINK_LIFETIME_S = 5.0
UNACKNOWLEDGED_LIFETIME_S = 40.0
# A surplus connection stops accepting orders at once and is closed after this
# time (s) or once its runs have ended, whichever is later. Orders that were in
# transit have arrived by then.
SURPLUS_CLOSE_DELAY_S = 1.0


def on_connected(node, event, now):
    """Register a connection to an entry and report the runs it owns."""
    hello = event.hello
    if hello.role != 'entry':
        return [effects.Close(event.conn)]
    out = []
    link = node.links.get(hello.incarnation)
    is_known = link is not None
    if link is None:
        link = _state.Link(hello.name, hello.incarnation, hello.address, now)
        node.links[hello.incarnation] = link
        out += _stop_former_runs(node, link, now)
    elif link.conn is not None:
        out.append(effects.Abort(link.conn))
        del node.by_conn[link.conn]
        out += _waiting.drop(node, link, 'reconnected', now)
    node.timers.cancel(('forget', hello.incarnation))
    link.conn = event.conn
    link.last_received_at = now
    link.store_silent = False
    link.relays_cancels = bool(hello.relays_cancels)
    node.by_conn[event.conn] = link
    _evacuation.expect_update(node, now)
    node.roster.learn(hello.address, hello.domain, now)
    node.roster.mark_connected(hello.address)
    node.changed = True
    node.session_count += 1
    known = messages.RunsKnown(
        running=list(link.runs),
        ends=_reports.all_ends(link),
        state=_waiting.make_report(node, link, now),
        session=node.session_count,
    )
    fields = {
        'entry': link.name,
        'known': is_known,
        'runs': len(known.running),
        'ends': len(known.ends),
        'received_seq': link.highest_seq,
    }
    out.append(effects.Log('entry_connected', fields))
    _reports.mark_all_reported(link, now)
    out.append(effects.Send(event.conn, known))
    return out + _cancels.send_all(node, link, now)


def _stop_former_runs(node, link, now):
    """Stop the runs of earlier incarnations of an entry.

    Their waiting orders end at once.
    """
    out = []
    for other in node.links.values():
        if other.name == link.name and other is not link:
            out += _waiting.drop(node, other, 'entry_restarted', now)
            for run in list(other.runs.values()):
                out += _stops.stop_run(node, run, 'entry_restarted', now)
    return out


def on_disconnected(node, event, now):
    """Keep the runs of a disconnected entry until the reconnect timeout.

    Its waiting orders end at once.
    """
    link = node.by_conn.get(event.conn)
    if link is None:
        return []
    return _mark_disconnected(node, link, 'closed', now)


def _mark_disconnected(node, link, reason, now):
    del node.by_conn[link.conn]
    link.conn = None
    node.timers.set(
        ('reconnect_timeout', link.incarnation),
        link.last_received_at + bounds.SILENCE_S,
    )
    node.timers.set('dial', now)
    if not node.by_conn:
        node.timers.set('no_entry', now + STORE_LOOKUP_DELAY_S)
    fields = {
        'entry': link.name,
        'reason': reason,
        'runs': len(link.runs),
        'age_ms': round((now - link.last_received_at) * _ends.MS_PER_S),
    }
    out = [effects.Log('entry_disconnected', fields)]
    return out + _waiting.drop(node, link, 'disconnected', now)


def on_reconnect_timeout(node, incarnation, now):
    """Stop the runs of an entry that did not reconnect in time."""
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    out = []
    for run in list(link.runs.values()):
        out += _stops.stop_run(node, run, 'entry_lost', now)
    lifetime_s = LINK_LIFETIME_S
    if link.acknowledges and (link.runs or _reports.all_ends(link)):
        lifetime_s = UNACKNOWLEDGED_LIFETIME_S
    node.timers.set(('forget', incarnation), now + lifetime_s)
    return out


def on_forget_timer(node, incarnation, now):
    """Remove the link of an entry that did not reconnect."""
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    if link.runs:
        node.timers.set(('forget', incarnation), now + LINK_LIFETIME_S)
        return []
    del node.links[incarnation]
    fields = {
        'entry': link.name,
        'received_seq': link.highest_seq,
        'ends': len(_reports.all_ends(link)),
    }
    return [effects.Log('entry_forgotten', fields)]


def abort_connections(node, now, reason):
    """Abort all connections after a pause or a failure of the process."""
    out = []
    for link in list(node.by_conn.values()):
        out.append(effects.Abort(link.conn))
        out += _mark_disconnected(node, link, reason, now)
    return out


def on_heartbeat(node, link, msg, now):
    """Store demand and acknowledgement of an entry, and apply its updates."""
    link.demand = msg.demand
    _arriving.on_heartbeat(link, msg)
    _reports.on_acknowledged(link, msg.reports_received)
    out = _evacuation.on_heartbeat(node, link, msg)
    return out + _cancels.on_heartbeat(node, link, msg, now)


def on_entries_known(node, link, msg, now):
    """Add entries, with the time at which any process last saw them."""
    for entry in msg.entries:
        heard_at = now - entry.age_ms / _ends.MS_PER_S
        node.roster.learn(entry.address, entry.domain, heard_at)
    node.roster.expire(now)
    # The first entry announces the others, which are dialled without delay.
    return _dial(node, now)


def on_members_seen(node, event, now):
    """Add the entries that the platform's store lists."""
    for address, domain in event.entries:
        node.roster.learn(address, domain, now)
    return _dial(node, now)


def on_heartbeat_timer(node, _, now):
    """Send due heartbeats and abort silent connections."""
    is_busy = node.runs or node.waiting
    interval_s = bounds.HEARTBEAT_S if is_busy else bounds.IDLE_TICK_S
    node.timers.set('heartbeat', now + interval_s)
    out = []
    for link in list(node.by_conn.values()):
        limit_s = bounds.SILENCE_S if link.is_busy else bounds.IDLE_SILENCE_S
        if now - link.last_received_at > limit_s:
            out.append(effects.Abort(link.conn))
            out += _mark_disconnected(node, link, 'silent', now)
        else:
            node.roster.learn(link.address, '', link.last_received_at)
            out += _reports.heartbeat_messages(node, link, now)
    return out


def on_dial_timer(node, _, now):
    """Dial the wanted entries and close surplus connections."""
    node.timers.set('dial', now + bounds.DIAL_INTERVAL_S)
    node.roster.expire(now)
    return _dial(node, now) + _close_surplus(node, now)


def _connected_addresses(node):
    return {link.address for link in node.by_conn.values()}


def _dial(node, now):
    connected = _connected_addresses(node)
    wanted, probed = membership.entries_for_endpoint(node.roster, connected)
    due = node.roster.due_dials([*wanted, *probed], connected, now, node.rng)
    return [effects.Dial(address) for address in due]


def _close_surplus(node, now):
    """Close connections to entries that are no longer wanted."""
    connected = _connected_addresses(node)
    wanted, _ = membership.entries_for_endpoint(node.roster, connected)
    complete = bool(wanted) and connected.issuperset(wanted)
    out = []
    for link in list(node.by_conn.values()):
        if not complete or link.address in wanted:
            if link.close_at is not None:
                link.close_at = None
                node.changed = link.report_due = True
        elif link.close_at is None:
            link.close_at = now + SURPLUS_CLOSE_DELAY_S
            node.changed = link.report_due = True
        elif now >= link.close_at and not link.runs:
            out.append(effects.Close(link.conn))
            out += _mark_disconnected(node, link, 'surplus', now)
    return out


def on_no_entry_timer(node, _, now):
    """Read addresses from the store while no entry is connected."""
    if node.by_conn:
        return []
    node.timers.set('no_entry', now + STORE_LOOKUP_DELAY_S)
    return [effects.ReadPlatform()]
