"""Plays an experiment on virtual time."""

import random

import attrs

from azurepier.dispatch import Finished
from azurepier.dispatch import Rejected
from azurepier.experiment import _arrivals
from azurepier.experiment import _faults
from azurepier.experiment import _policies
from azurepier import testing

# Time before the first submission, in which the processes connect (s).
WARM_UP_S = 2.0
# Time after the last submission in which jobs may still end (s).
TAIL_S = 15.0
# An answer after this many times the objective has no worth.
LATE_TIMES = 3.0
# Interval at which the use of the workers is sampled (s).
SAMPLE_S = 0.1


@attrs.frozen
class Outcome:
    """What became of a job.

    Parameters
    ----------
    at_s : float
        When it was first submitted.
    kind : str
    owed, earned : float
        Worth.
    what : str
        ``in time``, ``late``, ``refused`` or ``failed``.
    took_s : float
        Until the last answer.
    tries : int
    """

    at_s: float
    kind: str
    owed: float
    earned: float
    what: str
    took_s: float
    tries: int


@attrs.frozen
class Play:
    """A played experiment.

    Parameters
    ----------
    outcomes : list of Outcome
    used : list of (float, float)
        Time and share of all cores in use.
    messages : dict of str to int
    """

    outcomes: list
    used: list
    messages: dict


def _make_fleet(experiment, seed):
    spec = experiment.fleet
    fleet = testing.make_pool(
        seed=seed,
        entries=spec.entries,
        speeds=[
            spec.speeds[index % len(spec.speeds)]
            for index in range(spec.workers)
        ],
        cpu=[
            round(1000 * spec.cores[index % len(spec.cores)])
            for index in range(spec.workers)
        ],
        domains=spec.domains,
        delay_s=spec.delay_ms / 1000,
        uneven=experiment.uneven,
    )
    fleet.driver.log_effects = None
    return fleet


def _size_worth(arrival):
    """Return the worth of a job by its work, as the deployments count it."""
    kind = arrival.kind
    mean = kind.tasks * kind.task_ms / 1000 * kind.cores
    return kind.worth * min(0.3 + 0.7 * arrival.core_s / mean, 4.0)


@attrs.define(eq=False)
class _Caller:
    """A caller's job with all its submissions."""

    arrival: object
    call: object = None
    tries: int = 0


def _entry(caller, names, weights, rng):
    """Return the entry of a submission; later ones go to another."""
    recorded = caller.arrival.entry
    if recorded is None or caller.tries > 1:
        return rng.choices(names, weights)[0]
    return names[recorded % len(names)]


def _submit(fleet, caller, experiment, names, weights, rng):
    arrival = caller.arrival
    kind = arrival.kind
    caller.tries += 1
    caller.call = fleet.submit(
        arrival.work_s,
        count=arrival.tasks,
        cpu=round(arrival.cores * 1000),
        entry=_entry(caller, names, weights, rng),
        declared_ms=round(arrival.declared_s * 1000),
        queue=testing.queue(
            kind.name,
            stretch=kind.stretch,
            margin_s=kind.margin_ms / 1000,
            priority=kind.priority,
        ),
    )
    if caller.tries <= experiment.returns:
        _watch(fleet, caller, experiment, names, weights, rng)


def _watch(fleet, caller, experiment, names, weights, rng):
    """Come back after a refusal, when the caller was told to."""
    call = caller.call
    if call.body is None:
        fleet.driver.after(
            0.02, _watch, fleet, caller, experiment, names, weights, rng
        )
    elif isinstance(call.body, Rejected):
        fleet.driver.after(
            call.body.retry_after_s,
            _submit,
            fleet,
            caller,
            experiment,
            names,
            weights,
            rng,
        )


def _due_s(caller, uneven):
    """Return the objective, which the longest task of a job decides."""
    arrival = caller.arrival
    longest = max(
        testing.run_time_factor(name, uneven)
        for name in testing.task_names(caller.call.job)
    )
    due_s = arrival.kind.stretch * arrival.work_s * longest
    return due_s + arrival.kind.margin_ms / 1000


def _outcome(caller, start, uneven):
    arrival, call = caller.arrival, caller.call
    owed = _size_worth(arrival)
    due_s = _due_s(caller, uneven)
    end = call.answered_at
    took_s = 0.0 if end is None else end - start - arrival.at_s
    what, earned = 'failed', 0.0
    if isinstance(call.body, Rejected):
        what = 'refused'
    elif call.body == Finished(True):
        in_time = took_s <= due_s
        what = 'in time' if in_time else 'late'
        if in_time:
            earned = owed
        elif took_s <= LATE_TIMES * due_s:
            earned = owed * arrival.kind.late
    return Outcome(
        arrival.at_s,
        arrival.kind.name,
        owed,
        earned,
        what,
        took_s,
        caller.tries,
    )


def play(experiment, policy, seed):
    """Play an experiment with a policy; return a `Play`."""
    with _policies.applied(policy):
        fleet = _make_fleet(experiment, seed)
        driver = fleet.driver
        rng = random.Random(f'{experiment.name}-{seed}-entries')
        names = list(fleet.entries)
        weights = [experiment.busiest] + [1.0] * (len(names) - 1)
        start = driver.now
        callers = [
            _Caller(arrival) for arrival in _arrivals.make(experiment, seed)
        ]
        for caller in callers:
            driver.at(
                start + caller.arrival.at_s,
                _submit,
                fleet,
                caller,
                experiment,
                names,
                weights,
                rng,
            )
        fault_rng = random.Random(f'{experiment.name}-{seed}-faults')
        for fault in experiment.faults:
            driver.at(
                start + fault.at_s,
                _faults.FAULTS[fault.what],
                fleet,
                fault,
                fault_rng,
            )
        used = []
        total = sum(worker.cpu for worker in fleet.workers.values())

        def sample():
            busy = sum(
                run.cpu
                for worker in fleet.workers.values()
                for run in worker.runs.values()
            )
            used.append((driver.now - start, busy / total))
            driver.after(SAMPLE_S, sample)

        sample()
        fleet.run_for(experiment.seconds + TAIL_S)
        return Play(
            [_outcome(caller, start, experiment.uneven) for caller in callers],
            [(at, share) for at, share in used if at < experiment.seconds + 2],
            dict(driver.sent),
        )
