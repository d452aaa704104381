"""Reports of an endpoint process to the entries.

Load pattern: hundreds of starts a second on a fleet with many entries. If
each start and end were reported to each entry at once, messages would grow
with workers times entries times starts. The entry that a run belongs to
hears of its end at once; the others hear of the room it leaves after a
pause. Until then they may ask for room that is gone, which costs a refusal
and no call to the worker.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.runner import _progress
from azurepier.runner import _room

# Up to so many entries hear of each change at once: with few, the messages
# cost little and a pause would cost refused orders.
FEW_ENTRIES = 4
# Otherwise an entry without runs here hears again after this time (s), and one
# with runs hears of the room with their progress.
REPORT_PAUSE_S = 0.25
# Ends are reported again on a new connection for so long (s).
ENDS_KEPT_S = 3.0


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
    state = _tell(node, link, now)
    msg = messages.RunEnds(ends=link.fresh_ends, state=state)
    keep_ends(link, now)
    return [effects.Send(link.conn, msg)]


def keep_ends(link, now):
    """Keep reported ends for a connection that may replace this one."""
    link.ends.extend((now, end) for end in link.fresh_ends)
    link.fresh_ends = []
    while link.ends and link.ends[0][0] < now - ENDS_KEPT_S:
        link.ends.popleft()


def on_report_timer(node, _, now):
    """Tell the entries that may hear again what has changed."""
    few = len(node.by_conn) <= FEW_ENTRIES
    pause_s = 0.0 if few else REPORT_PAUSE_S
    out = []
    waiting = []
    for link in node.by_conn.values():
        if not link.stale or (link.runs and not few):
            continue
        if link.told_at + pause_s <= now:
            out.append(effects.Send(link.conn, _tell(node, link, now)))
        else:
            waiting.append(link.told_at + pause_s)
    if waiting:
        node.timers.set('report', min(waiting))
    return out


def _tell(node, link, now):
    link.stale, link.told_at = False, now
    return _room.report(node, link, now)


def beat(node, link, now):
    """Return what keeps a connection alive and tells how far runs are."""
    steps = _progress.steps(link, now)
    if steps:
        state = _tell(node, link, now)
        msg = messages.RunProgress(steps=steps, state=state)
        return [effects.Send(link.conn, msg)]
    pause_s = bounds.HEARTBEAT_S if link.runs else bounds.IDLE_HEARTBEAT_S
    if not bounds.is_due(now - link.told_at, pause_s):
        return []
    return [effects.Send(link.conn, _tell(node, link, now))]
