"""Weighted fair queueing between customers, small jobs first.

Each customer's first job has a score: the job's place by size and age plus
what the customer was served since the queue was last empty, relative to its
weight. The lowest score goes first. While customers are served alike, small
jobs go first whoever owns them; a customer that was served more than the
others falls back.
"""

import heapq

import attrs
import sortedcontainers

from azurepier.kernel import registry
from azurepier.queueing import _discipline

# A job's place is its arrival plus this many times its expected work: small
# jobs pass large ones, but not for ever.
AGEING = 2.0
# From this long before its deadline on, a large job is placed like a small
# one that has just arrived.
DEADLINE_LEAD_S = 3.0
# Weight of what a customer was served against the place of its first job.
SERVED_WEIGHT = 10.0
# Jobs of a customer that are tried before its turn passes on.
BLOCKED_JOBS_MAX = 4


@attrs.define(eq=False)
class _Customer:
    name: str
    served: float = 0.0  # work per weight since the queue was empty
    jobs: object = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda waiting: waiting.key
        )
    )
    work_s: float = 0.0
    weight: float = 1.0
    version: int = 0  # of its current entry in the heap


@attrs.define(eq=False)
class _Class:
    """Customers of one class in the order of their scores."""

    customers: dict = attrs.field(factory=dict)
    heap: list = attrs.field(factory=list)
    counter: int = 0
    jobs: int = 0
    floor: float = 0.0  # what a customer that comes back counts as served


def _enter(cls, customer):
    """Give a customer its place by its present score."""
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
        # An idle customer doesn't save up a claim.
        customer.served = max(customer.served, cls.floor)
    customer.weight = waiting.weight
    by_size = waiting.queued_at + AGEING * waiting.work_s
    waiting.key = min(by_size, waiting.deadline_at - DEADLINE_LEAD_S)
    waiting.queued = True
    customer.jobs.add(waiting)
    customer.work_s += waiting.work_s
    cls.jobs += 1
    _enter(cls, customer)


def _remove(cls, waiting):
    if not waiting.queued:
        return
    customer = cls.customers[waiting.customer]
    customer.work_s -= waiting.work_s
    _take_out(cls, customer, waiting)
    _enter(cls, customer)


def _take_out(cls, customer, waiting):
    customer.jobs.remove(waiting)
    waiting.queued = False
    cls.jobs -= 1
    if not cls.jobs:
        _forget_service(cls)


def _forget_service(cls):
    """Start anew: nobody waits, so nobody was served at others' cost."""
    cls.floor = 0.0
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
                _enter(cls, customer)
    finally:
        for customer in blocked:
            _enter(cls, customer)


def _customer_candidates(cls, customer):
    """Offer jobs until one starts a task; tell whether one did."""
    tried = 0
    while tried < min(len(customer.jobs), BLOCKED_JOBS_MAX):
        waiting = customer.jobs[tried]
        before = waiting.work_s
        placed = yield waiting
        if placed is _discipline.DispatchResult.STARTED:
            _charge(cls, customer, waiting, before - waiting.work_s)
            return True
        if placed is _discipline.DispatchResult.CUSTOMER_BLOCKED:
            return False
        tried += 1
    return False


def _charge(cls, customer, waiting, used_s):
    cls.floor = max(cls.floor, _least_served(cls))
    customer.served += used_s / waiting.weight
    customer.work_s -= used_s
    if not waiting.tasks and waiting.queued:
        _take_out(cls, customer, waiting)


def _least_served(cls):
    return min(
        (c.served for c in cls.customers.values() if c.jobs), default=0.0
    )


@registry.register('queueing', 'fair')
def fair():
    """Return a new queue: urgent first, then weighted fair queueing."""
    classes = {True: _Class(), False: _Class()}

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
