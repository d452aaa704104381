"""A load peak of three times the capacity for 30 s, with deadlines.

Run with::

    python -m benchmarks.bench_crest [--deployment prydderch] [--seed 1]

The load, relative to the capacity, is 0.7 during the warm-up and a reference
phase, 3.0 during the peak and 0.7 afterwards. The deadline is 2 s for urgent
jobs; for others it is 5 to 20 s, but at least three times the longest task.
Clients do not retry refused jobs.
"""

import click

from benchmarks import _deployments
from benchmarks import _peak
from benchmarks import _simulate
from benchmarks import _workload

NORMAL_LOAD = 0.7
PEAK_LOAD = 3.0
# Load and duration (s) of the warm-up, the reference phase, the peak and the
# recovery.
PHASES = (
    (NORMAL_LOAD, 20.0),
    (NORMAL_LOAD, 30.0),
    (PEAK_LOAD, 30.0),
    (NORMAL_LOAD, 40.0),
)


def measure(deployment_name, policy, seed):
    """Simulate the trace of a deployment and return its figures.

    Parameters
    ----------
    deployment_name : str
        Name of the deployment.
    policy : Policy
    seed : int

    Returns
    -------
    dict
        See `benchmarks._peak.summarise`.
    """
    deployment = _deployments.DEPLOYMENTS[deployment_name]
    trace = _workload.make_phased_trace(
        deployment, PHASES, seed, deadlines=True
    )
    run = _simulate.simulate(trace, policy)
    return _peak.summarise(run)


def print_result(title, result):
    """Print the figures of a run."""
    print(
        f'{title}\n'
        '  goodput {goodput:.3f}, busy {busy:.3f} of the capacity;'
        ' refusal p99 {refusal_ms:.2f} ms (without the client round trip'
        ' {refusal_excess_ms:.2f} ms, CPU time of the entry'
        ' {submit_cpu_ms:.2f} ms);'
        ' recovery {recovery_s:.2f} s; fairness {fairness:.3f},'
        ' lowest ratio of customers below their fair share'
        ' {lowest_unlimited_ratio:.3f}'.format(**result)
    )
    print(
        '  jobs without a result in time: {late_before:.3f} before the peak,'
        ' {late_after:.3f} after it'.format(**result)
    )
    print(f'  outcomes of jobs submitted in the peak: {result["outcomes"]}')
    for name, customer in result['customers'].items():
        print(
            f'  {name}: demand {customer["demand"]:.3f},'
            f' fair share {customer["fair_share"]:.3f},'
            f' received {customer["received"]:.3f} of the capacity,'
            f' ratio {customer["ratio"]:.3f}'
        )


@click.command()
@click.option('--deployment', default='prydderch', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--placement', default='expected_completion')
@click.option('--queueing', default='fair')
@click.option('--baselines', is_flag=True, help='Run the baselines too.')
def main(deployment, seed, placement, queueing, baselines):
    """Measure goodput and fairness during a load peak, and the recovery."""
    policies = [_simulate.Policy(placement, queueing)]
    if baselines:
        policies += _simulate.BASELINE_POLICIES
    for policy in policies:
        result = measure(deployment, policy, seed)
        print_result(f'{deployment}, {policy}, seed {seed}', result)


if __name__ == '__main__':
    main()
