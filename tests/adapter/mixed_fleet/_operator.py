"""What the operator does during a run, and the checks of its effects."""

import asyncio
import collections
import json
import random
import time

import attrs

from mixed_fleet import _callers
from mixed_fleet import _fleet
from mixed_fleet import _record

CONFIG_KEY = 'op/config'
EVACUATION_PREFIX = 'op/evacuate/'
# Time until a configuration is in force in all entries (s).
IN_FORCE_LIMIT_S = 5.0
# Time until an evacuation is in force (s). An endpoint process whose entries
# know nothing newer reads the store every 1.2 s at the most.
EVACUATION_LIMIT_S = 2.5
# Time from the end of an evacuation until the worker has a run again (s).
RESTORED_LIMIT_S = 5.0
PROBE_INTERVAL_S = 0.05
# Path prefixes of the queue of all configurations, of the one that is removed
# and of the one that is added.
COMMON_PREFIX = '/q/'
BEFORE_PREFIX = '/before/'
AFTER_PREFIX = '/after/'


@attrs.define(eq=False)
class State:
    """State of a run."""

    fleet: _fleet.Fleet
    traffic: _callers.Traffic
    rng: random.Random
    steps: list = attrs.field(factory=list)
    config_in_force: bool = False
    cut: object = None
    evacuated: object = None
    starts_allowed_until: float = 0.0


def _config(version, prefixes):
    routes = [
        {
            'name': prefix.strip('/'),
            'hostname': 'h',
            'path_prefix': prefix,
            'service': 'pool',
            'max_attempts': 3,
            'stretch': 1.6,
            'target_latency_ms': 300,
        }
        for prefix in prefixes
    ]
    return json.dumps({'version': version, 'routes': routes}).encode()


def write_first_config(fleet):
    """Write the configuration with which the processes start."""
    fleet.store.put(CONFIG_KEY, _config(7, [COMMON_PREFIX, BEFORE_PREFIX]))


def write_config(fleet, version, prefix):
    """Write a configuration with the common queue and another one."""
    fleet.store.put(CONFIG_KEY, _config(version, [COMMON_PREFIX, prefix]))


def _cut_entry(state):
    """Cut an entry off from the store.

    It is the only entry of its build if there is one, so that it learns of
    the change from an entry of the other build.
    """
    by_build = collections.defaultdict(list)
    for entry in state.fleet.entries:
        by_build[entry.build.name].append(entry)
    state.cut = state.rng.choice(min(by_build.values(), key=len))
    state.cut.store_cut = True
    return state.cut


async def configure(state):
    """Replace the configuration while one entry can't reach the store."""
    cut = _cut_entry(state)
    state.fleet.store.put(
        CONFIG_KEY, _config(9, [COMMON_PREFIX, AFTER_PREFIX])
    )
    limit = time.monotonic() + IN_FORCE_LIMIT_S
    outdated = {'all'}
    while outdated and time.monotonic() < limit:
        await asyncio.sleep(PROBE_INTERVAL_S)
        outdated = {
            entry.name
            for entry in state.fleet.entries
            if await _probe(state, entry) != (404, 200)
        }
    cut.store_cut = False
    if outdated:
        _record.violate(
            state.fleet.record, 'config', f'not in force at {outdated}'
        )
    state.config_in_force = True
    state.traffic.prefixes.append(AFTER_PREFIX)
    return f'new configuration, {cut.name} ({cut.build.name}) cut off'


async def _probe(state, entry):
    """Return how an entry answers for the removed and the added queue."""
    statuses = []
    for path in (BEFORE_PREFIX, AFTER_PREFIX):
        try:
            async with asyncio.timeout(2.0):
                status, _ = await _fleet.call(
                    state.fleet, entry, _fleet.FRONT_PORT, 'GET', path
                )
        except _callers.TRANSIENT:
            return None
        statuses.append(status)
    return tuple(statuses)


async def watch_config(state):
    """Check that no entry returns to the former configuration."""
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        if not state.config_in_force:
            continue
        for entry in state.fleet.entries:
            answers = await _probe(state, entry)
            # A started process answers 503 until it has a configuration.
            if answers is not None and (
                answers[0] not in (404, 503) or answers[1] not in (200, 503)
            ):
                _record.violate(
                    state.fleet.record,
                    'config',
                    f'{entry.name} ({entry.build.name}) answers {answers}',
                )


async def evacuate(state, machine):
    """Evacuate a failure domain while one entry can't reach the store."""
    cut = _cut_entry(state)
    state.fleet.store.put(EVACUATION_PREFIX + machine.domain, b'{}')
    now = asyncio.get_running_loop().time()
    state.starts_allowed_until = now + EVACUATION_LIMIT_S
    state.evacuated = machine
    await asyncio.sleep(EVACUATION_LIMIT_S)
    return (
        f'domain {machine.domain} evacuated, {cut.name} ({cut.build.name})'
        ' cut off'
    )


async def watch_evacuation(state):
    """Check that no run starts in the evacuated failure domain.

    Not checked while the endpoint process is of a build without evacuations.
    """
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        machine = state.evacuated
        if machine is None:
            continue
        if not machine.build.knows_evacuations:
            limit = max(state.starts_allowed_until, loop.time())
            state.starts_allowed_until = limit
        started_at = machine.worker.last_start_at
        late_s = started_at - state.starts_allowed_until
        if late_s > 0:
            _record.violate(
                state.fleet.record,
                'evacuation',
                f'{machine.name} ({machine.build.name}) started a run'
                f' {late_s:.2f} s too late',
            )
            state.starts_allowed_until = started_at


async def restore(state):
    """End the evacuation."""
    state.cut.store_cut = False
    machine, state.evacuated = state.evacuated, None
    state.fleet.store.remove(EVACUATION_PREFIX + machine.domain)
    removed_at = asyncio.get_running_loop().time()
    limit = time.monotonic() + RESTORED_LIMIT_S
    while machine.worker.last_start_at < removed_at:
        if time.monotonic() > limit:
            _record.violate(
                state.fleet.record,
                'evacuation',
                f'{machine.worker.name} has no run after its end',
            )
            break
        await asyncio.sleep(PROBE_INTERVAL_S)
    return f'domain {machine.domain} restored'
