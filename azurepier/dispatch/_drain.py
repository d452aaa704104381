"""The end of an entry that was asked to stop."""

from azurepier.dispatch import _bounds
from azurepier.dispatch import _model
from azurepier.dispatch import _runs
from azurepier.kernel import effects
from azurepier.kernel import Verdict

# The process goes on for at least so long after it was asked to stop (s):
# callers notice only after two checks, a second apart.
DRAIN_LEAST_S = 2.2
# Connections that are still open are served for so long at most (s).
DRAIN_OPEN_S = 4.5
# Share of the time left that a job's declared work may take for the job to
# be accepted by a process that is about to end.
DRAIN_WORK_SHARE = 0.6
# Work that is still open when the process has to end is given back so long
# before (s).
DRAIN_MARGIN_S = 0.7
RETRY_SOON_S = 1


def refusal(node, job, now):
    """Return reason and Retry-After if a job can't be finished any more."""
    if node.stopped:
        return 'draining', RETRY_SOON_S
    if node.draining:
        left_s = node.drain_until - now
        if job.work_s > left_s * DRAIN_WORK_SHARE:
            return 'draining', RETRY_SOON_S
    return None


def on_drain(node, event, now):
    """Begin to end: finish the work in hand within the grace time."""
    node.draining_since = now
    grace_s = node.options.bounds.grace_s
    node.drain_until = now + grace_s - DRAIN_MARGIN_S
    node.timers.set('drain_end', node.drain_until)
    return on_drain_check(node, None, now)


def on_drain_check(node, _, now):
    """End once no work is left and the callers have noticed."""
    since = now - node.draining_since
    quiet = node.callers_connected() == 0 or since > DRAIN_OPEN_S
    if not node.jobs and quiet and since > DRAIN_LEAST_S:
        node.stopped = True
        return [effects.Stopped()]
    node.timers.set('drain_check', now + _bounds.BEAT_S)
    return []


def on_drain_end(node, _, now):
    """Give back what can't be finished before the process is killed."""
    out = []
    for job in list(node.jobs.values()):
        verdict = Verdict.MAY_HAVE_RUN if job.begun else Verdict.NOT_RUN
        rejected = _model.Rejected('draining', RETRY_SOON_S, verdict)
        out += _runs.finish(node, job, rejected, now)
    return out
