"""Recovery of jobs whose owner is lost, from reports of the endpoints."""

from azurepier.entry import _outcomes
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import messages


def recover(node, waiter, msg, now, reached_owner=True):
    """Answer a request for a job whose owner is lost.

    `reached_owner` tells whether the request may have reached the owner.
    """
    recovery = node.recoveries.get(msg.job_id)
    out = []
    if recovery is None:
        recovery = _new_recovery(node, msg, now)
        out += _query_endpoints(node, recovery, now)
    elif recovery.customer != msg.customer:
        return [_outcomes.reply(waiter, _unknown_job(msg.job_id))]
    elif recovery.spec is None and msg.body:
        # Without the job's spec, the recovery could only end in a failure, so
        # it is repeated.
        recovery.spec = jobs.spec_from_json(msg.body)
        recovery.answer = None
        out += _query_endpoints(node, recovery, now)
    recovery.owner_reached = recovery.owner_reached or reached_owner
    if recovery.answer is not None:
        return [_outcomes.reply(waiter, recovery.answer)]
    recovery.waiters.append(waiter)
    if waiter.req is not None:
        node.waiters_by_req[waiter.req] = recovery.waiters
    return out + _try_conclude(node, recovery, now)


def _unknown_job(job_id):
    return kernel.Refused(
        job_id, 'unknown-job', kernel.Verdict.MAY_HAVE_RUN, 'no such job'
    )


def _new_recovery(node, msg, now):
    spec = jobs.spec_from_json(msg.body) if msg.body else None
    wait_s = jobs.recovery.WAIT_MAX_S
    if spec is not None:
        wait_s = min(spec.deadline_ms / 1000, wait_s)
    recovery = jobs.Recovery(
        job_id=msg.job_id,
        customer=msg.customer,
        spec=spec,
        started_at=now,
        give_up_at=now + wait_s,
    )
    node.recoveries[msg.job_id] = recovery
    node.count('recoveries')
    return recovery


def _query_endpoints(node, recovery, now):
    node.recovery_queries.pop(recovery.query, None)
    recovery.query = node.next_query
    node.next_query += 1
    node.recovery_queries[recovery.query] = recovery.job_id
    recovery.awaited = set(node.by_conn)
    recovery.round_ends_at = now + jobs.recovery.REPORT_WAIT_S
    node.timers.set(('recovery', recovery.job_id), recovery.round_ends_at)
    msg = messages.FenceJob(
        query=recovery.query,
        job_id=recovery.job_id,
        customer=recovery.customer,
    )
    return [effects.Send(conn, msg) for conn in recovery.awaited]


def on_fence_report(node, view, msg, now):
    """Handle an endpoint's report on a job that is being recovered."""
    recovery = node.recoveries.get(msg.job_id)
    if recovery is None or recovery.answer is not None:
        return []
    jobs.recovery.merge_report(recovery, msg)
    if msg.query == recovery.query and not msg.more:
        recovery.awaited.discard(view.conn)
    return _try_conclude(node, recovery, now)


def on_recovery_timer(node, job_id, now):
    """End a round of reports; query the endpoints again while tasks run."""
    recovery = node.recoveries.get(job_id)
    if recovery is None or recovery.answer is not None:
        return []
    out = _try_conclude(node, recovery, now)
    if recovery.answer is None:
        out += _query_endpoints(node, recovery, now)
    return out


def _try_conclude(node, recovery, now):
    answer = jobs.recovery.final_answer(recovery, now)
    if answer is None:
        if not recovery.awaited:
            query_at = now + jobs.recovery.QUERY_INTERVAL_S
            node.timers.set(('recovery', recovery.job_id), query_at)
        return []
    recovery.answer = answer
    recovery.ended_at = now
    recovery.reports = {}
    node.recovery_queries.pop(recovery.query, None)
    out = _outcomes.reply_all(node, recovery.waiters, answer)
    outcome = getattr(answer, 'type', 'complete')
    out.append(effects.Record('recovered', recovery.job_id, detail=outcome))
    return out


def expire_recoveries(node, now):
    """Remove recovered answers after the retention period."""
    expired = [
        job_id
        for job_id, recovery in node.recoveries.items()
        if recovery.answer is not None
        and now - recovery.ended_at > jobs.table.ANSWER_RETENTION_S
    ]
    for job_id in expired:
        del node.recoveries[job_id]
