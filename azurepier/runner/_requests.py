"""Requests for the worker's list of runs, which renew its lease."""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.runner import _ends
from azurepier.runner import _model
from azurepier.runner import _state

# How long the worker may hold the answer back while nothing ends (ms).
LIST_WAIT_MS = 150
_SETTLED = {_state.Phase.RUNNING, _state.Phase.STARTING}
# Added to the generation when the worker has seen a higher one.
GENERATION_STEP = 3600


def lease_ms(node, now):
    """Return the end of a lease that begins now, on the worker's clock."""
    if node.clock_offset_ms is None:
        return None
    return round(
        (now + bounds.LEASE_S) * _ends.MS_PER_S + node.clock_offset_ms
    )


def want_list(node, now):
    """Ask the worker for its runs unless a request is open.

    The worker may hold the answer back while all runs are known to be there;
    those that are being started tell of themselves.
    """
    if node.listing:
        return []
    node.listing = True
    wait_ms = LIST_WAIT_MS if is_settled(node) else 0
    return [_list_effect(node, wait_ms, now)]


def is_settled(node):
    """Tell whether something runs and no list is needed to settle a run."""
    phases = {run.phase for run in node.runs.values()}
    return _state.Phase.RUNNING in phases and phases <= _SETTLED


def _list_effect(node, wait_ms, now):
    """Return a request for the list, which renews the lease if it may.

    A worker that does not answer may still carry the request out. It is not
    renewed then, so that the end of the last lease is known.
    """
    lease = lease_ms(node, now) if node.reachable else None
    if lease is not None:
        node.lease_until = now + bounds.LEASE_S
    node.list_number += 1
    return _model.ListRuns(
        lease, node.acked, wait_ms, node.generation, node.list_number
    )


def is_latest(node, event):
    """Note that a request was answered; tell whether it was the latest.

    Only the answer to the latest request is followed by another one. An
    earlier request that the worker held back would otherwise begin a second
    series of requests, and each lost answer one more.
    """
    if event.number != node.list_number:
        return False
    node.listing = False
    return True


def list_now(node, now):
    """Ask for the list although an earlier request may be held back."""
    node.listing = True
    return [_list_effect(node, 0, now)]


def on_list_timer(node, _, now):
    """Ask for the list although nothing runs."""
    return want_list(node, now)


def note_started(node, run, result, now):
    """Note that a run is on the worker."""
    run.phase = _state.Phase.RUNNING
    run.sure_at = now
    node.observe('start', now - run.asked_at)
    return want_list(node, now)


def unreachable(node, reason, now):
    """Note that the worker does not answer."""
    if not node.reachable:
        return []
    node.reachable = False
    node.changed = True
    return [effects.Log('worker_unreachable', {'reason': reason})]


def raise_generation(node):
    """Exceed a generation that the worker has seen from an earlier run.

    Only the process beside the worker sends it orders, so a higher number
    comes from a run of this process that has ended.
    """
    node.generation += GENERATION_STEP
