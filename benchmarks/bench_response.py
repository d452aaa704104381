"""Response times relative to an ideal scheduler, and wasted messages.

Run with::

    python -m benchmarks.bench_response [--deployment prydderch] [--seed 1]
        [--duration 120] [--placement random] [--queueing fifo] [--baselines]

The load is 80 % of the capacity.
"""

import click

from benchmarks import _deployments
from benchmarks import _measures
from benchmarks import _simulate
from benchmarks import _workload

LOAD = 0.8
WARMUP_S = 20.0
DURATION_S = 120.0


def make_trace(
    deployment_name, seed, duration_s=DURATION_S, warmup_s=WARMUP_S
):
    """Return the trace of a deployment: a warm-up and the measured part."""
    deployment = _deployments.DEPLOYMENTS[deployment_name]
    return _workload.make_trace(deployment, LOAD, duration_s, seed, warmup_s)


def measure(
    deployment_name, policy, seed, duration_s=DURATION_S, warmup_s=WARMUP_S
):
    """Simulate the trace of a deployment and return its figures.

    Parameters
    ----------
    deployment_name : str
        Name of the deployment.
    policy : Policy
    seed : int
    duration_s : float
        Duration of the measured part, which follows the warm-up.
    warmup_s : float

    Returns
    -------
    dict
        See `summarise`.
    """
    trace = make_trace(deployment_name, seed, duration_s, warmup_s)
    run = _simulate.simulate(trace, policy, trace.phase_bounds_s[1:])
    return summarise(run)


def summarise(run):
    """Return response times, wasted messages and traffic of a run."""
    traffic = run.traffic
    return {
        **_measures.response_over_ideal(run, *run.trace.phase_bounds_s[1:]),
        'wasted': _measures.wasted_messages_per_task(traffic),
        'wasted_by_type': dict(traffic.wasted),
        'starts': traffic.starts,
        'messages': _measures.messages_per_task(traffic),
    }


def print_result(title, result):
    """Print the figures of a run."""
    print(title)
    print(
        '  response/ideal p50 {p50:.3f} p99 {p99:.2f}'
        ' (without client round trip {p50_net:.3f}, {p99_net:.2f});'
        ' ratio of quantiles p50 {ratio_of_p50:.3f} p99 {ratio_of_p99:.2f};'
        ' {jobs} jobs, outcomes {outcomes}'.format(**result)
    )
    by_class = result['p99_by_class'].items()
    listing = ', '.join(f'{name} {value:.2f}' for name, value in by_class)
    print(f'  response/ideal p99 by class: {listing}')
    print(
        f'  wasted messages per task {result["wasted"]:.4f}'
        f' of {result["starts"]} starts: {result["wasted_by_type"]}'
    )
    for kind, periodic in (('load-dependent', False), ('periodic', True)):
        listing = ', '.join(
            f'{name} {count:.3f}'
            for name, count in result['messages'].items()
            if (name in _measures.PERIODIC_MESSAGES) == periodic
        )
        print(f'  messages per task, {kind}: {listing}')


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
        policies += _simulate.BASELINE_POLICIES
    for policy in policies:
        result = measure(deployment, policy, seed, duration)
        print_result(f'{deployment}, {policy}, seed {seed}', result)


if __name__ == '__main__':
    main()
