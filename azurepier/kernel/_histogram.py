"""Histograms with cheap updates; labels are computed when they are read."""

import bisect

import attrs

# Upper bounds of the latency buckets (s).
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
    """Histogram with fixed upper bounds.

    Attributes
    ----------
    counts : list of int
        Number of values in each bucket; the last one is for values above
        all bounds.
    total : float
        Sum of all values.
    """

    bounds: tuple = LATENCY_BOUNDS_S
    counts: list = attrs.field(init=False)
    total: float = 0.0

    def __attrs_post_init__(self):
        self.counts = [0] * (len(self.bounds) + 1)

    def observe(self, value):
        """Add a value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value

    def cumulative(self):
        """Return ``(upper bound as str, cumulative count)`` pairs."""
        labels = [*map(str, self.bounds), '+Inf']
        pairs, total_count = [], 0
        for label, count in zip(labels, self.counts, strict=True):
            total_count += count
            pairs.append((label, total_count))
        return pairs
