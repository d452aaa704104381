"""Figures of the crest: useful work, refusals, recovery and fairness."""

from benchmarks import _measures
from benchmarks import _simulate

# Phases of the trace, by their position in its bounds.
REFERENCE = 1
CREST = 2
AFTER = 3
# The median over the jobs of a window shows whether responses are normal.
# Windows of 1 s hold nine jobs at a load of 0.7: their medians vary by a
# factor of four before the crest, so that some are normal at any time.
WINDOW_S = 5.0
STEP_S = 0.1
# Answers that refuse a job on its submission, before any of it ran.
REFUSALS = frozenset(('overloaded', 'queue-full', 'answers-full'))


def figures(run):
    """Return the figures of a run of the crest's trace."""
    bounds = run.trace.bounds
    low, high = bounds[CREST : CREST + 2]
    jobs = _measures.jobs_between(run.trace, low, high)
    refused = [
        run.answers[job.number].response_s
        for job in jobs
        if run.answers[job.number].outcome in REFUSALS
    ]
    trip_s = 2 * run.trace.deployment.client_s
    refusal_s = _measures.quantile(refused, 0.99)
    capacity = run.trace.deployment.capacity * (high - low)
    useful = _work_by_customer(run, low, high, useful_only=True)
    customers = _shares(run, jobs, useful, capacity)
    ratios = {True: [], False: []}
    for part in customers.values():
        ratios[part['limited']].append(part['ratio'])
    return {
        'goodput': sum(useful.values()) / capacity,
        'busy': sum(_work_by_customer(run, low, high).values()) / capacity,
        'refusal_ms': refusal_s * 1000,
        'refusal_excess_ms': (refusal_s - trip_s) * 1000,
        'handle_ms': _measures.quantile(run.submit_cpu_s, 0.99) * 1000,
        'recovery_s': recovery_s(run),
        'fairness': min(ratios[True], default=float('nan')),
        'light_served': min(ratios[False], default=float('nan')),
        'late_before': _late_share(run, *bounds[REFERENCE : CREST + 1]),
        'late_after': _late_share(run, *bounds[AFTER : AFTER + 2]),
        'customers': customers,
        'outcomes': _measures.outcomes_of(run, jobs),
    }


def in_time(run, job):
    """Tell whether a job completed, at the client, by its deadline."""
    answer = run.answers[job.number]
    return (
        answer.outcome == _simulate.COMPLETE
        and answer.response_s <= job.deadline_s
    )


def _late_share(run, low, high):
    """Return the share of jobs that got no result by their deadline."""
    jobs = _measures.jobs_between(run.trace, low, high)
    return sum(not in_time(run, job) for job in jobs) / len(jobs)


def _work_by_customer(run, low, high, useful_only=False):
    """Return the work done in a part of the trace, by customer.

    Notes
    -----
    A task counts with the part of its run that lies within the bounds,
    times the speed of its worker. Useful is the work of jobs that completed
    by their deadline.
    """
    jobs = {job.number: job for job in run.trace.jobs}
    done = dict.fromkeys(run.trace.weights, 0.0)
    for span in run.spans:
        job = jobs[span.job]
        inside_s = min(span.ended, high) - max(span.started, low)
        if inside_s > 0 and (not useful_only or in_time(run, job)):
            done[job.customer] += inside_s * span.speed
    return done


def _shares(run, jobs, received, capacity):
    """Compare what each customer received with its max-min fair share.

    Notes
    -----
    What is shared is all useful work. Customers that want more than they
    are owed are `limited` by their share. The others are owed all that they
    want; their ratio is the work of their jobs that completed in time, also
    after the crest, over the work of all their jobs.
    """
    demand = dict.fromkeys(run.trace.weights, 0.0)
    for job in jobs:
        demand[job.customer] += job.work_s
    owed = fair_shares(demand, run.trace.weights, sum(received.values()))
    served = dict.fromkeys(demand, 0.0)
    for job in jobs:
        served[job.customer] += job.work_s * in_time(run, job)
    customers = {}
    for name, wanted in demand.items():
        limited = owed[name] < wanted
        got = received[name] if limited else served[name]
        customers[name] = {
            'demand': wanted / capacity,
            'owed': owed[name] / capacity,
            'received': received[name] / capacity,
            'ratio': got / owed[name] if owed[name] else 1.0,
            'limited': limited,
        }
    return customers


def fair_shares(demand, weights, amount):
    """Divide an amount by weight, nobody getting more than it demands.

    Parameters
    ----------
    demand, weights : dict
        By customer.
    amount : float

    Returns
    -------
    dict
        The weighted max-min fair shares.
    """
    shares = {}
    left = sorted(demand, key=lambda name: demand[name] / weights[name])
    while left:
        total = sum(weights[name] for name in left)
        name = left.pop(0)
        shares[name] = min(demand[name], amount * weights[name] / total)
        amount -= shares[name]
    return shares


def recovery_s(run):
    """Return the time after the crest until responses are normal.

    Notes
    -----
    The response of a job is its slowdown (infinite without a result), and
    that of a window of 5 s is the median over the jobs that arrive in it.
    Normal is the highest of the windows before the crest. The result is the
    start of the first normal window after the crest: the time from which on
    clients see normal responses.
    """
    bounds = run.trace.bounds
    before = _window_medians(run, *bounds[REFERENCE : CREST + 1])
    normal = max(value for _, value in before)
    low, high = bounds[AFTER : AFTER + 2]
    for start, value in _window_medians(run, low, high):
        if value <= normal:
            return start - low
    return float('inf')


def _window_medians(run, low, high):
    jobs = _measures.jobs_between(run.trace, low, high)
    for step in range(round((high - low - WINDOW_S) / STEP_S) + 1):
        start = low + step * STEP_S
        values = [
            _measures.slowdown_of(run, job)
            for job in jobs
            if start <= job.at < start + WINDOW_S
        ]
        if values:
            yield start, _measures.quantile(values, 0.5)
