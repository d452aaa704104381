"""Estimates of the run times of tasks and the speeds of endpoints.

Work is measured in seconds on an endpoint of speed 1. The durations that
callers declare are wrong by up to a factor of ten. They are used directly only
until a kind has been measured, and later only relative to the kind's typical
run time.
"""

import math

import attrs

DEFAULT_WORK_S = 0.2
# Weight of a new run time in the moving averages of its kind.
KIND_WEIGHT = 0.05
# The weight is low because speeds change rarely and single samples are noisy.
SPEED_WEIGHT = 0.03
KINDS_MAX = 10_000
# Weight of a new sample in `Estimates.drift`, and the fraction of the drift
# that is subtracted from the log speed with each sample.
DRIFT_WEIGHT = 0.01
RUN_TIME_MIN_S = 1e-4
# Ratios of declared to typical run times are binned by powers of two, up to
# this exponent in both directions.
BIN_MAX = 10
# Weight of the prior, as a number of samples. The prior assumes that declared
# durations are unrelated to run times.
DECLARED_PRIOR_SAMPLES = 10
DECLARED_WEIGHT = 0.01
DECLARED_FACTOR_MAX = 1000.0
SPEED_MIN = 0.02
SPEED_MAX = 50.0


@attrs.define
class Mean:
    """Exponential moving average that starts as an arithmetic mean."""

    value: float = 0.0
    count: int = 0

    def add(self, sample, weight):
        """Add a sample.

        Parameters
        ----------
        sample : float
        weight : float
            Least weight of the sample. The first samples weigh ``1 / count``.
        """
        self.count += 1
        sample_weight = max(1.0 / self.count, weight)
        self.value += sample_weight * (sample - self.value)


@attrs.define
class KindStats:
    """Measured work of one kind of task.

    `work` averages the work in seconds at speed 1 and `log_work` its
    logarithm. Speeds are estimated from `log_work`: the mean of a skewed
    distribution exceeds its typical value, so comparing run times with the
    mean would make all speeds grow without bound.
    """

    work: Mean = attrs.field(factory=Mean)
    log_work: Mean = attrs.field(factory=Mean)


@attrs.define
class Estimates:
    """Estimates of one entry.

    Attributes
    ----------
    kinds : dict
        `KindStats` by customer and kind, and by None and kind for all
        customers together.
    declared_factors : dict
        Mean ratio of the actual to the typical work, by the bin of the
        ratio of the declared to the typical duration.
    overall : Mean
        Work of all tasks (s at speed 1).
    drift : Mean
        Mean logarithm of the speeds of the endpoints that ran tasks. Only
        ratios of speeds are observable, so it is controlled to zero.
    """

    kinds: dict = attrs.field(factory=dict)
    declared_factors: dict = attrs.field(factory=dict)
    overall: Mean = attrs.field(factory=lambda: Mean(DEFAULT_WORK_S, 1))
    drift: Mean = attrs.field(factory=Mean)


def expected_work(estimates, customer, task):
    """Return the expected work of a task (s at speed 1)."""
    kinds = estimates.kinds
    stats = kinds.get((customer, task.kind)) or kinds.get((None, task.kind))
    if stats is None:
        if task.duration_ms is not None:
            return task.duration_ms / 1000
        return estimates.overall.value
    if task.duration_ms is None:
        return stats.work.value
    typical_s = math.exp(stats.log_work.value)
    factor = estimates.declared_factors.get(
        _ratio_bin(task.duration_ms, typical_s)
    )
    return typical_s * factor.value if factor else stats.work.value


def _ratio_bin(declared_ms, typical_s):
    """Return the bin of the ratio of a declared to the typical duration."""
    ratio = declared_ms / 1000 / typical_s
    return round(min(max(math.log2(ratio), -BIN_MAX), BIN_MAX))


def _kind_stats(estimates, key):
    """Return the statistics for a key; evict the oldest key if full."""
    kinds = estimates.kinds
    stats = kinds.get(key)
    if stats is None:
        if len(kinds) >= KINDS_MAX:
            kinds.pop(next(iter(kinds)))
        stats = kinds[key] = KindStats()
    return stats


def record_run_time(estimates, log_speed, customer, task, run_s):
    """Update the estimates with a measured run time.

    Parameters
    ----------
    estimates : Estimates
    log_speed : Mean
        Logarithm of the speed of the endpoint that ran the task; updated.
    customer : str
    task : TaskSpec
    run_s : float
        Measured run time (s).
    """
    log_run_time = math.log(max(run_s, RUN_TIME_MIN_S))
    log_work = log_run_time + log_speed.value
    work_s = math.exp(log_work)
    estimates.overall.add(work_s, KIND_WEIGHT)
    kind_stats = _kind_stats(estimates, (None, task.kind))
    customer_stats = _kind_stats(estimates, (customer, task.kind))
    if customer_stats.log_work.count and task.duration_ms is not None:
        _record_declared(estimates, customer_stats, task.duration_ms, work_s)
    if customer_stats.log_work.count > 1:
        log_speed.add(
            customer_stats.log_work.value - log_run_time, SPEED_WEIGHT
        )
        estimates.drift.add(log_speed.value, DRIFT_WEIGHT)
        log_speed.value -= DRIFT_WEIGHT * estimates.drift.value
    for stats in (kind_stats, customer_stats):
        stats.work.add(work_s, KIND_WEIGHT)
        stats.log_work.add(log_work, KIND_WEIGHT)


def _record_declared(estimates, stats, declared_ms, work_s):
    """Update the mean factor for tasks with a similar declared duration.

    Notes
    -----
    Declared durations are wrong by large factors, but a task that is
    declared far above the typical run time of its kind is often one of the
    few long ones. The relation is pooled over all kinds because such tasks
    are rare in each of them.
    """
    typical_s = math.exp(stats.log_work.value)
    ratio_bin = _ratio_bin(declared_ms, typical_s)
    factor = estimates.declared_factors.get(ratio_bin)
    if factor is None:
        factor = estimates.declared_factors[ratio_bin] = Mean(
            1.0, DECLARED_PRIOR_SAMPLES
        )
    factor.add(min(work_s / typical_s, DECLARED_FACTOR_MAX), DECLARED_WEIGHT)


def speed_from_log(log_speed):
    """Convert a mean log speed to a speed, clipped to the valid range."""
    return min(max(math.exp(log_speed.value), SPEED_MIN), SPEED_MAX)
