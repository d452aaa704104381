"""Compare how pools return after the loss of all processes under load.

Usage: python -m benchmarks.return_after_loss [--fleets A,B] [--seeds N]
[--load X] [VARIANT ...]
"""

import argparse
import collections
import contextlib
import functools
import pathlib
import time
from unittest import mock

import attrs

from azurepier import dispatch
from azurepier.dispatch import _arrival
from azurepier.dispatch import _supply
from azurepier.experiment import _arrivals
from azurepier.experiment import _faults
from azurepier.experiment import _policies
from azurepier.experiment import _spec
from azurepier import testing

EXPERIMENTS = pathlib.Path('examples/experiments')
FLEETS = {
    '3x11': ('uneven-demand.toml', 3, 11),
    '8x53': ('uneven-workers.toml', 8, 53),
    '13x70': ('uneven-demand.toml', 13, 70),
}
Scenario = testing.returns.Scenario
CONFIG_LATE_S = 0.98
SCENARIOS = {
    'before': Scenario(),
    'together': Scenario(entries_lead_s=0.0),
    'after': Scenario(entries_lead_s=-0.3),
    'before, config late': Scenario(config_late_s=CONFIG_LATE_S),
    'together, config late': Scenario(
        entries_lead_s=0.0, config_late_s=CONFIG_LATE_S
    ),
    'after, config late': Scenario(
        entries_lead_s=-0.3, config_late_s=CONFIG_LATE_S
    ),
    'third missing': Scenario(missing_share=1 / 3),
    'third missing, config late': Scenario(
        missing_share=1 / 3, config_late_s=CONFIG_LATE_S
    ),
    'cut off': Scenario(cut_off=True),
    'cut off, config late': Scenario(
        cut_off=True, config_late_s=CONFIG_LATE_S
    ),
}


def _arrival_policy(**settings):
    part = dispatch.policy.EndpointArrival(**settings)
    return dispatch.Policy(endpoint_arrival=part)


def _count_warm_up_from_config(patch):
    """Count the present warm-up from the first accepting endpoint.

    It starts with the configuration if that comes later.
    """

    def is_warming_up(node, now):
        arrival = node.arrival
        if arrival.since is None or not arrival.arrived:
            return True
        return now - max(arrival.since, arrival.first_at) < _supply.WARM_UP_S

    patch(_supply, 'is_warming_up', is_warming_up)


def _late_jobs_unlimited(patch):
    patch(
        _arrival.Review,
        'may_start',
        lambda self, job: not self.is_useless(job),
    )


def _late_jobs_in_turn(patch):
    """Start late jobs in the usual order, before jobs in time."""
    patch(_arrival.Review, 'is_late', lambda self, job: False)


def _late_jobs_beyond_share(patch):
    patch(_arrival, '_equal_share', lambda endpoints: 1e9)


def _oldest_first(patch):
    patch(_arrival.Review, '_sort_key', lambda self, job: job.objective_at)


def _no_late_starts(patch):
    patch(_arrival.Review, 'may_start', lambda self, job: False)


def _wait_to_twice_the_objective(patch):
    patch(_arrival, 'MAX_LATENESS_RATIO', 2.0)


def _cover_only_while_awaited(patch):
    patch(
        _arrival.Review,
        'covers',
        lambda self, job: self.node.arrival.known_at is None,
    )


# Policy and patch by name.
VARIANTS = {
    'present': (dispatch.Policy(), None),
    'warm-up from config': (
        _arrival_policy(min_entries=1000),
        _count_warm_up_from_config,
    ),
    'arrival': (_arrival_policy(), None),
    'settle 50': (_arrival_policy(settle_ms=50), None),
    'settle 100': (_arrival_policy(settle_ms=100), None),
    'settle 400': (_arrival_policy(settle_ms=400), None),
    'late in turn': (_arrival_policy(), _late_jobs_in_turn),
    'late unlimited': (_arrival_policy(), _late_jobs_unlimited),
    'late beyond share': (_arrival_policy(), _late_jobs_beyond_share),
    'late oldest first': (_arrival_policy(), _oldest_first),
    'late not started': (_arrival_policy(), _no_late_starts),
    'until twice': (_arrival_policy(), _wait_to_twice_the_objective),
    'only while awaited': (_arrival_policy(), _cover_only_while_awaited),
}


def play(fleet_name, scenario, policy, seed, load):
    """Return the `Tally` of one run."""
    file, entries, workers = FLEETS[fleet_name]
    path = EXPERIMENTS / file
    spec = _spec.load(
        path.read_text(), _policies.POLICIES, _faults.FAULTS, path.parent
    )
    share = workers / spec.fleet.workers
    spec = attrs.evolve(
        spec,
        fleet=attrs.evolve(spec.fleet, entries=entries, workers=workers),
        load=load * share,
        bursts=(),
        seconds=3.0,
    )
    fleet = testing.make_pool(
        seed=seed,
        entries=entries,
        speeds=_repeat(spec.fleet.speeds, workers),
        cpu=[
            round(1000 * each) for each in _repeat(spec.fleet.cores, workers)
        ],
        domains=spec.fleet.domains,
        delay_s=spec.fleet.delay_ms / 1000,
        uneven=spec.uneven,
    )
    fleet.driver.log_effects = None
    fleet.policy = policy
    arrivals = [
        (each.at_s, _submission(each))
        for each in _arrivals.generate(spec, seed)
    ]
    return testing.returns.play(fleet, scenario, arrivals, seed)


def _repeat(values, count):
    return [values[index % len(values)] for index in range(count)]


def _submission(arrival):
    kind = arrival.kind
    return {
        'work_s': arrival.work_s,
        'count': arrival.tasks,
        'cpu': round(arrival.cores * 1000),
        'declared_ms': round(arrival.declared_s * 1000),
        'queue': testing.queue(
            kind.name,
            stretch=kind.stretch,
            margin_s=kind.margin_ms / 1000,
            priority=kind.priority,
        ),
    }


def main():
    """Print a line for each fleet, scenario and variant."""
    parser = argparse.ArgumentParser()
    parser.add_argument('variants', nargs='*', default=['present', 'arrival'])
    parser.add_argument('--fleets', default=','.join(FLEETS))
    parser.add_argument('--scenarios', default='')
    parser.add_argument('--seeds', type=int, default=2)
    parser.add_argument('--load', type=float, default=1.0)
    args = parser.parse_args()
    for fleet_name in args.fleets.split(','):
        for name, scenario in SCENARIOS.items():
            if args.scenarios and name not in args.scenarios.split(';'):
                continue
            for variant in args.variants:
                _print_line(args, fleet_name, name, scenario, variant)


def _patch(stack, target, name, value):
    stack.enter_context(mock.patch.object(target, name, value))


def _print_line(args, fleet_name, name, scenario, variant):
    outcomes = collections.Counter()
    while_free = while_idle = overload_while_idle = 0
    started = time.monotonic()
    policy, apply = VARIANTS[variant]
    for seed in range(1, args.seeds + 1):
        with contextlib.ExitStack() as stack:
            if apply is not None:
                apply(functools.partial(_patch, stack))
            result = play(fleet_name, scenario, policy, seed, args.load)
        outcomes.update(result.outcomes)
        while_free += result.refused_while_free
        while_idle += result.refused_while_idle
        overload_while_idle += result.overload_while_idle
    in_vain = outcomes.pop('handed in too late', 0)
    total = sum(outcomes.values())
    worth = (outcomes['in time'] + 0.2 * outcomes['late']) / total
    refused = sum(n for key, n in outcomes.items() if 'refused' in key)
    print(
        f'{fleet_name:6} {name:27} {variant:20} jobs {total:5} '
        f'in time {outcomes["in time"]:5} late {outcomes["late"]:4} '
        f'useless {outcomes["useless"]:4} refused {refused:4} '
        f'(in vain {in_vain}) while free {while_free:4} idle {while_idle:4} '
        f'(overload {overload_while_idle}) '
        f'unanswered {outcomes["unanswered"]:3} worth {worth:.3f} '
        f'{ ({k: v for k, v in outcomes.items() if "refused" in k}) } '
        f'{time.monotonic() - started:.0f} s',
        flush=True,
    )


if __name__ == '__main__':
    main()
