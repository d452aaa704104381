"""Return of a pool after the loss of all its processes under load."""

import collections
import random

import attrs

from azurepier import dispatch
from azurepier import runner
from azurepier.testing import _calls
from azurepier.testing import _ledger

# Time from the loss to the return of the first process (s); callers whose
# connection broke have submitted their jobs again by then.
AWAY_S = 1.5
# Time over which processes of a kind return (s). Observed: the endpoint
# processes of an entry connected within half a second.
ENTRIES_SPREAD_S = 0.1
ENDPOINTS_SPREAD_S = 0.5
# Jobs that arrive within this time after the return are counted (s).
COUNTED_S = 2.0
MAX_LATENESS_RATIO = 3.0
# Free share of the workers from which on they count as idle.
IDLE_SHARE = 0.5


@attrs.frozen(kw_only=True)
class Scenario:
    """How a pool returns.

    Parameters
    ----------
    entries_lead_s : float
        Time by which the entries precede the endpoint processes (s).
    config_late_s : float
        Time from an entry's start to its configuration (s).
    missing_share : float
        Share of the workers whose endpoint processes don't return.
    cut_off : bool
        Whether the first entry can't reach the other entries.
    spread_s : float
        Time over which the endpoint processes return (s).
    """

    entries_lead_s: float = 0.3
    config_late_s: float = 0.0
    missing_share: float = 0.0
    cut_off: bool = False
    spread_s: float = ENDPOINTS_SPREAD_S


def lose_all(fleet):
    """Kill all entries and endpoint processes."""
    for process in fleet.endpoints.values():
        fleet.driver.kill(process)
    for name in list(fleet.entries):
        fleet.kill_entry(name)


def schedule_return(fleet, scenario, rng):
    """Return the time from which the first process is back (s)."""
    driver = fleet.driver
    first_at = driver.now + AWAY_S
    entries_at = first_at + max(-scenario.entries_lead_s, 0.0)
    endpoints_at = first_at + max(scenario.entries_lead_s, 0.0)
    names = list(fleet.entries)
    if scenario.cut_off:
        for name in names[1:]:
            driver.partitions.add(frozenset((names[0], name)))
    for name in names:
        at = entries_at + rng.uniform(0.0, ENTRIES_SPREAD_S)
        late_s = scenario.config_late_s
        driver.at(at, fleet.start_entry, name, not late_s)
        if late_s:
            fleet.store_cut.update(fleet.endpoints)
            driver.at(at + late_s, _configure, fleet, name)
    for index, name in enumerate(list(fleet.endpoints)):
        if (index * 0.618) % 1 < (scenario.missing_share):
            continue
        at = endpoints_at + rng.uniform(0.0, scenario.spread_s)
        driver.at(at, _start_endpoint, fleet, name)
    return entries_at


def _configure(fleet, name):
    fleet.store_cut.difference_update([name, *fleet.endpoints])
    fleet.configure(name)


def _start_endpoint(fleet, name):
    process = fleet.start_endpoint(name)
    report = fleet.workers[name].report()
    fleet.driver.feed(process, runner.WorkerReported(report))


@attrs.define
class Tally:
    """Outcomes of the counted jobs.

    Attributes
    ----------
    outcomes : collections.Counter
        ``in time``, ``late`` (within three times the objective), ``useless``
        (later), ``unanswered`` or ``refused REASON``; and, of the refused
        ones, ``handed in too late`` for an answer that is worth anything.
    refused_while_free : int
        Refused jobs all of whose tasks would have fitted on the workers.
    refused_while_idle : int
        Those while at least half of the pool was free as well.
    overload_while_idle : int
        Those of them that were refused for overload.
    """

    outcomes: collections.Counter
    refused_while_free: int
    refused_while_idle: int
    overload_while_idle: int

    @property
    def refused(self):
        """Number of refused jobs."""
        return sum(
            number
            for outcome, number in self.outcomes.items()
            if outcome.startswith('refused')
        )

    @property
    def worth(self):
        """Number of jobs in time, with a fifth of those that are late."""
        return self.outcomes['in time'] + 0.2 * self.outcomes['late']


def watch_refusals(fleet, free_at_refusal):
    """Record the free capacity at each refusal, by the number of the call."""
    on_answer = fleet.on_answer

    def observe(process, req, body):
        call = fleet.open_calls.get(req)
        if call is not None and isinstance(body, dispatch.Rejected):
            free_at_refusal[call.job.id] = _free(fleet, call.job)
        on_answer(process, req, body)

    fleet.driver.on_answer = observe


def _free(fleet, job):
    """Return whether all tasks fit, and the free share of the workers."""
    cpu, places, free, total = job.resources.cpu, 0, 0, 0
    for name, process in fleet.endpoints.items():
        worker = fleet.workers[name]
        if process.alive and not worker.down:
            used = sum(run.cpu for run in worker.runs.values())
            free += worker.cpu - used
            total += worker.cpu
            places += (worker.cpu - used) // cpu
    return places >= job.count, free / total if total else 0.0


def tally(calls, objective_s, free_at_refusal):
    """Return the `Tally` of calls.

    Parameters
    ----------
    calls : list of Call
    objective_s : callable
        Objective of a call (s).
    free_at_refusal : dict
        Filled by `watch_refusals`.
    """
    outcomes = collections.Counter()
    while_free = while_idle = overload = 0
    for call in calls:
        if call.body is None:
            outcomes['unanswered'] += 1
        elif isinstance(call.body, dispatch.Rejected):
            outcomes[f'refused {call.body.reason}'] += 1
            # Nothing but an earlier configuration would have helped these.
            work_s = call.job.declared_ms / 1000
            limit_s = MAX_LATENESS_RATIO * objective_s(call)
            outcomes['handed in too late'] += call.waited_s + work_s > limit_s
            fits, share = free_at_refusal[call.job.id]
            while_free += fits
            is_idle = fits and share >= IDLE_SHARE
            while_idle += is_idle
            overload += is_idle and call.body.reason == 'overload'
        else:
            response_s = call.answered_at - call.sent_at
            limit_s = objective_s(call)
            outcomes[
                'in time'
                if response_s <= limit_s
                else 'late'
                if response_s <= MAX_LATENESS_RATIO * limit_s
                else 'useless'
            ] += 1
    return Tally(outcomes, while_free, while_idle, overload)


def play(fleet, scenario, arrivals, seed, run_s=6.0):
    """Lose all processes, return them under load; return the `Tally`.

    Parameters
    ----------
    fleet : PoolFleet
    scenario : Scenario
    arrivals : list of (float, dict)
        Time (s) and arguments of `PoolFleet.submit`, in order. Those of the
        first second precede the loss.
    seed : int
    run_s : float
        Time after the return (s).
    """
    rng = random.Random(f'return-{seed}')
    driver, names = fleet.driver, list(fleet.entries)
    free_at_refusal, calls = {}, []
    watch_refusals(fleet, free_at_refusal)
    start = driver.now

    def submit(kwargs, counted_from):
        alive = [name for name in names if fleet.entries[name].alive]
        if not alive:
            return
        call = fleet.submit(**kwargs, entry=rng.choice(alive))
        if counted_from is not None and driver.now >= counted_from:
            calls.append(call)

    for at_s, kwargs in arrivals:
        if at_s < 1.0:
            driver.at(start + at_s, submit, kwargs, None)
    driver.run_until(start + 1.0)
    lose_all(fleet)
    back_at = schedule_return(fleet, scenario, rng)
    for at_s, kwargs in arrivals:
        if 1.0 <= at_s < 1.0 + COUNTED_S:
            driver.at(back_at + at_s - 1.0, submit, kwargs, back_at)
    driver.run_until(back_at + run_s)

    def objective_s(call):
        longest = max(
            _ledger.run_time_factor(name, fleet.uneven)
            for name in _calls.task_names(call.job)
        )
        work_s = fleet.work_by_spec[call.job.spec][0] * longest
        return call.queue.stretch * work_s + call.queue.margin_s

    return tally(calls, objective_s, free_at_refusal)
