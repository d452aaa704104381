"""Synthetic traces: jobs, their tasks and their true run times.

True run times are known to the fake workers (through the payload) and to the
ideal scheduler, never to the product. All work is in seconds at speed 1.
"""

import json
import math
import random

import attrs

from azurepier import config
from azurepier import kernel

ENTRIES = 3
# Weight and share of the requests of each customer. At three times the
# capacity all but the last want more than their share by weight.
CUSTOMERS = (
    (4.0, 0.26),
    (2.0, 0.20),
    (2.0, 0.16),
    (1.0, 0.12),
    (1.0, 0.10),
    (1.0, 0.08),
    (1.0, 0.06),
    (1.0, 0.02),
)
URGENT_SHARE = 0.2
# Share of all jobs by their number of tasks. All urgent jobs are small.
SIZES = (
    (0.50, 1, 5),
    (0.30, 6, 20),
    (0.15, 21, 60),
    (0.05, 61, kernel.MAX_TASKS),
)
TASK_S = (0.05, 1.0)
ORDINARY_KINDS = 5
ORDINARY_TYPICAL_S = (0.08, 0.7)
URGENT_KINDS = 2
URGENT_TYPICAL_S = (0.06, 0.15)
KINDS_PER_JOB = 3
# Logarithmic standard deviation of run times around a kind's typical one.
SCATTER = 0.3
# Share of all tasks and run times of long tasks. Half are of kinds that all
# customers use, half are among the tasks of ordinary kinds.
LONG_SHARE = 0.02
LONG_S = (2.0, 8.0)
LONG_KINDS = (('long-0', 3.0), ('long-1', 6.0))
HUGE_SHARE = 0.002
HUGE_S = (20.0, 60.0)
HUGE_KINDS = (('huge-0', 35.0),)
BY_KIND = 0.5
DECLARED_ERROR = 10.0
LENIENT_DEADLINE_S = 600.0
URGENT_DEADLINE_S = 2.0
DEADLINE_S = (5.0, 20.0)
DEADLINE_PER_TASK = 3.0


@attrs.frozen
class Task:
    """A task; `long` marks those of several seconds and more."""

    kind: str
    work_s: float
    declared_ms: float
    long: bool = False


@attrs.frozen
class Job:
    """A job as a client submits it at the time `at` (s)."""

    number: int
    at: float
    entry: int
    customer: str
    urgent: bool
    tasks: tuple
    deadline_s: float = LENIENT_DEADLINE_S

    @property
    def work_s(self):
        """Work of all tasks."""
        return sum(task.work_s for task in self.tasks)

    @property
    def longest_s(self):
        """Work of the longest task."""
        return max(task.work_s for task in self.tasks)


@attrs.frozen
class Trace:
    """Jobs in the order of arrival.

    `weights` holds the weight of each customer, `bounds` the times between
    the trace's phases, from 0 to the end.
    """

    deployment: object
    seed: int
    jobs: tuple
    weights: dict
    bounds: tuple


@attrs.frozen
class _Customer:
    name: str
    share: float
    ordinary: tuple  # (kind, typical run time)
    urgent: tuple


def make_trace(deployment, load, duration_s, seed, warmup_s=0.0):
    """Return a trace of constant load.

    Parameters
    ----------
    deployment : Deployment
    load : float
        Offered work over capacity.
    duration_s : float
    seed : int
    warmup_s : float
        Length of a first phase of the same load.
    """
    phases = ((load, warmup_s), (load, duration_s))
    return make_phases(deployment, phases, seed)


def make_phases(deployment, phases, seed, deadlines=False):
    """Return a trace of several phases.

    Parameters
    ----------
    deployment : Deployment
    phases : sequence of (float, float)
        Load and duration (s) of each phase.
    seed : int
    deadlines : bool
        Give the jobs tight deadlines.

    Notes
    -----
    Jobs are drawn until their work makes up the load. Given their number,
    the arrivals of a Poisson process are independent and uniform.
    """
    rng = random.Random(f'trace {seed}')
    customers = _draw_customers(rng)
    jobs = []
    start = 0.0
    bounds = [start]
    for load, duration_s in phases:
        work_s = load * deployment.capacity * duration_s
        drawn = list(_draw_jobs(rng, customers, work_s, deadlines))
        times = sorted(rng.uniform(0, duration_s) for _ in drawn)
        jobs += [
            attrs.evolve(job, at=start + at, number=len(jobs) + n)
            for n, (job, at) in enumerate(zip(drawn, times))
        ]
        start += duration_s
        bounds.append(start)
    weights = {
        customer.name: weight
        for customer, (weight, _) in zip(customers, CUSTOMERS)
    }
    return Trace(deployment, seed, tuple(jobs), weights, tuple(bounds))


def without_long(trace):
    """Return the trace without its long tasks, otherwise unchanged."""
    jobs = []
    for job in trace.jobs:
        tasks = tuple(task for task in job.tasks if not task.long)
        if tasks:
            jobs.append(attrs.evolve(job, tasks=tasks))
    return attrs.evolve(trace, jobs=tuple(jobs))


def _log_uniform(rng, low, high):
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _draw_customers(rng):
    def kinds(prefix, count, bounds):
        return tuple(
            (f'{prefix}-{n}', _log_uniform(rng, *bounds)) for n in range(count)
        )

    return [
        _Customer(
            f'customer-{n}',
            share,
            kinds(f'kind-{n}', ORDINARY_KINDS, ORDINARY_TYPICAL_S),
            kinds(f'urgent-{n}', URGENT_KINDS, URGENT_TYPICAL_S),
        )
        for n, (_, share) in enumerate(CUSTOMERS)
    ]


def _draw_jobs(rng, customers, work_s, deadlines):
    shares = [customer.share for customer in customers]
    while work_s > 0:
        customer = rng.choices(customers, shares)[0]
        urgent = rng.random() < URGENT_SHARE
        tasks = _draw_tasks(rng, customer, urgent)
        longest_s = max(task.work_s for task in tasks)
        deadline_s = LENIENT_DEADLINE_S
        if deadlines:
            deadline_s = _draw_deadline(rng, urgent, longest_s)
        entry = rng.randrange(ENTRIES)
        yield Job(0, 0.0, entry, customer.name, urgent, tasks, deadline_s)
        work_s -= sum(task.work_s for task in tasks)


def _draw_deadline(rng, urgent, longest_s):
    if urgent:
        return URGENT_DEADLINE_S
    return max(rng.uniform(*DEADLINE_S), DEADLINE_PER_TASK * longest_s)


def _draw_tasks(rng, customer, urgent):
    if urgent:
        _, low, high = SIZES[0]
        kinds = [rng.choice(customer.urgent)]
        draw = _draw_short
    else:
        shares = [share for share, _, _ in SIZES]
        shares[0] -= URGENT_SHARE
        _, low, high = rng.choices(SIZES, shares)[0]
        kinds = rng.sample(customer.ordinary, rng.randint(1, KINDS_PER_JOB))
        draw = _draw_any
    count = rng.randint(low, high)
    return tuple(draw(rng, rng.choice(kinds)) for _ in range(count))


def _scatter(rng, typical_s, bounds):
    low, high = bounds
    return min(max(rng.lognormvariate(0, SCATTER) * typical_s, low), high)


def _task(rng, kind, work_s, long=False):
    error = _log_uniform(rng, 1 / DECLARED_ERROR, DECLARED_ERROR)
    return Task(kind, work_s, work_s * error * 1000, long)


def _draw_short(rng, kind):
    name, typical_s = kind
    return _task(rng, name, _scatter(rng, typical_s, TASK_S))


def _ordinary_share():
    """Return the share of tasks that belong to jobs that aren't urgent."""
    tasks = [share * (low + high) / 2 for share, low, high in SIZES]
    _, low, high = SIZES[0]
    return 1 - URGENT_SHARE * (low + high) / 2 / sum(tasks)


# Only jobs that aren't urgent have long tasks, so these have more of them.
_LONG_ODDS = LONG_SHARE / _ordinary_share()
_HUGE_ODDS = HUGE_SHARE / _ordinary_share()


def _draw_any(rng, kind):
    chance = rng.random()
    if chance < _HUGE_ODDS:
        return _draw_long(rng, kind, HUGE_KINDS, HUGE_S)
    if chance < _HUGE_ODDS + _LONG_ODDS:
        return _draw_long(rng, kind, LONG_KINDS, LONG_S)
    return _draw_short(rng, kind)


def _draw_long(rng, kind, long_kinds, bounds):
    if rng.random() < BY_KIND:
        name, typical_s = rng.choice(long_kinds)
        return _task(rng, name, _scatter(rng, typical_s, bounds), True)
    return _task(rng, kind[0], rng.uniform(*bounds), True)


def spec_of(job):
    """Return the job as the product sees it.

    Notes
    -----
    The payload tells the fake worker the true run time and which task this
    is; the product doesn't read it.
    """
    tasks = tuple(
        kernel.TaskSpec(task.kind, _payload(job, n, task), task.declared_ms)
        for n, task in enumerate(job.tasks)
    )
    return kernel.JobSpec(
        customer=job.customer,
        tasks=tasks,
        deadline_ms=round(job.deadline_s * 1000),
        urgent=job.urgent,
        digest=str(job.number),
    )


def _payload(job, number, task):
    body = {'ms': task.work_s * 1000, 'job': job.number, 'task': number}
    return json.dumps(body).encode()


def configuration_of(trace):
    """Return the configuration of a trace's customers, without quotas."""
    return config.Configuration(
        version=1,
        edit_id='benchmark',
        author='benchmark',
        customers={
            name: config.Customer(name, f'plan-of-{name}')
            for name in trace.weights
        },
        plans={
            f'plan-of-{name}': config.Plan(
                name=f'plan-of-{name}',
                starts_per_s=1e6,
                concurrent=100_000,
                queue=100_000,
                weight=weight,
            )
            for name, weight in trace.weights.items()
        },
    )
