"""Jobs that callers submit in an experiment."""

import math
import random

import attrs

# Spread of the number of tasks and of their run times (standard deviation of
# the logarithm), and of the cores that they take, as in the deployments in
# use.
SIZE_SPREAD = 0.4
CORES_SPREAD = 0.2
# Declared run times are wrong by up to this share.
DECLARED_OFF = 0.4
MAX_TASKS_TIMES = 4
# Recorded arrivals are moved by up to this time, so that seeds differ (s).
JITTER_S = 0.05


@attrs.frozen
class Arrival:
    """A job and when it is submitted."""

    at_s: float
    kind: object
    tasks: int
    work_s: float
    cores: float
    declared_s: float
    entry: int | None = None

    @property
    def core_s(self):
        """Work of the job (core-seconds at speed 1)."""
        return self.tasks * self.work_s * self.cores


def _lognormal(rng, mean, spread):
    return mean * math.exp(rng.gauss(-spread * spread / 2, spread))


def _times(experiment, kind, at_s):
    found = experiment.load
    for burst in experiment.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.for_s:
            if burst.kind in ('', kind.name):
                found *= burst.times
    return found


def _peak(experiment, kind):
    found = experiment.load
    for burst in experiment.bursts:
        if burst.kind in ('', kind.name):
            found *= max(burst.times, 1.0)
    return found


def _one(kind, at_s, rng):
    work_s = _lognormal(rng, kind.task_ms / 1000, SIZE_SPREAD)
    if rng.random() < kind.tail:
        work_s *= kind.tail_times
    tasks = _lognormal(rng, kind.tasks, SIZE_SPREAD)
    tasks = min(max(round(tasks), 1), round(kind.tasks * MAX_TASKS_TIMES))
    declared_s = work_s * rng.uniform(1 - DECLARED_OFF, 1 + DECLARED_OFF)
    cores = _lognormal(rng, kind.cores, CORES_SPREAD)
    return Arrival(at_s, kind, tasks, work_s, cores, declared_s)


def _recorded(experiment, rng):
    """Return recorded arrivals, each moved a little by the seed."""
    kinds = {kind.name: kind for kind in experiment.kinds}
    found = [
        Arrival(
            at_s=max(row['at_s'] + rng.uniform(-JITTER_S, JITTER_S), 0.0),
            kind=kinds[row['kind']],
            tasks=row['tasks'],
            work_s=row['work_ms'] / 1000,
            cores=row['cores'],
            declared_s=row['declared_ms'] / 1000,
            entry=row['entry'],
        )
        for row in experiment.arrivals
    ]
    return sorted(found, key=lambda arrival: arrival.at_s)


def make(experiment, seed):
    """Return the arrivals of an experiment in order of time.

    Poisson processes whose rate changes are drawn by thinning.
    """
    rng = random.Random(f'{experiment.name}-{seed}')
    if experiment.arrivals:
        return _recorded(experiment, rng)
    found = []
    for kind in experiment.kinds:
        peak = _peak(experiment, kind)
        at_s = rng.expovariate(kind.per_s * peak)
        while at_s < experiment.seconds:
            if rng.random() < _times(experiment, kind, at_s) / peak:
                found.append(_one(kind, at_s, rng))
            at_s += rng.expovariate(kind.per_s * peak)
    return sorted(found, key=lambda arrival: arrival.at_s)
