"""Requests of callers: submission, fetching of answers, cancellation."""

from azurepier.entry import _acceptance
from azurepier.entry import _dispatch
from azurepier.entry import _leader
from azurepier.entry import _outcomes
from azurepier.entry import _peers
from azurepier.entry import _state
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier import limits
from azurepier import queueing


def on_new_ids(node, event, now):
    """Issue a block of job ids, or request it from the leader."""
    waiter = _state.Waiter(req=event.req)
    leader = _leader.find(node, now)
    if leader is not None:
        return _peers.request_ids(node, waiter, leader, event.count, now)
    return issue_ids(node, waiter, event.count, now)


def issue_ids(node, waiter, count, now):
    """Issue a block of job ids that this entry owns."""
    if node.draining:
        return [
            _outcomes.reply(waiter, _acceptance.draining_refusal(node, ''))
        ]
    ids = jobs.table.issue_ids(node.table, count, now)
    answer = kernel.Ids(ids, jobs.table.ID_VALIDITY_S)
    return [_outcomes.reply(waiter, answer)]


def on_submit(node, event, now):
    """Handle a submission from a caller of this entry."""
    waiter = _state.Waiter(req=event.req)
    spec, detach = event.spec, event.detach
    if event.job_id is not None:
        return submit(node, waiter, event.job_id, spec, detach, 0, now)
    if node.draining:
        return [
            _outcomes.reply(waiter, _acceptance.draining_refusal(node, ''))
        ]
    leader = _leader.find(node, now)
    if leader is not None:
        return _peers.submit_to_leader(node, waiter, leader, spec, detach, now)
    return submit_new(node, waiter, spec, detach, now)


def submit_new(node, waiter, spec, detach, now):
    """Submit a job under a new id of this entry."""
    if node.draining:
        return [
            _outcomes.reply(waiter, _acceptance.draining_refusal(node, ''))
        ]
    job_id = jobs.table.issue_ids(node.table, 1, now)[0]
    return submit(node, waiter, job_id, spec, detach, 0, now)


def submit(node, waiter, job_id, spec, detach, hops, now):
    """Submit a job to this entry, or forward it to the owner of its id."""
    parsed_id = kernel.ids.parse(job_id)
    if parsed_id is None:
        return [_outcomes.reply(waiter, _unknown_job(job_id))]
    if parsed_id.incarnation != node.incarnation:
        return _peers.forward_submission(
            node, waiter, parsed_id, job_id, spec, detach, hops, now
        )
    job = node.table.jobs.get(job_id)
    if job is not None:
        return _join_job(node, waiter, job, spec, detach)
    refusal = _check_id(
        node, parsed_id, job_id, now
    ) or _acceptance.check_admission(node, job_id, spec, now)
    if refusal is not None:
        if refusal.type in _FINAL_REFUSALS:
            jobs.table.add_tombstone(node.table, parsed_id, refusal.type)
        return _reply_refused(node, waiter, refusal)
    return _accept_job(node, waiter, parsed_id, job_id, spec, detach, now)


# A job refused for one of these reasons must not start later under the same
# id; otherwise the answer `not_run` would become false.
_FINAL_REFUSALS = frozenset(
    (
        'overloaded',
        'queue-full',
        'answers-full',
        'impossible',
        'job-too-large',
        'not-ready',
        'unknown-customer',
        'draining',
    )
)


def _reply_refused(node, waiter, refusal):
    node.count(f'refused_{refusal.type}')
    return [
        _outcomes.reply(waiter, refusal),
        effects.Record('refused_job', refusal.job_id, detail=refusal.type),
    ]


def _unknown_job(job_id):
    return kernel.Refused(
        job_id,
        'unknown-job',
        kernel.Verdict.NOT_RUN,
        'this id was never issued',
    )


def _join_job(node, waiter, job, spec, detach):
    """Attach a resubmission to the job that already has its id."""
    if spec.customer != job.spec.customer or spec.digest != job.spec.digest:
        refusal = kernel.Refused(
            job.id,
            'content-differs',
            kernel.Verdict.NOT_RUN,
            'another job was submitted under this id',
        )
        return [_outcomes.reply(waiter, refusal)]
    if job.answer is not None:
        return [_outcomes.reply(waiter, job.answer)]
    return _add_waiter(node, waiter, job, detach)


def _add_waiter(node, waiter, job, detach):
    """Register a waiter for the answer, or acknowledge if it detaches."""
    if detach:
        return [_outcomes.reply(waiter, kernel.Accepted(job.id))]
    job.waiters.append(waiter)
    if waiter.req is not None:
        node.waiters_by_req[waiter.req] = job.waiters
    return []


def _check_id(node, parsed_id, job_id, now):
    """Return the refusal if no job may start under an id, or None."""
    if not kernel.ids.is_authentic(job_id, node.table.secret):
        return _unknown_job(job_id)
    reason = jobs.table.find_tombstone(node.table, parsed_id)
    if reason in _FINAL_REFUSALS:
        return kernel.Refused(
            job_id,
            reason,
            kernel.Verdict.NOT_RUN,
            'the job was refused under this id; submit it under a new one',
            _acceptance.DEFAULT_RETRY_AFTER_S,
        )
    if reason is not None or jobs.table.is_expired(parsed_id, now):
        return kernel.Refused(
            job_id,
            'expired',
            kernel.Verdict.MAY_HAVE_RUN,
            'the id has expired; an earlier submission may have run',
        )
    return None


def _accept_job(node, waiter, parsed_id, job_id, spec, detach, now):
    task_work = _acceptance.estimate_work(node, spec)
    cfg = node.adoption.current
    plan = cfg.plans[cfg.customers[spec.customer].plan]
    urgent = _acceptance.admit_as_urgent(
        node, spec, sum(task_work), max(task_work), now
    )
    accepted = node.accepted_work.setdefault(
        spec.customer, queueing.admission.AcceptedWork()
    )
    queueing.admission.record_accepted(accepted, sum(task_work), now)
    waiting = queueing.WaitingJob(
        job_id=job_id,
        customer=spec.customer,
        urgent=urgent,
        weight=plan.weight,
        queued_at=now,
        deadline_at=now + spec.deadline_ms / 1000,
        tasks=[],
        work=[],
    )
    queueing.set_tasks(waiting, task_work)
    count = len(spec.tasks)
    job = jobs.Job(
        id=job_id,
        number=parsed_id.number,
        spec=spec,
        submitted_at=now,
        deadline_at=now + spec.deadline_ms / 1000,
        waiting=waiting,
        outputs=[None] * count,
        tasks_left=count,
        bytes=jobs.table.spec_bytes(spec),
    )
    jobs.table.add(node.table, job)
    node.queue.push(waiting, now)
    queued = _outcomes.adjust_waiting_count(node, spec.customer, count)
    limits.set_waiting(node.limits, spec.customer, queued, now)
    node.timers.set(('deadline', job_id), job.deadline_at)
    unservable_at = max(
        _dispatch.unservable_at(job), now + _dispatch.MIN_DISPATCH_WINDOW_S
    )
    node.timers.set(('unservable', job_id), unservable_at)
    node.count('jobs_accepted')
    node.dirty = True
    out = [effects.Record('submitted', job_id, detail=spec.customer)]
    return out + _add_waiter(node, waiter, job, detach)


def on_fetch(node, event, now):
    """Handle a caller's request for the answer to a job."""
    waiter = _state.Waiter(req=event.req)
    return fetch(
        node, waiter, event.job_id, event.customer, event.wait_s, 0, now
    )


def fetch(node, waiter, job_id, customer, wait_s, hops, now):
    """Wait for the answer to a job, or forward the request to its owner."""
    parsed_id = kernel.ids.parse(job_id)
    if parsed_id is None:
        return [_outcomes.reply(waiter, _unknown_job(job_id))]
    if parsed_id.incarnation != node.incarnation:
        return _peers.forward_request(
            node,
            waiter,
            parsed_id,
            'fetch',
            job_id,
            customer,
            wait_s,
            hops,
            now,
        )
    job = node.table.jobs.get(job_id)
    if job is None or job.spec.customer != customer:
        # A submission may still be on its way, so this proves nothing.
        refusal = _check_id(node, parsed_id, job_id, now) or kernel.Refused(
            job_id, 'unknown-job', kernel.Verdict.MAY_HAVE_RUN, 'no such job'
        )
        return [_outcomes.reply(waiter, refusal)]
    if job.answer is not None:
        return [_outcomes.reply(waiter, job.answer)]
    if wait_s <= 0:
        return [_outcomes.reply(waiter, kernel.Accepted(job_id))]
    job.waiters.append(waiter)
    if waiter.req is not None:
        node.waiters_by_req[waiter.req] = job.waiters
    node.timers.set(('fetch', (job_id, waiter)), now + wait_s)
    return []


def on_fetch_timer(node, key, now):
    """Answer a caller whose wait has expired before the job ended."""
    job_id, waiter = key
    job = node.table.jobs.get(job_id)
    if job is None or waiter not in job.waiters:
        return []
    job.waiters.remove(waiter)
    _outcomes.unregister_waiter(node, waiter)
    return [_outcomes.reply(waiter, kernel.Accepted(job_id))]


def on_cancel(node, event, now):
    """Handle a caller's request to cancel a job."""
    waiter = _state.Waiter(req=event.req)
    return cancel(node, waiter, event.job_id, event.customer, 0, now)


def cancel(node, waiter, job_id, customer, hops, now):
    """Cancel a job, or forward the request to its owner."""
    parsed_id = kernel.ids.parse(job_id)
    if parsed_id is None:
        return [_outcomes.reply(waiter, _unknown_job(job_id))]
    if parsed_id.incarnation != node.incarnation:
        return _peers.forward_request(
            node, waiter, parsed_id, 'cancel', job_id, customer, 0.0, hops, now
        )
    job = node.table.jobs.get(job_id)
    if job is None or job.spec.customer != customer:
        refusal = _check_id(node, parsed_id, job_id, now)
        if refusal is None:
            # The id is marked as used: a submission that arrives after its
            # own cancellation must not start.
            jobs.table.add_tombstone(node.table, parsed_id, 'expired')
            refusal = kernel.Refused(
                job_id,
                'cancelled',
                kernel.Verdict.NOT_RUN,
                'cancelled before it was submitted',
            )
        return [_outcomes.reply(waiter, refusal)]
    out = []
    if job.answer is None:
        out = _outcomes.fail_job(
            node,
            job,
            'cancelled',
            jobs.table.verdict(job),
            'cancelled by the caller',
            now,
        )
    return [*out, _outcomes.reply(waiter, job.answer)]


def on_deadline(node, job_id, now):
    """Fail a job whose deadline has passed."""
    job = node.table.jobs.get(job_id)
    if job is None or job.answer is not None:
        return []
    return _outcomes.fail_job(
        node,
        job,
        'deadline',
        jobs.table.verdict(job),
        'the deadline has passed',
        now,
        retry_after_s=_acceptance.DEFAULT_RETRY_AFTER_S,
    )


def on_abandon(node, event, now):
    """Remove the waiter of a caller that disconnected; its job continues."""
    waiters = node.waiters_by_req.pop(event.req, None)
    if waiters is not None:
        waiters[:] = [w for w in waiters if w.req != event.req]
    return []


def on_discovery_timer(node, _, now):
    """Refuse queued jobs that no known endpoint can run.

    Called once, `ENDPOINT_DISCOVERY_S` after the start of the entry.
    """
    out = []
    for job in list(node.table.jobs.values()):
        if job.answer is None and not _acceptance.is_feasible(node, job.spec):
            if job.may_have_run or job.open_starts:
                continue
            out += _outcomes.fail_job(
                node,
                job,
                'impossible',
                kernel.Verdict.NOT_RUN,
                'no endpoint accepts the kinds and sizes of its tasks',
                now,
            )
    return out
