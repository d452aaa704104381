"""Runs that end with their worker.

Load pattern: a task crashes each worker that starts it, with all other runs
there. The worker's calls fail from the crash on, but its runs count as ended
only once its lease is over or it has returned. The age of a run at the first
failed call tells how soon after its start the worker was lost.
"""

from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _ends


def record_failed_call(node, now):
    """Record that a call to the worker has failed."""
    if node.failing_since is None:
        node.failing_since = now


def record_answer(node):
    """Record that the worker has answered a call."""
    node.failing_since = None


def end_lost_runs(node, reason, now):
    """End all runs, because the worker has lost or stopped them.

    Parameters
    ----------
    node : Endpoint
    reason : str
        `lease_over`, `worker_restarted` or `other_worker`.
    now : float
    """
    node.orphaned_runs.clear()
    runs = list(node.runs.values())
    if not runs:
        return []
    lost_at = now if node.failing_since is None else node.failing_since
    # Negative for a run that was requested after the loss.
    ages = [lost_at - run.requested_at for run in runs]
    fields = {
        'reason': reason,
        'runs': len(runs),
        'silent_ms': round((now - lost_at) * _ends.MS_PER_S),
        'youngest_ms': round(min(ages) * _ends.MS_PER_S),
        'oldest_ms': round(max(ages) * _ends.MS_PER_S),
    }
    node.count('worker_losses')
    out = [effects.Log('worker_lost', fields)]
    for run, age_s in zip(runs, ages, strict=True):
        out += _ends.end_run(
            node, run, Status.STOPPED, reason, now, lost_age_s=age_s
        )
    return out
