"""A page that shows what an experiment has found."""

import base64
import html
import io

from azurepier.experiment import _measure
from azurepier.kernel import AzurepierError

# Outcomes are counted in intervals of this length (s).
BIN_S = 0.5
OUTCOMES = ('in time', 'late', 'refused', 'failed')
COLOURS = ('tab:green', 'tab:orange', 'tab:red', 'black')
_STYLE = (
    'body{font-family:sans-serif;max-width:75em;margin:1em auto}'
    'td,th{padding:.2em .8em;text-align:right}'
    'th:first-child,td:first-child{text-align:left}'
)


def _figure():
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise AzurepierError(
            'the page needs matplotlib: install azurepier[dev]'
        ) from exc
    return figure.Figure(figsize=(11, 5.5), layout='constrained')


def _draw(play):
    drawing = _figure()
    counts, waits, used = drawing.subplots(3, 1, sharex=True)
    times = [
        [row.at_s for row in play.outcomes if row.what == what]
        for what in OUTCOMES
    ]
    end = max((row.at_s for row in play.outcomes), default=1.0)
    edges = [BIN_S * index for index in range(int(end / BIN_S) + 2)]
    counts.hist(times, bins=edges, stacked=True, color=COLOURS, label=OUTCOMES)
    counts.set_ylabel('jobs')
    counts.legend(loc='upper right', ncols=len(OUTCOMES))
    for what, colour in zip(OUTCOMES[:2], COLOURS, strict=False):
        rows = [row for row in play.outcomes if row.what == what]
        waits.plot(
            [row.at_s for row in rows],
            [row.took_s for row in rows],
            '.',
            color=colour,
            markersize=3,
        )
    waits.set_ylabel('answered after (s)')
    waits.set_yscale('log')
    used.plot(*zip(*play.used, strict=True), color='tab:blue')
    used.set(xlabel='submitted (s)', ylabel='cores used', ylim=(0, 1.02))
    data = io.BytesIO()
    drawing.savefig(data, format='png', dpi=80)
    encoded = base64.b64encode(data.getvalue()).decode()
    return f'<img alt="outcomes" src="data:image/png;base64,{encoded}">'


def _row(cells, tag='td'):
    return '<tr>' + ''.join(f'<{tag}>{cell}</{tag}>' for cell in cells)


def render(experiment, plays):
    """Return the page of an experiment.

    Parameters
    ----------
    experiment : Experiment
    plays : dict of str to list of Play
        By policy; drawn is the first seed of each.
    """
    name = html.escape(experiment.name)
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{name}</title><style>{_STYLE}</style><h1>{name}</h1>',
        f'<p>{len(next(iter(plays.values())))} seeds, means with 95 % '
        'confidence intervals; the difference is that of the same seeds to '
        'the first policy.</p><table>',
        _row(['policy', *_measure.MEASURES, 'difference in worth'], 'th'),
    ]
    first = next(iter(plays.values()))
    for policy, found in plays.items():
        figures = _measure.table(found)
        change = '' if found is first else _measure.difference(found, first)
        parts.append(_row([html.escape(policy), *figures.values(), change]))
    parts.append('</table>')
    for policy, found in plays.items():
        parts.append(f'<h2>{html.escape(policy)}</h2>{_draw(found[0])}')
    return '\n'.join(parts)
