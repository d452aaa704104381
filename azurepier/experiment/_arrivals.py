"""Arrivals of jobs in an experiment, drawn at random or recorded."""

import math
import random

import attrs

# Standard deviations of logarithms, as in the deployments in use:
# `SIZE_LOG_STD` for numbers of tasks and run times, `CORES_LOG_STD` for the
# cores that a task takes.
SIZE_LOG_STD = 0.4
CORES_LOG_STD = 0.2
# Largest relative error of declared run times.
MAX_DECLARED_ERROR = 0.4
# Largest number of tasks of a job, as a multiple of its kind's mean.
MAX_TASKS_RATIO = 4
# Largest shift of a recorded arrival, by which the seeds differ (s).
MAX_ARRIVAL_JITTER_S = 0.05


@attrs.frozen
class Arrival:
    """Arrival of a job.

    Attributes
    ----------
    at_s : float
        Time of the first submission, from the start of the experiment.
    kind : Kind
    tasks : int
        Number of tasks.
    work_s : float
        Mean run time of a task at speed 1.
    cores : float
        Cores that each task takes.
    declared_s : float
        Run time of a task that the caller declares.
    entry : int or None
        Number of the entry of a recorded job; None to choose one at random.
    """

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


def _lognormal(rng, mean, log_std):
    return mean * math.exp(rng.gauss(-log_std * log_std / 2, log_std))


def _rate_factor(experiment, kind, at_s):
    factor = experiment.load
    for burst in experiment.bursts:
        if burst.at_s <= at_s < burst.at_s + burst.for_s:
            if burst.kind in ('', kind.name):
                factor *= burst.times
    return factor


def _max_rate_factor(experiment, kind):
    factor = experiment.load
    for burst in experiment.bursts:
        if burst.kind in ('', kind.name):
            factor *= max(burst.times, 1.0)
    return factor


def _draw_arrival(kind, at_s, rng):
    work_s = _lognormal(rng, kind.task_ms / 1000, SIZE_LOG_STD)
    if rng.random() < kind.tail:
        work_s *= kind.tail_times
    tasks = _lognormal(rng, kind.tasks, SIZE_LOG_STD)
    tasks = min(max(round(tasks), 1), round(kind.tasks * MAX_TASKS_RATIO))
    declared_s = work_s * rng.uniform(
        1 - MAX_DECLARED_ERROR, 1 + MAX_DECLARED_ERROR
    )
    cores = _lognormal(rng, kind.cores, CORES_LOG_STD)
    return Arrival(at_s, kind, tasks, work_s, cores, declared_s)


def _jitter_recorded_arrivals(experiment, rng):
    """Return the recorded arrivals, each with a random shift."""
    kinds = {kind.name: kind for kind in experiment.kinds}
    arrivals = [
        Arrival(
            at_s=max(
                row['at_s']
                + rng.uniform(-MAX_ARRIVAL_JITTER_S, MAX_ARRIVAL_JITTER_S),
                0.0,
            ),
            kind=kinds[row['kind']],
            tasks=row['tasks'],
            work_s=row['work_ms'] / 1000,
            cores=row['cores'],
            declared_s=row['declared_ms'] / 1000,
            entry=row['entry'],
        )
        for row in experiment.arrivals
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def generate(experiment, seed):
    """Return the arrivals of an experiment in order of time.

    Without recorded arrivals, each kind is an inhomogeneous Poisson process
    that is drawn by thinning.
    """
    rng = random.Random(f'{experiment.name}-{seed}')
    if experiment.arrivals:
        return _jitter_recorded_arrivals(experiment, rng)
    arrivals = []
    for kind in experiment.kinds:
        max_factor = _max_rate_factor(experiment, kind)
        at_s = rng.expovariate(kind.per_s * max_factor)
        while at_s < experiment.seconds:
            if (
                rng.random()
                < _rate_factor(experiment, kind, at_s) / max_factor
            ):
                arrivals.append(_draw_arrival(kind, at_s, rng))
            at_s += rng.expovariate(kind.per_s * max_factor)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)
