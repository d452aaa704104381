"""Slowdown of short urgent jobs by long work, at 80 % load.

Run with::

    python -m benchmarks.bench_blocking [--deployment prydderch] [--seed 1]

The trace of `bench_response` runs twice: as it is, and without the tasks of
several seconds and more, with nothing else changed. The slowdown of an urgent
job is its response time at the client over its run time on the fastest
worker.
"""

import click

from benchmarks import _measures
from benchmarks import _simulate
from benchmarks import _workload
from benchmarks import bench_response


def measure(name, policy, seed, duration_s=bench_response.DURATION_S):
    """Run the two traces of a deployment and return the figures.

    Parameters
    ----------
    name : str
        Deployment.
    policy : Policy
    seed : int
    duration_s : float
        Length of the part that counts, after the warm-up.

    Returns
    -------
    dict
    """
    trace = bench_response.trace_of(name, seed, duration_s)
    return figures(
        _simulate.simulate(trace, policy),
        _simulate.simulate(_workload.without_long(trace), policy),
    )


def figures(run, plain):
    """Compare the urgent jobs of a run with and one without long tasks."""
    slow = _urgent_slowdowns(run)
    base = _urgent_slowdowns(plain)
    found = {'jobs': len(slow)}
    for label, share in (('p50', 0.5), ('p99', 0.99)):
        found[f'{label}_with'] = _measures.quantile(slow, share)
        found[f'{label}_without'] = _measures.quantile(base, share)
        found[label] = found[f'{label}_with'] / found[f'{label}_without']
    return found


def _urgent_slowdowns(run):
    """Return the slowdowns of the urgent jobs after the warm-up."""
    jobs = _measures.jobs_between(run.trace, *run.trace.bounds[1:])
    return [_measures.slowdown_of(run, job) for job in jobs if job.urgent]


def show(title, found):
    """Print the figures of a pair of runs."""
    print(
        f'{title}\n'
        '  urgent slowdown p99 {p99_with:.2f} with long work,'
        ' {p99_without:.2f} without, ratio {p99:.3f};'
        ' p50 {p50_with:.2f}, {p50_without:.2f}, ratio {p50:.3f};'
        ' {jobs} jobs'.format(**found)
    )


@click.command()
@click.option('--deployment', default='prydderch', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--placement', default='expected_completion')
@click.option('--queueing', default='fair')
@click.option('--baselines', is_flag=True, help='Run the baselines too.')
def main(deployment, seed, placement, queueing, baselines):
    """Measure how much long work slows down urgent jobs."""
    policies = [_simulate.Policy(placement, queueing)]
    if baselines:
        policies += _simulate.BASELINES
    for policy in policies:
        found = measure(deployment, policy, seed)
        show(f'{deployment}, {policy}, seed {seed}', found)


if __name__ == '__main__':
    main()
