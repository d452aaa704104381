"""The endpoint process of a pool, as a state machine without I/O."""

from azurepier.dispatch import bounds
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier.runner import _ends
from azurepier.runner import _lists
from azurepier.runner import _model
from azurepier.runner import _orders
from azurepier.runner import _progress
from azurepier.runner import _reports
from azurepier.runner import _requests
from azurepier.runner import _room
from azurepier.runner import _state
from azurepier.runner import _stops
from azurepier.runner import _trial

# Entries that an endpoint process is connected to at most. More serve only
# callers whose tasks go elsewhere.
MAX_ENTRIES = 16
# Addresses of entries are forgotten after this time without news (s).
ADDRESS_LIFETIME_S = 30.0
# With no entry for so long, the store is asked for addresses (s).
ENTRY_MISSING_S = 1.0
# A link without connection is forgotten after this time (s).
LINK_LIFETIME_S = 5.0
# Runs that are still open so long before the process is killed are stopped
# so that their entries can start them elsewhere (s).
DRAIN_MARGIN_S = 1.0


def create(options, rng, now):
    """Return a new endpoint process."""
    node = _state.Endpoint(
        options=options,
        incarnation=kernel.ids.new_incarnation(rng),
        rng=rng,
        alive_at=now,
        generation=options.generation,
    )
    for address in options.seeds:
        node.addresses[address] = now
    for timer in ('beat', 'dial', 'list'):
        node.timers.set(timer, now)
    node.timers.set('missing', now + ENTRY_MISSING_S)
    return node


def handle(node, event, now):
    """Process one event; return the effects for the shell, in order."""
    out = []
    if now - node.alive_at > bounds.STALL_S:
        paused_ms = round((now - node.alive_at) * _ends.MS_PER_S)
        out.append(effects.Note('paused', {'ms': paused_ms}))
        out += _drop_all(node, now)
    node.alive_at = now
    out += _EVENTS[type(event)](node, event, now)
    if node.changed:
        # One report tells what an iteration of the loop has changed.
        node.changed = False
        out += _trial.update(node, now)
        node.timers.set('changed', now)
    return out


def status(node, now):
    """Return the state for the metrics as plain data."""
    return {
        'role': 'endpoint',
        'runs': len(node.runs),
        'used_cpu': node.used_cpu,
        'entries': len(node.by_conn),
        'accepting': int(_room.accepts(node, now)),
        'speed': _progress.speed(node, now),
        'counters': dict(node.counters),
    }


# Connections -------------------------------------------------------------


def _on_connection_up(node, event, now):
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
    node.addresses[hello.address] = now
    out.append(effects.Note('entry_up', {'entry': link.name}))
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


def _on_connection_lost(node, event, now):
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
    return [effects.Note('entry_lost', fields)]


def _on_orphans(node, incarnation, now):
    """Stop what runs for an entry that did not come back."""
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    out = []
    for run in list(link.runs.values()):
        out += _stops.stop_run(node, run, 'entry_lost', now)
    node.timers.set(('forget', incarnation), now + LINK_LIFETIME_S)
    return out


def _on_forget(node, incarnation, now):
    link = node.links.get(incarnation)
    if link is None or link.conn is not None:
        return []
    if link.runs:
        node.timers.set(('forget', incarnation), now + LINK_LIFETIME_S)
        return []
    del node.links[incarnation]
    return []


def _drop_all(node, now):
    """Give up all connections after the process was paused."""
    out = []
    for link in list(node.by_conn.values()):
        out.append(effects.Abort(link.conn))
        out += _link_lost(node, link, 'paused', now)
    return out


def _on_received(node, event, now):
    link = node.by_conn.get(event.conn)
    if link is None:
        node.count('messages_of_lost_connections')
        return []
    handler = _MESSAGES.get(type(event.msg))
    if handler is None:
        return [effects.Close(event.conn)]
    link.last_heard = now
    return handler(node, link, event.msg, now)


def _on_beat(node, link, msg, now):
    for address in msg.entries:
        node.addresses[address] = now
    return []


# Worker ------------------------------------------------------------------


def _on_worker_seen(node, event, now):
    seen, known = event.worker, node.worker
    if known is not None and seen.born < known.born:
        return []
    same = known is not None and seen.born == known.born
    if same and seen.sequence <= known.sequence:
        return []
    out = []
    if not same or seen.leaving != known.leaving:
        fields = {
            'worker': seen.id,
            'born': seen.born,
            'leaving': seen.leaving,
            'cpu': seen.cpu,
            'mem_mb': seen.mem_mb,
        }
        out.append(effects.Note('worker_seen', fields))
    node.worker = seen
    if not same and node.born is not None and seen.born > node.born:
        out += _lists.on_new_lifetime(node, seen.born, now)
    node.changed = True
    return out + _requests.want_list(node, now)


def _on_worker_left(node, event, now):
    if node.worker is None or node.worker.id != event.id:
        return []
    node.worker = None
    node.changed = True
    return [effects.Note('worker_left', {'worker': event.id})]


# Timers ------------------------------------------------------------------


def _on_tick(node, event, now):
    out = []
    for key in node.timers.expired(now):
        name, argument = key, None
        if isinstance(key, tuple):
            name = key[0]
            argument = key[1] if len(key) == 2 else key[1:]
        out += _TIMERS[name](node, argument, now)
    return out


def _on_beat_timer(node, _, now):
    node.timers.set('beat', now + bounds.BEAT_S)
    out = []
    for link in list(node.by_conn.values()):
        if link.last_heard < now - bounds.SILENCE_S:
            out.append(effects.Abort(link.conn))
            out += _link_lost(node, link, 'silent', now)
        else:
            node.addresses[link.address] = now
            out += _reports.beat(node, link, now)
    return out


def _on_dial_timer(node, _, now):
    node.timers.set('dial', now + bounds.DIAL_S)
    seeds = set(node.options.seeds)
    for address, heard in list(node.addresses.items()):
        if now - heard > ADDRESS_LIFETIME_S and address not in seeds:
            del node.addresses[address]
    connected = {link.address for link in node.by_conn.values()}
    free = MAX_ENTRIES - len(connected)
    wanted = [each for each in node.addresses if each not in connected]
    return [effects.Dial(address) for address in wanted[: max(free, 0)]]


def _on_missing(node, _, now):
    if node.by_conn:
        return []
    node.timers.set('missing', now + ENTRY_MISSING_S)
    return [effects.ReadPlatform()]


def _on_members_seen(node, event, now):
    for address in event.entries:
        node.addresses[address] = now
    node.timers.set('dial', now)
    return []


def _on_drain(node, event, now):
    node.draining = True
    node.changed = True
    limit = now + node.options.grace_s - DRAIN_MARGIN_S
    node.timers.set('drain_end', limit)
    node.timers.set('drain_check', now + bounds.BEAT_S)
    return []


def _on_drain_check(node, _, now):
    if not node.runs:
        return [effects.Stopped()]
    node.timers.set('drain_check', now + bounds.BEAT_S)
    return []


def _on_drain_end(node, _, now):
    out = []
    for run in list(node.runs.values()):
        out += _stops.stop_run(node, run, 'draining', now)
    return out


_EVENTS = {
    events.ConnectionUp: _on_connection_up,
    events.ConnectionLost: _on_connection_lost,
    events.Received: _on_received,
    events.Tick: _on_tick,
    events.MembersSeen: _on_members_seen,
    events.Drain: _on_drain,
    _model.WorkerSeen: _on_worker_seen,
    _model.WorkerLeft: _on_worker_left,
    _model.RunsListed: _lists.on_runs_listed,
    _model.ListFailed: _lists.on_list_failed,
    _model.StartAnswered: _orders.on_start_answered,
    _model.StopAnswered: _stops.on_stop_answered,
}

_MESSAGES = {
    messages.RunOrders: _orders.on_orders,
    messages.RunStops: _stops.on_stops,
    messages.Beat: _on_beat,
}

_TIMERS = {
    'beat': _on_beat_timer,
    'dial': _on_dial_timer,
    'list': _requests.on_list_timer,
    'changed': _reports.on_changed,
    'report': _reports.on_report_timer,
    'missing': _on_missing,
    'orphans': _on_orphans,
    'forget': _on_forget,
    'stop': _stops.on_stop_timer,
    'trial': _trial.on_timer,
    'drain_check': _on_drain_check,
    'drain_end': _on_drain_end,
}
