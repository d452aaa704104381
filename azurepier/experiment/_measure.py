"""Statistics of experiments over several seeds."""

import collections
import math
import statistics

import attrs

# Quantiles for two-sided 95 % intervals: of Student's t-distribution by
# degrees of freedom from 1, and of the normal distribution beyond the table.
_T_QUANTILES_95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
)  # fmt: skip
_NORMAL_QUANTILE_95 = 1.96
# Bounds of the size classes of a kind, as shares of its jobs by descending
# size. The largest tenth and the next fifth are measured separately because
# small jobs can take the capacity that large ones wait for.
SIZE_CLASS_BOUNDS = (0.0, 0.1, 0.3)


@attrs.frozen
class Estimate:
    """Mean over seeds with its 95 % confidence interval.

    Attributes
    ----------
    mean : float
    half_width : float
        Half of the width of the interval; infinite for a single seed.
    """

    mean: float
    half_width: float

    def __str__(self):
        return f'{self.mean:.3f} ±{self.half_width:.3f}'


def estimate(values):
    """Return the `Estimate` from one value for each seed."""
    values = list(values)
    if len(values) < 2:
        return Estimate(values[0], math.inf)
    dof = len(values) - 1
    quantile = (
        _T_QUANTILES_95[dof - 1]
        if dof <= len(_T_QUANTILES_95)
        else _NORMAL_QUANTILE_95
    )
    std_error = statistics.stdev(values) / math.sqrt(len(values))
    return Estimate(statistics.mean(values), quantile * std_error)


def _worth_share(outcomes):
    max_worth = sum(outcome.max_worth for outcome in outcomes)
    return (
        sum(outcome.worth for outcome in outcomes) / max_worth
        if max_worth
        else 1.0
    )


def _group_by_kind(outcomes):
    groups = collections.defaultdict(list)
    for outcome in outcomes:
        groups[outcome.kind].append(outcome)
    return groups


def _worst_size_class(outcomes):
    shares = []
    for rows in _group_by_kind(outcomes).values():
        rows = sorted(rows, key=lambda outcome: -outcome.max_worth)
        for first, last in zip(
            SIZE_CLASS_BOUNDS, SIZE_CLASS_BOUNDS[1:], strict=False
        ):
            part = rows[int(first * len(rows)) : int(last * len(rows))]
            if part:
                shares.append(_worth_share(part))
    return min(shares, default=1.0)


def _status_share(status):
    def measure(result):
        count = sum(outcome.status == status for outcome in result.outcomes)
        return count / max(len(result.outcomes), 1)

    return measure


# Functions of a `SimulationResult` by the name of the measure; all return
# shares.
MEASURES = {
    'worth': lambda result: _worth_share(result.outcomes),
    'worst kind': lambda result: min(
        map(_worth_share, _group_by_kind(result.outcomes).values()),
        default=1.0,
    ),
    'worst size': lambda result: _worst_size_class(result.outcomes),
    'in time': _status_share('in time'),
    'late': _status_share('late'),
    'refused': _status_share('refused'),
    'failed': _status_share('failed'),
    'cores used': lambda result: statistics.mean(
        share for _, share in result.core_usage
    ),
}


def estimate_measures(results):
    """Return the estimate of each measure over the seeds.

    Parameters
    ----------
    results : list of SimulationResult
        One for each seed.

    Returns
    -------
    dict of str to Estimate
        By the name of the measure.
    """
    return {
        name: estimate(map(measure, results))
        for name, measure in MEASURES.items()
    }


def estimate_difference(results, baseline_results, name='worth'):
    """Return the estimate of the paired difference of a measure.

    The arrivals of a seed are the same for all policies. The confidence
    interval of the paired difference is therefore narrower than those of the
    two means.

    Parameters
    ----------
    results, baseline_results : list of SimulationResult
        Results of two policies for the same seeds, in the same order.
    name : str
        Name of the measure.
    """
    measure = MEASURES[name]
    return estimate(
        measure(result) - measure(baseline)
        for result, baseline in zip(results, baseline_results, strict=True)
    )
