"""Submission of jobs, and disconnection of callers.

Load pattern: some callers submit jobs of thousands of tasks in a hundred bytes
each, or with needs so small that any number fits. Their tasks would take the
memory that all other jobs need. A job is refused before its tasks are created
if there are too many, and no endpoint gets more than `MAX_RUNS_PER_ENDPOINT`
runs of an entry (`azurepier.dispatch._placement`).
"""

from azurepier.dispatch import _arrival
from azurepier.dispatch import _cancel
from azurepier.dispatch import _crashes
from azurepier.dispatch import _demand
from azurepier.dispatch import _drain
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _model
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _priority
from azurepier.dispatch import _records
from azurepier.dispatch import _runs
from azurepier.dispatch import _state
from azurepier.dispatch import _supply
from azurepier.kernel import effects

MS_PER_S = 1000
# Resources count CPU in thousandths of a core.
CPU_PER_CORE = 1000
IMPOSSIBLE_RETRY_S = 60


def on_submit(node, event, now):
    """Queue a new job, or answer the caller immediately."""
    request, queue = event.job, event.queue
    if _cancel.is_canceled(node, request.id, now):
        fields = {'job_id': request.id}
        return [
            effects.Log('canceled_job_submitted', fields),
            effects.Answer(event.req, _model.Canceled()),
        ]
    recent = node.recent_outcomes.get(request.id)
    if recent is not None:
        node.count('jobs_answered_again')
        return [
            effects.Log('job_answered_again', {'job_id': request.id}),
            effects.Answer(event.req, recent[1]),
        ]
    out, reqs = [], {event.req}
    job = node.jobs.get(request.id)
    if job is not None and job.queue.pool == queue.pool:
        job.reqs.add(event.req)
        node.job_by_req[event.req] = job
        node.count('jobs_joined')
        return [effects.Log('job_joined', {'job_id': request.id})]
    if job is not None:
        out = _withdraw(node, job, queue, now)
        reqs |= job.reqs
    work_s = request.declared_ms / MS_PER_S
    objective_s = queue.stretch * work_s + queue.margin_s
    received_at = now - event.waited_s
    job = _state.Job(
        reqs,
        queue,
        request,
        received_at,
        work_s,
        received_at + objective_s,
    )
    job.remaining = request.count
    job.started_before = request.id in node.started_jobs
    job.start_forgotten = _records.is_start_forgotten(node, now)
    node.current_job = job
    has_room = _has_room(node, request.count)
    if has_room:
        job.waiting = [
            _state.Task(job, index, f'{request.id}.0.0.{index}')
            for index in reversed(range(request.count))
        ]
        _demand.record_arrival(node, job)
        _priority.record_arrival(node, job)
    node.jobs[request.id] = job
    node.task_count += request.count
    node.job_by_req.update(dict.fromkeys(reqs, job))
    node.count('jobs')
    node.dirty = True
    out.append(
        effects.Log(
            'job_received',
            {
                'job_id': request.id,
                'queue': queue.name,
                'tasks': request.count,
                'declared_ms': request.declared_ms,
                'cpu': request.resources.cpu,
                'config_version': _state.config_version(node),
                'since_pause_ms': _since_pause_ms(node, now),
            },
        )
    )
    if has_room:
        rejection = _find_rejection(node, job, now)
    else:
        rejection = 'too_many_tasks', _retry_when_fewer_s(node, job)
    if rejection is not None:
        rejected = _model.Rejected(*rejection)
        return out + _runs.finish_job(node, job, rejected, now)
    for task in job.waiting:
        if _crashes.is_given_up(node, task.name):
            return out + _runs.give_up(node, task, now)
    return out


def _has_room(node, count):
    """Tell whether this entry may keep so many more tasks."""
    kept = node.task_count + len(node.run_count_by_task)
    return kept + count <= node.options.max_tasks


def _retry_when_fewer_s(node, job):
    """Return the Retry-After (s) by the work that waits for the pool."""
    pool = job.queue.pool
    work = sum(
        _order.waiting_work(each)
        for each in node.jobs.values()
        if each.queue.pool == pool
    )
    cores = sum(
        each.cpu for each in node.by_conn.values() if each.pool == pool
    )
    backlog_s = work * CPU_PER_CORE / max(cores, CPU_PER_CORE)
    return _order.retry_after_s(backlog_s, node.rng)


def _since_pause_ms(node, now):
    """Return the time since the process was last paused (ms), or None."""
    if node.woke_at is None:
        return None
    return round((now - node.woke_at) * MS_PER_S)


def _withdraw(node, job, queue, now):
    """Remove a job whose queue has moved to another pool since it came."""
    node.count('jobs_moved')
    fields = {
        'job_id': job.request.id,
        'from_pool': job.queue.pool,
        'to_pool': queue.pool,
        'running': len(job.running),
    }
    _records.remember_start(node, job, now)
    return [effects.Log('job_moved', fields), *_runs.remove_job(node, job)]


def _find_rejection(node, job, now):
    """Return reason and Retry-After (s) of a rejection, or None."""
    rejection = _drain.find_rejection(node, job, now)
    if rejection is not None:
        return rejection
    pool_endpoints = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == job.queue.pool and endpoint.cpu
    ]
    resources = job.request.resources
    fitting = [
        each
        for each in pool_endpoints
        if _placement.could_fit(each, resources)
    ]
    is_pending = _arrival.is_pending(node, now)
    if pool_endpoints and not fitting and not is_pending:
        return 'impossible', IMPOSSIBLE_RETRY_S
    all_evacuated = fitting and all(each.evacuated for each in fitting)
    if all_evacuated and not _supply.is_warming_up(node, now):
        return 'evacuated', _evacuation.RETRY_EVACUATED_S
    return None


def on_abandon(node, event, now):
    """Stop a job's runs when the last of its callers has disconnected."""
    node.canceled_reqs.discard(event.req)
    node.cancel_checks.waits.pop(event.req, None)
    job = node.job_by_req.get(event.req)
    if job is None:
        return []
    if len(job.reqs) > 1:
        job.reqs.discard(event.req)
        del node.job_by_req[event.req]
        return []
    node.count('jobs_abandoned')
    fields = {
        'job_id': job.request.id,
        'queue': job.queue.name,
        'ms': round((now - job.received_at) * MS_PER_S),
        'running': len(job.running),
    }
    out = [effects.Log('job_abandoned', fields)]
    _records.remember_start(node, job, now)
    return out + _runs.remove_job(node, job)
