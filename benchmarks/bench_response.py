"""Job response time over the ideal, and wasted messages, at 80 % load.

Run with::

    python -m benchmarks.bench_response [--deployment prydderch] [--seed 1]
        [--duration 120] [--placement random] [--queueing fifo] [--baselines]
"""

import click

from benchmarks import _deployments
from benchmarks import _measures
from benchmarks import _simulate
from benchmarks import _workload

LOAD = 0.8
WARMUP_S = 20.0
DURATION_S = 120.0


def trace_of(name, seed, duration_s=DURATION_S, warmup_s=WARMUP_S):
    """Return the trace of a deployment."""
    deployment = _deployments.DEPLOYMENTS[name]
    return _workload.make_trace(deployment, LOAD, duration_s, seed, warmup_s)


def measure(name, policy, seed, duration_s=DURATION_S, warmup_s=WARMUP_S):
    """Run the trace of a deployment and return the figures.

    Parameters
    ----------
    name : str
        Deployment.
    policy : Policy
    seed : int
    duration_s : float
        Length of the part that counts, after the warm-up.
    warmup_s : float

    Returns
    -------
    dict
    """
    trace = trace_of(name, seed, duration_s, warmup_s)
    run = _simulate.simulate(trace, policy, trace.bounds[1:])
    return figures(run)


def figures(run):
    """Return the figures of a run."""
    traffic = run.traffic
    return {
        **_measures.response_over_ideal(run, *run.trace.bounds[1:]),
        'wasted': _measures.waste_per_task(traffic),
        'wasted_by_type': dict(traffic.wasted),
        'starts': traffic.starts,
        'messages': _measures.messages_per_task(traffic),
    }


def show(title, found):
    """Print the figures of a run."""
    print(title)
    print(
        '  response/ideal p50 {p50:.3f} p99 {p99:.2f}'
        ' (without client trip {p50_net:.3f}, {p99_net:.2f});'
        ' of quantiles p50 {ratio_of_p50:.3f} p99 {ratio_of_p99:.2f};'
        ' {jobs} jobs, answers {outcomes}'.format(**found)
    )
    classes = found['p99_by_class'].items()
    shown = ', '.join(f'{name} {value:.2f}' for name, value in classes)
    print(f'  response/ideal p99 by class: {shown}')
    print(
        f'  wasted messages per task {found["wasted"]:.4f}'
        f' of {found["starts"]} starts: {found["wasted_by_type"]}'
    )
    for kind, periodic in (('by load', False), ('periodic', True)):
        shown = ', '.join(
            f'{name} {count:.3f}'
            for name, count in found['messages'].items()
            if (name in _measures.PERIODIC) == periodic
        )
        print(f'  messages per task, {kind}: {shown}')


@click.command()
@click.option('--deployment', default='prydderch', show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--duration', default=DURATION_S, show_default=True)
@click.option('--placement', default='expected_completion')
@click.option('--queueing', default='fair')
@click.option('--baselines', is_flag=True, help='Run the baselines too.')
def main(deployment, seed, duration, placement, queueing, baselines):
    """Measure response times and messages of one deployment."""
    policies = [_simulate.Policy(placement, queueing)]
    if baselines:
        policies += _simulate.BASELINES
    for policy in policies:
        found = measure(deployment, policy, seed, duration)
        show(f'{deployment}, {policy}, seed {seed}', found)


if __name__ == '__main__':
    main()
