"""Random faults on a small fleet under load, checked for each caller.

Unlike the sequences of `test_machine`, jobs arrive all the time, so that new
work meets what is left of the work before a fault.
"""

import collections
import json
import random

import attrs
import pytest

from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier import testing

Verdict = kernel.Verdict
LOAD_S = 120.0
# Longer than the longest deadline and all faults.
QUIET_PERIOD_S = 300.0
EVENTS_PER_S = 2.5
RUN_TIMES_MS = (30, 100, 400, 1500, 5000, 12_000)
DEADLINES_MS = (5000, 30_000, 90_000, 200_000)
FREEZES_S = (0.1, 0.5, 1.2, 2, 4, 6, 7, 8, 12, 30, 70)
CUTS_S = (0.1, 0.5, 1.6, 2.5, 4, 6, 7, 8, 12, 30)


@attrs.define
class _Play:
    """One play: a fleet, the jobs so far and the callers' requests."""

    rng: random.Random
    fleet: testing.Fleet
    jobs: list = attrs.field(factory=list)  # (job id, spec)
    requests: list = attrs.field(factory=list)  # (entry, req, job id, spec)
    # Starts by kind and task; jobs without an id have a kind of their own.
    starts: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def driver(self):
        return self.fleet.driver

    def processes(self):
        """Return the present processes, without former incarnations."""
        return self.fleet.entries + self.fleet.endpoints

    def put(self, index, job_id, spec):
        entry = self.fleet.entries[index]
        if entry.alive and not entry.stopped:
            req = self.fleet.submit(index, spec, job_id)
            self.requests.append((entry, req, job_id, spec))

    def run_time(self, start):
        """Count a start and return the run time of its task (s)."""
        if start.kind != 'sleep':
            self.starts[start.kind, start.task] += 1
        return json.loads(start.payload)['ms'] / 1000


def _make_spec(play, **options):
    rng = play.rng
    times_ms = [rng.choice(RUN_TIMES_MS) for _ in range(rng.randint(1, 4))]
    # Makes the outputs of each job different from those of the others.
    times_ms[0] += len(play.jobs) + len(play.requests)
    return testing.spec(
        times_ms,
        deadline_ms=rng.choice(DEADLINES_MS),
        urgent=rng.random() < 0.2,
        **options,
    )


def _submit_without_id(play):
    index = play.rng.randrange(len(play.fleet.entries))
    play.put(index, None, _make_spec(play, kind=f'job-{len(play.requests)}'))


def _submit(play):
    index = play.rng.randrange(len(play.fleet.entries))
    entry = play.fleet.entries[index]
    spec = _make_spec(play)
    req = play.fleet.request(index, lambda req: events.NewIds(req, 1))

    def put():
        _, ids = play.driver.answers.get((entry.name, req), (0.0, None))
        if getattr(ids, 'ids', None):
            play.jobs.append((ids.ids[0], spec))
            play.put(index, ids.ids[0], spec)

    play.driver.after(0.02, put)


def _resubmit(play):
    if play.jobs:
        job_id, spec = play.rng.choice(play.jobs[-15:])
        index = play.rng.randrange(len(play.fleet.entries))
        play.put(index, job_id, spec)


def _freeze(play):
    process = play.rng.choice(play.processes())
    reads_first = play.rng.random() < 0.7
    if process.frozen:
        return

    def thaw():
        if reads_first:
            # As an event loop does: connections go before timers.
            process.inbox.sort(key=lambda e: isinstance(e, events.Tick))
        play.driver.thaw(process)

    play.driver.freeze(process)
    play.driver.after(play.rng.choice(FREEZES_S), thaw)


def _cut_pair(play):
    entry = play.rng.choice(play.fleet.entries)
    peer = play.rng.choice(play.processes())
    if play.rng.random() < 0.3:
        play.driver.silence(entry, peer)
    else:
        _cut(play, entry, [peer])


def _cut_off(play):
    process = play.rng.choice(play.processes())
    _cut(play, process, play.processes())


def _cut(play, process, peers):
    seconds = play.rng.choice(CUTS_S)
    for peer in peers:
        if peer is not process:
            play.driver.partition(process, peer)
            play.driver.after(seconds, play.driver.heal, process, peer)


def _replace_connections(play):
    entry = play.rng.choice(play.fleet.entries)
    dialer = play.rng.choice(play.processes())
    dial = play.driver.effect_handlers[effects.Dial]
    for _ in range(play.rng.randint(1, 4) if dialer is not entry else 0):
        dial(play.driver, dialer, effects.Dial(entry.address))


def _restart_entry(play):
    entries = play.fleet.entries
    index = play.rng.randrange(len(entries))
    play.driver.kill(entries[index])
    play.fleet.add_entry(entries[index].name)
    entries[index] = entries.pop()


def _restart_endpoint(play):
    endpoints = play.fleet.endpoints
    index = play.rng.randrange(len(endpoints))
    play.driver.kill(endpoints[index])
    play.fleet.add_endpoint(endpoints[index].name, slots=4)
    endpoints[index] = endpoints.pop()


WEIGHTS = {
    _submit: 12,
    _submit_without_id: 4,
    _resubmit: 4,
    _freeze: 2.5,
    _cut_pair: 3,
    _cut_off: 1.5,
    _replace_connections: 4,
    _restart_entry: 0.3,
    _restart_endpoint: 0.3,
}


def _run(seed):
    rng = random.Random(seed)
    fleet = testing.make_fleet(
        entries=rng.choice([1, 2, 3]),
        speeds=(1.0, 1.0, 2.0)[: rng.choice([1, 2, 3])],
        slots=rng.choice([2, 4, 8]),
        seed=seed,
    )
    if rng.random() < 0.5:
        delays_s = (0.0005, 0.0005, 0.003, 0.05, 0.2, 0.6)
        fleet.driver.delay = lambda sender, receiver: rng.choice(delays_s)
    play = _Play(rng, fleet)
    fleet.run_time = play.run_time
    at = fleet.driver.now
    end = at + LOAD_S
    actions, weights = list(WEIGHTS), list(WEIGHTS.values())
    while at < end:
        at += rng.expovariate(EVENTS_PER_S)
        (action,) = rng.choices(actions, weights)
        fleet.driver.at(at, action, play)
    fleet.driver.run_until(end + QUIET_PERIOD_S)
    return play


@pytest.mark.parametrize('seed', range(20))
class TestPlays:
    def test_promises_hold(self, seed):
        # Guards against second runs, false verdicts, outputs of other jobs
        # and callers without an answer.
        play = _run(seed)
        testing.check_no_double_start(play.fleet)
        assert not play.starts or max(play.starts.values()) == 1
        for entry, req, job_id, spec in play.requests:
            _, answer = play.driver.answers.get((entry.name, req), (0, None))
            testing.check_job(play.fleet, spec, answer, job_id)
            assert answer is not None or not entry.alive
            if getattr(answer, 'verdict', None) is Verdict.NOT_RUN:
                kind = spec.tasks[0].kind
                assert not any(key[0] == kind for key in play.starts)
