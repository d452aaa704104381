"""HTML page with the results of an experiment."""

import base64
import html
import io

from azurepier.experiment import _measure
from azurepier.kernel import AzurepierError

# Width of the bins in which outcomes are counted (s).
OUTCOME_BIN_S = 0.5
STATUSES = ('in time', 'late', 'refused', 'failed')
COLOURS = ('tab:green', 'tab:orange', 'tab:red', 'black')
_STYLE = (
    'body{font-family:sans-serif;max-width:75em;margin:1em auto}'
    'td,th{padding:.2em .8em;text-align:right}'
    'th:first-child,td:first-child{text-align:left}'
)


def _make_figure():
    try:
        from matplotlib import figure
    except ImportError as exc:
        raise AzurepierError(
            'matplotlib, which draws the plots of the page, is not installed;'
            ' run "pip install azurepier[dev]"'
        ) from exc
    return figure.Figure(figsize=(11, 5.5), layout='constrained')


def _plots_html(result):
    fig = _make_figure()
    counts_ax, response_ax, usage_ax = fig.subplots(3, 1, sharex=True)
    times = [
        [row.at_s for row in result.outcomes if row.status == status]
        for status in STATUSES
    ]
    end = max((row.at_s for row in result.outcomes), default=1.0)
    edges = [
        OUTCOME_BIN_S * index for index in range(int(end / OUTCOME_BIN_S) + 2)
    ]
    counts_ax.hist(
        times, bins=edges, stacked=True, color=COLOURS, label=STATUSES
    )
    counts_ax.set_ylabel('jobs')
    counts_ax.legend(loc='upper right', ncols=len(STATUSES))
    for status, colour in zip(STATUSES[:2], COLOURS, strict=False):
        rows = [row for row in result.outcomes if row.status == status]
        response_ax.plot(
            [row.at_s for row in rows],
            [row.response_s for row in rows],
            '.',
            color=colour,
            markersize=3,
        )
    response_ax.set_ylabel('response time (s)')
    response_ax.set_yscale('log')
    usage_ax.plot(*zip(*result.core_usage, strict=True), color='tab:blue')
    usage_ax.set(
        xlabel='time of submission (s)',
        ylabel='share of cores used',
        ylim=(0, 1.02),
    )
    buffer = io.BytesIO()
    fig.savefig(buffer, format='png', dpi=80)
    encoded = base64.b64encode(buffer.getvalue()).decode()
    return f'<img alt="outcomes" src="data:image/png;base64,{encoded}">'


def _row_html(cells, tag='td'):
    return '<tr>' + ''.join(f'<{tag}>{cell}</{tag}>' for cell in cells)


def render_page(experiment, results_by_policy):
    """Return the HTML page of an experiment.

    Parameters
    ----------
    experiment : Experiment
    results_by_policy : dict of str to list of SimulationResult
        One result per seed. The page compares the policies with the first one
        and plots the first seed of each.
    """
    name = html.escape(experiment.name)
    parts = [
        '<!doctype html><meta charset="utf-8">',
        f'<title>{name}</title><style>{_STYLE}</style><h1>{name}</h1>',
        f'<p>{len(next(iter(results_by_policy.values())))} seeds, means with '
        '95 % confidence intervals; each difference is the paired difference '
        'from the first policy over the same seeds.</p><table>',
        _row_html(['policy', *_measure.MEASURES, 'difference in worth'], 'th'),
    ]
    baseline_results = next(iter(results_by_policy.values()))
    for policy, policy_results in results_by_policy.items():
        estimates = _measure.estimate_measures(policy_results)
        worth_difference = (
            ''
            if policy_results is baseline_results
            else _measure.estimate_difference(policy_results, baseline_results)
        )
        parts.append(
            _row_html(
                [html.escape(policy), *estimates.values(), worth_difference]
            )
        )
    parts.append('</table>')
    for policy, policy_results in results_by_policy.items():
        parts.append(
            f'<h2>{html.escape(policy)}</h2>{_plots_html(policy_results[0])}'
        )
    return '\n'.join(parts)
