"""How jobs progress and end: outcomes of tasks, answers, cancellation."""

from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import limits
from azurepier import placement
from azurepier import queueing

Status = kernel.Status
Verdict = kernel.Verdict


def reply(waiter, answer):
    """Return the effect that gives an answer to whoever waits for it."""
    if waiter.req is not None:
        return effects.Answer(waiter.req, answer)
    body = jobs.answer_to_json(answer)
    msg = messages.ForwardAnswer(query=waiter.query, body=body)
    return effects.Send(waiter.conn, msg)


def forget_waiter(node, waiter):
    """Drop the bookkeeping of a caller that got its answer."""
    if waiter.req is not None:
        node.pending.pop(waiter.req, None)


def reply_all(node, waiters, answer):
    """Answer and remove all waiters of a list."""
    out = []
    for waiter in waiters:
        forget_waiter(node, waiter)
        out.append(reply(waiter, answer))
    waiters.clear()
    return out


def end_job(node, job, answer, now):
    """Give a job its final answer, stop its tasks and answer all callers."""
    if job.answer is not None:
        return []
    drop_waiting(node, job)
    for task_start in job.open.values():
        task_start.endpoint.cancels.append(task_start.seq)
    node.timers.cancel(('deadline', job.id))
    jobs.table.end(node.table, job, answer, now)
    outcome = getattr(answer, 'type', 'complete')
    node.count(f'jobs_{outcome}')
    node.dirty = True
    out = reply_all(node, job.waiters, answer)
    out.append(effects.Record('answered', job.id, detail=outcome))
    return out


def drop_waiting(node, job):
    """Take the tasks of a job that wait out of the queue."""
    waiting = job.waiting
    count_waiting(node, job.spec.customer, -len(waiting.tasks))
    node.queue.remove(waiting)
    waiting.tasks = []
    waiting.work_s = 0.0


def count_waiting(node, customer, change):
    """Keep the numbers of waiting tasks up to date."""
    node.waiting_tasks += change
    count = node.queued.get(customer, 0) + change
    node.queued[customer] = count
    return count


def fail_job(node, job, error, verdict, detail, now, retry_after_s=None):
    """End a job without a result."""
    answer = kernel.Refused(job.id, error, verdict, detail, retry_after_s)
    return end_job(node, job, answer, now)


def on_outcome(node, view, outcome, now):
    """Process the outcome of one start."""
    task_start = view.open.pop(outcome.seq, None)
    view.acked.append(outcome.seq)
    if task_start is None:
        return []
    return settle(node, task_start, outcome, now)


def settle(node, task_start, outcome, now):
    """Apply an outcome, received or inferred, to its job."""
    job = task_start.job
    task_start.endpoint.urgent -= task_start.urgent
    del job.open[task_start.task]
    limits.ended(node.limits, job.spec.customer, now)
    node.dirty = True
    status = Status(outcome.status)
    return _STATUS_HANDLERS[status](node, task_start, outcome, now)


def _on_done(node, task_start, outcome, now):
    job = task_start.job
    _learn(node, task_start, outcome, now)
    if job.answer is not None:
        return []
    job.may_have_run = True
    jobs.table.store_output(node.table, job, task_start.task, outcome.output)
    if job.output_bytes > kernel.MAX_ANSWER_BYTES:
        detail = f'the outputs exceed {kernel.MAX_ANSWER_BYTES} bytes'
        return fail_job(
            node, job, 'answer-too-large', Verdict.RAN, detail, now
        )
    if job.tasks_left:
        return []
    answer = kernel.Complete(job.id, tuple(job.outputs))
    return end_job(node, job, answer, now)


def _learn(node, task_start, outcome, now):
    view = task_start.endpoint
    history = view.history
    placement.estimates.record_run_time(
        node.estimates,
        history.log_speed,
        task_start.job.spec.customer,
        task_start.spec,
        outcome.run_ms / 1000,
    )
    history.speed = placement.estimates.speed_from_log(history.log_speed)
    _correct_accepted(node, task_start, outcome, now)
    placement.breaker.record_success(
        history.breaker, node.kind_failures, task_start.spec.kind
    )
    queueing.admission.record_completed(
        node.throughput, task_start.work_s, node.waiting_tasks > 0, now
    )


def _correct_accepted(node, task_start, outcome, now):
    """Count what a task took instead of what it was expected to take."""
    accepted = node.accepted.get(task_start.job.spec.customer)
    if accepted is not None:
        took_s = outcome.run_ms / 1000 * task_start.endpoint.history.speed
        excess_s = took_s - task_start.work_s
        queueing.admission.record_accepted(accepted, excess_s, now)


def _on_failed(node, task_start, outcome, now):
    job = task_start.job
    out = _note_failure(node, task_start, now)
    job.may_have_run = True
    text = outcome.output.decode(errors='replace')
    detail = f'task {task_start.task} failed: {text}'
    return out + fail_job(node, job, 'task-failed', Verdict.RAN, detail, now)


def _note_failure(node, task_start, now):
    view = task_start.endpoint
    opened = placement.breaker.record_failure(
        view.history.breaker, node.kind_failures, task_start.spec.kind, now
    )
    if not opened:
        return []
    until = view.history.breaker.open_until
    node.timers.set(('probe', view.name), until)
    return [effects.Record('breaker_opened', endpoint=view.name)]


def _on_not_run(node, task_start, outcome, now):
    """Queue a task again: it is proven that it did not run."""
    job = task_start.job
    view = task_start.endpoint
    view.history.breaker.probing = False
    node.count('starts_refused')
    if job.answer is not None:
        return []
    queueing.return_task(node.queue, job.waiting, task_start.task, now)
    count_waiting(node, job.spec.customer, 1)
    return []


def _on_leaving(node, task_start, outcome, now):
    task_start.endpoint.leaving = True
    return _on_not_run(node, task_start, outcome, now)


def _on_fenced(node, task_start, outcome, now):
    job = task_start.job
    detail = 'another entry took the job over'
    return fail_job(node, job, 'owner-lost', Verdict.MAY_HAVE_RUN, detail, now)


def _on_lost(node, task_start, outcome, now):
    job = task_start.job
    job.may_have_run = True
    out = _note_failure(node, task_start, now)
    detail = (
        f'task {task_start.task} was lost on endpoint'
        f' {task_start.endpoint.name}'
    )
    return out + fail_job(
        node, job, 'task-lost', Verdict.MAY_HAVE_RUN, detail, now
    )


def _on_stopped(node, task_start, outcome, now):
    job = task_start.job
    job.may_have_run = True
    detail = f'task {task_start.task} was stopped'
    return fail_job(node, job, 'deadline', Verdict.MAY_HAVE_RUN, detail, now)


_STATUS_HANDLERS = {
    Status.DONE: _on_done,
    Status.FAILED: _on_failed,
    Status.REFUSED: _on_not_run,
    Status.LEAVING: _on_leaving,
    Status.FENCED: _on_fenced,
    Status.LOST: _on_lost,
    Status.STOPPED: _on_stopped,
    Status.CANCELLED: _on_not_run,
}
