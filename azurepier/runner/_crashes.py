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

import attrs

from azurepier.dispatch import bounds
from azurepier.kernel import effects
from azurepier.kernel import Status
from azurepier.runner import _ends
from azurepier.runner import _runs
from azurepier.runner import _waiting

# Maximum time for which a worker that has fallen silent may still carry out a
# start, if it returns under its id (s).
LATE_START_MAX_S = 15.0
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
LOST_HERE = 'lost_here'
SILENT_HERE = 'silent_here'
_HERE = {
    SUSPECT: 'crash_suspect_here',
    CAUSE: 'crash_cause_here',
    'lease_over': SILENT_HERE,
}
# End of a run on a worker that refuses connections.
WORKER_DOWN = 'worker_down'


def record_failed_call(node, now, refused=False):
    """Record that a call to the worker has failed."""
    if node.failing_since is None:
        node.failing_since = now
    node.refuses_connections = node.refuses_connections or refused


def record_answer(node):
    """Record that the worker has answered a call."""
    node.silent_tasks.clear()
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


def _note_crash(node):
    """Count tasks as lost whose worker was silent and turns out restarted."""
    for task in node.silent_tasks:
        lost = node.lost_tasks.get(task)
        if lost is not None:
            lost.reason = LOST_HERE
            lost.told.clear()
    node.silent_tasks.clear()


def end_lost_runs(node, reason, now, kept_runs=frozenset()):
    """End the runs that the worker has lost, or keep them for the moment.

    A run whose start may still be carried out, by a worker that has returned
    or may return under its id, is kept until that is ruled out.

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
    out = _waiting.drop_all(node, reason, now)
    if reason != 'lease_over':
        _note_crash(node)
    runs = [
        run
        for run in node.runs.values()
        if (run.order.task, run.number) not in kept_runs
    ]
    out += _record_losses(
        node, [run for run in runs if run.loss is None], reason, now
    )
    may_begin = _MAY_BEGIN[reason]
    for run in runs:
        if run.loss.reason == 'lease_over':
            # A worker that was silent may turn out to have restarted.
            run.loss = attrs.evolve(run.loss, reason=reason)
        if run.starts_resolved or not may_begin(node, run, now):
            out += end_lost_run(node, run, now)
        elif run.phase is not _runs.Phase.STOPPING:
            run.phase = _runs.Phase.UNSURE
    return out


def _record_losses(node, runs, reason, now):
    """Record the loss of the worker with its runs; return the log event."""
    if not runs:
        return []
    lost_at = now if node.failing_since is None else node.failing_since
    # A worker that is only silent may be cut off or without power.
    crashed = node.refuses_connections or reason != 'lease_over'
    suspects = _find_suspects(runs, lost_at) if crashed else []
    is_down = crashed and reason == 'lease_over'
    if reason == 'lease_over':
        # The first list that a worker answers on its return makes it refuse
        # the starts of these runs. None is under way any more.
        node.generation += 1
    for run in runs:
        end_reason = WORKER_DOWN if is_down else reason
        if run in suspects:
            end_reason = CAUSE if run.order.suspicion else SUSPECT
        # Negative for a run that was requested after the loss.
        age_s = lost_at - run.requested_at
        run.loss = _runs.Loss(end_reason, now, age_s)
        run.call_ended_at = now
        if reason == 'lease_over':
            run.fenced_from = node.list_number + 1
    ages = [run.loss.age_s for run in runs]
    fields = {
        'reason': reason,
        'runs': len(runs),
        'unresolved': sum(not run.starts_resolved for run in runs),
        'suspects': [run.order.task for run in suspects],
        'silent_ms': round((now - lost_at) * _ends.MS_PER_S),
        'youngest_ms': round(min(ages) * _ends.MS_PER_S),
        'oldest_ms': round(max(ages) * _ends.MS_PER_S),
    }
    node.count('worker_losses')
    return [effects.Log('worker_lost', fields)]


def _may_begin_on_return(node, run, now):
    """Tell whether the incarnation that has returned may take the starts.

    Its next call from this process has a higher generation, so that it refuses
    them from then on.
    """
    if node.worker is not None and node.worker.id != run.worker:
        return False
    if run.fenced_from is None:
        run.fenced_from = node.list_number + 1
    return True


def _may_begin_after_lease(node, run, now):
    """Tell whether a worker that returns may take the starts.

    The next incarnation of a worker that refuses connections has none of the
    requests that were sent to the previous one.
    """
    if node.refuses_connections:
        return False
    return now - run.loss.at <= LATE_START_MAX_S


_MAY_BEGIN = {
    'worker_restarted': _may_begin_on_return,
    'lease_over': _may_begin_after_lease,
    # A worker with another id has answered; it refuses starts for this one.
    'other_worker': lambda node, run, now: False,
}


def is_fenced(run, list_number):
    """Tell whether a worker that has answered a list refuses all starts."""
    return run.fenced_from is not None and list_number >= run.fenced_from


def end_overdue_runs(node, now):
    """End lost runs that lists with unreadable rows don't settle."""
    overdue = [
        run
        for run in node.runs.values()
        if run.loss is not None and now - run.loss.at > LATE_START_MAX_S
    ]
    return [
        effect for run in overdue for effect in end_lost_run(node, run, now)
    ]


def end_lost_run(node, run, now):
    """Report the end of a run that was lost with its worker."""
    if run.loss.reason == 'lease_over':
        node.silent_tasks.append(run.order.task)
    _remember(node, run, _HERE.get(run.loss.reason, LOST_HERE))
    return _ends.end_run(
        node,
        run,
        Status.STOPPED,
        run.loss.reason,
        now,
        lost_age_s=run.loss.age_s,
    )


def _remember(node, run, reason):
    lost = _runs.LostTask(reason, {run.link.incarnation})
    node.lost_tasks[run.order.task] = lost
    node.lost_tasks.move_to_end(run.order.task)
    while len(node.lost_tasks) > REMEMBERED_TASKS_MAX:
        node.lost_tasks.popitem(last=False)
