"""Histograms that cost nothing but counting until metrics are asked for."""

import bisect

import attrs

# Upper bounds of latencies from a millisecond to a minute (s).
LATENCY_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


@attrs.define
class Histogram:
    """Counts of observed values by upper bound.

    Attributes
    ----------
    counts : list of int
        One for each bound and one for larger values.
    total : float
        Sum of all values.
    """

    bounds: tuple = LATENCY_BOUNDS_S
    counts: list = attrs.field(init=False)
    total: float = 0.0

    def __attrs_post_init__(self):
        self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, value):
        """Count a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def cumulative(self):
        """Return pairs of upper bound, as text, and cumulative count."""
        labels = [*map(str, self.bounds), '+Inf']
        pairs, number = [], 0
        for label, count in zip(labels, self.counts, strict=True):
            number += count
            pairs.append((label, number))
        return pairs
