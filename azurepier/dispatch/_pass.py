"""One pass over the waiting jobs: starts, and jobs that are turned away."""

import attrs

from azurepier.dispatch import _bounds
from azurepier.dispatch import _demand
from azurepier.dispatch import _model
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _reserve
from azurepier.dispatch import _runs
from azurepier.kernel import effects
from azurepier.kernel import Verdict

# While endpoints connect one by one, what they offer together is unknown (s).
# After a loss of power eleven endpoint processes connect within 0.4 s.
OPENING_S = 0.4
# With no endpoint reachable for so long, begun jobs are given up (s).
STRANDED_S = 1.0
MS_PER_S = 1000
RETRY_SOON_S = 1


def on_pass(node, _, now):
    """Start what can be started, and reject what can't be in time."""
    by_pool = {}
    for job in node.jobs.values():
        if job.waiting:
            by_pool.setdefault(job.queue.pool, []).append(job)
    out = []
    for pool, jobs in by_pool.items():
        out += _dispatch_pool(node, pool, jobs, now)
    if by_pool:
        node.timers.set('late', now + _bounds.BEAT_S)
    return out + _runs.flush(node, now)


def _dispatch_pool(node, pool, jobs, now):
    open_ = [
        endpoint
        for endpoint in node.by_conn.values()
        if endpoint.pool == pool and _placement.is_open(endpoint)
    ]
    supply = _supply(node, pool, open_, now)
    ordered = _order.in_order(jobs, supply.fastest, now)
    for job in ordered:
        node.handling = job
        _start_tasks(node, open_, job, now)
    node.handling = None
    waiting = [job for job in ordered if job.waiting]
    out = _give_back_stranded(node, pool, waiting, bool(open_), now)
    for job, wait_s, slack_s in _order.hopeless(waiting, supply, now):
        if _placement.has_spare_room(open_, job):
            # Slow endpoints are free; late is better than not at all.
            _start_tasks(node, open_, job, now, at_once=True)
            if job.begun:
                continue
        backlog = sum(map(_order.work, waiting))
        after = _order.retry_after(backlog / supply.rate, node.rng)
        rejected = _model.Rejected('overload', after)
        inputs = {
            'job_id': job.spec.id,
            'wait_ms': round(wait_s * MS_PER_S),
            'slack_ms': round(slack_s * MS_PER_S),
            'waiting_jobs': len(waiting),
            'cores': round(supply.rate, 1),
            'endpoints': len(open_),
            'free_cpu': sum(endpoint.free_cpu for endpoint in open_),
            'oldest_report_ms': round(_oldest_s(open_, now) * MS_PER_S),
        }
        out.append(effects.Log('job_hopeless', inputs))
        out += _runs.finish(node, job, rejected, now)
    return out


def _oldest_s(endpoints, now):
    """Return the age of the oldest news from an endpoint (s)."""
    return max((now - each.last_heard for each in endpoints), default=0.0)


def _start_tasks(node, open_, job, now, at_once=False):
    while job.waiting:
        task = job.waiting[-1]
        if task.not_before > now or task.name in node.running_names:
            return
        if not at_once and _reserve.is_kept(node, open_, job, now):
            return
        endpoint = _placement.choose(open_, job, now, node.rng, at_once)
        if endpoint is None:
            return
        _runs.start(node, endpoint, job, now)


def _give_back_stranded(node, pool, waiting, any_open, now):
    """Give up begun jobs when no endpoint has been reachable for long.

    Another entry may reach some; the caller sends again.
    """
    if any_open:
        if node.stranded_since.pop(pool, None) is not None:
            node.opened_at = now
        return []
    since = node.stranded_since.setdefault(pool, now)
    if now - since < STRANDED_S:
        return []
    out = []
    for job in list(waiting):
        if job.begun and not job.running:
            waiting.remove(job)
            rejected = _model.Rejected(
                'no_endpoint', RETRY_SOON_S, Verdict.MAY_HAVE_RUN
            )
            out += _runs.finish(node, job, rejected, now)
    return out


def _supply(node, pool, open_, now):
    if not open_:
        return _order.UNKNOWN
    # Endpoints that fail their tasks take a trial now and then.
    open_ = [each for each in open_ if _placement.is_sound(each)] or open_
    fastest = max(endpoint.speed for endpoint in open_)
    if now - node.opened_at < OPENING_S:
        return attrs.evolve(_order.UNKNOWN, fastest=fastest)
    mine = _demand.cores_of_each(node)
    cores = sum(
        endpoint.cpu / 1000 * endpoint.speed * _demand.share(endpoint, mine)
        for endpoint in open_
    )
    return _order.Supply(fastest, cores)
