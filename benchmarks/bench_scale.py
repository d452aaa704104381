"""Control traffic and rejected jobs of pools by size.

Run with::

    python -m benchmarks.bench_scale [--output FILE]

Simulates fleets of increasing size on virtual time: without load, and at 40
and 65 % of their capacity, with even load and with one entry that gets three
times an even share. The largest deployment in use is also simulated with fewer
and more links per endpoint process; a link is a connection to an entry. Prints
a table and writes it with a plot to an HTML page.
"""

import base64
import concurrent.futures
import html
import io
import pathlib
from unittest import mock

import attrs
import click
from matplotlib import figure

from azurepier import membership
from azurepier.testing import scale

OUTPUT = pathlib.Path('build') / 'scale.html'
SHAPES = (
    scale.Shape(3, 11, 3),
    scale.Shape(9, 56, 3),
    scale.Shape(11, 66, 4),
    scale.Shape(35, 160, 5),
    scale.Shape(100, 500, 5),
)
LARGE_SHAPE = SHAPES[3]
LINK_COUNTS = (2, 3, 4, 6, 8, 12)
# Load over capacity, and load of the busiest entry over an even share.
LOADS = ((0.4, 1.0), (0.65, 1.0), (0.4, 3.0), (0.65, 3.0))
LOAD_DURATION_S = 3.0
DRAIN_S = 2.0
# Budgets for the control traffic of a process.
MESSAGES_PER_S_MAX = 60
KILOBYTES_PER_S_MAX = 26


@attrs.frozen
class Row:
    """Figures of one fleet.

    Parameters
    ----------
    shape : Shape
    links : int
        Connections of each endpoint process to entries.
    idle, loaded : Traffic
        Traffic per process without load and at 65 % of the capacity.
    rejected : tuple of float
        Share of rejected jobs for each item of `LOADS`.
    """

    shape: scale.Shape
    links: int
    idle: scale.Traffic
    loaded: scale.Traffic
    rejected: tuple


def measure(shape, links):
    """Simulate a fleet without load and with each of `LOADS`."""
    with mock.patch.object(
        membership.entries_for_endpoint, '__defaults__', (links,)
    ):
        idle = scale.measure_traffic(scale.make_fleet(shape), scale.IDLE_S)
        rejected_shares, loaded = [], None
        for load, busiest in LOADS:
            fleet = scale.make_fleet(shape)
            calls = []
            traffic = scale.measure_traffic(
                fleet,
                0.0,
                lambda: calls.extend(
                    scale.submit_jobs(fleet, load, LOAD_DURATION_S, busiest)
                ),
            )
            fleet.run_for(DRAIN_S)
            rejected_shares.append(scale.rejected_share(calls))
            if (load, busiest) == (0.65, 1.0):
                loaded = traffic
    return Row(shape, links, idle, loaded, tuple(rejected_shares))


def format_row(row):
    """Return the cells of a table row."""
    return [
        str(row.shape),
        str(row.links),
        f'{row.idle.messages:.1f}',
        f'{row.idle.kilobytes:.1f}',
        f'{row.loaded.messages:.1f}',
        f'{row.loaded.kilobytes:.1f}',
        *(f'{share:.4f}' for share in row.rejected),
    ]


HEADER = [
    'entries x endpoints',
    'links',
    'idle messages/s',
    'idle KB/s',
    'messages/s at 65 %',
    'KB/s at 65 %',
    *(
        f'rejected at {load:.0%}, busiest x {busiest:g}'
        for load, busiest in LOADS
    ),
]


def render_plot(rows):
    """Return a plot of traffic by size as an HTML element."""
    fig = figure.Figure(figsize=(10, 4), layout='constrained')
    messages, kilobytes = fig.subplots(1, 2)
    sizes = [row.shape.entries + row.shape.endpoints for row in rows]
    for axes, attribute, budget in (
        (messages, 'messages', MESSAGES_PER_S_MAX),
        (kilobytes, 'kilobytes', KILOBYTES_PER_S_MAX),
    ):
        for label in ('idle', 'loaded'):
            axes.plot(
                sizes,
                [getattr(getattr(row, label), attribute) for row in rows],
                'o-',
                label=label,
            )
        axes.axhline(budget, color='tab:red', linestyle=':', label='budget')
        axes.set(xlabel='processes', ylabel=f'{attribute}/s per process')
        axes.set_xscale('log')
        axes.set_ylim(bottom=0)
        axes.legend()
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png', dpi=80)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="traffic" src="data:image/png;base64,{encoded}">'


def render_table(rows):
    """Return a table of rows as an HTML element."""
    cells = [HEADER, *map(format_row, rows)]
    return (
        '<table>'
        + ''.join(
            '<tr>' + ''.join(f'<td>{html.escape(cell)}</td>' for cell in row)
            for row in cells
        )
        + '</table>'
    )


@click.command()
@click.option(
    '--output', default=OUTPUT, type=click.Path(path_type=pathlib.Path)
)
@click.option('--jobs', default=2, show_default=True)
def main(output, jobs):
    """Simulate all fleets and write the HTML page."""
    links = membership.LINKS_PER_ENDPOINT
    cases = [(shape, links) for shape in SHAPES]
    cases += [(LARGE_SHAPE, count) for count in LINK_COUNTS if count != links]
    click.echo(' | '.join(HEADER))
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(measure, *zip(*cases, strict=True)):
            rows.append(row)
            click.echo(' | '.join(format_row(row)))
    rows_by_size = [row for row in rows if row.links == links]
    rows_by_links = sorted(
        (row for row in rows if row.shape == LARGE_SHAPE),
        key=lambda row: row.links,
    )
    parts = [
        '<!doctype html><meta charset="utf-8"><title>Scale</title>',
        '<h1>Control traffic and rejected jobs by size</h1>',
        render_table(rows_by_size),
        render_plot(rows_by_size),
        '<h2>Links per endpoint process</h2>',
        render_table(rows_by_links),
    ]
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text('\n'.join(parts))
    click.echo(f'written to {output}')


if __name__ == '__main__':
    main()
