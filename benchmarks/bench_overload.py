"""Load patterns of the dispatch to pools, with and without each decision.

Run with::

    python -m benchmarks.bench_overload [--seeds 6] [--output FILE]

Prints the share of jobs in time, and late and refused jobs, and writes a page
that shows them over the time of submission. The fleet and the workers are the
model on virtual time that the tests use.
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
# Jobs of the page are counted in intervals of this length (s).
BIN_S = 0.5
OUTCOMES = ('in time', 'late', 'refused')
COLOURS = ('tab:green', 'tab:orange', 'tab:red')


@attrs.frozen
class Pattern:
    """A load, the decision that answers it, and what replaces the decision.

    Parameters
    ----------
    load : dict
        Arguments of `azurepier.testing.run_load`.
    decision : str
    without : tuple of (module, str, object)
        Attributes and their values without the decision.
    """

    load: dict
    decision: str
    without: tuple


def _uneven(rng):
    return 'e0' if rng.random() < 0.9 else 'e1'


def _by_arrival(jobs, *_):
    return sorted(jobs, key=lambda job: job.received_at)


def _at_random(endpoints, job, now, rng, allow_late=False):
    resources = job.request.resources
    found = [each for each in endpoints if _placement.fits(each, resources)]
    return rng.choice(found) if found else None


_TURNS_SLOW = {
    'seconds': 7.0,
    'jobs_per_s': 4,
    'speeds': (1.0, 1.0, 1.6),
    'fault': testing.slow_down(8.0, 2.0, 20.0),
}
_STANDS = {**_TURNS_SLOW, 'fault': testing.slow_down(1000.0, 2.0, 20.0)}
PATTERNS = {
    'burst to twice the capacity': Pattern(
        {'seconds': 4.0, 'jobs_per_s': 30},
        'order by objective, early refusals',
        (
            (_order, 'find_unservable', lambda *_: []),
            (_order, 'sort_jobs', _by_arrival),
        ),
    ),
    'nine of ten callers at one entry': Pattern(
        {'seconds': 6.0, 'jobs_per_s': 20, 'entry': _uneven},
        'shares by demand',
        ((_demand, 'share', lambda *_: 1 / 3),),
    ),
    'workers of unequal speed': Pattern(
        {'seconds': 8.0, 'jobs_per_s': 9, 'speeds': (0.5, 0.5, 1.6)},
        'placement by speed',
        ((_placement, 'choose', _at_random),),
    ),
    'a worker turns eight times slower': Pattern(
        _TURNS_SLOW, 'moved runs', ((_progress, 'MOVES_MAX', 0),)
    ),
    'a worker stands still': Pattern(
        _STANDS, 'moved runs', ((_progress, 'MOVES_MAX', 0),)
    ),
    'a worker stands still, trials': Pattern(
        _STANDS,
        'one trial at a time, pauses that grow',
        ((_trial, 'BACKOFF_MIN_S', 0.1), (_trial, 'BACKOFF_MAX_S', 0.1)),
    ),
    'eleven entries': Pattern(
        {
            'seconds': 5.0,
            'jobs_per_s': 60,
            'speeds': (0.6, 1.0, 1.6) * 4,
            'entries': 11,
        },
        'reports after a pause',
        ((_reports, 'REPORT_INTERVAL_S', 0.0),),
    ),
}


def outcome(fleet, call):
    """Return the position of a call's outcome in `OUTCOMES`."""
    ratio = testing.objective_ratio(fleet, call)
    return 2 if ratio is None else int(ratio > 1.0)


def measure(pattern, seeds, with_decision):
    """Play a pattern; return the fleets."""
    with contextlib.ExitStack() as stack:
        if not with_decision:
            for target, name, value in pattern.without:
                stack.enter_context(mock.patch.object(target, name, value))
        return [
            testing.run_load(seed=seed, **pattern.load)
            for seed in range(1, seeds + 1)
        ]


def figures(fleets):
    """Return share in time, late, refused, and the 98th percentile."""
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
        'refused': sum(map(testing.count_rejected, fleets)) / count,
        'p98': ratios[int(len(ratios) * 0.98)],
        'reports': sum(f.driver.sent['PoolState'] for f in fleets) / count,
    }


def draw(fleets, axes, title):
    """Draw outcomes and response times over the time of submission."""
    since = min(call.sent_at for fleet in fleets for call in fleet.calls)
    times = [[] for _ in OUTCOMES]
    points = [[] for _ in OUTCOMES]
    for fleet in fleets:
        for call in fleet.calls:
            kind = outcome(fleet, call)
            times[kind].append(call.sent_at - since)
            ratio = testing.objective_ratio(fleet, call)
            if ratio is not None:
                points[kind].append((call.sent_at - since, ratio))
    edges = [BIN_S * index for index in range(int(8.0 / BIN_S) + 1)]
    axes[0].hist(
        times, bins=edges, stacked=True, color=COLOURS, label=OUTCOMES
    )
    axes[0].set(title=title, ylabel='jobs')
    axes[0].legend()
    for colour, found in zip(COLOURS, points, strict=True):
        if found:
            axes[1].plot(*zip(*found, strict=True), '.', color=colour)
    axes[1].set(xlabel='submitted (s)', ylabel='time / objective')
    axes[1].set_yscale('log')


def render(pattern, with_, without):
    """Return a drawing as an element of the page."""
    drawing = figure.Figure(figsize=(11, 5), layout='constrained')
    axes = drawing.subplots(2, 2, sharex=True)
    draw(with_, axes[:, 0], f'with: {pattern.decision}')
    draw(without, axes[:, 1], 'without')
    data = io.BytesIO()
    drawing.savefig(data, format='png', dpi=80)
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<img alt="outcomes" src="data:image/png;base64,{encoded}">'


@click.command()
@click.option('--seeds', default=6, show_default=True)
@click.option(
    '--output', default=OUTPUT, type=click.Path(path_type=pathlib.Path)
)
def main(seeds, output):
    """Play all patterns and write the page."""
    parts = ['<!doctype html><meta charset="utf-8"><title>Overload</title>']
    for name, pattern in PATTERNS.items():
        found = [measure(pattern, seeds, each) for each in (True, False)]
        click.echo(f'{name}: {pattern.decision}')
        parts.append(f'<h2>{html.escape(name)}</h2><pre>')
        for label, fleets in zip(('with', 'without'), found, strict=True):
            line = (
                '{label:8} in time {in_time:.3f}, late {late:.1f}, refused'
                ' {refused:.1f}, 98th percentile of time / objective'
                ' {p98:.2f}, reports {reports:.0f}'
            ).format(label=label, **figures(fleets))
            click.echo('  ' + line)
            parts.append(line)
        parts.append('</pre>' + render(pattern, *found))
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text('\n'.join(parts))
    click.echo(f'written to {output}')


if __name__ == '__main__':
    main()
