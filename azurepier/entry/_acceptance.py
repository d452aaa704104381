"""Admission and classification of new jobs."""

import attrs

from azurepier.entry import _dispatch
from azurepier.entry import _peers
from azurepier import jobs
from azurepier import kernel
from azurepier import placement
from azurepier import queueing

Verdict = kernel.Verdict
# A new entry knows few endpoints. During this time after its start, a job
# that none of them can run is queued instead of being refused.
ENDPOINT_DISCOVERY_S = 5.0
# Urgent work (s at speed 1) that a customer may submit beyond the share in
# its plan, so that a short run of urgent jobs is not demoted.
URGENT_BURST_S = 20.0
URGENT_USAGE_HALF_LIFE_S = 10.0
DEFAULT_RETRY_AFTER_S = 1.0
OVERLOAD_RETRY_AFTER_S = 2.0
# Share of the nominal capacity that a busy fleet achieves.
USABLE_CAPACITY_SHARE = 0.9
# Lower bound of the measured service rate, as a share of usable capacity.
MEASURED_RATE_SHARE_MIN = 0.6


def draining_refusal(node, job_id):
    """Return the answer for a new job while the entry is draining."""
    return kernel.Refused(
        job_id,
        'draining',
        Verdict.NOT_RUN,
        'this entry is shutting down',
        DEFAULT_RETRY_AFTER_S,
        _peers.alternative_web_address(node),
    )


def check_admission(node, job_id, spec, now):
    """Return the refusal of a new job, or None if it is admitted."""
    if node.draining:
        return draining_refusal(node, job_id)
    cfg = node.adoption.current
    customer = cfg.customers.get(spec.customer) if cfg else None
    refuse = _refusal_factory(job_id)
    if cfg is None:
        return refuse(
            'not-ready',
            'no configuration has been loaded',
            DEFAULT_RETRY_AFTER_S,
        )
    if customer is None:
        return refuse('unknown-customer', spec.customer)
    plan = cfg.plans[customer.plan]
    count = len(spec.tasks)
    if count > plan.largest_job:
        detail = f'{count} tasks; the plan allows {plan.largest_job}'
        return refuse('job-too-large', detail)
    if node.waiting_by_customer.get(spec.customer, 0) + count > max(
        plan.queue, count
    ):
        detail = f'the plan allows {plan.queue} waiting tasks'
        return refuse('queue-full', detail, DEFAULT_RETRY_AFTER_S)
    if jobs.table.is_full(node.table, jobs.table.spec_bytes(spec)):
        return refuse(
            'answers-full',
            'the memory for jobs and answers is full',
            DEFAULT_RETRY_AFTER_S,
        )
    if (
        not is_feasible(node, spec)
        and now - node.started_at > ENDPOINT_DISCOVERY_S
    ):
        return refuse(
            'impossible',
            'no endpoint accepts the kinds and sizes of its tasks',
        )
    return _check_load(node, spec, plan, refuse, now)


def _refusal_factory(job_id):
    def refuse(error, detail, retry_after_s=None):
        return kernel.Refused(
            job_id, error, Verdict.NOT_RUN, detail, retry_after_s
        )

    return refuse


def is_feasible(node, spec):
    """Tell whether every task of a job fits at least one known endpoint."""
    views = node.endpoints.values()
    return all(
        any(
            (not view.kinds or kind in view.kinds)
            and size <= view.largest_size
            for view in views
        )
        for kind, size in {(task.kind, task.size) for task in spec.tasks}
    )


def estimate_work(node, spec):
    """Return the expected work of each task (s at speed 1)."""
    return [
        placement.estimates.expected_work(node.estimates, spec.customer, task)
        for task in spec.tasks
    ]


def _service_rate(node):
    """Return the expected service rate (work per second) of the endpoints."""
    usable_rate = USABLE_CAPACITY_SHARE * sum(
        view.slots * view.history.speed
        for view in node.by_conn.values()
        if view.ready and not view.leaving
    )
    if not node.waiting_tasks or not node.throughput.rate:
        return usable_rate
    # The measured rate counts only completed tasks, so it is far too low
    # while long tasks run or after the loss of an endpoint.
    return max(node.throughput.rate, usable_rate * MEASURED_RATE_SHARE_MIN)


def _accepted_rate(node, customer, now):
    accepted = node.accepted_work.get(customer)
    if accepted is None:
        return 0.0
    return queueing.admission.accepted_rate(accepted, now)


def _check_load(node, spec, plan, refuse, now):
    """Refuse a job that would miss its deadline or exceed its fair share."""
    task_work = estimate_work(node, spec)
    ahead = node.queue.work_ahead(spec.customer, spec.urgent)
    rate = _service_rate(node)
    if rate <= 0 or ahead.total_s <= 0:
        node.overload.active = False
        return None
    admission = queueing.admission
    wait_s = admission.expected_wait(ahead, sum(task_work), plan.weight, rate)
    time_left_s = spec.deadline_ms / 1000
    accepted_rate = _accepted_rate(node, spec.customer, now)
    overloaded = not spec.urgent and admission.is_overloaded(
        node.overload, ahead.total_s / rate
    )
    if (
        overloaded
        and time_left_s <= admission.INTERACTIVE_MAX_S
        and admission.exceeds_share(ahead, plan.weight, rate, accepted_rate)
    ):
        detail = 'the fleet is overloaded'
        return refuse('overloaded', detail, OVERLOAD_RETRY_AFTER_S)
    if not admission.misses_deadline(wait_s, 0.0, time_left_s):
        return None
    retry_after_s = admission.retry_after(wait_s, time_left_s)
    return refuse(
        'overloaded', f'the expected wait is {wait_s:.1f} s', retry_after_s
    )


def admit_as_urgent(node, spec, work_s, longest_s, now):
    """Tell whether an accepted job is queued as urgent under its plan.

    Its work is added to the customer's usage, which limits later urgent jobs.
    A job that exceeds the urgent share or has a long-running task is queued as
    an ordinary one.
    """
    cfg = node.adoption.current
    plan = cfg.plans[cfg.customers[spec.customer].plan]
    usage = node.urgent_usage.setdefault(spec.customer, UrgentUsage(now))
    decay = 0.5 ** ((now - usage.updated_at) / URGENT_USAGE_HALF_LIFE_S)
    usage.urgent_s *= decay
    usage.total_s = usage.total_s * decay + work_s
    usage.updated_at = now
    allowed_s = plan.urgent_share * usage.total_s + URGENT_BURST_S
    if not spec.urgent or longest_s > _dispatch.LONG_RUNNING_S:
        return False
    if usage.urgent_s + work_s > allowed_s:
        node.count('urgent_demoted')
        return False
    usage.urgent_s += work_s
    _dispatch.record_urgent_work(node, work_s, now)
    return True


@attrs.define
class UrgentUsage:
    """Decaying sums of a customer's urgent and total work (s at speed 1)."""

    updated_at: float
    urgent_s: float = 0.0
    total_s: float = 0.0
