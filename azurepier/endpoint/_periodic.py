"""Heartbeats, connections to open and reads of the platform."""

from azurepier.endpoint import _credits
from azurepier.endpoint import _drain
from azurepier.endpoint import _retention
from azurepier import exchange
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

HEARTBEAT = 'heartbeat'
# With no entry connected for this long, the platform is asked for the list.
ENTRY_MISSING_S = 2.0
PLATFORM_BACKOFF_S = 1.0
# Spreads the first reads of a failure domain that starts as a whole.
FIRST_READ_SPREAD_S = 2.0
PLATFORM_BACKOFF_MAX_S = 30.0


def detach(node, link, now):
    node.by_conn.pop(link.conn, None)
    link.conn = None
    link.granted = link.received = link.wants = 0
    link.active = False
    link.lost_at = now
    if not node.by_conn:
        node.no_entry_since = now


def on_heartbeat_timer(node, _, now):
    node.timers.set(HEARTBEAT, now + membership.HEARTBEAT_INTERVAL_S)
    out = _drop_silent(node, now)
    for link in node.by_conn.values():
        out.append(effects.Send(link.conn, _heartbeat(node, link, now)))
        for name in link.members:
            membership.mark_seen(node.directory, name, now)
    _forget(node, now)
    out += dial(node, now)
    return out + _drain.finish(node, now)


def _heartbeat(node, link, now):
    return messages.Heartbeat(
        config_version=exchange.current_version(node.adoption),
        members_version=link.members_version,
        queued=0,
        granted=link.granted,
        free=_credits.free_slots(node),
        long_free=_credits.long_free(node, now),
        seen=link.highest,
        acked=[],
        active=False,
        rank=0,
    )


def _drop_silent(node, now):
    silent = [
        link
        for link in node.by_conn.values()
        if membership.is_silent(link.last_heard, now)
    ]
    out = []
    for link in silent:
        out.append(effects.Close(link.conn))
        out.append(
            effects.Record(
                'connection_silent',
                endpoint=node.options.name,
                detail=link.name,
            )
        )
        detach(node, link, now)
    if silent:
        out += _credits.tell(node, _credits.distribute(node), now)
    return out


def _forget(node, now):
    _retention.expire(node, now)
    names = [link.name for link in node.by_conn.values()]
    if names:
        membership.evict_stale(node.directory, names, now)
    gone = [
        incarnation
        for incarnation, link in node.links.items()
        if link.conn is None and now - link.lost_at > _retention.RETAIN_S
    ]
    for incarnation in gone:
        del node.links[incarnation]


def dial(node, now):
    if node.draining:
        return []
    wanted = membership.choose_entries(
        node.directory, node.options.name, node.options.domain
    )
    connected = {link.address for link in node.by_conn.values()}
    due = membership.due_dials(
        node.directory,
        [info.address for info in wanted],
        connected,
        now,
        node.rng,
    )
    return [effects.Dial(address) for address in due]


def on_platform_timer(node, _, now):
    node.timers.set('platform', now + ENTRY_MISSING_S / 4)
    if node.by_conn or node.draining:
        node.platform_backoff_s = 0.0
        return []
    missing_s = now - node.no_entry_since
    if missing_s < node.platform_backoff_s:
        return []
    # The next read comes after a random delay that doubles, so that a
    # failure domain that restarts as a whole doesn't flood the platform.
    step = max(node.platform_backoff_s, PLATFORM_BACKOFF_S)
    step = min(step, PLATFORM_BACKOFF_MAX_S) * node.rng.uniform(0.5, 1.5)
    node.platform_backoff_s = missing_s + step
    return [effects.ReadPlatform()]
