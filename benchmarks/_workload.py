"""Synthetic traces of jobs, with the actual run times of their tasks.

Actual run times are known to the simulated workers, through the payload, and
to the ideal scheduler, but not to the dispatcher. Work is measured in
seconds of run time at speed 1.
"""

import json
import math
import random

import attrs

from azurepier import config
from azurepier import kernel

ENTRIES = 3
# Weight of each customer and its share of the jobs. At a load of three times
# the capacity, all but the last demand more than their fair share.
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
# Share of jobs, minimum and maximum number of tasks. Urgent jobs are in the
# first class.
JOB_SIZES = (
    (0.50, 1, 5),
    (0.30, 6, 20),
    (0.15, 21, 60),
    (0.05, 61, kernel.MAX_TASKS),
)
# Limits of the run times of tasks that aren't long.
TASK_LIMITS_S = (0.05, 1.0)
# Number of kinds of tasks per customer and range of their median run times.
ORDINARY_KINDS = 5
ORDINARY_MEDIAN_S = (0.08, 0.7)
URGENT_KINDS = 2
URGENT_MEDIAN_S = (0.06, 0.15)
KINDS_PER_JOB = 3
# Standard deviation of the logarithm of run times of the same kind.
RUN_TIME_SIGMA = 0.3
# Share of long tasks and limits of their run times. Half of them have kinds
# that are always long and that all customers use, the others ordinary kinds.
LONG_SHARE = 0.02
LONG_LIMITS_S = (2.0, 8.0)
LONG_KINDS = (('long-0', 3.0), ('long-1', 6.0))
HUGE_SHARE = 0.002
HUGE_LIMITS_S = (20.0, 60.0)
HUGE_KINDS = (('huge-0', 35.0),)
LONG_KIND_SHARE = 0.5
# Declared run times are wrong by up to this factor in both directions.
DECLARED_ERROR_FACTOR = 10.0
LENIENT_DEADLINE_S = 600.0
URGENT_DEADLINE_S = 2.0
DEADLINE_S = (5.0, 20.0)
DEADLINE_FACTOR = 3.0


@attrs.frozen
class Task:
    """A task; `long` is set for run times of several seconds or more."""

    kind: str
    work_s: float
    declared_ms: float
    long: bool = False


@attrs.frozen
class Job:
    """A job of a trace.

    Parameters
    ----------
    number : int
    submitted_at : float
        Time of submission at the client (s).
    entry : int
        Index of the entry that receives the job.
    customer : str
    urgent : bool
    tasks : tuple of Task
    deadline_s : float
        Relative to the submission.
    """

    number: int
    submitted_at: float
    entry: int
    customer: str
    urgent: bool
    tasks: tuple
    deadline_s: float = LENIENT_DEADLINE_S

    @property
    def work_s(self):
        """Total work of the tasks."""
        return sum(task.work_s for task in self.tasks)

    @property
    def longest_s(self):
        """Work of the longest task."""
        return max(task.work_s for task in self.tasks)


@attrs.frozen
class Trace:
    """Jobs in order of submission.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    jobs : tuple of Job
    weights : dict
        Weight by customer.
    phase_bounds_s : tuple of float
        Start of each phase and end of the last one (s).
    """

    deployment: object
    seed: int
    jobs: tuple
    weights: dict
    phase_bounds_s: tuple


@attrs.frozen
class _Customer:
    name: str
    share: float
    ordinary_kinds: tuple  # (kind, median run time in s)
    urgent_kinds: tuple


def make_trace(deployment, load, duration_s, seed, warmup_s=0.0):
    """Return a trace with constant load.

    Parameters
    ----------
    deployment : Deployment
    load : float
        Work of the jobs over the capacity.
    duration_s : float
    seed : int
    warmup_s : float
        Duration of a preceding phase with the same load.
    """
    phases = ((load, warmup_s), (load, duration_s))
    return make_phased_trace(deployment, phases, seed)


def make_phased_trace(deployment, phases, seed, deadlines=False):
    """Return a trace with several phases.

    Parameters
    ----------
    deployment : Deployment
    phases : sequence of (float, float)
        Load and duration (s) of each phase.
    seed : int
    deadlines : bool
        Whether deadlines are drawn; otherwise all jobs have
        `LENIENT_DEADLINE_S`.

    Notes
    -----
    Jobs are drawn until their work amounts to the load. Given the number of
    jobs, the arrival times of a Poisson process are independent and
    uniformly distributed.
    """
    rng = random.Random(f'trace {seed}')
    customers = _draw_customers(rng)
    jobs = []
    start_s = 0.0
    phase_bounds_s = [start_s]
    for load, duration_s in phases:
        work_s = load * deployment.capacity * duration_s
        drawn = list(_draw_jobs(rng, customers, work_s, deadlines))
        arrival_times_s = sorted(rng.uniform(0, duration_s) for _ in drawn)
        jobs += [
            attrs.evolve(
                job, submitted_at=start_s + arrival_s, number=len(jobs) + n
            )
            for n, (job, arrival_s) in enumerate(zip(drawn, arrival_times_s))
        ]
        start_s += duration_s
        phase_bounds_s.append(start_s)
    weights = {
        customer.name: weight
        for customer, (weight, _) in zip(customers, CUSTOMERS)
    }
    return Trace(deployment, seed, tuple(jobs), weights, tuple(phase_bounds_s))


def remove_long_tasks(trace):
    """Return the same trace without long tasks."""
    jobs = []
    for job in trace.jobs:
        tasks = tuple(task for task in job.tasks if not task.long)
        if tasks:
            jobs.append(attrs.evolve(job, tasks=tasks))
    return attrs.evolve(trace, jobs=tuple(jobs))


def _log_uniform(rng, low, high):
    return math.exp(rng.uniform(math.log(low), math.log(high)))


def _draw_customers(rng):
    def draw_kinds(prefix, count, limits_s):
        return tuple(
            (f'{prefix}-{n}', _log_uniform(rng, *limits_s))
            for n in range(count)
        )

    return [
        _Customer(
            f'customer-{n}',
            share,
            draw_kinds(f'kind-{n}', ORDINARY_KINDS, ORDINARY_MEDIAN_S),
            draw_kinds(f'urgent-{n}', URGENT_KINDS, URGENT_MEDIAN_S),
        )
        for n, (_, share) in enumerate(CUSTOMERS)
    ]


def _draw_jobs(rng, customers, remaining_work_s, deadlines):
    shares = [customer.share for customer in customers]
    while remaining_work_s > 0:
        customer = rng.choices(customers, shares)[0]
        urgent = rng.random() < URGENT_SHARE
        tasks = _draw_tasks(rng, customer, urgent)
        longest_s = max(task.work_s for task in tasks)
        deadline_s = LENIENT_DEADLINE_S
        if deadlines:
            deadline_s = _draw_deadline(rng, urgent, longest_s)
        entry = rng.randrange(ENTRIES)
        yield Job(0, 0.0, entry, customer.name, urgent, tasks, deadline_s)
        remaining_work_s -= sum(task.work_s for task in tasks)


def _draw_deadline(rng, urgent, longest_s):
    if urgent:
        return URGENT_DEADLINE_S
    return max(rng.uniform(*DEADLINE_S), DEADLINE_FACTOR * longest_s)


def _draw_tasks(rng, customer, urgent):
    if urgent:
        _, low, high = JOB_SIZES[0]
        kinds = [rng.choice(customer.urgent_kinds)]
        draw = _draw_short_task
    else:
        shares = [share for share, _, _ in JOB_SIZES]
        shares[0] -= URGENT_SHARE
        _, low, high = rng.choices(JOB_SIZES, shares)[0]
        kinds = rng.sample(
            customer.ordinary_kinds, rng.randint(1, KINDS_PER_JOB)
        )
        draw = _draw_task
    count = rng.randint(low, high)
    return tuple(draw(rng, rng.choice(kinds)) for _ in range(count))


def _draw_run_time(rng, median_s, limits_s):
    low, high = limits_s
    return min(
        max(rng.lognormvariate(0, RUN_TIME_SIGMA) * median_s, low), high
    )


def _make_task(rng, kind, work_s, long=False):
    factor = _log_uniform(
        rng, 1 / DECLARED_ERROR_FACTOR, DECLARED_ERROR_FACTOR
    )
    return Task(kind, work_s, work_s * factor * 1000, long)


def _draw_short_task(rng, kind):
    name, median_s = kind
    return _make_task(rng, name, _draw_run_time(rng, median_s, TASK_LIMITS_S))


def _ordinary_share():
    """Return the share of tasks in jobs that aren't urgent."""
    mean_tasks = [share * (low + high) / 2 for share, low, high in JOB_SIZES]
    _, low, high = JOB_SIZES[0]
    return 1 - URGENT_SHARE * (low + high) / 2 / sum(mean_tasks)


# Only jobs that aren't urgent have long tasks, hence the higher probability.
_LONG_PROBABILITY = LONG_SHARE / _ordinary_share()
_HUGE_PROBABILITY = HUGE_SHARE / _ordinary_share()


def _draw_task(rng, kind):
    sample = rng.random()
    if sample < _HUGE_PROBABILITY:
        return _draw_long_task(rng, kind, HUGE_KINDS, HUGE_LIMITS_S)
    if sample < _HUGE_PROBABILITY + _LONG_PROBABILITY:
        return _draw_long_task(rng, kind, LONG_KINDS, LONG_LIMITS_S)
    return _draw_short_task(rng, kind)


def _draw_long_task(rng, kind, long_kinds, limits_s):
    if rng.random() < LONG_KIND_SHARE:
        name, median_s = rng.choice(long_kinds)
        return _make_task(
            rng, name, _draw_run_time(rng, median_s, limits_s), True
        )
    return _make_task(rng, kind[0], rng.uniform(*limits_s), True)


def make_spec(job):
    """Return the specification of a job that is submitted to an entry.

    Notes
    -----
    The payload contains the number of the task and its actual run time for
    the simulated worker; the dispatcher doesn't read it.
    """
    tasks = tuple(
        kernel.TaskSpec(
            task.kind, _encode_payload(job, n, task), task.declared_ms
        )
        for n, task in enumerate(job.tasks)
    )
    return kernel.JobSpec(
        customer=job.customer,
        tasks=tasks,
        deadline_ms=round(job.deadline_s * 1000),
        urgent=job.urgent,
        digest=str(job.number),
    )


def _encode_payload(job, number, task):
    body = {'ms': task.work_s * 1000, 'job': job.number, 'task': number}
    return json.dumps(body).encode()


def make_configuration(trace):
    """Return a configuration with the customers of a trace.

    The limits are too high to have an effect.
    """
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
