"""Starts, stops and ends of runs, and what they mean for their jobs."""

from azurepier.dispatch import _bounds
from azurepier.dispatch import _model
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status

# Pause before a task is tried again after an endpoint refused it because an
# earlier run of the task is still there (s).
BUSY_PAUSE_S = 0.1
# Distinct endpoints on which a task has to fail before its job fails, as
# long as there are so many.
FAILED_ENDPOINTS = 2

# Outcomes are kept for callers that submit the same job again (s).
RECENT_S = 15.0

# Refusals that are usual when several entries want the same room. They are
# told in the line of the job's end; a line each would be most of the log.
_EXPECTED = frozenset({'no_room', 'on_trial'})
_NOT_RUN = frozenset({Status.REFUSED, Status.LEAVING})


def reserve(endpoint, needs):
    """Take a task's needs off what an endpoint has free."""
    endpoint.free_cpu -= needs.cpu
    endpoint.free_mem_mb -= needs.mem_mb
    endpoint.free_gpu -= needs.gpu


def release(endpoint, needs):
    """Undo `reserve`."""
    endpoint.free_cpu += needs.cpu
    endpoint.free_mem_mb += needs.mem_mb
    endpoint.free_gpu += needs.gpu


def start(node, endpoint, job, now):
    """Start the next waiting task of a job on an endpoint."""
    task = job.waiting.pop()
    task.starts += 1
    seq = endpoint.next_seq
    endpoint.next_seq += 1
    expected_end = now + job.work_s / endpoint.speed
    needs = job.spec.needs
    run = _state.Run(seq, task, task.name, needs, now, expected_end)
    task.run = run
    if not endpoint.runs:
        endpoint.busy_since = now
    endpoint.runs[seq] = run
    endpoint.per_job[job.spec.id] += 1
    node.running_names[task.name] += 1
    job.running.add((endpoint.incarnation, seq))
    job.placed[endpoint.name] += 1
    if job.first_start_at is None:
        job.first_start_at = now
    job.last_start_at = now
    reserve(endpoint, needs)
    batch = node.orders.get(endpoint.conn)
    if batch is None:
        batch = messages.RunOrders(orders=[], specs=[])
        node.orders[endpoint.conn] = batch
    if not batch.specs or batch.specs[-1] != job.spec.spec:
        batch.specs.append(job.spec.spec)
    order = messages.RunOrder(
        seq=seq,
        task=task.name,
        attempt=task.starts,
        spec=len(batch.specs) - 1,
        cpu=needs.cpu,
        mem_mb=needs.mem_mb,
        gpu=needs.gpu,
        expected_ms=job.spec.declared_ms,
    )
    batch.orders.append(order)
    node.count('starts')


def flush(node, now):
    """Return the messages that carry the orders of a pass."""
    out = []
    for conn, orders in node.orders.items():
        node.by_conn[conn].told_at = now
        out.append(effects.Send(conn, orders))
    if out:
        node.timers.set_earlier('beat', now + _bounds.BEAT_S)
    node.orders.clear()
    return out


def stop_all(node, job):
    """Stop all runs of a job that nobody waits for any more."""
    stops = {}
    for incarnation, seq in job.running:
        endpoint = node.endpoints[incarnation]
        run = endpoint.runs[seq]
        run.task = None
        run.stopping = True
        if endpoint.conn is not None:
            stops.setdefault(endpoint.conn, []).append(seq)
    job.running.clear()
    return [
        effects.Send(conn, messages.RunStops(seqs=seqs))
        for conn, seqs in stops.items()
    ]


def _since_received_ms(job, at):
    return None if at is None else round((at - job.received_at) * 1000)


def finish(node, job, body, now):
    """Answer a job's caller and forget the job."""
    out = abandon(node, job)
    out += [effects.Answer(req, body) for req in sorted(job.reqs)]
    fields = {
        'job_id': job.spec.id,
        'queue': job.queue.name,
        'tasks': job.spec.count,
        'ms': _since_received_ms(job, now),
        'objective_ms': _since_received_ms(job, job.objective_at),
        'first_start_ms': _since_received_ms(job, job.first_start_at),
        'last_start_ms': _since_received_ms(job, job.last_start_at),
        'declared_ms': job.spec.declared_ms,
        'work_ms': round(job.work_s * 1000) if job.measured else None,
        'placed': dict(job.placed),
        'refused': dict(job.refused),
    }
    if isinstance(body, _model.Finished):
        outcome = 'succeeded' if body.succeeded else 'failed'
        out.append(effects.Log('job_ended', {**fields, 'outcome': outcome}))
        node.count(f'jobs_{outcome}')
        node.observe(f'job_{outcome}', now - job.received_at)
        node.recent[job.spec.id] = (now, body)
        while next(iter(node.recent.values()))[0] < now - RECENT_S:
            node.recent.popitem(last=False)
    else:
        fields['retry_after_s'] = body.retry_after_s
        fields['verdict'] = body.verdict.value
        out.append(
            effects.Log('job_rejected', {**fields, 'reason': body.reason})
        )
        node.count(f'rejected_{body.reason}')
        node.observe('job_rejected', now - job.received_at)
    return out


def abandon(node, job):
    """Stop a job's runs and forget it; return the effects."""
    out = stop_all(node, job)
    job.waiting.clear()
    del node.jobs[job.spec.id]
    for req in job.reqs:
        del node.job_of[req]
    node.dirty = True
    return out


def end(node, endpoint, run, status, reason, now):
    """Process the end of a run.

    Parameters
    ----------
    node : Entry
    endpoint : Endpoint
    run : Run
    status : Status
    reason : str
        For the log.
    now : float
    """
    del endpoint.runs[run.seq]
    release(endpoint, run.needs)
    node.running_names[run.name] -= 1
    if node.running_names[run.name] <= 0:
        del node.running_names[run.name]
    node.dirty = True
    task = run.task
    out = []
    if status is Status.REFUSED and reason in _EXPECTED and task is not None:
        task.job.refused[reason] += 1
        node.count(f'runs_refused_{reason}')
    elif status is not Status.DONE:
        fields = {
            'task': run.name,
            'endpoint': endpoint.name,
            'status': status.name.lower(),
            'reason': reason,
            'ms': round((now - run.sent_at) * 1000),
        }
        out.append(effects.Log('run_not_done', fields))
        node.count(f'runs_{status.name.lower()}')
    if task is None:
        return out
    job = node.handling = task.job
    job.running.discard((endpoint.incarnation, run.seq))
    endpoint.per_job[job.spec.id] -= 1
    if endpoint.per_job[job.spec.id] <= 0:
        del endpoint.per_job[job.spec.id]
    task.run = None
    if status not in _NOT_RUN:
        job.may_have_run = True
    return out + _ON_STATUS.get(status, _again)(
        node, endpoint, task, reason, now
    )


def _done(node, endpoint, task, reason, now):
    job = task.job
    task.done = True
    job.remaining -= 1
    if job.remaining:
        return []
    return finish(node, job, _model.Finished(True), now)


def _failed(node, endpoint, task, reason, now):
    """Try a failed task again unless it seems to be its own fault."""
    job = task.job
    task.failures += 1
    task.failed_at = (*task.failed_at, endpoint.name)
    others = sum(
        1
        for each in node.endpoints.values()
        if each.conn is not None and each.pool == job.queue.pool
    )
    places = len(set(task.failed_at))
    if task.failures >= job.queue.max_attempts and places >= min(
        FAILED_ENDPOINTS, others
    ):
        return finish(node, job, _model.Finished(False), now)
    return _again(node, endpoint, task, reason, now)


def _again(node, endpoint, task, reason, now):
    """Let a task wait again."""
    if reason == 'already_there':
        task.not_before = now + BUSY_PAUSE_S
        node.timers.set('pass', task.not_before)
    task.job.waiting.append(task)
    return []


_ON_STATUS = {Status.DONE: _done, Status.FAILED: _failed}
