"""Runs that end with their worker, and the tasks that may be the cause.

Load pattern: a task crashes each worker that starts it, with all other runs
there. The worker's calls fail from the crash on, but its runs count as ended
only once its lease is over or it has returned.

The endpoint process sees the runs of all entries. After a crash it takes the
most recent ones for the possible cause: a task that ran for longer has shown
that it doesn't crash a worker at its start. Suspect tasks are then started
one at a time (`_suspects`), so that the next crash leaves no doubt: a suspect
task under which the worker crashes then is the cause.
"""

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _ends
from azurepier.runner import _state

# Runs that were requested within this time before the most recent one count
# as most recent, too (s): starts of several entries come in any order, and a
# crash takes effect some milliseconds after the start that caused it.
SAME_START_S = 0.02
# Maximum number of lost tasks that are remembered.
REMEMBERED_TASKS_MAX = 1024
# Reasons of ends and of refusals; entries act on them.
SUSPECT = 'crash_suspect'
CAUSE = 'crash_cause'
# Refusals that tell an entry of the end of a run that it doesn't know.
_HERE = {SUSPECT: 'crash_suspect_here', CAUSE: 'crash_cause_here'}
LOST_HERE = 'lost_here'


def record_failed_call(node, now, refused=False):
    """Record that a call to the worker has failed."""
    if node.failing_since is None:
        node.failing_since = now
    node.refuses_connections = node.refuses_connections or refused


def record_answer(node):
    """Record that the worker has answered a call."""
    node.failing_since = None
    node.refuses_connections = False


def _find_suspects(runs, lost_at):
    """Return the runs that may have crashed the worker."""
    candidates = [
        run
        for run in runs
        if 0 <= lost_at - run.requested_at <= bounds.SUSPECT_ALONE_S
    ]
    latest = max((run.requested_at for run in candidates), default=0.0)
    recent = [
        run for run in candidates if latest - run.requested_at <= SAME_START_S
    ]
    known = [run for run in recent if run.order.suspicion]
    return known or recent


def end_lost_runs(node, reason, now, kept_runs=frozenset()):
    """End the runs that the worker has lost or stopped.

    Parameters
    ----------
    node : Endpoint
    reason : str
        `lease_over`, `worker_restarted` or `other_worker`.
    now : float
    kept_runs : set of (str, int)
        Task and number of the runs that the worker has not lost.
    """
    node.orphaned_runs.clear()
    runs = [
        run
        for run in node.runs.values()
        if (run.order.task, run.number) not in kept_runs
    ]
    if not runs:
        return []
    lost_at = now if node.failing_since is None else node.failing_since
    # A worker that is only silent may be cut off or without power.
    crashed = node.refuses_connections or reason != 'lease_over'
    suspects = _find_suspects(runs, lost_at) if crashed else []
    # Negative for a run that was requested after the loss.
    ages = [lost_at - run.requested_at for run in runs]
    fields = {
        'reason': reason,
        'runs': len(runs),
        'suspects': [run.order.task for run in suspects],
        'silent_ms': round((now - lost_at) * _ends.MS_PER_S),
        'youngest_ms': round(min(ages) * _ends.MS_PER_S),
        'oldest_ms': round(max(ages) * _ends.MS_PER_S),
    }
    node.count('worker_losses')
    out = [effects.Log('worker_lost', fields)]
    for run, age_s in zip(runs, ages, strict=True):
        end_reason = reason
        if run in suspects:
            end_reason = CAUSE if run.order.suspicion else SUSPECT
        _remember(node, run, _HERE.get(end_reason, LOST_HERE))
        out += _ends.end_run(
            node, run, Status.STOPPED, end_reason, now, lost_age_s=age_s
        )
    return out


def _remember(node, run, reason):
    lost = _state.LostTask(reason, {run.link.incarnation})
    node.lost_tasks[run.order.task] = lost
    node.lost_tasks.move_to_end(run.order.task)
    while len(node.lost_tasks) > REMEMBERED_TASKS_MAX:
        node.lost_tasks.popitem(last=False)
