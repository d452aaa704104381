"""Jobs that callers submit, and callers that leave."""

from azurepier.dispatch import _demand
from azurepier.dispatch import _drain
from azurepier.dispatch import _model
from azurepier.dispatch import _placement
from azurepier.dispatch import _reserve
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.kernel import effects

MS_PER_S = 1000
RETRY_NEVER_S = 60


def on_submit(node, event, now):
    """Take a job over, or answer it at once."""
    spec, queue = event.job, event.queue
    known = node.recent.get(spec.id)
    if known is not None:
        node.count('jobs_answered_again')
        return [
            effects.Log('job_answered_again', {'job_id': spec.id}),
            effects.Answer(event.req, known[1]),
        ]
    job = node.jobs.get(spec.id)
    if job is not None:
        job.reqs.add(event.req)
        node.job_of[event.req] = job
        node.count('jobs_joined')
        return [effects.Log('job_joined', {'job_id': spec.id})]
    work_s = spec.declared_ms / MS_PER_S
    due_s = queue.stretch * work_s + queue.margin_s
    job = _state.Job({event.req}, queue, spec, now, work_s, now + due_s)
    job.waiting = [
        _state.Task(job, index, f'{spec.id}.0.0.{index}')
        for index in reversed(range(spec.count))
    ]
    job.remaining = spec.count
    node.handling = job
    _demand.note_arrival(node, job)
    _reserve.note_arrival(node, job)
    node.jobs[spec.id] = job
    node.job_of[event.req] = job
    node.count('jobs')
    node.dirty = True
    out = [
        effects.Log(
            'job_received',
            {
                'job_id': spec.id,
                'queue': queue.name,
                'tasks': spec.count,
                'declared_ms': spec.declared_ms,
                'cpu': spec.needs.cpu,
                'config_version': _state.config_version(node),
            },
        )
    ]
    reason = _refusal(node, job, now)
    if reason is not None:
        rejected = _model.Rejected(*reason)
        return out + _runs.finish(node, job, rejected, now)
    return out


def _refusal(node, job, now):
    """Return reason and Retry-After if a job is known not to be servable."""
    reason = _drain.refusal(node, job, now)
    if reason is not None:
        return reason
    pool = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == job.queue.pool and endpoint.cpu
    ]
    needs = job.spec.needs
    if pool and not any(_placement.could_fit(each, needs) for each in pool):
        return 'impossible', RETRY_NEVER_S
    return None


def on_abandon(node, event, now):
    """Stop a job's work when the last of its callers has gone."""
    job = node.job_of.get(event.req)
    if job is None:
        return []
    if len(job.reqs) > 1:
        job.reqs.discard(event.req)
        del node.job_of[event.req]
        return []
    node.count('jobs_abandoned')
    fields = {
        'job_id': job.spec.id,
        'queue': job.queue.name,
        'ms': round((now - job.received_at) * MS_PER_S),
        'running': len(job.running),
    }
    out = [effects.Log('job_abandoned', fields)]
    return out + _runs.abandon(node, job)
