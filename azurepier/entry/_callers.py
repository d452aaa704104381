"""Callers' requests: submission, waiting for answers, cancellation."""

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
    """Get a block of job ids from the entry that dispatches new jobs."""
    waiter = _state.Waiter(req=event.req)
    leader = _leader.find(node, now)
    if leader is not None:
        return _peers.ask_for_ids(node, waiter, leader, event.count, now)
    return issue_ids(node, waiter, event.count, now)


def issue_ids(node, waiter, count, now):
    """Issue a block of job ids that this entry owns."""
    if node.draining:
        return [_outcomes.reply(waiter, _acceptance.draining(node, ''))]
    ids = jobs.table.issue_ids(node.table, count, now)
    answer = kernel.Ids(ids, jobs.table.ID_VALIDITY_S)
    return [_outcomes.reply(waiter, answer)]


def on_submit(node, event, now):
    """Take a submission from a caller of this entry."""
    waiter = _state.Waiter(req=event.req)
    spec, detach = event.spec, event.detach
    if event.job_id is not None:
        return submit(node, waiter, event.job_id, spec, detach, 0, now)
    if node.draining:
        return [_outcomes.reply(waiter, _acceptance.draining(node, ''))]
    leader = _leader.find(node, now)
    if leader is not None:
        return _peers.submit_to(node, waiter, leader, spec, detach, now)
    return submit_new(node, waiter, spec, detach, now)


def submit_new(node, waiter, spec, detach, now):
    """Submit a job under a new id of this entry."""
    if node.draining:
        return [_outcomes.reply(waiter, _acceptance.draining(node, ''))]
    job_id = jobs.table.issue_ids(node.table, 1, now)[0]
    return submit(node, waiter, job_id, spec, detach, 0, now)


def submit(node, waiter, job_id, spec, detach, hops, now):
    """Submit a job here or pass it to its owner."""
    parts = kernel.ids.parse(job_id)
    if parts is None:
        return [_outcomes.reply(waiter, _unknown(job_id))]
    if parts.incarnation != node.incarnation:
        return _peers.pass_on_submit(
            node, waiter, parts, job_id, spec, detach, hops, now
        )
    job = node.table.jobs.get(job_id)
    if job is not None:
        return _join(node, waiter, job, spec, detach)
    refusal = _check_id(node, parts, job_id, now) or _acceptance.check_job(
        node, job_id, spec, now
    )
    if refusal is not None:
        if refusal.type in _FINAL_REFUSALS:
            jobs.table.add_tombstone(node.table, parts, refusal.type)
        return _refused(node, waiter, refusal)
    return _accept(node, waiter, parts, job_id, spec, detach, now)


# A job that was refused for one of these reasons does not start later under
# the same id, so that the answer `not_run` stays true.
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


def _refused(node, waiter, refusal):
    node.count(f'refused_{refusal.type}')
    return [
        _outcomes.reply(waiter, refusal),
        effects.Record('refused_job', refusal.job_id, detail=refusal.type),
    ]


def _unknown(job_id):
    return kernel.Refused(
        job_id,
        'unknown-job',
        kernel.Verdict.NOT_RUN,
        'this id was never issued',
    )


def _join(node, waiter, job, spec, detach):
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
    return _wait(node, waiter, job, detach)


def _wait(node, waiter, job, detach):
    if detach:
        return [_outcomes.reply(waiter, kernel.Accepted(job.id))]
    job.waiters.append(waiter)
    if waiter.req is not None:
        node.pending[waiter.req] = job.waiters
    return []


def _check_id(node, parts, job_id, now):
    if not kernel.ids.is_authentic(job_id, node.table.secret):
        return _unknown(job_id)
    reason = jobs.table.find_tombstone(node.table, parts)
    if reason in _FINAL_REFUSALS:
        return kernel.Refused(
            job_id,
            reason,
            kernel.Verdict.NOT_RUN,
            'the job was refused under this id; submit it under a new one',
            _acceptance.RETRY_SOON_S,
        )
    if reason is not None or jobs.table.is_expired(parts, now):
        return kernel.Refused(
            job_id,
            'expired',
            kernel.Verdict.MAY_HAVE_RUN,
            'the id has expired; an earlier submission may have run',
        )
    return None


def _accept(node, waiter, parts, job_id, spec, detach, now):
    works = _acceptance.works_of(node, spec)
    cfg = node.adoption.current
    plan = cfg.plans[cfg.customers[spec.customer].plan]
    urgent = _acceptance.counts_as_urgent(
        node, spec, sum(works), max(works), now
    )
    accepted = node.accepted.setdefault(
        spec.customer, queueing.admission.AcceptedWork()
    )
    queueing.admission.record_accepted(accepted, sum(works), now)
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
    queueing.set_tasks(waiting, works)
    count = len(spec.tasks)
    job = jobs.Job(
        id=job_id,
        number=parts.number,
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
    queued = _outcomes.count_waiting(node, spec.customer, count)
    limits.demand(node.limits, spec.customer, queued, now)
    node.timers.set(('deadline', job_id), job.deadline_at)
    late_at = max(_dispatch.late_at(job), now + _dispatch.TRY_AT_LEAST_S)
    node.timers.set(('late', job_id), late_at)
    node.count('jobs_accepted')
    node.dirty = True
    out = [effects.Record('submitted', job_id, detail=spec.customer)]
    return out + _wait(node, waiter, job, detach)


def on_fetch(node, event, now):
    """Wait for a job's answer for a caller of this entry."""
    waiter = _state.Waiter(req=event.req)
    return fetch(
        node, waiter, event.job_id, event.customer, event.wait_s, 0, now
    )


def fetch(node, waiter, job_id, customer, wait_s, hops, now):
    """Wait for a job's answer here or pass the request to its owner."""
    parts = kernel.ids.parse(job_id)
    if parts is None:
        return [_outcomes.reply(waiter, _unknown(job_id))]
    if parts.incarnation != node.incarnation:
        return _peers.pass_on(
            node, waiter, parts, 'fetch', job_id, customer, wait_s, hops, now
        )
    job = node.table.jobs.get(job_id)
    if job is None or job.spec.customer != customer:
        refusal = _check_id(node, parts, job_id, now) or kernel.Refused(
            job_id, 'unknown-job', kernel.Verdict.NOT_RUN, 'no such job'
        )
        return [_outcomes.reply(waiter, refusal)]
    if job.answer is not None:
        return [_outcomes.reply(waiter, job.answer)]
    if wait_s <= 0:
        return [_outcomes.reply(waiter, kernel.Accepted(job_id))]
    job.waiters.append(waiter)
    if waiter.req is not None:
        node.pending[waiter.req] = job.waiters
    node.timers.set(('fetch', (job_id, waiter)), now + wait_s)
    return []


def on_fetch_timer(node, key, now):
    """Tell a caller that the job has not ended yet."""
    job_id, waiter = key
    job = node.table.jobs.get(job_id)
    if job is None or waiter not in job.waiters:
        return []
    job.waiters.remove(waiter)
    _outcomes.forget_waiter(node, waiter)
    return [_outcomes.reply(waiter, kernel.Accepted(job_id))]


def on_cancel(node, event, now):
    """Cancel a job for a caller of this entry."""
    waiter = _state.Waiter(req=event.req)
    return cancel(node, waiter, event.job_id, event.customer, 0, now)


def cancel(node, waiter, job_id, customer, hops, now):
    """Cancel a job here or pass the request to its owner."""
    parts = kernel.ids.parse(job_id)
    if parts is None:
        return [_outcomes.reply(waiter, _unknown(job_id))]
    if parts.incarnation != node.incarnation:
        return _peers.pass_on(
            node, waiter, parts, 'cancel', job_id, customer, 0.0, hops, now
        )
    job = node.table.jobs.get(job_id)
    if job is None or job.spec.customer != customer:
        refusal = _check_id(node, parts, job_id, now)
        if refusal is None:
            # The id stays unusable: a submission that arrives after its
            # own cancellation must not start.
            jobs.table.add_tombstone(node.table, parts, 'expired')
            refusal = kernel.Refused(
                job_id,
                'cancelled',
                kernel.Verdict.NOT_RUN,
                'cancelled before use',
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
    """Answer a job whose deadline has passed."""
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
        retry_after_s=_acceptance.RETRY_SOON_S,
    )


def on_abandon(node, event, now):
    """Forget a caller that disconnected; its job goes on."""
    waiters = node.pending.pop(event.req, None)
    if waiters is not None:
        waiters[:] = [w for w in waiters if w.req != event.req]
    return []


def on_settled(node, _, now):
    """Refuse queued jobs that turn out to be impossible."""
    out = []
    for job in list(node.table.jobs.values()):
        if job.answer is None and not _acceptance.is_possible(node, job.spec):
            if job.may_have_run or job.open:
                continue
            out += _outcomes.fail_job(
                node,
                job,
                'impossible',
                kernel.Verdict.NOT_RUN,
                'no endpoint takes its kinds and sizes',
                now,
            )
    return out
