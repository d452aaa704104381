"""Dispatch pass over the waiting jobs: starts and rejections."""

from azurepier.dispatch import _arrival
from azurepier.dispatch import _bounds
from azurepier.dispatch import _crashes
from azurepier.dispatch import _evacuation
from azurepier.dispatch import _lookahead
from azurepier.dispatch import _model
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _priority
from azurepier.dispatch import _runs
from azurepier.dispatch import _supply
from azurepier.kernel import effects
from azurepier.kernel import Verdict

MS_PER_S = 1000
RETRY_SOON_S = 1


def on_pass_timer(node, _, now):
    """Have the callers confirmed if jobs wait; the pass follows.

    A caller that has left may have submitted its job to another entry, where
    its tasks run. Its disconnection can be unread for long: after a pause of
    the process, in a late event loop, or behind other data. So each pass
    depends on the state of the connections at that time, not on what has been
    read of them.
    """
    if any(job.waiting for job in node.jobs.values()):
        return [_model.ConfirmCallers()]
    return []


def on_callers_confirmed(node, _, now):
    """Start tasks where possible, and reject unservable jobs."""
    by_pool = {}
    for job in node.jobs.values():
        if job.waiting:
            by_pool.setdefault(job.queue.pool, []).append(job)
    out = _arrival.update(node, now)
    for pool, jobs in by_pool.items():
        out += _dispatch_pool(node, pool, jobs, now)
    if by_pool:
        node.timers.set('recheck', now + _bounds.HEARTBEAT_S)
    return out + _runs.flush(node, now)


def _dispatch_pool(node, pool, jobs, now):
    open_endpoints = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == pool and _placement.is_open(endpoint)
    ]
    supply = _supply.pool_supply(node, pool, open_endpoints, now)
    supply_expected = _supply.is_expected(
        node, pool, bool(open_endpoints), now
    )
    arrival = _arrival.make_review(node, open_endpoints, supply, now)
    ordered = _order.sort_jobs(
        jobs, supply.max_speed, now, supply_expected or arrival is not None
    )
    ordered = _priority.sort_jobs(node, open_endpoints, ordered, now)
    for job in ordered:
        if arrival is not None and arrival.is_late(job):
            # These come after all others, below.
            continue
        node.current_job = job
        _start_tasks(node, open_endpoints, job, now)
    node.current_job = None
    waiting = [job for job in ordered if job.waiting]
    out = _reject_without_endpoint(
        node, pool, waiting, bool(open_endpoints), now
    )
    unservable = []
    if not supply_expected or arrival is not None:
        unservable = _order.find_unservable(waiting, supply, now)
    if arrival is not None:
        unservable = arrival.sort(unservable, supply_expected)
    for job, wait_s, slack_s in unservable:
        if arrival is not None and arrival.covers(job):
            if arrival.may_start(job):
                _start_tasks(node, open_endpoints, job, now, allow_late=True)
                if job.has_started:
                    continue
            if arrival.is_servable(job):
                continue
        elif _placement.has_spare_capacity(open_endpoints, job):
            # Only slow endpoints are free. A late answer is better than a
            # rejection.
            _start_tasks(node, open_endpoints, job, now, allow_late=True)
            if job.has_started:
                continue
        backlog = sum(map(_order.waiting_work, waiting))
        retry_after_s = _order.retry_after_s(backlog / supply.cores, node.rng)
        reason = 'overload'
        if arrival is not None and arrival.is_useless(job):
            reason, retry_after_s = 'too_late', RETRY_SOON_S
        rejected = _model.Rejected(reason, retry_after_s)
        fields = {
            'job_id': job.request.id,
            'wait_ms': round(wait_s * MS_PER_S),
            'slack_ms': round(slack_s * MS_PER_S),
            'waiting_jobs': len(waiting),
            'cores': round(supply.cores, 1),
            'endpoints': len(open_endpoints),
            'free_cpu': sum(endpoint.free_cpu for endpoint in open_endpoints),
            'oldest_report_ms': round(
                _oldest_report_age_s(open_endpoints, now) * MS_PER_S
            ),
        }
        fields.update(_priority.status(node, now))
        out.append(effects.Log('job_unservable', fields))
        out += _runs.finish_job(node, job, rejected, now)
    return out


def _oldest_report_age_s(endpoints, now):
    """Return the time since the least recent message of an endpoint (s)."""
    return max(
        (now - each.last_received_at for each in endpoints), default=0.0
    )


def _start_tasks(node, open_endpoints, job, now, allow_late=False):
    while job.waiting:
        task = job.waiting[-1]
        if task.not_before > now or task.name in node.run_count_by_task:
            return
        if not allow_late and _priority.is_deferred(
            node, open_endpoints, job, now
        ):
            return
        endpoints = open_endpoints
        if _crashes.suspicion(node, task.name):
            endpoints = _crashes.choose_apart(node, open_endpoints, job)
        endpoint = _placement.choose(endpoints, job, now, node.rng, allow_late)
        start_at = None
        if endpoint is None:
            if _crashes.suspicion(node, task.name):
                return
            if not job.has_started or not _lookahead.is_in_use(node):
                return
            found = _lookahead.choose(open_endpoints, job, now, node.rng)
            if found is None:
                return
            endpoint, start_at = found
        _runs.start_run(node, endpoint, job, now, start_at)
        _priority.record_start(node, job, now)


def _reject_without_endpoint(node, pool, waiting, any_open, now):
    """Reject the started jobs of a pool without endpoints after a timeout.

    The caller resubmits the job to another entry, which may reach endpoints.
    Jobs that have not started are rejected at once if all endpoints are
    evacuated.
    """
    if any_open:
        if node.unavailable_since.pop(pool, None) is not None:
            node.warm_up_since = now
        return []
    since = node.unavailable_since.setdefault(pool, now)
    out = _reject_if_evacuated(node, pool, waiting, now)
    if now - since < _supply.NO_ENDPOINT_TIMEOUT_S:
        return out
    for job in list(waiting):
        if job.has_started and not job.running:
            waiting.remove(job)
            rejected = _model.Rejected(
                'no_endpoint', RETRY_SOON_S, Verdict.MAY_HAVE_RUN
            )
            out += _runs.finish_job(node, job, rejected, now)
    return out


def _reject_if_evacuated(node, pool, waiting, now):
    """Reject the jobs that have not started if the pool is evacuated."""
    if not _supply.is_pool_evacuated(node, pool, now):
        return []
    out = []
    for job in [each for each in waiting if not each.has_started]:
        waiting.remove(job)
        rejected = _model.Rejected('evacuated', _evacuation.RETRY_EVACUATED_S)
        out += _runs.finish_job(node, job, rejected, now)
    return out
