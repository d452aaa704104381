"""Figures that are derived from observed runs."""

import collections
import math

from benchmarks import _ideal
from benchmarks import _simulate

INFINITE = float('inf')
# Types of messages that flow at a fixed rate, whatever the load.
PERIODIC = frozenset(('Heartbeat', 'Members', 'QuotaRequest', 'QuotaGrant'))


def quantile(values, share):
    """Return the smallest value that `share` of all don't exceed."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(math.ceil(share * len(ordered)), 1) - 1]


def jobs_between(trace, low, high):
    """Return the jobs that arrive in a part of the trace (s)."""
    return [job for job in trace.jobs if low <= job.at < high]


def response_of(run, job):
    """Return a job's response time (s), infinite without a result."""
    answer = run.answers[job.number]
    if answer.outcome != _simulate.COMPLETE:
        return INFINITE
    return answer.response_s


def slowdown_of(run, job):
    """Return the response time over that on the idle fastest worker."""
    alone_s = job.longest_s / run.trace.deployment.fastest
    return response_of(run, job) / alone_s


def outcomes_of(run, jobs):
    """Return how many jobs got each kind of answer, most frequent first."""
    found = collections.Counter(
        run.answers[job.number].outcome for job in jobs
    )
    return dict(found.most_common())


def response_over_ideal(run, low, high):
    """Compare the response times of jobs with the ideal.

    Parameters
    ----------
    run : Run
    low, high : float
        Part of the trace (s) whose jobs count.

    Returns
    -------
    dict
        `p50` and `p99` of the ratio per job, the ratios of the quantiles,
        `lost`: jobs without a result, whose ratio is infinite, and the
        `outcomes` of all. The ideal has no delay at all;
        `p50_net` and `p99_net` leave out the client's round trip, which no
        dispatcher can avoid. `p99_by_class` has the urgent jobs, those with
        long tasks and the others.
    """
    trace = run.trace
    ideal = _ideal.ideal_responses(trace.deployment, trace.jobs)
    jobs = jobs_between(trace, low, high)
    got = [response_of(run, job) for job in jobs]
    best = [ideal[job.number] for job in jobs]
    trip_s = 2 * trace.deployment.client_s
    ratios = [a / b for a, b in zip(got, best)]
    net = [(a - trip_s) / b for a, b in zip(got, best)]
    return {
        'p50': quantile(ratios, 0.5),
        'p99': quantile(ratios, 0.99),
        'p50_net': quantile(net, 0.5),
        'p99_net': quantile(net, 0.99),
        'ratio_of_p50': quantile(got, 0.5) / quantile(best, 0.5),
        'ratio_of_p99': quantile(got, 0.99) / quantile(best, 0.99),
        'p99_by_class': _by_class(jobs, ratios, 0.99),
        'jobs': len(jobs),
        'lost': sum(value == INFINITE for value in got),
        'outcomes': outcomes_of(run, jobs),
    }


def _by_class(jobs, values, share):
    """Return a quantile for each class of jobs."""
    classes = {}
    for job, value in zip(jobs, values):
        name = 'ordinary'
        if job.urgent:
            name = 'urgent'
        elif any(task.long for task in job.tasks):
            name = 'long'
        classes.setdefault(name, []).append(value)
    return {name: quantile(classes[name], share) for name in sorted(classes)}


def waste_per_task(traffic):
    """Return the messages that started nothing per task started.

    Notes
    -----
    Counted are:

    * each start that an endpoint refused;
    * each `Grant` that no ordinary start on the same connection follows
      within 1 s; each start accounts for one `Grant`;
    * each `Want` that no such `Grant` follows before the next `Want`;
    * each `CancelTasks` that stopped no task.
    """
    return sum(traffic.wasted.values()) / max(traffic.starts, 1)


def messages_per_task(traffic):
    """Return messages per task started by type, most frequent first."""
    return {
        name: count / max(traffic.starts, 1)
        for name, count in traffic.sent.most_common()
    }
