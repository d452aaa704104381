"""Runs all benchmarks and prints one table.

Run with::

    python -m benchmarks.run --seed 1 [--quick] [--seeds 1,2,3]

The result also goes to `build/bench.json`: for each deployment, and once for
what is measured with real processes, an object for each measure with its
value, target, unit, seed and the values of the baselines. With several seeds
a value is the median over them, and `by_seed` has each. A value that isn't
finite is null: the time of a recovery that was not seen, or a percentile that
falls on a job without a result.
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

PROCESSES_MAX = 5
OUTPUT = pathlib.Path('build') / 'bench.json'
QUICK_S = 30.0
REFUSAL_MARGIN_MS = 10.0
ONCE = 'loopback'


@attrs.frozen
class Measure:
    """A figure: its key in the output and among the found figures.

    `target` is the highest good value, or the lowest if `at_least`.
    """

    key: str
    source: tuple  # (kind of task, figure)
    target: float
    unit: str
    at_least: bool = False


MEASURES = (
    Measure('response_over_ideal_p50', ('response', 'p50'), 1.12, 'ratio'),
    Measure('response_over_ideal_p99', ('response', 'p99'), 2.0, 'ratio'),
    Measure('wasted_messages_per_task', ('response', 'wasted'), 0.05, '1'),
    Measure('short_slowdown_ratio_p99', ('blocking', 'p99'), 1.1, 'ratio'),
    Measure('crest_goodput', ('crest', 'goodput'), 0.95, 'ratio', True),
    Measure('crest_refusal_ms', ('crest', 'refusal_ms'), math.nan, 'ms'),
    Measure('crest_recovery_s', ('crest', 'recovery_s'), 2.0, 's'),
    Measure('crest_fairness', ('crest', 'fairness'), 0.95, 'ratio', True),
)
COST_MEASURES = (
    Measure('entry_cpu_us_per_start', ('cost', 'cpu_us'), 120.0, 'us'),
    Measure('added_latency_ms_p50', ('cost', 'added_ms_p50'), 2.0, 'ms'),
    Measure('added_latency_ms_p99', ('cost', 'added_ms_p99'), 6.0, 'ms'),
)


def steady(name, policy, seed, duration_s):
    """Return the figures at 80 % load: responses, waste and blocking."""
    trace = bench_response.trace_of(name, seed, duration_s)
    run = _simulate.simulate(trace, policy, trace.bounds[1:])
    plain = _simulate.simulate(_workload.without_long(trace), policy)
    return {
        'response': bench_response.figures(run),
        'blocking': bench_blocking.figures(run, plain),
    }


def crest(name, policy, seed, duration_s):
    """Return the figures of the crest."""
    return {'crest': bench_crest.measure(name, policy, seed)}


def _run_task(task):
    function, name, policy, seed, duration_s = task
    return name, policy, seed, function(name, policy, seed, duration_s)


def collect(seeds, policies, duration_s):
    """Run all simulations.

    Returns
    -------
    dict
        By (deployment, policy, seed): figures by kind of task.
    """
    tasks = [
        (function, name, policy, seed, duration_s)
        for seed in seeds
        for policy in policies
        for name in _deployments.DEPLOYMENTS
        for function in (steady, crest)
    ]
    found = {}
    with multiprocessing.Pool(PROCESSES_MAX) as pool:
        results = pool.imap_unordered(_run_task, tasks, chunksize=1)
        for number, (name, policy, seed, figures) in enumerate(results, 1):
            found.setdefault((name, policy, seed), {}).update(figures)
            print(
                f'{number}/{len(tasks)}: {name}, {policy}, seed {seed}',
                file=sys.stderr,
            )
    return found


def target_of(measure, name):
    """Return the target of a measure in a deployment."""
    if measure.key != 'crest_refusal_ms':
        return measure.target
    trip_s = 2 * _deployments.DEPLOYMENTS[name].client_s
    return trip_s * 1000 + REFUSAL_MARGIN_MS


def _finite(value):
    return value if value is not None and math.isfinite(value) else None


def entry_of(measure, name, seeds, by_policy):
    """Return the output for one measure.

    Parameters
    ----------
    measure : Measure
    name : str
        Deployment.
    seeds : sequence of int
    by_policy : dict
        The values for all seeds, by policy; the first is the product's.
    """
    values = {policy: list(found) for policy, found in by_policy.items()}
    medians = {
        str(policy): _finite(statistics.median(found))
        for policy, found in values.items()
    }
    own, *others = medians
    out = {
        'value': medians[own],
        'target': target_of(measure, name),
        'at_least': measure.at_least,
        'unit': measure.unit,
        'seed': seeds[0],
        'baselines': {policy: medians[policy] for policy in others},
    }
    if len(seeds) > 1:
        own_values = next(iter(values.values()))
        out['by_seed'] = {
            seed: _finite(value) for seed, value in zip(seeds, own_values)
        }
    return out


def summarise(found, seeds, policies):
    """Return the output of all deployments."""
    result = {}
    for name in _deployments.DEPLOYMENTS:
        result[name] = {
            measure.key: entry_of(
                measure,
                name,
                seeds,
                {
                    policy: [
                        _pick(found[name, policy, seed], measure)
                        for seed in seeds
                    ]
                    for policy in policies
                },
            )
            for measure in MEASURES
        }
    return result


def _pick(figures, measure):
    kind, figure = measure.source
    return figures[kind][figure]


def summarise_cost(seed, figures):
    """Return the output of what is measured with real processes."""
    return {
        measure.key: {
            'value': _finite(figures.get(measure.source[1])),
            'target': measure.target,
            'at_least': measure.at_least,
            'unit': measure.unit,
            'seed': seed,
            'baselines': {},
        }
        for measure in COST_MEASURES
    }


def _text(value):
    return '-' if value is None else f'{value:.4g}'


def verdict(out):
    """Tell whether a value meets its target."""
    if out['value'] is None:
        return 'no value'
    met = (
        out['value'] >= out['target']
        if out['at_least']
        else out['value'] <= out['target']
    )
    return 'met' if met else 'missed'


def print_table(result):
    """Print the output as a table."""
    groups = {name: result[name] for name in _deployments.DEPLOYMENTS}
    groups[ONCE] = {
        measure.key: result[measure.key]
        for measure in COST_MEASURES
        if measure.key in result
    }
    line = '{:<10} {:<26} {:>8} {:>10} {:<6} {:<8} {}'
    print(
        line.format(
            'where', 'measure', 'value', 'target', 'unit', '', 'spread'
        )
    )
    for name, measures in groups.items():
        for key, out in measures.items():
            sign = '>=' if out['at_least'] else '<='
            print(
                line.format(
                    name,
                    key,
                    _text(out['value']),
                    f'{sign} {_text(out["target"])}',
                    out['unit'],
                    verdict(out),
                    ' '.join(map(_text, out.get('by_seed', {}).values())),
                ).rstrip()
            )
            for policy, value in out['baselines'].items():
                print(f'{"":<13}{policy:<24} {_text(value):>8}')


def _parse_seeds(seed, seeds):
    return [int(part) for part in seeds.split(',')] if seeds else [seed]


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--seeds', default='', help='Several seeds, such as 1,2,3.')
@click.option('--quick', is_flag=True, help='Short traces, no baselines.')
@click.option('--no-cost', is_flag=True, help='Start no real processes.')
@click.option(
    '--output',
    default=OUTPUT,
    type=click.Path(path_type=pathlib.Path),
    show_default=True,
)
def main(seed, seeds, quick, no_cost, output):
    """Run all benchmarks."""
    chosen = _parse_seeds(seed, seeds)
    policies = (_simulate.DEFAULT,)
    duration_s = QUICK_S
    if not quick:
        policies += _simulate.BASELINES
        duration_s = bench_response.DURATION_S
    found = collect(chosen, policies, duration_s)
    result = summarise(found, chosen, policies)
    if not no_cost:
        # Last and alone, because other load would distort real time.
        result |= summarise_cost(chosen[0], bench_cost.measure(quick))
    print_table(result)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(result, indent=2) + '\n')


if __name__ == '__main__':
    main()
