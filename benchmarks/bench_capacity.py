"""Slopes of memory, processor time and traffic, and what they amount to.

Run with::

    python -m benchmarks.bench_capacity [--seed 1] [--no-processes]

Nodes are driven directly for the slopes of state and processor time, the
codec is asked for bytes, and real processes on loopback show what an
endpoint process and a connection take in all. `docs/CAPACITY.md` works out
the design size from these figures. The result also goes to
`build/capacity.json`.

Processor time is `time.process_time`, memory is counted by `tracemalloc`.
Other load on the machine raises the processor times.
"""

import json
import math
import os
import pathlib

import click

from benchmarks import _capacity_fleet
from benchmarks import _capacity_processes
from benchmarks import _capacity_state

OUTPUT = pathlib.Path('build') / 'capacity.json'
BATCHES = (1, 20)
HEARTBEAT_SIZES = (100, 500)
ANNOUNCE_SIZES = (100, 300, 900)
LINKS = (1, 6)
WORKERS = 17_000
STARTS_PER_S = 600_000
# Part of a core that a leading entry may use, so that bursts don't queue.
USABLE_CORE = 0.7
HEARTBEATS_PER_S = 2


def measure(seed, processes=True):
    """Return all slopes.

    Parameters
    ----------
    seed : int
    processes : bool
        Whether real processes are started.

    Returns
    -------
    dict
    """
    found = {'seed': seed, 'load_average': os.getloadavg()[0]}
    if processes:
        found['imports'] = _capacity_processes.imports()
        found['busy_entry'] = _capacity_processes.busy_entry()
        found['processes'] = _capacity_processes.measure()
    found['memory_bytes'] = _capacity_state.memory()
    found['starts'] = {
        batch: {
            size: _capacity_state.starts(size, batch, seed)
            for size in _capacity_state.POOLS
        }
        for batch in BATCHES
    }
    found['fit'] = {
        batch: _fit_starts(by_size)
        for batch, by_size in found['starts'].items()
    }
    found['entry_heartbeat_us'] = {
        size: _capacity_state.heartbeats(size) for size in HEARTBEAT_SIZES
    }
    found['announcement_us'] = {
        size: _capacity_state.announcements(size) for size in ANNOUNCE_SIZES
    }
    found['endpoint_us'] = {
        count: _capacity_state.endpoint_cpu(count) for count in LINKS
    }
    found['configuration'] = _capacity_state.configurations()
    found['timeline_us'] = _capacity_state.timeline_us()
    found['frames'] = _capacity_state.frames()
    return found | _measure_fleet()


def _measure_fleet():
    fleet = _capacity_fleet
    return {
        'moves': fleet.connection_moves(),
        'restarts': [
            fleet.rolling_restart(down_s)
            for down_s in (fleet.SHORT_DOWN_S, fleet.LONG_DOWN_S)
        ],
        'platform_reads': fleet.platform_reads(),
        'quota': fleet.quota_messages(),
    }


# Working out -------------------------------------------------------------


def _fit(points):
    """Return constant and slope of a line through points (least squares)."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope /= sum((x - mean_x) ** 2 for x, _ in points)
    return {'constant_us': mean_y - slope * mean_x, 'per_endpoint_us': slope}


def _fit_starts(by_size):
    return {
        part: _fit([(size, row[part]) for size, row in by_size.items()])
        for part in ('start_us', 'outcome_us')
    }


def pool_of(found, batch, busy_us):
    """Return the largest pool of endpoints that one leader can serve.

    Parameters
    ----------
    found : dict
        Result of `measure` with real processes.
    batch : int
        Outcomes in one iteration of the leader's event loop.
    busy_us : float
        Processor time per start of a busy leader with few endpoints (us).

    Notes
    -----
    What the node does not account for (HTTP, JSON, sockets) is the same for
    every start; the node's part grows with the pool.
    """
    fit = found['fit'][batch]
    slope = sum(part['per_endpoint_us'] for part in fit.values())
    size = found['busy_entry']['endpoints']
    beat_us = found['processes']['connection']['heartbeat_pair_us']
    rate = STARTS_PER_S / WORKERS
    constant = busy_us - slope * size
    a, b = slope * rate, constant * rate + beat_us * HEARTBEATS_PER_S
    limit = USABLE_CORE * 1e6
    pool = (math.sqrt(b * b + 4 * a * limit) - b) / (2 * a)
    return {
        'endpoints': int(pool),
        'pools': math.ceil(WORKERS / int(pool)),
        'us_per_start': constant + slope * pool,
        'starts_per_s': pool * rate,
    }


def work_out(found):
    """Return the pool sizes that the slopes allow."""
    measured = found['busy_entry']['cpu_us']
    costs = {'measured': measured, 'target': 120.0}
    return {
        f'{name}, {batch} per iteration': pool_of(found, batch, cost)
        for name, cost in costs.items()
        for batch in BATCHES
    }


# Output ------------------------------------------------------------------


def rows(value, path=()):
    """Yield (name, value) for every figure of nested results."""
    if isinstance(value, list):
        value = {item.get('name', n): item for n, item in enumerate(value)}
    if not isinstance(value, dict):
        yield ' '.join(map(str, path)), value
        return
    for key, item in value.items():
        if key != 'name':
            yield from rows(item, (*path, key))


def print_table(found):
    """Print all figures, one a line."""
    for name, value in rows(found):
        text = f'{value:,.2f}' if isinstance(value, float) else f'{value:,}'
        print(f'{name:<58} {text:>14}')


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option('--no-processes', is_flag=True, help='Start no processes.')
@click.option(
    '--output',
    default=OUTPUT,
    type=click.Path(path_type=pathlib.Path),
    show_default=True,
)
def main(seed, no_processes, output):
    """Measure the slopes that the capacity of a deployment follows from."""
    found = measure(seed, not no_processes)
    if not no_processes:
        found['pools'] = work_out(found)
    print_table(found)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(found, indent=2) + '\n')


if __name__ == '__main__':
    main()
