"""Slowdown of short urgent jobs by long tasks at 80 % load.

Run with::

    python -m benchmarks.bench_blocking [--deployment prydderch] [--seed 1]

Simulates the trace of `bench_response` twice: unchanged, and without the tasks
that take several seconds or more. The slowdown of an urgent job is its
response time at the client divided by its run time on the idle fastest worker.
"""

import click

from benchmarks import _measures
from benchmarks import _simulate
from benchmarks import _workload
from benchmarks import bench_response


def measure(
    deployment_name, policy, seed, duration_s=bench_response.DURATION_S
):
    """Simulate the traces with and without long tasks and compare them.

    Parameters
    ----------
    deployment_name : str
        Name of the deployment.
    policy : Policy
    seed : int
    duration_s : float
        Duration of the measured part, which follows the warm-up.

    Returns
    -------
    dict
        See `compare`.
    """
    trace = bench_response.make_trace(deployment_name, seed, duration_s)
    return compare(
        _simulate.simulate(trace, policy),
        _simulate.simulate(_workload.remove_long_tasks(trace), policy),
    )


def compare(run, short_run):
    """Compare the urgent jobs of runs with and without long tasks.

    Parameters
    ----------
    run, short_run : Run
        Results of the complete trace and of the trace without long tasks.

    Returns
    -------
    dict
        For each percentile (p50 and p99) the slowdown with and without long
        tasks and their ratio; ``'jobs'`` is the number of urgent jobs.
    """
    with_long = _urgent_slowdowns(run)
    without_long = _urgent_slowdowns(short_run)
    result = {'jobs': len(with_long)}
    for label, q in (('p50', 0.5), ('p99', 0.99)):
        result[f'{label}_with'] = _measures.quantile(with_long, q)
        result[f'{label}_without'] = _measures.quantile(without_long, q)
        result[label] = result[f'{label}_with'] / result[f'{label}_without']
    return result


def _urgent_slowdowns(run):
    """Return the slowdowns of the urgent jobs that arrive after warm-up."""
    jobs = _measures.jobs_between(run.trace, *run.trace.phase_bounds_s[1:])
    return [_measures.slowdown(run, job) for job in jobs if job.urgent]


def print_result(title, result):
    """Print the comparison of two runs."""
    print(
        f'{title}\n'
        '  urgent slowdown p99 {p99_with:.2f} with long tasks,'
        ' {p99_without:.2f} without, ratio {p99:.3f};'
        ' p50 {p50_with:.2f}, {p50_without:.2f}, ratio {p50:.3f};'
        ' {jobs} jobs'.format(**result)
    )


@click.command()
@click.option('--deployment', default='prydderch', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--placement', default='expected_completion')
@click.option('--queueing', default='fair')
@click.option('--baselines', is_flag=True, help='Run the baselines too.')
def main(deployment, seed, placement, queueing, baselines):
    """Measure how much long tasks slow down urgent jobs."""
    policies = [_simulate.Policy(placement, queueing)]
    if baselines:
        policies += _simulate.BASELINE_POLICIES
    for policy in policies:
        result = measure(deployment, policy, seed)
        print_result(f'{deployment}, {policy}, seed {seed}', result)


if __name__ == '__main__':
    main()
