"""Simulation of an experiment on virtual time."""

import random

import attrs

from azurepier.dispatch import Finished
from azurepier.dispatch import Rejected
from azurepier.experiment import _arrivals
from azurepier.experiment import _faults
from azurepier.experiment import _policies
from azurepier import testing

# Time in which the processes connect before the first submission (s).
WARM_UP_S = 2.0
# Time that the simulation continues after the last arrival, so that
# unfinished jobs can end (s).
COOL_DOWN_S = 15.0
# Answers later than this multiple of the objective have no worth.
MAX_LATENESS_RATIO = 3.0
# Interval between samples of the share of cores in use (s).
SAMPLE_INTERVAL_S = 0.1


@attrs.frozen
class Outcome:
    """Outcome of a job.

    Parameters
    ----------
    at_s : float
        Time of the first submission, from the start of the experiment.
    kind : str
        Name of the job's kind.
    max_worth : float
        Worth of an answer in time.
    worth : float
        Worth of the actual answer.
    status : str
        ``in time``, ``late``, ``refused`` or ``failed``.
    response_s : float
        Time from the first submission to the last answer; 0 without answer.
    submissions : int
        Number of submissions.
    """

    at_s: float
    kind: str
    max_worth: float
    worth: float
    status: str
    response_s: float
    submissions: int


@attrs.frozen
class SimulationResult:
    """Result of simulating an experiment with one policy and one seed.

    Parameters
    ----------
    outcomes : list of Outcome
    core_usage : list of (float, float)
        Samples ``(time_s, share)`` of the share of all cores in use.
    messages : dict of str to int
        Numbers of messages sent, by type.
    """

    outcomes: list
    core_usage: list
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
        policy=experiment.policy,
    )
    fleet.driver.log_effects = None
    return fleet


def _job_worth(arrival):
    """Return the worth of a job, which grows with its work.

    The formula is that of the deployments in use.
    """
    kind = arrival.kind
    mean_core_s = kind.tasks * kind.task_ms / 1000 * kind.cores
    return kind.worth * min(0.3 + 0.7 * arrival.core_s / mean_core_s, 4.0)


@attrs.define(eq=False)
class _Caller:
    """A caller with its job, the last call and the number of submissions."""

    arrival: object
    call: object = None
    submissions: int = 0


def _choose_entry(caller, entry_names, entry_weights, rng):
    """Return the entry for a submission.

    A recorded job goes to its recorded entry first. Other jobs and all
    resubmissions go to an entry chosen at random.
    """
    recorded_entry = caller.arrival.entry
    if recorded_entry is None or caller.submissions > 1:
        return rng.choices(entry_names, entry_weights)[0]
    return entry_names[recorded_entry % len(entry_names)]


def _submit(fleet, caller, experiment, entry_names, entry_weights, rng):
    arrival = caller.arrival
    kind = arrival.kind
    caller.submissions += 1
    caller.call = fleet.submit(
        arrival.work_s,
        count=arrival.tasks,
        cpu=round(arrival.cores * 1000),
        entry=_choose_entry(caller, entry_names, entry_weights, rng),
        declared_ms=round(arrival.declared_s * 1000),
        queue=testing.queue(
            kind.name,
            stretch=kind.stretch,
            margin_s=kind.margin_ms / 1000,
            priority=kind.priority,
        ),
    )
    if caller.submissions <= experiment.returns:
        _resubmit_if_rejected(
            fleet, caller, experiment, entry_names, entry_weights, rng
        )


def _resubmit_if_rejected(
    fleet, caller, experiment, entry_names, entry_weights, rng
):
    """Poll for the answer and resubmit a rejected job.

    The caller waits for the delay that the rejection asks for.
    """
    call = caller.call
    if call.body is None:
        fleet.driver.after(
            0.02,
            _resubmit_if_rejected,
            fleet,
            caller,
            experiment,
            entry_names,
            entry_weights,
            rng,
        )
    elif isinstance(call.body, Rejected):
        fleet.driver.after(
            call.body.retry_after_s,
            _submit,
            fleet,
            caller,
            experiment,
            entry_names,
            entry_weights,
            rng,
        )


def _objective_s(caller, uneven):
    """Return the response time objective (s).

    It depends on the longest task of the job.
    """
    arrival = caller.arrival
    max_factor = max(
        testing.run_time_factor(name, uneven)
        for name in testing.task_names(caller.call.job)
    )
    objective_s = arrival.kind.stretch * arrival.work_s * max_factor
    return objective_s + arrival.kind.margin_ms / 1000


def _make_outcome(caller, started_at, uneven):
    arrival, call = caller.arrival, caller.call
    max_worth = _job_worth(arrival)
    objective_s = _objective_s(caller, uneven)
    ended_at = call.answered_at
    response_s = (
        0.0 if ended_at is None else ended_at - started_at - arrival.at_s
    )
    status, worth = 'failed', 0.0
    if isinstance(call.body, Rejected):
        status = 'refused'
    elif call.body == Finished(True):
        in_time = response_s <= objective_s
        status = 'in time' if in_time else 'late'
        if in_time:
            worth = max_worth
        elif response_s <= MAX_LATENESS_RATIO * objective_s:
            worth = max_worth * arrival.kind.late
    return Outcome(
        arrival.at_s,
        arrival.kind.name,
        max_worth,
        worth,
        status,
        response_s,
        caller.submissions,
    )


def simulate(experiment, policy, seed):
    """Simulate an experiment with one policy and one seed.

    Parameters
    ----------
    experiment : Experiment
    policy : str
        Name in `POLICIES`.
    seed : int

    Returns
    -------
    SimulationResult
    """
    with _policies.apply_policy(policy):
        fleet = _make_fleet(experiment, seed)
        driver = fleet.driver
        rng = random.Random(f'{experiment.name}-{seed}-entries')
        entry_names = list(fleet.entries)
        entry_weights = [experiment.busiest] + [1.0] * (len(entry_names) - 1)
        started_at = driver.now
        callers = [
            _Caller(arrival)
            for arrival in _arrivals.generate(experiment, seed)
        ]
        for caller in callers:
            driver.at(
                started_at + caller.arrival.at_s,
                _submit,
                fleet,
                caller,
                experiment,
                entry_names,
                entry_weights,
                rng,
            )
        fault_rng = random.Random(f'{experiment.name}-{seed}-faults')
        for fault in experiment.faults:
            driver.at(
                started_at + fault.at_s,
                _faults.FAULTS[fault.what],
                fleet,
                fault,
                fault_rng,
            )
        samples = []
        total_cpu = sum(worker.cpu for worker in fleet.workers.values())

        def sample_usage():
            busy_cpu = sum(
                run.cpu
                for worker in fleet.workers.values()
                for run in worker.runs.values()
            )
            samples.append((driver.now - started_at, busy_cpu / total_cpu))
            driver.after(SAMPLE_INTERVAL_S, sample_usage)

        sample_usage()
        fleet.run_for(experiment.seconds + COOL_DOWN_S)
        return SimulationResult(
            [
                _make_outcome(caller, started_at, experiment.uneven)
                for caller in callers
            ],
            [
                (time_s, share)
                for time_s, share in samples
                if time_s < experiment.seconds + 2
            ],
            dict(driver.sent),
        )
