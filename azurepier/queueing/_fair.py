"""Weighted fair queueing between customers, small jobs first within one."""

import heapq

import attrs
import sortedcontainers

from azurepier.kernel import registry
from azurepier.queueing import _discipline

# A job's place among its customer's is its arrival plus this many times its
# expected work: small jobs pass large ones, but not for ever.
AGEING = 2.0
# Jobs of a customer that are tried before its turn passes on.
BLOCKED_JOBS_MAX = 4


@attrs.define
class _Customer:
    name: str
    served: float = 0.0  # virtual time
    jobs: object = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda waiting: waiting.key
        )
    )
    work_s: float = 0.0
    weight: float = 1.0
    entered: bool = False  # has a place in the heap of its class


@attrs.define
class _Class:
    """Customers of one class in the order of their virtual time."""

    customers: dict = attrs.field(factory=dict)
    heap: list = attrs.field(factory=list)
    virtual: float = 0.0
    counter: int = 0


def _enter(cls, customer):
    if customer.entered or not customer.jobs:
        return
    customer.entered = True
    cls.counter += 1
    heapq.heappush(cls.heap, (customer.served, cls.counter, customer))


def _push(classes, waiting, now):
    if waiting.queued or not waiting.tasks:
        return
    cls = classes[waiting.urgent]
    customer = cls.customers.get(waiting.customer)
    if customer is None:
        customer = cls.customers[waiting.customer] = _Customer(
            waiting.customer
        )
    if not customer.jobs:
        # An idle customer starts level with the others; it neither saves up
        # a claim nor pays for service that nobody else wanted.
        customer.served = max(customer.served, cls.virtual)
    waiting.key = waiting.queued_at + AGEING * waiting.work_s
    waiting.queued = True
    customer.weight = waiting.weight
    customer.jobs.add(waiting)
    customer.work_s += waiting.work_s
    _enter(cls, customer)


def _remove(classes, waiting):
    if not waiting.queued:
        return
    customer = classes[waiting.urgent].customers[waiting.customer]
    customer.jobs.remove(waiting)
    customer.work_s -= waiting.work_s
    waiting.queued = False


def _next_customer(cls):
    while cls.heap:
        _, _, customer = heapq.heappop(cls.heap)
        customer.entered = False
        if customer.jobs:
            cls.virtual = max(cls.virtual, customer.served)
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
            started = yield from _customer_candidates(customer)
            if started:
                blocked.pop()
                _enter(cls, customer)
    finally:
        for customer in blocked:
            _enter(cls, customer)


def _customer_candidates(customer):
    """Offer jobs until one starts a task; tell whether one did."""
    tried = 0
    while tried < min(len(customer.jobs), BLOCKED_JOBS_MAX):
        waiting = customer.jobs[tried]
        before = waiting.work_s
        placed = yield waiting
        if placed is _discipline.Placed.STARTED:
            used = before - waiting.work_s
            customer.served += used / waiting.weight
            customer.work_s -= used
            if not waiting.tasks and waiting.queued:
                customer.jobs.remove(waiting)
                waiting.queued = False
            return True
        if placed is _discipline.Placed.CUSTOMER_BLOCKED:
            return False
        tried += 1
    return False


@registry.register('queueing', 'fair')
def fair():
    """Return a new queue: urgent first, then weighted fair queueing."""
    classes = {True: _Class(), False: _Class()}

    def push(waiting, now):
        _push(classes, waiting, now)

    def remove(waiting):
        _remove(classes, waiting)

    def candidates():
        for urgent in (True, False):
            yield from _class_candidates(classes[urgent])

    def ahead(customer, urgent):
        own = classes[urgent].customers.get(customer)
        own_s = own.work_s if own is not None else 0.0
        all_s = weights = 0.0
        for name, other in classes[urgent].customers.items():
            if other.jobs:
                all_s += other.work_s
                if name != customer:
                    weights += other.weight
        if not urgent:
            all_s += sum(c.work_s for c in classes[True].customers.values())
        return _discipline.Ahead(own_s, all_s, weights)

    return _discipline.Discipline(push, remove, candidates, ahead)
