"""Connections of an endpoint process to the entries that it serves."""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership
from azurepier.runner import _ends
from azurepier.runner import _reports
from azurepier.runner import _room
from azurepier.runner import _state
from azurepier.runner import _stops

# With no entry for so long, the store is asked for addresses (s).
ENTRY_MISSING_S = 1.0
# A link without connection is forgotten after this time (s).
LINK_LIFETIME_S = 5.0
# An entry that has a better choice is told that there is no room any more,
# and the connection is closed so long after, without runs (s). Orders that
# were on their way have arrived by then.
SURPLUS_S = 1.0


def on_connection_up(node, event, now):
    """Take a connection to an entry into use."""
    hello = event.hello
    if hello.role != 'entry':
        return [effects.Close(event.conn)]
    out = []
    link = node.links.get(hello.incarnation)
    if link is None:
        link = _state.Link(hello.name, hello.incarnation, hello.address, now)
        node.links[hello.incarnation] = link
        out += _stop_former(node, link, now)
    elif link.conn is not None:
        out.append(effects.Abort(link.conn))
        del node.by_conn[link.conn]
    link.conn = event.conn
    link.last_heard = now
    node.by_conn[event.conn] = link
    node.roster.learn(hello.address, hello.domain, now)
    node.roster.mark_connected(hello.address)
    node.changed = True
    out.append(effects.Log('entry_up', {'entry': link.name}))
    known = messages.RunsKnown(
        running=list(link.runs),
        ends=[end for _, end in link.ends] + link.fresh_ends,
        state=_room.report(node, link, now),
    )
    _reports.keep_ends(link, now)
    out.append(effects.Send(event.conn, known))
    return out


def _stop_former(node, link, now):
    """Stop what earlier runs of an entry left behind."""
    out = []
    for other in node.links.values():
        if other.name == link.name and other is not link:
            for run in list(other.runs.values()):
                out += _stops.stop_run(node, run, 'entry_restarted', now)
    return out


def on_connection_lost(node, event, now):
    """Keep what runs for an entry until it is back or too long away."""
    link = node.by_conn.get(event.conn)
    if link is None:
        return []
    return _link_lost(node, link, 'closed', now)


def _link_lost(node, link, reason, now):
    del node.by_conn[link.conn]
    link.conn = None
    node.timers.set(
        ('orphans', link.incarnation), link.last_heard + bounds.SILENCE_S
    )
    node.timers.set('dial', now)
    if not node.by_conn:
        node.timers.set('missing', now + ENTRY_MISSING_S)
    fields = {
        'entry': link.name,
        'reason': reason,
        'runs': len(link.runs),
        'age_ms': round((now - link.last_heard) * _ends.MS_PER_S),
    }
    return [effects.Log('entry_lost', fields)]


def on_orphans(node, incarnation, now):
    """Stop what runs for an entry that did not come back."""
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    out = []
    for run in list(link.runs.values()):
        out += _stops.stop_run(node, run, 'entry_lost', now)
    node.timers.set(('forget', incarnation), now + LINK_LIFETIME_S)
    return out


def on_forget(node, incarnation, now):
    """Forget an entry that did not come back."""
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    if link.runs:
        node.timers.set(('forget', incarnation), now + LINK_LIFETIME_S)
        return []
    del node.links[incarnation]
    return []


def drop_all(node, now, reason):
    """Give up all connections, after the process was paused or has failed."""
    out = []
    for link in list(node.by_conn.values()):
        out.append(effects.Abort(link.conn))
        out += _link_lost(node, link, reason, now)
    return out


def on_beat(node, link, msg, now):
    """Learn what an entry wants of this endpoint."""
    link.demand = msg.demand
    return []


def on_entries_known(node, link, msg, now):
    """Learn of entries, as of when anybody heard from them."""
    for entry in msg.entries:
        heard_at = now - entry.age_ms / _ends.MS_PER_S
        node.roster.learn(entry.address, entry.domain, heard_at)
    node.roster.expire(now)
    # The first entry tells of the others; they should not have to wait.
    return _dial(node, now)


def on_members_seen(node, event, now):
    """Learn of the entries that the platform's store lists."""
    for address, domain in event.entries:
        node.roster.learn(address, domain, now)
    return _dial(node, now)


# Periodic ----------------------------------------------------------------


def on_beat_timer(node, _, now):
    """Send what keeps connections alive, and drop silent ones."""
    pause_s = bounds.BEAT_S if node.runs else bounds.IDLE_TICK_S
    node.timers.set('beat', now + pause_s)
    out = []
    for link in list(node.by_conn.values()):
        limit_s = bounds.SILENCE_S if link.runs else bounds.IDLE_SILENCE_S
        if now - link.last_heard > limit_s:
            out.append(effects.Abort(link.conn))
            out += _link_lost(node, link, 'silent', now)
        else:
            node.roster.learn(link.address, '', link.last_heard)
            out += _reports.beat(node, link, now)
    return out


def on_dial_timer(node, _, now):
    """Open the connections that should be there, and close others."""
    node.timers.set('dial', now + bounds.DIAL_S)
    node.roster.expire(now)
    return _dial(node, now) + _close_surplus(node, now)


def _connected(node):
    return {link.address for link in node.by_conn.values()}


def _dial(node, now):
    connected = _connected(node)
    wanted, probed = membership.entries_for_endpoint(node.roster, connected)
    due = node.roster.due_dials([*wanted, *probed], connected, now, node.rng)
    return [effects.Dial(address) for address in due]


def _close_surplus(node, now):
    """Part from entries that others have taken the place of."""
    connected = _connected(node)
    wanted, _ = membership.entries_for_endpoint(node.roster, connected)
    complete = bool(wanted) and connected.issuperset(wanted)
    out = []
    for link in list(node.by_conn.values()):
        if not complete or link.address in wanted:
            if link.parting_at is not None:
                link.parting_at = None
                node.changed = link.stale = True
        elif link.parting_at is None:
            link.parting_at = now + SURPLUS_S
            node.changed = link.stale = True
        elif now >= link.parting_at and not link.runs:
            out.append(effects.Close(link.conn))
            out += _link_lost(node, link, 'surplus', now)
    return out


def on_missing(node, _, now):
    """Ask the store for addresses while no entry can be reached."""
    if node.by_conn:
        return []
    node.timers.set('missing', now + ENTRY_MISSING_S)
    return [effects.ReadPlatform()]
