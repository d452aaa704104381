"""Figures of a load peak: goodput, refusals, recovery and fairness."""

from benchmarks import _measures
from benchmarks import _simulate

# Indices of the phases in `Trace.phase_bounds_s`.
REFERENCE_PHASE = 1
PEAK_PHASE = 2
RECOVERY_PHASE = 3
# Whether responses are normal is decided by the median slowdown in a sliding
# window. Windows of 1 s would be too short: they contain nine jobs at a load
# of 0.7, and their medians vary by a factor of four even before the peak, so
# that some windows would look normal at any time.
WINDOW_S = 5.0
WINDOW_STEP_S = 0.1
# Outcomes of jobs that are refused at submission, before any task has run.
REFUSAL_OUTCOMES = frozenset(('overloaded', 'queue-full', 'answers-full'))


def summarise(run):
    """Return the figures of a run.

    Parameters
    ----------
    run : Run
        Result of a trace with the phases of `benchmarks.bench_crest`.

    Returns
    -------
    dict
        `goodput` and `busy` are the useful and all work during the peak over
        the capacity. `fairness` is the lowest ratio of received work to fair
        share among the customers that are limited by their share, and
        `lowest_unlimited_ratio` the lowest ratio among the others.
    """
    phase_bounds_s = run.trace.phase_bounds_s
    start_s, end_s = phase_bounds_s[PEAK_PHASE : PEAK_PHASE + 2]
    peak_jobs = _measures.jobs_between(run.trace, start_s, end_s)
    refusal_times_s = [
        run.answers[job.number].response_s
        for job in peak_jobs
        if run.answers[job.number].outcome in REFUSAL_OUTCOMES
    ]
    round_trip_s = 2 * run.trace.deployment.client_delay_s
    refusal_p99_s = _measures.quantile(refusal_times_s, 0.99)
    capacity = run.trace.deployment.capacity * (end_s - start_s)
    useful_work = _work_by_customer(run, start_s, end_s, useful_only=True)
    customers = _compare_with_fair_shares(
        run, peak_jobs, useful_work, capacity
    )
    ratios = {True: [], False: []}
    for customer in customers.values():
        ratios[customer['limited']].append(customer['ratio'])
    return {
        'goodput': sum(useful_work.values()) / capacity,
        'busy': sum(_work_by_customer(run, start_s, end_s).values())
        / capacity,
        'refusal_ms': refusal_p99_s * 1000,
        'refusal_excess_ms': (refusal_p99_s - round_trip_s) * 1000,
        'submit_cpu_ms': _measures.quantile(run.submit_cpu_s, 0.99) * 1000,
        'recovery_s': recovery_time_s(run),
        'fairness': min(ratios[True], default=float('nan')),
        'lowest_unlimited_ratio': min(ratios[False], default=float('nan')),
        'late_before': _missed_share(
            run, *phase_bounds_s[REFERENCE_PHASE : PEAK_PHASE + 1]
        ),
        'late_after': _missed_share(
            run, *phase_bounds_s[RECOVERY_PHASE : RECOVERY_PHASE + 2]
        ),
        'customers': customers,
        'outcomes': _measures.count_outcomes(run, peak_jobs),
    }


def completed_in_time(run, job):
    """Return whether the result reached the client by the job's deadline."""
    answer = run.answers[job.number]
    return (
        answer.outcome == _simulate.COMPLETE
        and answer.response_s <= job.deadline_s
    )


def _missed_share(run, start_s, end_s):
    """Return the share of jobs without a result by their deadline."""
    jobs = _measures.jobs_between(run.trace, start_s, end_s)
    return sum(not completed_in_time(run, job) for job in jobs) / len(jobs)


def _work_by_customer(run, start_s, end_s, useful_only=False):
    """Return the work done in an interval of the trace, by customer.

    Notes
    -----
    The work of a task is the part of its run time that overlaps with the
    interval, times the speed of its worker. Work is useful if the job
    completed by its deadline.
    """
    jobs = {job.number: job for job in run.trace.jobs}
    work = dict.fromkeys(run.trace.weights, 0.0)
    for task_run in run.task_runs:
        job = jobs[task_run.job]
        overlap_s = min(task_run.ended_at, end_s) - max(
            task_run.started_at, start_s
        )
        if overlap_s > 0 and (not useful_only or completed_in_time(run, job)):
            work[job.customer] += overlap_s * task_run.speed
    return work


def _compare_with_fair_shares(run, jobs, received, capacity):
    """Compare the work of each customer with its max-min fair share.

    Notes
    -----
    The total useful work is divided. Customers that demand more than their
    fair share are `limited` by it; their ratio is the received work over the
    fair share. The fair share of the others is their whole demand; their
    ratio is the work of their jobs that completed in time, including those
    that completed after the peak, over the work of all their jobs.
    """
    demand = dict.fromkeys(run.trace.weights, 0.0)
    for job in jobs:
        demand[job.customer] += job.work_s
    fair = fair_shares(demand, run.trace.weights, sum(received.values()))
    served = dict.fromkeys(demand, 0.0)
    for job in jobs:
        served[job.customer] += job.work_s * completed_in_time(run, job)
    customers = {}
    for name, demanded in demand.items():
        limited = fair[name] < demanded
        obtained = received[name] if limited else served[name]
        customers[name] = {
            'demand': demanded / capacity,
            'fair_share': fair[name] / capacity,
            'received': received[name] / capacity,
            'ratio': obtained / fair[name] if fair[name] else 1.0,
            'limited': limited,
        }
    return customers


def fair_shares(demand, weights, amount):
    """Return the weighted max-min fair shares of an amount.

    Parameters
    ----------
    demand, weights : dict
        By customer.
    amount : float

    Returns
    -------
    dict
        Share by customer, at most its demand.
    """
    shares = {}
    unassigned = sorted(demand, key=lambda name: demand[name] / weights[name])
    while unassigned:
        total_weight = sum(weights[name] for name in unassigned)
        name = unassigned.pop(0)
        shares[name] = min(demand[name], amount * weights[name] / total_weight)
        amount -= shares[name]
    return shares


def recovery_time_s(run):
    """Return the time from the end of the peak to normal responses (s).

    Notes
    -----
    The median slowdown of the jobs that arrive in a window of 5 s is normal
    if it is at most the highest one before the peak. The slowdown of a job
    without a result is infinite. The recovery time ends at the start of the
    first normal window after the peak, and is infinite if there is none.
    """
    phase_bounds_s = run.trace.phase_bounds_s
    reference = _median_slowdowns(
        run, *phase_bounds_s[REFERENCE_PHASE : PEAK_PHASE + 1]
    )
    highest_normal = max(median for _, median in reference)
    start_s, end_s = phase_bounds_s[RECOVERY_PHASE : RECOVERY_PHASE + 2]
    for window_start_s, median in _median_slowdowns(run, start_s, end_s):
        if median <= highest_normal:
            return window_start_s - start_s
    return float('inf')


def _median_slowdowns(run, start_s, end_s):
    jobs = _measures.jobs_between(run.trace, start_s, end_s)
    for index in range(
        round((end_s - start_s - WINDOW_S) / WINDOW_STEP_S) + 1
    ):
        window_start_s = start_s + index * WINDOW_STEP_S
        slowdowns = [
            _measures.slowdown(run, job)
            for job in jobs
            if window_start_s <= job.submitted_at < window_start_s + WINDOW_S
        ]
        if slowdowns:
            yield window_start_s, _measures.quantile(slowdowns, 0.5)
