"""Heartbeats, new connections to entries and reads of the platform."""

from azurepier.endpoint import _credits
from azurepier.endpoint import _drain
from azurepier.endpoint import _retention
from azurepier import exchange
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

HEARTBEAT = 'heartbeat'
# The process checks four times in this period (s) whether an entry is
# connected. If none is, it reads the list of entries from the platform.
ENTRY_CHECK_S = 2.0
# Mean delay before the second read (s); it grows to `PLATFORM_BACKOFF_MAX_S`.
PLATFORM_BACKOFF_S = 1.0
# The first read is delayed at random by up to this time (s), which spreads the
# reads when a whole failure domain starts.
PLATFORM_FIRST_READ_SPREAD_S = 2.0
PLATFORM_BACKOFF_MAX_S = 30.0


def mark_disconnected(node, link, now):
    """Reset the session state of an entry whose connection was lost."""
    node.by_conn.pop(link.conn, None)
    link.conn = None
    link.granted = link.received = link.slots_requested = 0
    link.active = False
    link.disconnected_at = now
    if not node.by_conn:
        node.no_entry_since = now


def on_heartbeat_timer(node, _, now):
    """Send heartbeats, drop silent connections and expire old records."""
    node.timers.set(HEARTBEAT, now + membership.HEARTBEAT_INTERVAL_S)
    out = _close_silent(node, now)
    for link in node.by_conn.values():
        out.append(effects.Send(link.conn, _heartbeat(node, link, now)))
        for name in link.members:
            membership.mark_seen(node.directory, name, now)
    _expire_records(node, now)
    out += dial_entries(node, now)
    return out + _drain.stop_if_drained(node, now)


def _heartbeat(node, link, now):
    return messages.Heartbeat(
        config_version=exchange.current_version(node.adoption),
        members_version=link.members_version,
        queued=0,
        granted=link.granted,
        free=_credits.free_slots(node),
        long_free=_credits.long_free(node, now),
        seen=link.highest_seq,
        acked=[],
        active=False,
        rank=0,
    )


def _close_silent(node, now):
    silent = [
        link
        for link in node.by_conn.values()
        if membership.is_silent(link.last_received_at, now)
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
        mark_disconnected(node, link, now)
    if silent:
        out += _credits.grant_effects(node, _credits.distribute(node), now)
    return out


def _expire_records(node, now):
    _retention.expire(node, now)
    names = [link.name for link in node.by_conn.values()]
    if names:
        membership.evict_stale(node.directory, names, now)
    _retention.expire_links(node, now)


def _addresses_to_dial(node, now):
    if node.draining:
        return _drain.addresses_to_dial(node, now)
    wanted = membership.choose_entries(
        node.directory, node.options.name, node.options.domain
    )
    return [info.address for info in wanted]


def dial_entries(node, now):
    """Return the effects that open missing connections to entries."""
    addresses = _addresses_to_dial(node, now)
    if node.draining and not addresses:
        return []  # no addresses would mean the seeds
    connected = {link.address for link in node.by_conn.values()}
    due = membership.due_dials(
        node.directory,
        addresses,
        connected,
        now,
        node.rng,
    )
    return [effects.Dial(address) for address in due]


def on_platform_timer(node, _, now):
    """Read the platform if no entry is connected and a read is due."""
    node.timers.set('platform', now + ENTRY_CHECK_S / 4)
    if node.by_conn or node.draining:
        node.read_platform_after_s = 0.0
        return []
    no_entry_s = now - node.no_entry_since
    if no_entry_s < node.read_platform_after_s:
        return []
    # The delay before the next read is random and grows exponentially, so that
    # the restart of a whole failure domain doesn't overload the platform.
    delay_s = max(node.read_platform_after_s, PLATFORM_BACKOFF_S)
    delay_s = min(delay_s, PLATFORM_BACKOFF_MAX_S) * node.rng.uniform(0.5, 1.5)
    node.read_platform_after_s = no_entry_s + delay_s
    return [effects.ReadPlatform()]
