"""Requests for the worker's list of runs, which also renew its lease.

Load pattern: for some seconds a worker loses answers, while urgent jobs have a
tenth of a second to spare. If the answer that reports an end is lost, the end
is seen with the next list, so that a request waits no longer than until an end
is due.
"""

from azurepier.kernel import effects
from azurepier.runner import _ends
from azurepier.runner import _lease
from azurepier.runner import _model
from azurepier.runner import _progress
from azurepier.runner import _runs

# Maximum and minimum time for which the worker may delay its answer until a
# run ends (ms).
LIST_LONG_POLL_MS = 150
LIST_SHORT_POLL_MS = 30
# A run may be overdue by this share of its time before that shortens the wait
# further; declared run times are off by about 40 %.
OVERDUE_SHARE = 0.2
# Timeout of a list request, in addition to the time for which the worker may
# delay its answer (s). A worker on the same machine answers within a
# millisecond.
LIST_TIMEOUT_MARGIN_S = 0.03
_SETTLED_PHASES = {_runs.Phase.RUNNING, _runs.Phase.STARTING}
# Increment of the generation if the worker has seen a higher one.
GENERATION_STEP = 3600


def request_list(node, now):
    """Request the worker's list of runs unless a request is pending.

    The worker may delay its answer only while all runs are known to exist;
    the answers to starts confirm the runs that are being started.
    """
    if node.list_pending:
        return []
    node.list_pending = True
    wait_ms = _wait_ms(node, now) if is_settled(node) else 0
    return _list_effects(node, wait_ms, now)


def _wait_ms(node, now):
    """Return the time until the next end is due, within limits (ms)."""
    speed = max(_progress.average_speed(node), 0.01)
    wait_ms = LIST_LONG_POLL_MS
    for run in node.runs.values():
        elapsed_ms = (now - run.requested_at) * _ends.MS_PER_S
        due_ms = run.order.expected_ms / speed - elapsed_ms
        wait_ms = min(wait_ms, max(due_ms, OVERDUE_SHARE * elapsed_ms))
    return max(round(wait_ms), LIST_SHORT_POLL_MS)


def is_settled(node):
    """Return whether there are runs and the phase of each is certain."""
    phases = {run.phase for run in node.runs.values()}
    return _runs.Phase.RUNNING in phases and phases <= _SETTLED_PHASES


def _list_effects(node, wait_ms, now):
    """Return a list request, which renews the lease of a reachable worker.

    An unreachable worker may still process the request. Its lease isn't
    renewed, so that the end of the last lease stays known.
    """
    lease = None
    if node.reachable and not _lease.is_withheld(node, now):
        lease = _lease.renew(node, now)
    out = _lease.note_change(node, now)
    node.list_number += 1
    req = _model.ListRuns(
        lease, node.acked, wait_ms, node.generation, node.list_number
    )
    return [*out, req]


def complete_request(node, event):
    """Record that a request has ended; return whether it was the latest one.

    Only the end of the latest request triggers the next one. Otherwise each
    delayed or lost answer would start another series of requests.
    """
    if event.number != node.list_number:
        return False
    node.list_pending = False
    return True


def request_list_now(node, now):
    """Request the list even if an earlier request is pending."""
    node.list_pending = True
    return _list_effects(node, 0, now)


def on_list_timer(node, _, now):
    """Request the list again; a worker without runs is polled as well."""
    return request_list(node, now)


def confirm_started(node, run, result, now):
    """Mark a run as running on the worker."""
    run.phase = _runs.Phase.RUNNING
    run.call_ended_at = now
    # One of several starts has been carried out; another may still be.
    run.starts_resolved = not run.repeats
    node.observe('start', now - run.requested_at)
    return request_list(node, now)


def mark_unreachable(node, reason, now):
    """Mark the worker as unreachable."""
    if not node.reachable:
        return []
    node.reachable = False
    node.changed = True
    return [effects.Log('worker_unreachable', {'reason': reason})]


def raise_generation(node):
    """Raise the generation above the one that the worker has seen.

    Only this process sends requests to the worker, so a higher generation
    comes from an earlier run of this process.
    """
    node.generation += GENERATION_STEP
