"""Cancelling of jobs.

Load pattern: cancels one by one and in bursts, at entries chosen by a
balancer, of jobs that another entry has or gets later: a caller that had no
answer submits its job again. An entry that has the job stops it and
acknowledges the cancel. Any other one waits until the entries have confirmed
that they know of it (`azurepier.dispatch._cancel_checks`).

Each entry remembers the jobs that were canceled, passes new ones on to the
entries that it is connected to, which do the same, and soon after that to its
endpoint processes, which pass them on to their other entries. Processes that
connect later get all that are remembered.
"""

from azurepier.dispatch import _cancel_checks
from azurepier.dispatch import _canceled_jobs
from azurepier.dispatch import _demand
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _model
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages

MS_PER_S = 1000
RETENTION_S = _canceled_jobs.RETENTION_S
# Time in which cancels are collected for the endpoint processes (s). An entry
# has dozens of them, which usually need none: it is there for entries that
# aren't reached otherwise, and short against the seconds in which a cancel
# has to take effect.
ENDPOINT_DELAY_S = 0.05


def is_canceled(node, job_id, now):
    """Tell whether a job was canceled, here or at another entry."""
    return _canceled_jobs.is_canceled(node.canceled_jobs, job_id, now)


def on_cancel(node, event, now):
    """Cancel a job at all entries."""
    out, had_job = [], event.job_id in node.jobs
    if not is_canceled(node, event.job_id, now):
        out += _cancel(node, event.job_id, 'caller', now, now)
        out += _pass_on(node, node.peers, [event.job_id], now)
        _plan_endpoints(node, [event.job_id], None, now)
    if event.req is None:
        return out
    if had_job:
        answer = _model.CancelConfirmed(had_job=True)
        return [*out, effects.Answer(event.req, answer)]
    return out + _cancel_checks.add_wait(node, event, now)


def on_update(node, conn, source, msg, now):
    """Cancel the jobs that another process reports as canceled."""
    out, job_ids = [], []
    for job_id, at in list(
        _canceled_jobs.find_new(node.canceled_jobs, msg, now)
    ):
        job_ids.append(job_id)
        out += _cancel(node, job_id, source, at, now)
    if not job_ids:
        return out
    _plan_endpoints(node, job_ids, conn, now)
    conns = [each for each in node.peers if each != conn]
    return out + _pass_on(node, conns, job_ids, now)


def _cancel(node, job_id, source, at, now):
    _canceled_jobs.remember(node.canceled_jobs, job_id, at, now)
    job = node.jobs.get(job_id)
    if job is None:
        return []
    _canceled_jobs.remember(node.stopped_jobs, job_id, now, now)
    node.current_job = job
    node.count('jobs_canceled')
    fields = {
        'job_id': job_id,
        'queue': job.queue.name,
        'source': source,
        'ms': round((now - job.received_at) * MS_PER_S),
        'running': len(job.running),
    }
    return [
        effects.Log('job_canceled', fields),
        *_runs.cancel_job(node, job),
    ]


def _plan_endpoints(node, job_ids, source, now):
    """Let the endpoint processes hear of cancels, but not their source."""
    if not node.unsent_cancels:
        node.timers.set('cancels', now + ENDPOINT_DELAY_S)
    node.unsent_cancels.update(dict.fromkeys(job_ids, source))


def on_endpoint_timer(node, _, now):
    """Pass the collected cancels on to the endpoint processes."""
    unsent, node.unsent_cancels = node.unsent_cancels, {}
    out = []
    for conn in node.by_conn:
        job_ids = [job_id for job_id in unsent if unsent[job_id] != conn]
        out += _send_to_endpoint(node, conn, job_ids, now)
    return out


def send_all(node, conn, now):
    """Send all canceled jobs to an entry on a new connection."""
    return _pass_on(node, [conn], list(node.canceled_jobs), now)


def send_all_to_endpoint(node, conn, now):
    """Send all canceled jobs to an endpoint process on a new connection."""
    return _send_to_endpoint(node, conn, list(node.canceled_jobs), now)


def _send_to_endpoint(node, conn, job_ids, now):
    return [
        effects.Send(
            conn,
            messages.Beat(
                config_version=_state.config_version(node),
                demand=_demand.demand_per_endpoint(node),
                store_silent_ms=_evacuation.store_silent_ms(node, now),
                canceled=batch,
            ),
        )
        for batch in _canceled_jobs.make_batches(
            node.canceled_jobs, job_ids, now
        )
    ]


def _pass_on(node, conns, job_ids, now):
    out = []
    for batch in _canceled_jobs.make_batches(node.canceled_jobs, job_ids, now):
        msg = messages.Beat(
            config_version=_state.config_version(node),
            demand=0.0,
            canceled=batch,
        )
        out += [effects.Send(conn, msg) for conn in conns]
    return out
