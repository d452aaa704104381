"""Graceful shutdown of an entry.

Load pattern: entries are stopped one after another under full load. Callers
keep their connections, some of them for seconds, and a job that is refused
may not come back. A job is therefore accepted if its declared run time fits
into the time left, and idle connections are closed once new ones go to other
entries.
"""

from azurepier.dispatch import _bounds
from azurepier.dispatch import _model
from azurepier.dispatch import _runs
from azurepier.kernel import effects
from azurepier.kernel import Verdict

# Minimum time from the request to stop to the exit (s): callers notice the
# drain only after two checks, a second apart.
DRAIN_MIN_S = 2.2
# Maximum time for which open connections of callers delay the exit (s).
DRAIN_CONNECTIONS_MAX_S = 4.5
# Unfinished jobs are rejected this long before the end of the grace time (s).
DRAIN_MARGIN_S = 0.7
RETRY_SOON_S = 1


def find_rejection(node, job, now):
    """Return reason and Retry-After (s) of a rejection, or None."""
    if node.stopped:
        return 'draining', RETRY_SOON_S
    if node.draining:
        time_left_s = node.drain_end_at - now
        if job.work_s > time_left_s:
            return 'draining', RETRY_SOON_S
    return None


def on_drain(node, event, now):
    """Start the drain: finish accepted jobs within the grace time."""
    node.draining_since = now
    grace_s = node.options.bounds.grace_s
    node.drain_end_at = now + grace_s - DRAIN_MARGIN_S
    node.timers.set('drain_end', node.drain_end_at)
    return on_drain_check(node, None, now)


def on_drain_check(node, _, now):
    """Stop once no jobs are left and the callers have noticed the drain."""
    elapsed_s = now - node.draining_since
    callers_done = (
        node.callers_connected() == 0 or elapsed_s > DRAIN_CONNECTIONS_MAX_S
    )
    if not node.jobs and callers_done and elapsed_s > DRAIN_MIN_S:
        node.stopped = True
        return [effects.Stopped()]
    node.timers.set('drain_check', now + _bounds.HEARTBEAT_S)
    if elapsed_s > DRAIN_MIN_S:
        return [_model.CloseIdleCallers()]
    return []


def on_drain_end(node, _, now):
    """Reject unfinished jobs before the process is killed."""
    out = []
    for job in list(node.jobs.values()):
        verdict = Verdict.MAY_HAVE_RUN if job.has_started else Verdict.NOT_RUN
        rejected = _model.Rejected('draining', RETRY_SOON_S, verdict)
        out += _runs.finish_job(node, job, rejected, now)
    return out
