"""Starts, stops and ends of runs, and the resulting state of jobs."""

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _crashes
from azurepier.dispatch import _lookahead
from azurepier.dispatch import _model
from azurepier.dispatch import _priority
from azurepier.dispatch import _records
from azurepier.dispatch import _state
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier.kernel import Status
from azurepier.kernel import Verdict

# Pause before a task is retried after an endpoint refused it because an
# earlier run of the task, or of others of its step, still exists there (s).
STILL_RUNNING_PAUSE_S = 0.1
# Pause before a suspect task is ordered again after an endpoint process
# refused it because of other starts there (s).
SUSPECT_PAUSE_S = 0.03
_PAUSE_S = {
    'already_there': STILL_RUNNING_PAUSE_S,
    'step_limit': STILL_RUNNING_PAUSE_S,
    'suspect_there': SUSPECT_PAUSE_S,
}
# Number of distinct endpoints on which a task has to fail before its job
# fails; fewer if the pool has fewer.
MIN_FAILED_ENDPOINTS = 2

# Refusals that are usual when several entries compete for the same capacity,
# or when a worker returns as another kind. They are counted in the log line of
# the job's end, since a line for each would make up most of the log.
_COMMON_REFUSALS = frozenset(
    {
        'no_room',
        'on_trial',
        'evacuated',
        'suspect_there',
        'other_pool',
        'label_missing',
        'step_limit',
    }
)
_NOT_RUN_STATUSES = frozenset({Status.REFUSED, Status.LEAVING})


def reserve(endpoint, run):
    """Subtract a run's resources from an endpoint's free capacity.

    Those of an order that waits there are part of the forecast only.
    """
    resources = run.resources
    start_at = run.expected_start_at
    _lookahead.occupy(
        endpoint,
        resources.cpu,
        run.sent_at if start_at is None else start_at,
        run.expected_end_at,
    )
    if start_at is not None:
        return
    endpoint.free_cpu -= resources.cpu
    endpoint.free_mem_mb -= resources.mem_mb
    endpoint.free_gpu -= resources.gpu


def release(endpoint, run):
    """Undo `reserve`, except for the forecast."""
    resources = run.resources
    if run.expected_start_at is not None:
        return
    endpoint.free_cpu += resources.cpu
    endpoint.free_mem_mb += resources.mem_mb
    endpoint.free_gpu += resources.gpu


def start_run(node, endpoint, job, now, expected_start_at=None):
    """Add an order for the next waiting task of a job; `flush` sends it.

    `expected_start_at` is the expected start of an order that has to wait at
    the endpoint (s).
    """
    task = job.waiting.pop()
    task.starts += 1
    seq = node.next_seq
    node.next_seq += 1
    starts_at = now if expected_start_at is None else expected_start_at
    expected_end_at = starts_at + job.work_s / endpoint.speed
    resources = job.request.resources
    wait_ms = _lookahead.wait_ms(node, endpoint, job, now, expected_start_at)
    run = _state.Run(seq, task, task.name, resources, now, expected_end_at)
    run.expected_start_at = expected_start_at
    task.run = run
    suspicion = _crashes.suspicion(node, task.name)
    run.is_suspect = suspicion > 0
    if not endpoint.runs:
        endpoint.busy_since = now
    endpoint.runs[seq] = run
    endpoint.runs_per_job[job.request.id] += 1
    node.run_count_by_task[task.name] += 1
    job.running.add((endpoint.incarnation, seq))
    job.starts_by_endpoint[endpoint.name] += 1
    if job.first_start_at is None:
        job.first_start_at = now
    job.last_start_at = now
    if expected_start_at is not None:
        job.orders_to_wait += 1
        job.longest_wait_s = max(job.longest_wait_s, expected_start_at - now)
        node.count('orders_to_wait')
    reserve(endpoint, run)
    batch = node.unsent_orders.get(endpoint.conn)
    if batch is None:
        batch = messages.RunOrders(orders=[], specs=[])
        node.unsent_orders[endpoint.conn] = batch
    if not batch.specs or batch.specs[-1] != job.request.spec:
        batch.specs.append(job.request.spec)
    order = messages.RunOrder(
        seq=seq,
        task=task.name,
        attempt=task.starts,
        spec=len(batch.specs) - 1,
        cpu=resources.cpu,
        mem_mb=resources.mem_mb,
        gpu=resources.gpu,
        expected_ms=job.request.declared_ms,
        suspicion=suspicion or None,
        label=resources.label or None,
        pool=job.queue.pool,
        max_per_worker=job.request.max_per_worker or None,
        wait_ms=wait_ms,
    )
    batch.orders.append(order)
    _crashes.record_start(node, task.name)
    node.count('starts')


def flush(node, now):
    """Return the messages with the orders collected since the last call."""
    out = []
    for conn, batch in node.unsent_orders.items():
        node.by_conn[conn].last_sent_at = now
        out.append(effects.Send(conn, batch))
    if out:
        node.timers.set_no_later_than('heartbeat', now + _bounds.HEARTBEAT_S)
    node.unsent_orders.clear()
    return out


def stop_runs(node, job):
    """Stop all runs of a job that is removed."""
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


@attrs.define(eq=False)
class Canceling:
    """A canceled job, whose callers are answered after its last run.

    Parameters
    ----------
    reqs : list of int
        Requests of the callers.
    runs_left : int
        Number of runs whose end isn't confirmed yet.
    """

    reqs: list
    runs_left: int


def cancel_job(node, job):
    """Stop a job's runs and remove it; answer its callers after their end."""
    canceling = Canceling(sorted(job.reqs), len(job.running))
    if not canceling.runs_left:
        answers = _make_answers(node, canceling)
        return [*remove_job(node, job), *answers]
    node.canceled_reqs.update(canceling.reqs)
    for run_key in job.running:
        node.get_run(run_key).canceling = canceling
    return remove_job(node, job)


def _answer_canceled(node, run):
    """Return the answers of a canceled job if this was its last run."""
    if run.canceling is None:
        return []
    run.canceling.runs_left -= 1
    if run.canceling.runs_left:
        return []
    return _make_answers(node, run.canceling)


def _make_answers(node, canceling):
    node.canceled_reqs.difference_update(canceling.reqs)
    answer = _model.Canceled()
    return [effects.Answer(req, answer) for req in canceling.reqs]


def _since_received_ms(job, at):
    return None if at is None else round((at - job.received_at) * 1000)


def finish_job(node, job, answer, now):
    """Answer the callers of a job and remove it; return the effects."""
    if isinstance(answer, _model.Rejected):
        _records.remember_start(node, job, now)
        may_have_run = job.started_before or job.start_forgotten
        if may_have_run and answer.verdict is Verdict.NOT_RUN:
            answer = attrs.evolve(answer, verdict=Verdict.MAY_HAVE_RUN)
    out = remove_job(node, job)
    out += [effects.Answer(req, answer) for req in sorted(job.reqs)]
    fields = {
        'job_id': job.request.id,
        'queue': job.queue.name,
        'tasks': job.request.count,
        'ms': _since_received_ms(job, now),
        'objective_ms': _since_received_ms(job, job.objective_at),
        'first_start_ms': _since_received_ms(job, job.first_start_at),
        'last_start_ms': _since_received_ms(job, job.last_start_at),
        'declared_ms': job.request.declared_ms,
        'work_ms': round(job.work_s * 1000) if job.work_is_measured else None,
        'placed': dict(job.starts_by_endpoint),
        'refused': dict(job.refused),
    }
    if job.orders_to_wait:
        fields['orders_to_wait'] = job.orders_to_wait
        fields['expected_wait_ms'] = round(job.longest_wait_s * 1000)
    if isinstance(answer, _model.Finished):
        outcome = 'succeeded' if answer.succeeded else 'failed'
        out.append(effects.Log('job_ended', {**fields, 'outcome': outcome}))
        node.count(f'jobs_{outcome}')
        node.observe(f'job_{outcome}', now - job.received_at)
        _records.remember_outcome(node, job.request.id, answer, now)
    else:
        fields['retry_after_s'] = answer.retry_after_s
        fields['verdict'] = answer.verdict.value
        out.append(
            effects.Log('job_rejected', {**fields, 'reason': answer.reason})
        )
        node.count(f'rejected_{answer.reason}')
        node.observe('job_rejected', now - job.received_at)
    return out


def remove_job(node, job):
    """Stop a job's runs and remove it; return the effects."""
    out = stop_runs(node, job)
    job.waiting.clear()
    del node.jobs[job.request.id]
    node.task_count -= job.request.count
    for req in job.reqs:
        del node.job_by_req[req]
    node.dirty = True
    return out


def end_run(node, endpoint, run, status, reason, now):
    """Remove a run that has ended and update its job.

    Parameters
    ----------
    node : Entry
    endpoint : Endpoint
    run : Run
    status : Status
    reason : str
        Reason given by the endpoint process or by this entry, for the log.
    now : float
    """
    del endpoint.runs[run.seq]
    release(endpoint, run)
    node.run_count_by_task[run.name] -= 1
    if node.run_count_by_task[run.name] <= 0:
        del node.run_count_by_task[run.name]
    node.dirty = True
    task = run.task
    out = []
    if (
        status is Status.REFUSED
        and reason in _COMMON_REFUSALS
        and task is not None
    ):
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
    out += _crashes.record_end(node, endpoint, run, status, reason, now)
    if task is None:
        return out + _answer_canceled(node, run)
    job = node.current_job = task.job
    job.running.discard((endpoint.incarnation, run.seq))
    endpoint.runs_per_job[job.request.id] -= 1
    if endpoint.runs_per_job[job.request.id] <= 0:
        del endpoint.runs_per_job[job.request.id]
    task.run = None
    if status is Status.REFUSED and run.expected_start_at is not None:
        task.forecast_not_before = now + _lookahead.RETRY_PAUSE_S
    if status not in _NOT_RUN_STATUSES:
        job.may_have_run = True
    else:
        _priority.withdraw_start(node, job, now)
    return out + _ON_STATUS.get(status, _requeue)(
        node, endpoint, task, reason, now
    )


def _on_done(node, endpoint, task, reason, now):
    job = task.job
    task.done = True
    job.remaining -= 1
    if job.remaining:
        return []
    return finish_job(node, job, _model.Finished(True), now)


def _on_failed(node, endpoint, task, reason, now):
    """Retry a failed task unless the task itself seems to be faulty."""
    job = task.job
    task.failures += 1
    task.failed_endpoints = (*task.failed_endpoints, endpoint.name)
    pool_size = sum(
        1
        for each in node.endpoints.values()
        if each.conn is not None
        and each.pool == job.queue.pool
        and not each.evacuated
    )
    distinct_failed = len(set(task.failed_endpoints))
    if task.failures >= job.queue.max_attempts and distinct_failed >= min(
        MIN_FAILED_ENDPOINTS, pool_size
    ):
        return finish_job(node, job, _model.Finished(False), now)
    return _requeue(node, endpoint, task, reason, now)


def _requeue(node, endpoint, task, reason, now):
    """Return a task to the waiting tasks of its job, unless it is given up."""
    if _crashes.is_given_up(node, task.name):
        return give_up(node, task, now)
    if reason in _PAUSE_S:
        task.not_before = now + _PAUSE_S[reason]
        node.timers.set(('retry', task.name), task.not_before)
    if _crashes.suspicion(node, task.name):
        # The other tasks of the job don't wait for a place for this one.
        task.job.waiting.insert(0, task)
    else:
        task.job.waiting.append(task)
    return []


def give_up(node, task, now):
    """Answer the callers of a job that one of its tasks has failed."""
    event = _crashes.give_up_event(node, task)
    return [event, *finish_job(node, task.job, _model.Finished(False), now)]


_ON_STATUS = {Status.DONE: _on_done, Status.FAILED: _on_failed}
