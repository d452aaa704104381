"""Load scenarios for the dispatch to pools, with and without each policy.

Run with::

    python -m benchmarks.bench_overload [--seeds 6] [--output FILE]

Prints the share of jobs in time and the numbers of late and rejected jobs, and
writes an HTML page that plots them over the time of submission. The fleet is
simulated on virtual time, with the same worker model as in the tests.
"""

import base64
import contextlib
import html
import io
import pathlib
from unittest import mock

import attrs
import click
from matplotlib import figure

from azurepier.dispatch import _demand
from azurepier.dispatch import _order
from azurepier.dispatch import _placement
from azurepier.dispatch import _progress
from azurepier.runner import _reports
from azurepier.runner import _trial
from azurepier import testing

OUTPUT = pathlib.Path('build') / 'overload.html'
# Width of the histogram bins (s).
BIN_S = 0.5
OUTCOMES = ('in time', 'late', 'rejected')
COLOURS = ('tab:green', 'tab:orange', 'tab:red')


@attrs.frozen
class Scenario:
    """A load, the policy that handles it, and replacements for the policy.

    Parameters
    ----------
    load : dict
        Arguments of `azurepier.testing.run_load`.
    policy : str
        Description of the policy.
    replacements : tuple of (module, str, object)
        Attributes and the values that disable the policy.
    """

    load: dict
    policy: str
    replacements: tuple


def _choose_skewed_entry(rng):
    return 'e0' if rng.random() < 0.9 else 'e1'


def _sort_by_arrival(jobs, *_):
    return sorted(jobs, key=lambda job: job.received_at)


def _choose_at_random(endpoints, job, now, rng, allow_late=False):
    resources = job.request.resources
    fitting = [
        endpoint
        for endpoint in endpoints
        if _placement.fits(endpoint, resources)
    ]
    return rng.choice(fitting) if fitting else None


_SLOWDOWN = {
    'seconds': 7.0,
    'jobs_per_s': 4,
    'speeds': (1.0, 1.0, 1.6),
    'fault': testing.slow_down(8.0, 2.0, 20.0),
}
_STALL = {**_SLOWDOWN, 'fault': testing.slow_down(1000.0, 2.0, 20.0)}
SCENARIOS = {
    'burst to twice the capacity': Scenario(
        {'seconds': 4.0, 'jobs_per_s': 30},
        'order by objective and early rejection',
        (
            (_order, 'find_unservable', lambda *_: []),
            (_order, 'sort_jobs', _sort_by_arrival),
        ),
    ),
    'nine of ten jobs at one entry': Scenario(
        {'seconds': 6.0, 'jobs_per_s': 20, 'entry': _choose_skewed_entry},
        'capacity shares by demand',
        ((_demand, 'share', lambda *_: 1 / 3),),
    ),
    'workers of unequal speed': Scenario(
        {'seconds': 8.0, 'jobs_per_s': 9, 'speeds': (0.5, 0.5, 1.6)},
        'speed-aware placement',
        ((_placement, 'choose', _choose_at_random),),
    ),
    'a worker becomes eight times slower': Scenario(
        _SLOWDOWN, 'moving delayed runs', ((_progress, 'MOVES_MAX', 0),)
    ),
    'a worker stalls': Scenario(
        _STALL, 'moving stalled runs', ((_progress, 'MOVES_MAX', 0),)
    ),
    'a worker stalls, trials': Scenario(
        _STALL,
        'one trial at a time with exponential backoff',
        ((_trial, 'BACKOFF_MIN_S', 0.1), (_trial, 'BACKOFF_MAX_S', 0.1)),
    ),
    'eleven entries': Scenario(
        {
            'seconds': 5.0,
            'jobs_per_s': 60,
            'speeds': (0.6, 1.0, 1.6) * 4,
            'entries': 11,
        },
        'rate-limited reports',
        ((_reports, 'REPORT_INTERVAL_S', 0.0),),
    ),
}


def outcome_index(fleet, call):
    """Return the index of a call's outcome in `OUTCOMES`."""
    ratio = testing.objective_ratio(fleet, call)
    return 2 if ratio is None else int(ratio > 1.0)


def measure(scenario, seeds, with_policy):
    """Simulate a scenario with several seeds and return the fleets."""
    with contextlib.ExitStack() as stack:
        if not with_policy:
            for module, name, value in scenario.replacements:
                stack.enter_context(mock.patch.object(module, name, value))
        return [
            testing.run_load(seed=seed, **scenario.load)
            for seed in range(1, seeds + 1)
        ]


def summarise(fleets):
    """Return means over the fleets, and a percentile of all jobs.

    Returns
    -------
    dict
        Share of jobs in time, numbers of late and rejected jobs and of
        reports sent, and the 98th percentile of the response time over the
        objective.
    """
    ratios = sorted(
        ratio
        for fleet in fleets
        for call in fleet.calls
        if (ratio := testing.objective_ratio(fleet, call)) is not None
    )
    count = len(fleets)
    return {
        'in_time': sum(map(testing.share_in_time, fleets)) / count,
        'late': sum(map(testing.count_late, fleets)) / count,
        'rejected': sum(map(testing.count_rejected, fleets)) / count,
        'p98': ratios[int(len(ratios) * 0.98)],
        'reports': sum(each.driver.sent['PoolState'] for each in fleets)
        / count,
    }


def plot_outcomes(fleets, axes, title):
    """Plot outcomes and response times over the time of submission."""
    first_sent_at = min(
        call.sent_at for fleet in fleets for call in fleet.calls
    )
    times = [[] for _ in OUTCOMES]
    ratios = [[] for _ in OUTCOMES]
    for fleet in fleets:
        for call in fleet.calls:
            index = outcome_index(fleet, call)
            times[index].append(call.sent_at - first_sent_at)
            ratio = testing.objective_ratio(fleet, call)
            if ratio is not None:
                ratios[index].append((call.sent_at - first_sent_at, ratio))
    edges = [BIN_S * edge for edge in range(int(8.0 / BIN_S) + 1)]
    axes[0].hist(
        times, bins=edges, stacked=True, color=COLOURS, label=OUTCOMES
    )
    axes[0].set(title=title, ylabel='jobs')
    axes[0].legend()
    for colour, points in zip(COLOURS, ratios, strict=True):
        if points:
            axes[1].plot(*zip(*points, strict=True), '.', color=colour)
    axes[1].set(xlabel='submitted (s)', ylabel='time / objective')
    axes[1].set_yscale('log')


def render_plot(scenario, fleets_with, fleets_without):
    """Return the plots as an HTML element."""
    fig = figure.Figure(figsize=(11, 5), layout='constrained')
    axes = fig.subplots(2, 2, sharex=True)
    plot_outcomes(fleets_with, axes[:, 0], f'with: {scenario.policy}')
    plot_outcomes(fleets_without, axes[:, 1], 'without')
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png', dpi=80)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="outcomes" src="data:image/png;base64,{encoded}">'


@click.command()
@click.option('--seeds', default=6, show_default=True)
@click.option(
    '--output', default=OUTPUT, type=click.Path(path_type=pathlib.Path)
)
def main(seeds, output):
    """Simulate all scenarios and write the HTML page."""
    parts = ['<!doctype html><meta charset="utf-8"><title>Overload</title>']
    for name, scenario in SCENARIOS.items():
        fleet_lists = [
            measure(scenario, seeds, with_policy)
            for with_policy in (True, False)
        ]
        click.echo(f'{name}: {scenario.policy}')
        parts.append(f'<h2>{html.escape(name)}</h2><pre>')
        for label, fleets in zip(
            ('with', 'without'), fleet_lists, strict=True
        ):
            line = (
                '{label:8} in time {in_time:.3f}, late {late:.1f}, rejected'
                ' {rejected:.1f}, 98th percentile of time / objective'
                ' {p98:.2f}, reports {reports:.0f}'
            ).format(label=label, **summarise(fleets))
            click.echo('  ' + line)
            parts.append(line)
        parts.append('</pre>' + render_plot(scenario, *fleet_lists))
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text('\n'.join(parts))
    click.echo(f'written to {output}')


if __name__ == '__main__':
    main()
