"""Runs all benchmarks and prints a table of the results.

Run with::

    python -m benchmarks.run --seed 1 [--quick] [--seeds 1,2,3]

The result is also written to `build/bench.json`. It has an object for each
metric, with its value, target, unit, seed and the values of the baselines. The
metrics of the simulations are grouped by deployment; those measured with real
processes are at the top level. With several seeds, a value is the median and
`by_seed` has the single values. A value that isn't finite is null, such as the
recovery time if responses don't return to normal, or a percentile that falls
on a job without a result.
"""

import json
import math
import multiprocessing
import pathlib
import statistics
import sys

import attrs
import click

from benchmarks import _deployments
from benchmarks import _simulate
from benchmarks import _workload
from benchmarks import bench_blocking
from benchmarks import bench_cost
from benchmarks import bench_crest
from benchmarks import bench_response

WORKER_PROCESSES = 5
OUTPUT = pathlib.Path('build') / 'bench.json'
QUICK_DURATION_S = 30.0
REFUSAL_MARGIN_MS = 10.0
LOOPBACK_GROUP = 'loopback'


@attrs.frozen
class Metric:
    """A metric of the output and its target.

    Parameters
    ----------
    key : str
        Key in the output.
    source : tuple of (str, str)
        Benchmark and key in its result.
    target : float
        Upper bound of good values, or lower bound if `at_least` is set.
    unit : str
    at_least : bool
    """

    key: str
    source: tuple
    target: float
    unit: str
    at_least: bool = False


# Keys with the prefix `crest_` are those of the load peak (`bench_crest`).
METRICS = (
    Metric('response_over_ideal_p50', ('response', 'p50'), 1.12, 'ratio'),
    Metric('response_over_ideal_p99', ('response', 'p99'), 2.0, 'ratio'),
    Metric('wasted_messages_per_task', ('response', 'wasted'), 0.05, '1'),
    Metric('short_slowdown_ratio_p99', ('blocking', 'p99'), 1.1, 'ratio'),
    Metric('crest_goodput', ('peak', 'goodput'), 0.95, 'ratio', True),
    Metric('crest_refusal_ms', ('peak', 'refusal_ms'), math.nan, 'ms'),
    Metric('crest_recovery_s', ('peak', 'recovery_s'), 2.0, 's'),
    Metric('crest_fairness', ('peak', 'fairness'), 0.95, 'ratio', True),
)
COST_METRICS = (
    Metric('entry_cpu_us_per_start', ('cost', 'cpu_us'), 120.0, 'us'),
    Metric('added_latency_ms_p50', ('cost', 'added_ms_p50'), 2.0, 'ms'),
    Metric('added_latency_ms_p99', ('cost', 'added_ms_p99'), 6.0, 'ms'),
)


def run_steady_load(deployment_name, policy, seed, duration_s):
    """Return the results of `bench_response` and `bench_blocking`."""
    trace = bench_response.make_trace(deployment_name, seed, duration_s)
    run = _simulate.simulate(trace, policy, trace.phase_bounds_s[1:])
    short_run = _simulate.simulate(_workload.remove_long_tasks(trace), policy)
    return {
        'response': bench_response.summarise(run),
        'blocking': bench_blocking.compare(run, short_run),
    }


def run_peak_load(deployment_name, policy, seed, duration_s):
    """Return the result of `bench_crest`."""
    return {'peak': bench_crest.measure(deployment_name, policy, seed)}


def _run_simulation(simulation):
    function, name, policy, seed, duration_s = simulation
    return name, policy, seed, function(name, policy, seed, duration_s)


def run_simulations(seeds, policies, duration_s):
    """Run all simulations in parallel.

    Returns
    -------
    dict
        Results by benchmark for each (deployment, policy, seed).
    """
    runs = [
        (function, name, policy, seed, duration_s)
        for seed in seeds
        for policy in policies
        for name in _deployments.DEPLOYMENTS
        for function in (run_steady_load, run_peak_load)
    ]
    figures_by_run = {}
    with multiprocessing.Pool(WORKER_PROCESSES) as pool:
        results = pool.imap_unordered(_run_simulation, runs, chunksize=1)
        for finished_count, (name, policy, seed, figures) in enumerate(
            results, 1
        ):
            figures_by_run.setdefault((name, policy, seed), {}).update(figures)
            print(
                f'{finished_count}/{len(runs)}: {name}, {policy}, seed {seed}',
                file=sys.stderr,
            )
    return figures_by_run


def target_for(metric, deployment_name):
    """Return the target of a metric for a deployment.

    The target for refusals depends on the round-trip time of the clients.
    """
    if metric.key != 'crest_refusal_ms':
        return metric.target
    round_trip_s = 2 * _deployments.DEPLOYMENTS[deployment_name].client_delay_s
    return round_trip_s * 1000 + REFUSAL_MARGIN_MS


def _finite_or_none(value):
    return value if value is not None and math.isfinite(value) else None


def summarise_metric(metric, deployment_name, seeds, by_policy):
    """Return the output object of one metric.

    Parameters
    ----------
    metric : Metric
    deployment_name : str
        Name of the deployment.
    seeds : sequence of int
    by_policy : dict
        Values for all seeds by policy. The first policy is the default,
        the others are baselines.
    """
    values_by_policy = {
        policy: list(values) for policy, values in by_policy.items()
    }
    medians = {
        str(policy): _finite_or_none(statistics.median(values))
        for policy, values in values_by_policy.items()
    }
    default, *baselines = medians
    summary = {
        'value': medians[default],
        'target': target_for(metric, deployment_name),
        'at_least': metric.at_least,
        'unit': metric.unit,
        'seed': seeds[0],
        'baselines': {policy: medians[policy] for policy in baselines},
    }
    if len(seeds) > 1:
        default_values = next(iter(values_by_policy.values()))
        summary['by_seed'] = {
            seed: _finite_or_none(value)
            for seed, value in zip(seeds, default_values)
        }
    return summary


def summarise_deployments(figures_by_run, seeds, policies):
    """Return the output objects of all deployments."""
    summaries = {}
    for name in _deployments.DEPLOYMENTS:
        summaries[name] = {
            metric.key: summarise_metric(
                metric,
                name,
                seeds,
                {
                    policy: [
                        _value_of(figures_by_run[name, policy, seed], metric)
                        for seed in seeds
                    ]
                    for policy in policies
                },
            )
            for metric in METRICS
        }
    return summaries


def _value_of(figures, metric):
    benchmark, key = metric.source
    return figures[benchmark][key]


def summarise_cost(seed, figures):
    """Return the output objects of the metrics of real processes."""
    return {
        metric.key: {
            'value': _finite_or_none(figures.get(metric.source[1])),
            'target': metric.target,
            'at_least': metric.at_least,
            'unit': metric.unit,
            'seed': seed,
            'baselines': {},
        }
        for metric in COST_METRICS
    }


def _format_value(value):
    return '-' if value is None else f'{value:.4g}'


def target_status(summary):
    """Return whether a value meets its target, as text."""
    if summary['value'] is None:
        return 'no value'
    met = (
        summary['value'] >= summary['target']
        if summary['at_least']
        else summary['value'] <= summary['target']
    )
    return 'met' if met else 'missed'


def print_table(result):
    """Print the result as a table."""
    groups = {name: result[name] for name in _deployments.DEPLOYMENTS}
    groups[LOOPBACK_GROUP] = {
        metric.key: result[metric.key]
        for metric in COST_METRICS
        if metric.key in result
    }
    row_format = '{:<10} {:<26} {:>8} {:>10} {:<6} {:<8} {}'
    print(
        row_format.format(
            'group', 'metric', 'value', 'target', 'unit', '', 'spread'
        )
    )
    for name, summaries in groups.items():
        for key, summary in summaries.items():
            relation = '>=' if summary['at_least'] else '<='
            print(
                row_format.format(
                    name,
                    key,
                    _format_value(summary['value']),
                    f'{relation} {_format_value(summary["target"])}',
                    summary['unit'],
                    target_status(summary),
                    ' '.join(
                        map(_format_value, summary.get('by_seed', {}).values())
                    ),
                ).rstrip()
            )
            for policy, value in summary['baselines'].items():
                print(f'{"":<13}{policy:<24} {_format_value(value):>8}')


def _parse_seeds(seed, seeds):
    return [int(part) for part in seeds.split(',')] if seeds else [seed]


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--seeds', default='', help='Comma-separated seeds, such as 1,2,3.'
)
@click.option(
    '--quick', is_flag=True, help='Use short traces and skip the baselines.'
)
@click.option(
    '--no-cost', is_flag=True, help='Skip the measurements of real processes.'
)
@click.option(
    '--output',
    default=OUTPUT,
    type=click.Path(path_type=pathlib.Path),
    show_default=True,
)
def main(seed, seeds, quick, no_cost, output):
    """Run all benchmarks."""
    seed_list = _parse_seeds(seed, seeds)
    policies = (_simulate.DEFAULT_POLICY,)
    duration_s = QUICK_DURATION_S
    if not quick:
        policies += _simulate.BASELINE_POLICIES
        duration_s = bench_response.DURATION_S
    figures_by_run = run_simulations(seed_list, policies, duration_s)
    result = summarise_deployments(figures_by_run, seed_list, policies)
    if not no_cost:
        # Runs last and alone, because other load would distort measurements
        # in real time.
        result |= summarise_cost(seed_list[0], bench_cost.measure(quick))
    print_table(result)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(result, indent=2) + '\n')


if __name__ == '__main__':
    main()
