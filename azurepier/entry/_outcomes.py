"""Outcomes of tasks and answers to jobs."""

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
    """Return the effect that sends an answer to a waiter."""
    if waiter.req is not None:
        return effects.Answer(waiter.req, answer)
    body = jobs.answer_to_json(answer)
    msg = messages.ForwardAnswer(query=waiter.query, body=body)
    return effects.Send(waiter.conn, msg)


def unregister_waiter(node, waiter):
    """Remove a caller's request from the index of waiters."""
    if waiter.req is not None:
        node.waiters_by_req.pop(waiter.req, None)


def reply_all(node, waiters, answer):
    """Answer all waiters of a list and clear it."""
    out = []
    for waiter in waiters:
        unregister_waiter(node, waiter)
        out.append(reply(waiter, answer))
    waiters.clear()
    return out


def end_job(node, job, answer, now):
    """Record a job's final answer, cancel its tasks and answer all callers."""
    if job.answer is not None:
        return []
    remove_waiting_tasks(node, job)
    for task_start in job.open_starts.values():
        task_start.endpoint.pending_cancels.append(task_start.seq)
    node.timers.cancel(('deadline', job.id))
    jobs.table.end(node.table, job, answer, now)
    outcome = getattr(answer, 'type', 'complete')
    node.count(f'jobs_{outcome}')
    node.dirty = True
    out = reply_all(node, job.waiters, answer)
    out.append(effects.Record('answered', job.id, detail=outcome))
    return out


def remove_waiting_tasks(node, job):
    """Remove the waiting tasks of a job from the queue."""
    waiting = job.waiting
    adjust_waiting_count(node, job.spec.customer, -len(waiting.tasks))
    node.queue.remove(waiting)
    waiting.tasks = []
    waiting.work_s = 0.0


def adjust_waiting_count(node, customer, change):
    """Change the counts of waiting tasks; return that of the customer."""
    node.waiting_tasks += change
    count = node.waiting_by_customer.get(customer, 0) + change
    node.waiting_by_customer[customer] = count
    return count


def fail_job(node, job, error, verdict, detail, now, retry_after_s=None):
    """End a job with a `Refused` answer."""
    answer = kernel.Refused(job.id, error, verdict, detail, retry_after_s)
    return end_job(node, job, answer, now)


def on_outcome(node, view, outcome, now):
    """Handle the outcome of one start."""
    task_start = view.open_starts.pop(outcome.seq, None)
    view.pending_acks.append(outcome.seq)
    if task_start is None:
        return []
    return apply_outcome(node, task_start, outcome, now)


def apply_outcome(node, task_start, outcome, now):
    """Apply the received or inferred outcome of a start to its job."""
    job = task_start.job
    task_start.endpoint.urgent_open_starts -= task_start.urgent
    del job.open_starts[task_start.task]
    limits.record_end(node.limits, job.spec.customer, now)
    node.dirty = True
    # A later version may report a status that this one doesn't know.
    status = _STATUSES.get(outcome.status, Status.LOST)
    return _STATUS_HANDLERS[status](node, task_start, outcome, now)


def _on_done(node, task_start, outcome, now):
    job = task_start.job
    # Set first: if this handler fails, the start is not open any more.
    job.may_have_run = True
    _update_estimates(node, task_start, outcome, now)
    if job.answer is not None:
        return []
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


def _update_estimates(node, task_start, outcome, now):
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
    _correct_accepted_work(node, task_start, outcome, now)
    placement.breaker.record_success(
        history.breaker, node.kind_failures, task_start.spec.kind
    )
    queueing.admission.record_completed(
        node.throughput, task_start.work_s, node.waiting_tasks > 0, now
    )


def _correct_accepted_work(node, task_start, outcome, now):
    """Replace the expected work of a task by the actual work."""
    accepted = node.accepted_work.get(task_start.job.spec.customer)
    if accepted is not None:
        actual_s = outcome.run_ms / 1000 * task_start.endpoint.history.speed
        excess_s = actual_s - task_start.work_s
        queueing.admission.record_accepted(accepted, excess_s, now)


def _on_failed(node, task_start, outcome, now):
    job = task_start.job
    job.may_have_run = True
    out = _record_failure(node, task_start, now)
    error = outcome.output.decode(errors='replace')
    detail = f'task {task_start.task} failed: {error}'
    return out + fail_job(node, job, 'task-failed', Verdict.RAN, detail, now)


def _record_failure(node, task_start, now):
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
    """Return a task to the queue; it is proven not to have run."""
    job = task_start.job
    view = task_start.endpoint
    view.history.breaker.probing = False
    node.count('starts_refused')
    if job.answer is not None:
        return []
    queueing.return_task(node.queue, job.waiting, task_start.task, now)
    adjust_waiting_count(node, job.spec.customer, 1)
    return []


def _on_leaving(node, task_start, outcome, now):
    task_start.endpoint.leaving = True
    return _on_not_run(node, task_start, outcome, now)


def _on_fenced(node, task_start, outcome, now):
    job = task_start.job
    detail = 'another entry has recovered the job'
    return fail_job(node, job, 'owner-lost', Verdict.MAY_HAVE_RUN, detail, now)


def _on_lost(node, task_start, outcome, now):
    job = task_start.job
    job.may_have_run = True
    out = _record_failure(node, task_start, now)
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


_STATUSES = {int(status): status for status in Status}

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
