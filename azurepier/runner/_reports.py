"""Reports of an endpoint process to the entries.

Load pattern: hundreds of starts a second on a fleet with many entries. If
each start and end were reported to each entry at once, messages would grow
with workers times entries times starts. The entry that a run belongs to
hears of its end at once; the others hear of the room it leaves after a pause
that grows with their number. Until then they may ask for room that is gone,
which costs a refusal and no call to the worker.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.runner import _progress
from azurepier.runner import _room

# Up to so many entries hear of each change at once. With three entries, pauses
# of 9 and 30 ms gave 0.015 and 0.010 less worth on four standard days, which
# is within the noise of a day but had the same sign on most of them.
FEW_ENTRIES = 4
# Otherwise the pause between two reports to an entry is the square of the
# number of entries times this (s): messages grow with the entries, and so does
# the number of them that ask for the same room when they hear of it. From
# eleven on each hears with the heartbeats.
PAIR_PAUSE_S = 0.001
# Ends are reported again on a new connection for so long (s).
ENDS_KEPT_S = 3.0
# A heartbeat is left out if something was sent within this time (s).
RECENTLY_S = bounds.BEAT_S / 2


def on_changed(node, _, now):
    """Report ends at once, and the room after the pause."""
    out = []
    for link in node.by_conn.values():
        if link.fresh_ends:
            out += _report_ends(node, link, now)
        else:
            link.stale = True
    return out + on_report_timer(node, None, now)


def _report_ends(node, link, now):
    state = _room.report(node, link, now)
    msg = messages.RunEnds(ends=link.fresh_ends, state=state)
    keep_ends(link, now)
    link.stale, link.told_at = False, now
    return [effects.Send(link.conn, msg)]


def keep_ends(link, now):
    """Keep reported ends for a connection that may replace this one."""
    link.ends.extend((now, end) for end in link.fresh_ends)
    link.fresh_ends = []
    while link.ends and link.ends[0][0] < now - ENDS_KEPT_S:
        link.ends.popleft()


def on_report_timer(node, _, now):
    """Tell the entries that may hear again what has changed."""
    pause_s = _pause_s(len(node.by_conn))
    out = []
    stale = [link for link in node.by_conn.values() if link.stale]
    for link in stale:
        if link.told_at + pause_s <= now:
            link.stale, link.told_at = False, now
            state = _room.report(node, link, now)
            out.append(effects.Send(link.conn, state))
    later = [link.told_at + pause_s for link in stale if link.stale]
    if later:
        node.timers.set('report', min(later))
    return out


def _pause_s(entries):
    if entries <= FEW_ENTRIES:
        return 0.0
    return min(PAIR_PAUSE_S * entries**2, bounds.BEAT_S)


def beat(node, link, now):
    """Return what keeps a connection alive and tells how far runs are."""
    out = []
    if now - link.told_at > RECENTLY_S:
        msg = messages.Beat(config_version=-1, entries=[], demand=0.0)
        out.append(effects.Send(link.conn, msg))
    return out + _progress.report(node, link, now)
