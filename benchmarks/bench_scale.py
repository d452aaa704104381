"""Control traffic and refusals of pools against their size.

Run with::

    python -m benchmarks.bench_scale [--output FILE]

Plays fleets of growing size on virtual time, without load and with 40 and
65 % of what they can do, also with one entry that gets three times an even
share, and the largest deployment in use with fewer and more links. Prints a
table and writes it with a plot to a page.
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
LARGE = SHAPES[3]
LINKS = (2, 3, 4, 6, 8, 12)
# Load and share of the busiest entry as a multiple of an even share.
LOADS = ((0.4, 1.0), (0.65, 1.0), (0.4, 3.0), (0.65, 3.0))
LOAD_S = 3.0
TAIL_S = 2.0
# Budgets of control traffic per process.
MESSAGES_MAX = 60
KILOBYTES_MAX = 26


@attrs.frozen
class Row:
    """Figures of one fleet."""

    shape: scale.Shape
    links: int
    idle: scale.Traffic
    loaded: scale.Traffic
    refused: tuple


def measure(shape, links):
    """Play a fleet; return its `Row`."""
    with mock.patch.object(
        membership.entries_for_endpoint, '__defaults__', (links,)
    ):
        idle = scale.measure_traffic(scale.make_fleet(shape), scale.IDLE_S)
        refused, loaded = [], None
        for load, busiest in LOADS:
            fleet = scale.make_fleet(shape)
            calls = []
            traffic = scale.measure_traffic(
                fleet,
                0.0,
                lambda: calls.extend(
                    scale.submit_jobs(fleet, load, LOAD_S, busiest)
                ),
            )
            fleet.run_for(TAIL_S)
            refused.append(scale.rejected_share(calls))
            if (load, busiest) == (0.65, 1.0):
                loaded = traffic
    return Row(shape, links, idle, loaded, tuple(refused))


def line(row):
    """Return the cells of a row."""
    return [
        str(row.shape),
        str(row.links),
        f'{row.idle.messages:.1f}',
        f'{row.idle.kilobytes:.1f}',
        f'{row.loaded.messages:.1f}',
        f'{row.loaded.kilobytes:.1f}',
        *(f'{share:.4f}' for share in row.refused),
    ]


HEADER = [
    'entries x endpoints',
    'links',
    'idle messages/s',
    'idle KB/s',
    'messages/s at 65 %',
    'KB/s at 65 %',
    *(
        f'refused at {load:.0%}, busiest x {busiest:g}'
        for load, busiest in LOADS
    ),
]


def draw(rows):
    """Return a plot of traffic against size as an element of a page."""
    drawing = figure.Figure(figsize=(10, 4), layout='constrained')
    messages, kilobytes = drawing.subplots(1, 2)
    sizes = [row.shape.entries + row.shape.endpoints for row in rows]
    for axes, name, limit in (
        (messages, 'messages', MESSAGES_MAX),
        (kilobytes, 'kilobytes', KILOBYTES_MAX),
    ):
        for label in ('idle', 'loaded'):
            axes.plot(
                sizes,
                [getattr(getattr(row, label), name) for row in rows],
                'o-',
                label=label,
            )
        axes.axhline(limit, color='tab:red', linestyle=':', label='budget')
        axes.set(xlabel='processes', ylabel=f'{name} a second and process')
        axes.set_xscale('log')
        axes.set_ylim(bottom=0)
        axes.legend()
    data = io.BytesIO()
    drawing.savefig(data, format='png', dpi=80)
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<img alt="traffic" src="data:image/png;base64,{encoded}">'


def table(rows):
    """Return a table of rows as an element of a page."""
    cells = [HEADER, *map(line, rows)]
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
    """Play all fleets and write the page."""
    links = membership.LINKS_PER_ENDPOINT
    wanted = [(shape, links) for shape in SHAPES]
    wanted += [(LARGE, each) for each in LINKS if each != links]
    click.echo(' | '.join(HEADER))
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for row in pool.map(measure, *zip(*wanted, strict=True)):
            rows.append(row)
            click.echo(' | '.join(line(row)))
    sizes = [row for row in rows if row.links == links]
    others = sorted(
        (row for row in rows if row.shape == LARGE), key=lambda row: row.links
    )
    parts = [
        '<!doctype html><meta charset="utf-8"><title>Scale</title>',
        '<h1>Control traffic and refusals against size</h1>',
        table(sizes),
        draw(sizes),
        '<h2>Links of an endpoint process</h2>',
        table(others),
    ]
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text('\n'.join(parts))
    click.echo(f'written to {output}')


if __name__ == '__main__':
    main()
