"""A peak of three times the capacity for 30 s, with deadlines.

Run with::

    python -m benchmarks.bench_crest [--deployment prydderch] [--seed 1]

The load is 0.7 during a warm-up and a reference phase, 3.0 during the crest
and 0.7 again. Urgent jobs have a deadline of 2 s and others one of 5 to 20 s,
or three times their longest task where that is more. Clients that are refused
don't come back.
"""

import click

from benchmarks import _crest
from benchmarks import _deployments
from benchmarks import _simulate
from benchmarks import _workload

LOAD = 0.7
CREST_LOAD = 3.0
PHASES = (
    (LOAD, 20.0),
    (LOAD, 30.0),
    (CREST_LOAD, 30.0),
    (LOAD, 40.0),
)


def measure(name, policy, seed):
    """Run the trace of a deployment and return the figures.

    Parameters
    ----------
    name : str
        Deployment.
    policy : Policy
    seed : int

    Returns
    -------
    dict
    """
    deployment = _deployments.DEPLOYMENTS[name]
    trace = _workload.make_phases(deployment, PHASES, seed, deadlines=True)
    run = _simulate.simulate(trace, policy)
    return _crest.figures(run)


def show(title, found):
    """Print the figures of a run."""
    print(
        f'{title}\n'
        '  useful {goodput:.3f}, busy {busy:.3f} of the capacity;'
        ' refusal p99 {refusal_ms:.2f} ms (beyond the client round trip'
        ' {refusal_excess_ms:.2f} ms, time in the entry'
        ' {handle_ms:.2f} ms);'
        ' recovery {recovery_s:.2f} s; fairness {fairness:.3f},'
        ' lowest service of customers below their share'
        ' {light_served:.3f}'.format(**found)
    )
    print(
        '  jobs without a result in time: {late_before:.3f} before the crest,'
        ' {late_after:.3f} after it'.format(**found)
    )
    print(f'  answers to the jobs of the crest: {found["outcomes"]}')
    for name, part in found['customers'].items():
        print(
            f'  {name}: demand {part["demand"]:.3f}, owed {part["owed"]:.3f},'
            f' received {part["received"]:.3f} of the capacity,'
            f' ratio {part["ratio"]:.3f}'
        )


@click.command()
@click.option('--deployment', default='prydderch', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--placement', default='expected_completion')
@click.option('--queueing', default='fair')
@click.option('--baselines', is_flag=True, help='Run the baselines too.')
def main(deployment, seed, placement, queueing, baselines):
    """Measure service during a peak and the return to normal."""
    policies = [_simulate.Policy(placement, queueing)]
    if baselines:
        policies += _simulate.BASELINES
    for policy in policies:
        found = measure(deployment, policy, seed)
        show(f'{deployment}, {policy}, seed {seed}', found)


if __name__ == '__main__':
    main()
