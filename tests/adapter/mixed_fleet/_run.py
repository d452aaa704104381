"""A run: its plan, its steps and its report."""

import asyncio
import collections
import pathlib
import random
import signal
import time

import attrs

from mixed_fleet import _builds
from mixed_fleet import _callers
from mixed_fleet import _fleet
from mixed_fleet import _logs
from mixed_fleet import _operator
from mixed_fleet import _record

# Time that each build runs alone (s), at the beginning and at the end.
ALONE_S = 2.0


@attrs.frozen
class Options:
    """Options of a run.

    Parameters
    ----------
    old : str
        Commit of the old build.
    seed : int
        Decides the order, the signals and the traffic.
    seconds : float
        Shortest time of the run (s). Fewer than about 25 shorten nothing
        more: entries drain for 2 s each.
    folder : pathlib.Path
        Settings and logs of the processes.
    """

    old: str
    seed: int
    seconds: float
    folder: pathlib.Path


@attrs.frozen
class Report:
    """Result of a run.

    Parameters
    ----------
    old, new : str
        Commits of the builds.
    steps : list of (str, int, int)
        Step, and the number of processes of the old and of the new build
        after it.
    outcomes : dict
        `collections.Counter` of the jobs' outcomes by phase.
    broken : collections.Counter
        Attempts without an answer, by the signal that had ended the entry.
    runs : collections.Counter
        Ended runs by how they ended.
    violations : list of str
    """

    old: str
    new: str
    steps: list
    outcomes: dict
    broken: collections.Counter
    runs: collections.Counter
    violations: list


def make_plan(machines, rng):
    """Return the steps as (function name, arguments).

    Entries and endpoint processes alternate. One of each role is killed, and
    the third replacement is rolled back. The configuration changes and a
    failure domain is evacuated while entries of both builds run.
    """
    entries = [m for m in machines if m.role == 'entry']
    endpoints = [m for m in machines if m.role == 'endpoint']
    killed = {rng.choice(entries).name, rng.choice(endpoints).name}
    rng.shuffle(entries)
    rng.shuffle(endpoints)
    columns = [entries, endpoints]
    rng.shuffle(columns)
    order = [machine for pair in zip(*columns) for machine in pair]
    replacements = [
        (
            'replace',
            machine,
            _builds.NEW,
            signal.SIGKILL if machine.name in killed else signal.SIGTERM,
        )
        for machine in order
    ]
    return [
        *replacements[:2],
        ('configure',),
        replacements[2],
        ('replace', order[2], _builds.OLD, signal.SIGTERM),
        replacements[3],
        ('evacuate', rng.choice(endpoints)),
        replacements[4],
        ('restore',),
        replacements[5],
        ('replace', order[2], _builds.NEW, signal.SIGTERM),
    ]


async def _replace(state, machine, build_name, signal_number):
    build = state.fleet.builds[build_name]
    await _fleet.replace(state.fleet, machine, build, signal_number)
    name = signal_number.name
    return f'{machine.name} to the {build_name} build, {name}'


_STEPS = {
    'replace': _replace,
    'configure': _operator.configure,
    'evacuate': _operator.evacuate,
    'restore': _operator.restore,
}


def _note_step(state, text):
    names = [m.build.name for m in state.fleet.machines]
    state.steps.append(
        (text, names.count(_builds.OLD), names.count(_builds.NEW))
    )


async def _start_all(state):
    _operator.write_first_config(state.fleet)
    await _fleet.start_fakes(state.fleet)
    old = state.fleet.builds[_builds.OLD]
    for machine in state.fleet.machines:
        _fleet.start_process(state.fleet, machine, old)
    for machine in state.fleet.machines:
        await _fleet.until_connected(state.fleet, machine)
    _note_step(state, 'all started')


async def _play(state, options):
    fleet, record = state.fleet, state.fleet.record
    await _start_all(state)
    started_at = time.monotonic()
    watchers = [
        asyncio.create_task(_operator.watch_config(state)),
        asyncio.create_task(_operator.watch_evacuation(state)),
    ]
    callers = [
        asyncio.create_task(_callers.run_caller(state.traffic, number))
        for number in range(_callers.CALLERS)
    ]
    try:
        await asyncio.sleep(ALONE_S)
        record.phase = 'mixed'
        plan = make_plan(fleet.machines, state.rng)
        interval_s = (options.seconds - 2 * ALONE_S) / len(plan)
        for number, (name, *arguments) in enumerate(plan):
            text = await _STEPS[name](state, *arguments)
            _note_step(state, text)
            due_at = started_at + ALONE_S + (number + 1) * interval_s
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        record.phase = 'new'
        await asyncio.sleep(ALONE_S)
        state.traffic.ended = True
        await asyncio.gather(*callers)
        await asyncio.gather(
            *(
                _fleet.stop_process(fleet, machine, signal.SIGTERM)
                for machine in fleet.machines
            )
        )
    finally:
        for task in [*watchers, *callers]:
            task.cancel()
        results = await asyncio.gather(
            *watchers, *callers, return_exceptions=True
        )
    for result in results:
        if isinstance(result, Exception):
            raise result


async def _run(options):
    builds = {
        _builds.OLD: _builds.extract(options.old),
        _builds.NEW: _builds.working_copy(),
    }
    record = _record.Record()
    fleet = _fleet.make_fleet(options.folder, record, builds)
    state = _operator.State(
        fleet,
        _callers.Traffic(fleet, options.seed, [_operator.COMMON_PREFIX]),
        random.Random(options.seed),
    )
    try:
        await _play(state, options)
    finally:
        await _fleet.close(fleet)
    _record.check_end(record)
    _logs.check(fleet)
    outcomes = collections.defaultdict(collections.Counter)
    for job in record.jobs.values():
        outcomes[job.phase][job.outcome or 'unanswered'] += 1
    return Report(
        builds[_builds.OLD].commit,
        builds[_builds.NEW].commit,
        state.steps,
        outcomes,
        record.broken,
        record.ended,
        record.violations,
    )


def run(options):
    """Run a fleet from the old build to the new one.

    Parameters
    ----------
    options : Options

    Returns
    -------
    Report

    Raises
    ------
    MissingCommitError
        If the history lacks the commit of the old build.
    """
    # The processes run in the folder of their build.
    folder = options.folder.resolve()
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_run(attrs.evolve(options, folder=folder)))
