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
    current version of its customer.
    """

    customers: dict = attrs.field(factory=dict)
    heap: list = attrs.field(factory=list)
    counter: int = 0
    jobs: int = 0
    min_served: float = 0.0  # lower bound of `served` for returning customers


def _push_customer(cls, customer):
    """Push a customer onto the heap with its current score."""
    if not customer.jobs:
        return
    cls.counter += 1
    customer.version = cls.counter
    score = customer.jobs[0].key + SERVED_WEIGHT * customer.served
    heapq.heappush(cls.heap, (score, cls.counter, customer))


def _push(cls, waiting):
    if waiting.queued or not waiting.tasks:
        return
    customer = cls.customers.get(waiting.customer)
    if customer is None:
        customer = cls.customers[waiting.customer] = _Customer(
            waiting.customer
        )
    if not customer.jobs:
        # An idle customer does not accumulate a claim to later service.
        customer.served = max(customer.served, cls.min_served)
    customer.weight = waiting.weight
    size_key = waiting.queued_at + SIZE_FACTOR * waiting.work_s
    waiting.key = min(size_key, waiting.deadline_at - DEADLINE_LEAD_S)
    waiting.queued = True
    customer.jobs.add(waiting)
    customer.work_s += waiting.work_s
    cls.jobs += 1
    _push_customer(cls, customer)


def _remove(cls, waiting):
    if not waiting.queued:
        return
    customer = cls.customers[waiting.customer]
    customer.work_s -= waiting.work_s
    _remove_job(cls, customer, waiting)
    _push_customer(cls, customer)


def _remove_job(cls, customer, waiting):
    customer.jobs.remove(waiting)
    waiting.queued = False
    cls.jobs -= 1
    if not cls.jobs:
        _reset_service(cls)


def _reset_service(cls):
    """Reset the received service once the queue is empty.

    Nobody waits any more, so the service given so far is at nobody's expense
    and must not defer a customer later.
    """
    cls.min_served = 0.0
    cls.heap.clear()
    for customer in cls.customers.values():
        customer.served = 0.0
        customer.work_s = 0.0
        customer.version = 0


def _next_customer(cls):
    while cls.heap:
        _, version, customer = heapq.heappop(cls.heap)
        if customer.version == version and customer.jobs:
            return customer
    return None


def _class_candidates(cls):
    blocked = []
    try:
        while True:
            customer = _next_customer(cls)
            if customer is None:
                return
            blocked.append(customer)
            started = yield from _customer_candidates(cls, customer)
            if started:
                blocked.pop()
                _push_customer(cls, customer)
    finally:
        for customer in blocked:
            _push_customer(cls, customer)


def _customer_candidates(cls, customer):
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
            _charge(cls, customer, waiting, work_before_s - waiting.work_s)
            return True
        if result is _discipline.DispatchResult.CUSTOMER_BLOCKED:
            return False
        tried += 1
    return False


def _charge(cls, customer, waiting, started_s):
    """Charge a customer for a started task of `started_s` work."""
    cls.min_served = max(cls.min_served, _least_served(cls))
    customer.served += started_s / waiting.weight
    customer.work_s -= started_s
    if not waiting.tasks and waiting.queued:
        _remove_job(cls, customer, waiting)


def _least_served(cls):
    return min(
        (c.served for c in cls.customers.values() if c.jobs), default=0.0
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
