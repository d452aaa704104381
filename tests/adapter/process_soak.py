"""Random faults of real processes at the size of a deployment.

Run by hand with the numbers of entries, endpoint processes and callers, the
seconds and a first and last seed; ``--commit`` plays an earlier build,
``--policy`` with the optional parts in a file, ``--crowds`` with clients
outside the limits and callers that leave:
``python tests/adapter/process_soak.py --size 12 68 24 --seconds 40 1 50``.

Signals, returns of workers, heartbeats of another program, closed connections
and changes of the configuration overlap. What the workers see is checked: no
two runs of a task at a time, no start without its label or beyond the room, no
start of a job that was refused, and no success without all ends. With crowds,
the memory of the processes is checked too.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

_HERE = pathlib.Path(__file__).parent
_ROOT = _HERE.parents[1]
sys.path[:0] = [str(_ROOT / 'platform'), str(_HERE), str(_ROOT)]

import attrs  # noqa: E402
import soak_crowds  # noqa: E402

from mixed_fleet import _builds  # noqa: E402
from mixed_fleet import _callers  # noqa: E402
from mixed_fleet import _fleet  # noqa: E402
from mixed_fleet import _operator  # noqa: E402
from mixed_fleet import _record  # noqa: E402
from standins import _server  # noqa: E402

# Time without faults at the end, in which the last jobs are answered (s).
CALM_S = 8.0
KINDS = ('a', 'b')
# Rules of the record that faults don't excuse.
RULES = (
    'twice',
    'label',
    'limit',
    'refused',
    'not_done',
    'unasked',
    'memory',
)
# The settings of the processes have no limit of memory, so that they count on
# the machine of an endpoint process (MB).
MEMORY_MB = 128
_RETURN_S = (0.02, 0.1, 0.25, 0.8)
_RESTART_S = (0.1, 0.5, 1.5, 3.0)
_STOP_S = (0.2, 0.35, 0.45, 0.8, 1.3, 4.0)


@attrs.define(eq=False)
class Soak:
    """State of a run.

    Attributes
    ----------
    busy : set of str
        Names of the machines that a fault has changed for the moment.
    fault_counts : collections.Counter
    crowd_rng : random.Random, optional
        Random numbers of the crowds; there are none without it.
    """

    fleet: _fleet.Fleet
    rng: random.Random
    version: int = 7
    busy: set = attrs.field(factory=set)
    fault_counts: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    crowd_rng: random.Random | None = None


async def end_process(soak, machine):
    """Kill a process, or ask it to stop; another one starts later."""
    signal_number = soak.rng.choice((signal.SIGKILL, signal.SIGTERM))
    await _fleet.stop_process(soak.fleet, machine, signal_number)
    await asyncio.sleep(soak.rng.choice(_RESTART_S))
    _fleet.start_process(soak.fleet, machine, machine.build)


async def pause_process(soak, machine):
    """Stop a process for some time."""
    machine.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.rng.choice(_STOP_S))
    machine.process.send_signal(signal.SIGCONT)


async def return_worker(soak, machine):
    """Crash a worker, which returns under its id, maybe as another kind.

    Until then it answers nothing or refuses connections.
    """
    worker, port = machine.worker, machine.worker_server.port
    worker.silent = soak.rng.random() < 0.5
    if not worker.silent:
        await machine.worker_server.close()
    await asyncio.sleep(soak.rng.choice(_RETURN_S))
    if worker.silent:
        await machine.worker_server.close()
    worker.restart(soak.rng.choice(KINDS))
    machine.worker_server = await _server.start(worker.handle, port)


async def send_foreign_heartbeat(soak, machine):
    """Send the heartbeat of another program to an endpoint process."""
    report = {
        **machine.worker.report(1),
        'service': 'other',
        'born': int(time.time() * 1000),
    }
    await _fleet.call(
        soak.fleet,
        machine,
        _fleet.CONTROL_PORT,
        'POST',
        '/Instances.Heartbeat/other-1',
        json.dumps(report).encode(),
    )


async def close_connections(soak, machine):
    """Close the connections to a worker."""
    machine.worker_server.break_connections()


async def change_config(soak, machine):
    """Write the next version of the configuration."""
    soak.version += 1
    _operator.write_config(soak.fleet, soak.version, f'/added-{soak.version}/')


ENTRY_FAULTS = (end_process, pause_process, change_config)
ENDPOINT_FAULTS = (
    end_process,
    pause_process,
    return_worker,
    return_worker,
    send_foreign_heartbeat,
    send_foreign_heartbeat,
    close_connections,
)
_FAULTS = {'entry': ENTRY_FAULTS, 'endpoint': ENDPOINT_FAULTS}


async def _act(soak, fault, machine):
    soak.fault_counts[fault.__name__] += 1
    soak.busy.add(machine.name)
    try:
        await fault(soak, machine)
    except _callers.TRANSIENT:
        # The process of the machine is down or stopped.
        pass
    finally:
        soak.busy.discard(machine.name)


async def disturb(soak, seconds, interval_s):
    """Start faults at random times; several last at a time."""
    end_at = time.monotonic() + seconds
    faults = set()
    while time.monotonic() < end_at:
        await asyncio.sleep(soak.rng.expovariate(1 / interval_s))
        calm = [m for m in soak.fleet.machines if m.name not in soak.busy]
        if calm:
            machine = soak.rng.choice(calm)
            fault = soak.rng.choice(_FAULTS[machine.role])
            faults.add(asyncio.create_task(_act(soak, fault, machine)))
    await asyncio.gather(*faults)


async def _play(soak, traffic, callers, seconds, interval_s):
    fleet = soak.fleet
    _operator.write_first_config(fleet)
    await _fleet.start_fakes(fleet)
    for number, machine in enumerate(fleet.endpoints):
        machine.worker.kind = KINDS[number % 2]
    for machine in fleet.machines:
        _fleet.start_process(fleet, machine, fleet.builds[_builds.NEW])
    ready = set()
    limit = time.monotonic() + 4 * _fleet.START_LIMIT_S
    while len(ready) < len(fleet.entries) and time.monotonic() < limit:
        await asyncio.sleep(0.1)
        for entry in fleet.entries:
            if entry not in ready and await _fleet.is_ready(fleet, entry):
                ready.add(entry)
    tasks = [
        asyncio.create_task(_callers.run_caller(traffic, number))
        for number in range(callers)
    ]
    if soak.crowd_rng is not None:
        tasks.append(
            asyncio.create_task(
                soak_crowds.press(
                    fleet, soak.crowd_rng, seconds, soak.fault_counts
                )
            )
        )
    try:
        await disturb(soak, seconds, interval_s)
        await asyncio.sleep(CALM_S)
        if soak.crowd_rng is not None:
            soak_crowds.check_memory(fleet, MEMORY_MB)
        traffic.ended = True
        await asyncio.wait(tasks, timeout=CALM_S)
    finally:
        for task in tasks:
            task.cancel()


async def _run(folder, size, seconds, seed, interval_s, build, crowds):
    entries, endpoints, callers = size
    record = _record.Record(phase='soak')
    builds = {_builds.NEW: build}
    fleet = _fleet.make_fleet(folder, record, builds, (entries, endpoints))
    soak = Soak(fleet, random.Random(seed))
    if crowds:
        soak.crowd_rng = random.Random(f'crowds-{seed}')
    traffic = _callers.Traffic(
        fleet, seed, [_operator.COMMON_PREFIX], ['', *KINDS]
    )
    try:
        await _play(soak, traffic, callers, seconds, interval_s)
    finally:
        await _fleet.close(fleet)
    record.violations[:] = [
        text
        for text in record.violations
        if text.split()[3].rstrip(':') in RULES
    ]
    return record, soak.fault_counts


def run(
    folder,
    size,
    seconds,
    seed,
    interval_s=0.3,
    commit=None,
    policy=None,
    crowds=False,
):
    """Play faults for some time (s); return the record and their numbers.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs of the processes.
    size : tuple of int
        Numbers of entries, endpoint processes and callers.
    seconds : float
    seed : int
    interval_s : float
        Mean time between the beginnings of two faults (s).
    commit : str, optional
        Commit that is played instead of the working copy.
    policy : str, optional
        File with the optional parts in use; none are in use without it.
    crowds : bool, optional
        Whether there are clients outside the limits and callers that leave.
    """
    build = _builds.extract(commit) if commit else _builds.working_copy()
    if policy:
        build = attrs.evolve(build, policy=(str(policy),))
    return asyncio.run(
        _run(folder, size, seconds, seed, interval_s, build, crowds)
    )


def main():
    """Play the seeds and print what is wrong."""
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--size', type=int, nargs=3, default=(6, 12, 12))
    parser.add_argument('--seconds', type=float, default=30.0)
    parser.add_argument('--interval', type=float, default=0.3)
    parser.add_argument('--commit')
    parser.add_argument('--policy')
    parser.add_argument('--crowds', action='store_true')
    parser.add_argument('first', type=int)
    parser.add_argument('last', type=int)
    args = parser.parse_args()
    # Ends the processes also if the soak is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    broken = 0
    for seed in range(args.first, args.last + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix='process_soak.'))
        record, faults = run(
            folder,
            args.size,
            args.seconds,
            seed,
            args.interval,
            args.commit,
            args.policy,
            args.crowds,
        )
        broken += bool(record.violations)
        outcomes = collections.Counter(
            job.outcome or 'open' for job in record.jobs.values()
        )
        print(
            f'seed {seed}: {len(record.violations)} violations'
            f' {record.violations[:2]}, jobs {dict(outcomes)}, runs'
            f' {dict(record.ended)}, faults {dict(faults)}, logs {folder}',
            flush=True,
        )
    print(f'{args.last - args.first + 1} seeds, {broken} with violations')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
