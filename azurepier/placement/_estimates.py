"""Run-time estimates per customer and kind, and speeds of endpoints.

Work is measured in seconds on an endpoint of speed 1. Callers' declared
times are wrong by up to a factor of ten, so they count only until a kind has
been measured.
"""

import math

import attrs

DEFAULT_WORK_S = 0.2
# Weight of a new run time in a kind's mean, once enough were seen.
KIND_WEIGHT = 0.05
# Speeds change rarely, while the ratio behind each sample is noisy.
SPEED_WEIGHT = 0.03
KINDS_MAX = 10_000
DRIFT_WEIGHT = 0.01
RUN_MIN_S = 1e-4
# Ratios of declared to typical times are classified by powers of two.
BIN_MAX = 10
# Samples that the assumption of no relation counts as.
DECLARED_PRIOR = 10
DECLARED_WEIGHT = 0.01
FACTOR_MAX = 1000.0
SPEED_MIN = 0.02
SPEED_MAX = 50.0


@attrs.define
class Mean:
    """Decaying mean; a plain mean while samples are few."""

    value: float = 0.0
    count: int = 0

    def add(self, sample, weight):
        """Add a sample with a final weight of `weight`."""
        self.count += 1
        share = max(1.0 / self.count, weight)
        self.value += share * (sample - self.value)


@attrs.define
class Kind:
    """What was measured of one kind of task.

    `log_work` is a mean of logarithms: comparing a run time with the mean
    itself would make all speeds grow without bound, because the mean of a
    skewed distribution exceeds its typical value.
    """

    work: Mean = attrs.field(factory=Mean)
    log_work: Mean = attrs.field(factory=Mean)


@attrs.define
class Estimates:
    """Estimates of an entry.

    `drift` is the mean logarithm of the speeds that ran tasks. Only ratios
    of speeds are observable, so it is steered to zero.
    """

    kinds: dict = attrs.field(factory=dict)
    declared: dict = attrs.field(factory=dict)  # bin -> Mean of the factor
    overall: Mean = attrs.field(factory=lambda: Mean(DEFAULT_WORK_S, 1))
    drift: Mean = attrs.field(factory=Mean)


def expected_work(estimates, customer, task):
    """Return the expected work of a task, in seconds at speed 1."""
    kinds = estimates.kinds
    kind = kinds.get((customer, task.kind)) or kinds.get((None, task.kind))
    if kind is None:
        if task.duration_ms is not None:
            return task.duration_ms / 1000
        return estimates.overall.value
    if task.duration_ms is None:
        return kind.work.value
    typical_s = math.exp(kind.log_work.value)
    factor = estimates.declared.get(_bin(task.duration_ms, typical_s))
    return typical_s * factor.value if factor else kind.work.value


def _bin(declared_ms, typical_s):
    """Classify a declared time by its ratio to the kind's typical one."""
    ratio = declared_ms / 1000 / typical_s
    return round(min(max(math.log2(ratio), -BIN_MAX), BIN_MAX))


def _kind(estimates, key):
    kinds = estimates.kinds
    kind = kinds.get(key)
    if kind is None:
        if len(kinds) >= KINDS_MAX:
            kinds.pop(next(iter(kinds)))
        kind = kinds[key] = Kind()
    return kind


def record_run_time(estimates, speed, customer, task, run_s):
    """Take over a measured run time.

    Parameters
    ----------
    estimates : Estimates
    speed : Mean
        Logarithm of the speed of the endpoint that ran the task; updated.
    customer : str
    task : TaskSpec
        What ran.
    run_s : float
        Measured run time in seconds.
    """
    log_run = math.log(max(run_s, RUN_MIN_S))
    log_work = log_run + speed.value
    work_s = math.exp(log_work)
    estimates.overall.add(work_s, KIND_WEIGHT)
    general = _kind(estimates, (None, task.kind))
    own = _kind(estimates, (customer, task.kind))
    if own.log_work.count and task.duration_ms is not None:
        _learn_declared(estimates, own, task.duration_ms, work_s)
    if own.log_work.count > 1:
        speed.add(own.log_work.value - log_run, SPEED_WEIGHT)
        estimates.drift.add(speed.value, DRIFT_WEIGHT)
        speed.value -= DRIFT_WEIGHT * estimates.drift.value
    for measured in (general, own):
        measured.work.add(work_s, KIND_WEIGHT)
        measured.log_work.add(log_work, KIND_WEIGHT)


def _learn_declared(estimates, kind, declared_ms, work_s):
    """Learn what a declared time far from the typical one means.

    Notes
    -----
    Declared times are wrong by large factors, but a task that is declared
    far above its kind's typical time is often one of the few long ones. The
    ratio is pooled over all kinds, because such tasks are rare in each.
    """
    typical_s = math.exp(kind.log_work.value)
    key = _bin(declared_ms, typical_s)
    factor = estimates.declared.get(key)
    if factor is None:
        factor = estimates.declared[key] = Mean(1.0, DECLARED_PRIOR)
    factor.add(min(work_s / typical_s, FACTOR_MAX), DECLARED_WEIGHT)


def speed_from_log(speed):
    """Return the speed from its logarithmic mean, within bounds."""
    return min(max(math.exp(speed.value), SPEED_MIN), SPEED_MAX)
