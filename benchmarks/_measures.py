"""Figures derived from simulated runs."""

import collections
import math

from benchmarks import _ideal
from benchmarks import _simulate

INFINITE = float('inf')
# Types of messages that are sent at a fixed rate, independent of the load.
PERIODIC_MESSAGES = frozenset(
    ('Heartbeat', 'Members', 'QuotaRequest', 'QuotaGrant')
)


def quantile(values, q):
    """Return the q-quantile of values by the nearest-rank method.

    It is NaN if there are no values.
    """
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(math.ceil(q * len(ordered)), 1) - 1]


def jobs_between(trace, start_s, end_s):
    """Return the jobs that arrive in an interval of the trace (s)."""
    return [job for job in trace.jobs if start_s <= job.submitted_at < end_s]


def response_time_s(run, job):
    """Return the response time of a job (s), infinite without a result."""
    answer = run.answers[job.number]
    if answer.outcome != _simulate.COMPLETE:
        return INFINITE
    return answer.response_s


def slowdown(run, job):
    """Return the response time over the run time on the fastest worker.

    The run time of a job is that of its longest task.
    """
    idle_run_s = job.longest_s / run.trace.deployment.max_speed
    return response_time_s(run, job) / idle_run_s


def count_outcomes(run, jobs):
    """Return the number of jobs by outcome, most frequent first."""
    counts = collections.Counter(
        run.answers[job.number].outcome for job in jobs
    )
    return dict(counts.most_common())


def response_over_ideal(run, start_s, end_s):
    """Compare the response times of jobs with the ideal scheduler.

    Parameters
    ----------
    run : Run
    start_s, end_s : float
        Interval of the trace whose jobs are counted (s).

    Returns
    -------
    dict
        `p50` and `p99` are quantiles of the ratio of response times per job,
        `ratio_of_p50` and `ratio_of_p99` the ratios of the quantiles. The
        ideal has no network delay; `p50_net` and `p99_net` exclude the
        round trip of the client, which no dispatcher can avoid.
        `p99_by_class` distinguishes urgent jobs, jobs with long tasks and
        ordinary jobs. `lost` is the number of jobs without a result, whose
        ratio is infinite, and `outcomes` the number of jobs by outcome.
    """
    trace = run.trace
    ideal_by_job = _ideal.ideal_responses(trace.deployment, trace.jobs)
    jobs = jobs_between(trace, start_s, end_s)
    actual_s = [response_time_s(run, job) for job in jobs]
    ideal_s = [ideal_by_job[job.number] for job in jobs]
    round_trip_s = 2 * trace.deployment.client_delay_s
    ratios = [actual / ideal for actual, ideal in zip(actual_s, ideal_s)]
    net_ratios = [
        (actual - round_trip_s) / ideal
        for actual, ideal in zip(actual_s, ideal_s)
    ]
    return {
        'p50': quantile(ratios, 0.5),
        'p99': quantile(ratios, 0.99),
        'p50_net': quantile(net_ratios, 0.5),
        'p99_net': quantile(net_ratios, 0.99),
        'ratio_of_p50': quantile(actual_s, 0.5) / quantile(ideal_s, 0.5),
        'ratio_of_p99': quantile(actual_s, 0.99) / quantile(ideal_s, 0.99),
        'p99_by_class': _quantile_by_class(jobs, ratios, 0.99),
        'jobs': len(jobs),
        'lost': sum(each == INFINITE for each in actual_s),
        'outcomes': count_outcomes(run, jobs),
    }


def _quantile_by_class(jobs, values, q):
    """Return the quantile of each class of jobs."""
    values_by_class = {}
    for job, value in zip(jobs, values):
        name = 'ordinary'
        if job.urgent:
            name = 'urgent'
        elif any(task.long for task in job.tasks):
            name = 'long'
        values_by_class.setdefault(name, []).append(value)
    return {
        name: quantile(values_by_class[name], q)
        for name in sorted(values_by_class)
    }


def wasted_messages_per_task(traffic):
    """Return the number of wasted messages per started task.

    Notes
    -----
    These messages are wasted:

    * each start that an endpoint refused;
    * each `Grant` that isn't followed by a start of a task that isn't urgent
      on the same connection within 1 s; each start uses one `Grant`;
    * each `Want` without such a start before the next `Want`;
    * each `CancelTasks` that stopped no task.
    """
    return sum(traffic.wasted.values()) / max(traffic.starts, 1)


def messages_per_task(traffic):
    """Return messages per started task by type, most frequent first."""
    return {
        name: count / max(traffic.starts, 1)
        for name, count in traffic.sent.most_common()
    }
