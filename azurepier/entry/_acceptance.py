"""Whether a new job is accepted, and how it is classified."""

import attrs

from azurepier.entry import _dispatch
from azurepier.entry import _peers
from azurepier import jobs
from azurepier import kernel
from azurepier import placement
from azurepier import queueing

Verdict = kernel.Verdict
# After its start an entry knows few endpoints; until then a job that none
# of them can run waits.
SETTLE_S = 5.0
# Work that a customer may mark urgent beyond its plan's share, in seconds
# of slot time, so that a few urgent jobs in a row are not demoted.
URGENT_BURST_S = 20.0
URGENT_HALF_LIFE_S = 10.0
RETRY_SOON_S = 1.0
OVERLOAD_RETRY_S = 2.0
# Share of the nominal capacity that a busy fleet reaches.
USABLE_SHARE = 0.9
MEASURED_SHARE_MIN = 0.6


def draining(node, job_id):
    return kernel.Refused(
        job_id,
        'draining',
        Verdict.NOT_RUN,
        'this entry is shutting down',
        RETRY_SOON_S,
        _peers.other_web_address(node),
    )


def check_job(node, job_id, spec, now):
    """Return why a new job is refused, or None."""
    if node.draining:
        return draining(node, job_id)
    cfg = node.adoption.current
    customer = cfg.customers.get(spec.customer) if cfg else None
    refuse = _refuser(job_id)
    if cfg is None:
        return refuse('not-ready', 'no configuration is known', RETRY_SOON_S)
    if customer is None:
        return refuse('unknown-customer', spec.customer)
    plan = cfg.plans[customer.plan]
    count = len(spec.tasks)
    if count > plan.largest_job:
        detail = f'{count} tasks; the plan allows {plan.largest_job}'
        return refuse('job-too-large', detail)
    if node.queued.get(spec.customer, 0) + count > max(plan.queue, count):
        detail = f'the plan allows {plan.queue} waiting tasks'
        return refuse('queue-full', detail, RETRY_SOON_S)
    if jobs.table.is_full(node.table, jobs.table.spec_bytes(spec)):
        return refuse('answers-full', 'memory is full', RETRY_SOON_S)
    if not is_possible(node, spec) and now - node.started_at > SETTLE_S:
        return refuse('impossible', 'no endpoint takes its kinds and sizes')
    return _check_load(node, spec, plan, refuse, now)


def _refuser(job_id):
    def refuse(error, detail, retry_after_s=None):
        return kernel.Refused(
            job_id, error, Verdict.NOT_RUN, detail, retry_after_s
        )

    return refuse


def is_possible(node, spec):
    """Tell whether the known endpoints could run each task of a job."""
    views = node.endpoints.values()
    return all(
        any(
            (not view.kinds or kind in view.kinds)
            and size <= view.largest_size
            for view in views
        )
        for kind, size in {(task.kind, task.size) for task in spec.tasks}
    )


def works_of(node, spec):
    return [
        placement.estimates.expected_work(node.estimates, spec.customer, task)
        for task in spec.tasks
    ]


def _rate(node):
    """Return the work per second that this entry's jobs can expect."""
    usable = USABLE_SHARE * sum(
        view.slots * view.history.speed
        for view in node.by_conn.values()
        if view.ready and not view.leaving
    )
    if not node.waiting_tasks or not node.throughput.rate:
        return usable
    # Only tasks that ended count in the measured rate, so it is far too low
    # while long tasks run or after an endpoint was lost.
    return max(node.throughput.rate, usable * MEASURED_SHARE_MIN)


def _accepted_rate(node, customer, now):
    accepted = node.accepted.get(customer)
    if accepted is None:
        return 0.0
    return queueing.admission.accepted_rate(accepted, now)


def _check_load(node, spec, plan, refuse, now):
    """Refuse what would miss its deadline or exceed its share."""
    works = works_of(node, spec)
    ahead = node.queue.work_ahead(spec.customer, spec.urgent)
    rate = _rate(node)
    if rate <= 0 or ahead.total_s <= 0:
        node.overload.active = False
        return None
    admission = queueing.admission
    wait_s = admission.expected_wait(ahead, sum(works), plan.weight, rate)
    left_s = spec.deadline_ms / 1000
    accepted_rate = _accepted_rate(node, spec.customer, now)
    overloaded = not spec.urgent and admission.is_overloaded(
        node.overload, ahead.total_s / rate
    )
    if (
        overloaded
        and left_s <= admission.INTERACTIVE_MAX_S
        and admission.exceeds_share(ahead, plan.weight, rate, accepted_rate)
    ):
        detail = 'the fleet is overloaded'
        return refuse('overloaded', detail, OVERLOAD_RETRY_S)
    if not admission.misses_deadline(wait_s, 0.0, left_s):
        return None
    retry_s = admission.retry_after(wait_s, left_s)
    return refuse(
        'overloaded', f'the expected wait is {wait_s:.1f} s', retry_s
    )


def counts_as_urgent(node, spec, work_s, longest_s, now):
    """Tell whether a job is treated as urgent under its plan."""
    cfg = node.adoption.current
    plan = cfg.plans[cfg.customers[spec.customer].plan]
    use = node.urgent_use.setdefault(spec.customer, UrgentUse(now))
    decay = 0.5 ** ((now - use.updated_at) / URGENT_HALF_LIFE_S)
    use.urgent_s *= decay
    use.total_s = use.total_s * decay + work_s
    use.updated_at = now
    allowed = plan.urgent_share * use.total_s + URGENT_BURST_S
    if not spec.urgent or longest_s > _dispatch.LONG_LIMIT_S:
        return False
    if use.urgent_s + work_s > allowed:
        node.count('urgent_demoted')
        return False
    use.urgent_s += work_s
    _dispatch.note_urgent(node, work_s, now)
    return True


@attrs.define
class UrgentUse:
    """Decaying sums of a customer's urgent and total work (s)."""

    updated_at: float
    urgent_s: float = 0.0
    total_s: float = 0.0
