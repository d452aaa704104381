"""Reports of an endpoint process to the entries.

Load pattern: hundreds of starts per second on a fleet with many entries. If
each start and end were reported to each entry immediately, the number of
messages would grow with workers times entries times starts. The entry that
owns a run gets its end immediately; the others get the new free capacity
after a delay. Until then they may order runs that no longer fit, which costs
a refusal but no call to the worker.
"""

import collections

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.runner import _progress
from azurepier.runner import _waiting

# Up to this number of entries, each change is reported immediately: the few
# messages cost little and a delay would cause refused orders.
IMMEDIATE_REPORT_ENTRIES_MAX = 4
# Minimum interval between reports to an entry without runs here, if there are
# more entries (s). An entry with runs gets the free capacity together with
# their progress.
REPORT_INTERVAL_S = 0.25
# Minimum interval between reports of an endpoint process where orders may wait
# (s). With 0.05 s a process has 30.7 KB/s of control traffic at 65 % load, of
# the 26 that it may use.
FORECAST_INTERVAL_S = 0.1
# Interval of reports while there are orphaned runs, which rule out new ones
# (s). A stop takes up to 50 ms.
ORPHANED_RUNS_CHECK_S = 0.02
# Ends that are younger than this are reported again on a new connection to an
# entry that doesn't acknowledge them (s).
ENDS_RETENTION_S = 3.0
# Number of ends that are kept until an entry acknowledges them. At 100 runs
# per second and entry, this covers a freeze of 40 s.
ENDS_KEPT_MAX = 4096


def on_changed(node, _, now):
    """Report ends immediately and the free capacity when it is due."""
    out = []
    for link in node.by_conn.values():
        if link.unreported_ends:
            out += _report_ends(node, link, now)
        else:
            link.report_due = True
    if node.orphaned_runs:
        # Nothing else tells the entries that the worker accepts runs again.
        node.timers.set('changed', now + ORPHANED_RUNS_CHECK_S)
    return out + on_report_timer(node, None, now)


def _report_ends(node, link, now):
    state = _make_report(node, link, now)
    msg = messages.RunEnds(ends=link.unreported_ends, state=state)
    mark_ends_reported(link, now)
    return [effects.Send(link.conn, msg)]


def all_ends(link):
    """Return the ends to report on a new connection."""
    return [end for _, _, end in link.reported_ends] + link.unreported_ends


def mark_all_reported(link, now):
    """Record that the first report on a new connection has all ends."""
    link.reports_sent = 0
    link.reported_ends = collections.deque(
        (1, at, end) for _, at, end in link.reported_ends
    )
    mark_ends_reported(link, now)


def mark_ends_reported(link, now):
    """Keep the ends just reported, in case the connection is replaced."""
    link.reports_sent += 1
    link.reported_ends.extend(
        (link.reports_sent, now, end) for end in link.unreported_ends
    )
    link.unreported_ends = []
    if link.acknowledges:
        while len(link.reported_ends) > ENDS_KEPT_MAX:
            link.reported_ends.popleft()
        return
    while (
        link.reported_ends
        and link.reported_ends[0][1] < now - ENDS_RETENTION_S
    ):
        link.reported_ends.popleft()


def on_acknowledged(link, reports_received):
    """Drop the ends in the reports that the entry has received.

    Parameters
    ----------
    link : Link
    reports_received : int or None
        Number of reports received on the connection; None from entries that
        don't acknowledge.
    """
    if reports_received is None:
        return
    link.acknowledges = True
    while link.reported_ends and link.reported_ends[0][0] <= reports_received:
        link.reported_ends.popleft()


def on_report_timer(node, _, now):
    """Report changes to the entries whose report interval has passed."""
    immediate = len(node.by_conn) <= IMMEDIATE_REPORT_ENTRIES_MAX
    interval_s = 0.0 if immediate else REPORT_INTERVAL_S
    if not immediate and _waiting.is_in_use(node):
        # Entries decide by the forecasts of all endpoint processes.
        immediate, interval_s = True, FORECAST_INTERVAL_S
    out = []
    waiting = []
    for link in node.by_conn.values():
        if not link.report_due or (link.is_busy and not immediate):
            continue
        if link.last_sent_at + interval_s <= now:
            out.append(effects.Send(link.conn, _make_report(node, link, now)))
        else:
            waiting.append(link.last_sent_at + interval_s)
    if waiting:
        node.timers.set('report', min(waiting))
    return out


def _make_report(node, link, now):
    """Return the state of the worker for an entry and record it as sent."""
    link.report_due, link.last_sent_at = False, now
    return _waiting.make_report(node, link, now)


def heartbeat_messages(node, link, now):
    """Return the heartbeat for a connection, with the progress of its runs."""
    steps = _progress.progress_steps(link, now)
    if steps:
        state = _make_report(node, link, now)
        msg = messages.RunProgress(steps=steps, state=state)
        return [effects.Send(link.conn, msg)]
    interval_s = (
        bounds.HEARTBEAT_S if link.is_busy else bounds.IDLE_HEARTBEAT_S
    )
    if not bounds.is_due(now - link.last_sent_at, interval_s):
        return []
    return [effects.Send(link.conn, _make_report(node, link, now))]
