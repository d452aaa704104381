"""Weighted fair queueing between customers, with small jobs first.

Customers are ordered by the score of their first job: the job's key, which
grows with its arrival time and its expected work, plus the weighted service
that the customer has received since the queue was last empty. The lowest
score is served first. Between customers with equal service the smallest job
wins; a customer that has received more service than the others is deferred.
"""

import heapq

import attrs
import sortedcontainers

from azurepier.kernel import registry
from azurepier.queueing import _discipline

# The key of a job is its arrival time plus its expected work times this
# factor: small jobs overtake large ones, but only for a limited time.
SIZE_FACTOR = 2.0
# The key is at most the deadline minus this time, so that a large job near
# its deadline ranks like a small job that has just arrived.
DEADLINE_LEAD_S = 3.0
# Weight of a customer's received service relative to the key of its first job.
SERVED_WEIGHT = 10.0
# Blocked jobs of a customer that are tried before the next customer is served.
BLOCKED_JOBS_MAX = 4


@attrs.define(eq=False)
class _Customer:
    name: str
    served: float = 0.0  # work / weight since the queue was last empty
    jobs: object = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda waiting: waiting.key
        )
    )
    work_s: float = 0.0
    weight: float = 1.0
    version: int = 0  # version of its valid heap item; others are stale


@attrs.define(eq=False)
class _PriorityClass:
    """Customers with urgent or with ordinary jobs, ordered by score.

    The heap uses lazy deletion: an item is valid only if it carries the
    current version of its customer. `last_version` is the version of the
    newest item.
    """

    customers: dict = attrs.field(factory=dict)
    heap: list = attrs.field(factory=list)
    last_version: int = 0
    job_count: int = 0
    min_served: float = 0.0  # lower bound of `served` for returning customers


def _push_customer(priority_class, customer):
    """Push a customer onto the heap with its current score."""
    if not customer.jobs:
        return
    priority_class.last_version += 1
    customer.version = priority_class.last_version
    score = customer.jobs[0].key + SERVED_WEIGHT * customer.served
    heapq.heappush(
        priority_class.heap, (score, priority_class.last_version, customer)
    )


def _push(priority_class, waiting):
    if waiting.queued or not waiting.tasks:
        return
    customer = priority_class.customers.get(waiting.customer)
    if customer is None:
        customer = priority_class.customers[waiting.customer] = _Customer(
            waiting.customer
        )
    if not customer.jobs:
        # A customer gains no priority from the time in which it was idle.
        customer.served = max(customer.served, priority_class.min_served)
    customer.weight = waiting.weight
    size_key = waiting.queued_at + SIZE_FACTOR * waiting.work_s
    waiting.key = min(size_key, waiting.deadline_at - DEADLINE_LEAD_S)
    waiting.queued = True
    customer.jobs.add(waiting)
    customer.work_s += waiting.work_s
    priority_class.job_count += 1
    _push_customer(priority_class, customer)


def _remove(priority_class, waiting):
    if not waiting.queued:
        return
    customer = priority_class.customers[waiting.customer]
    customer.work_s -= waiting.work_s
    _remove_job(priority_class, customer, waiting)
    _push_customer(priority_class, customer)


def _remove_job(priority_class, customer, waiting):
    customer.jobs.remove(waiting)
    waiting.queued = False
    priority_class.job_count -= 1
    if not priority_class.job_count:
        _reset_service(priority_class)


def _reset_service(priority_class):
    """Reset the received service once the queue is empty.

    No customer is waiting, so the service received so far delays nobody and
    must not defer its receivers later.
    """
    priority_class.min_served = 0.0
    priority_class.heap.clear()
    for customer in priority_class.customers.values():
        customer.served = 0.0
        customer.work_s = 0.0
        customer.version = 0


def _next_customer(priority_class):
    while priority_class.heap:
        _, version, customer = heapq.heappop(priority_class.heap)
        if customer.version == version and customer.jobs:
            return customer
    return None


def _class_candidates(priority_class):
    blocked = []
    try:
        while True:
            customer = _next_customer(priority_class)
            if customer is None:
                return
            blocked.append(customer)
            started = yield from _customer_candidates(priority_class, customer)
            if started:
                blocked.pop()
                _push_customer(priority_class, customer)
    finally:
        for customer in blocked:
            _push_customer(priority_class, customer)


def _customer_candidates(priority_class, customer):
    """Yield a customer's jobs until one starts a task.

    Returns
    -------
    bool
        Whether a task was started.
    """
    tried = 0
    while tried < min(len(customer.jobs), BLOCKED_JOBS_MAX):
        waiting = customer.jobs[tried]
        work_before_s = waiting.work_s
        result = yield waiting
        if result is _discipline.DispatchResult.STARTED:
            _charge(
                priority_class,
                customer,
                waiting,
                work_before_s - waiting.work_s,
            )
            return True
        if result is _discipline.DispatchResult.CUSTOMER_BLOCKED:
            return False
        tried += 1
    return False


def _charge(priority_class, customer, waiting, started_s):
    """Charge a customer for a started task of `started_s` work."""
    priority_class.min_served = max(
        priority_class.min_served, _min_served(priority_class)
    )
    customer.served += started_s / waiting.weight
    customer.work_s -= started_s
    if not waiting.tasks and waiting.queued:
        _remove_job(priority_class, customer, waiting)


def _min_served(priority_class):
    return min(
        (c.served for c in priority_class.customers.values() if c.jobs),
        default=0.0,
    )


@registry.register('queueing', 'fair')
def fair():
    """Return a new weighted fair queue that serves urgent jobs first."""
    classes = {True: _PriorityClass(), False: _PriorityClass()}

    def push(waiting, now):
        _push(classes[waiting.urgent], waiting)

    def remove(waiting):
        _remove(classes[waiting.urgent], waiting)

    def candidates():
        for urgent in (True, False):
            yield from _class_candidates(classes[urgent])

    def work_ahead(customer, urgent):
        own = classes[urgent].customers.get(customer)
        customer_s = own.work_s if own is not None else 0.0
        total_s = other_weights = 0.0
        for name, other in classes[urgent].customers.items():
            if other.jobs:
                total_s += other.work_s
                if name != customer:
                    other_weights += other.weight
        if not urgent:
            total_s += sum(c.work_s for c in classes[True].customers.values())
        return _discipline.WorkAhead(customer_s, total_s, other_weights)

    return _discipline.Discipline(push, remove, candidates, work_ahead)
