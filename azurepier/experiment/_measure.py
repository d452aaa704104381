"""Figures of played experiments."""

import collections
import math
import statistics

import attrs

# Student's factors for two-sided 95 % intervals, by degrees of freedom; the
# normal one beyond.
_T95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
)  # fmt: skip
_NORMAL95 = 1.96
# Of each kind, the largest tenth and the fifth below it are looked at by
# themselves: large jobs need room that small ones keep taking.
LARGEST = (0.0, 0.1, 0.3)


@attrs.frozen
class Estimate:
    """Mean over seeds, and half of its 95 % confidence interval."""

    mean: float
    half: float

    def __str__(self):
        return f'{self.mean:.3f} ±{self.half:.3f}'


def estimate(values):
    """Return the estimate that one value for each seed gives."""
    values = list(values)
    if len(values) < 2:
        return Estimate(values[0], math.inf)
    degrees = len(values) - 1
    factor = _T95[degrees - 1] if degrees <= len(_T95) else _NORMAL95
    error = statistics.stdev(values) / math.sqrt(len(values))
    return Estimate(statistics.mean(values), factor * error)


def _share(outcomes):
    owed = sum(outcome.owed for outcome in outcomes)
    return sum(outcome.earned for outcome in outcomes) / owed if owed else 1.0


def _by_kind(outcomes):
    found = collections.defaultdict(list)
    for outcome in outcomes:
        found[outcome.kind].append(outcome)
    return found


def _worst_size(outcomes):
    shares = []
    for rows in _by_kind(outcomes).values():
        rows = sorted(rows, key=lambda outcome: -outcome.owed)
        for first, last in zip(LARGEST, LARGEST[1:], strict=False):
            part = rows[int(first * len(rows)) : int(last * len(rows))]
            if part:
                shares.append(_share(part))
    return min(shares, default=1.0)


def _count(what):
    def measure(play):
        found = sum(outcome.what == what for outcome in play.outcomes)
        return found / max(len(play.outcomes), 1)

    return measure


# Function of a `Play` by the name of the figure; all are shares.
MEASURES = {
    'worth': lambda play: _share(play.outcomes),
    'worst kind': lambda play: min(
        map(_share, _by_kind(play.outcomes).values()), default=1.0
    ),
    'worst size': lambda play: _worst_size(play.outcomes),
    'in time': _count('in time'),
    'late': _count('late'),
    'refused': _count('refused'),
    'failed': _count('failed'),
    'cores used': lambda play: statistics.mean(
        share for _, share in play.used
    ),
}


def table(plays):
    """Return an `Estimate` by the name of each measure.

    Parameters
    ----------
    plays : list of Play
        One for each seed.
    """
    return {
        name: estimate(map(measure, plays))
        for name, measure in MEASURES.items()
    }


def difference(plays, others, name='worth'):
    """Return the estimate of a figure less that of the same seeds.

    The arrivals of a seed are the same for all policies, so that their
    difference is known better than each of them.
    """
    measure = MEASURES[name]
    return estimate(
        measure(play) - measure(other)
        for play, other in zip(plays, others, strict=True)
    )
