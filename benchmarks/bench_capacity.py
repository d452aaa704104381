"""Growth of memory, CPU time and traffic with the size of a deployment.

Run with::

    python -m benchmarks.bench_capacity [--seed 1] [--no-processes]

The cost per endpoint, job, task and event is measured on nodes that are driven
directly, the size of messages with the codec, and the total cost of an
endpoint process and of a connection with real processes on loopback.
`docs/CAPACITY.md` derives the requirements at the design size from these
figures. The result is also written to `build/capacity.json`.

CPU time is measured with `time.process_time` and memory with `tracemalloc`.
Other load on the machine raises the CPU times.
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
BATCH_SIZES = (1, 20)
HEARTBEAT_POOL_SIZES = (100, 500)
ANNOUNCEMENT_POOL_SIZES = (100, 300, 900)
LINK_COUNTS = (1, 6)
WORKERS = 17_000
PEAK_STARTS_PER_S = 600_000
# Share of a core that the leader may use on average; the rest absorbs bursts,
# which would otherwise queue.
USABLE_CORE_SHARE = 0.7
HEARTBEATS_PER_S = 2


def measure(seed, processes=True):
    """Run all measurements.

    Parameters
    ----------
    seed : int
    processes : bool
        Whether to start real processes.

    Returns
    -------
    dict
        Nested results; the units are part of the keys.
    """
    result = {'seed': seed, 'load_average': os.getloadavg()[0]}
    if processes:
        result['imports'] = _capacity_processes.measure_imports()
        result['busy_entry'] = _capacity_processes.measure_busy_entry()
        result['processes'] = _capacity_processes.measure()
    result['memory_bytes'] = _capacity_state.measure_memory()
    result['starts'] = {
        batch: {
            size: _capacity_state.measure_starts(size, batch, seed)
            for size in _capacity_state.POOL_SIZES
        }
        for batch in BATCH_SIZES
    }
    result['fit'] = {
        batch: _fit_starts(by_size)
        for batch, by_size in result['starts'].items()
    }
    result['entry_heartbeat_us'] = {
        size: _capacity_state.measure_heartbeats(size)
        for size in HEARTBEAT_POOL_SIZES
    }
    result['announcement_us'] = {
        size: _capacity_state.measure_announcements(size)
        for size in ANNOUNCEMENT_POOL_SIZES
    }
    result['endpoint_us'] = {
        count: _capacity_state.measure_endpoint_cpu(count)
        for count in LINK_COUNTS
    }
    result['configuration'] = _capacity_state.measure_config_change()
    result['timeline_us'] = _capacity_state.measure_timeline()
    result['frames'] = _capacity_state.measure_frames()
    return result | _measure_fleet()


def _measure_fleet():
    fleet = _capacity_fleet
    return {
        'moves': fleet.measure_connection_moves(),
        'restarts': [
            fleet.measure_rolling_restart(downtime_s)
            for downtime_s in (fleet.SHORT_DOWNTIME_S, fleet.LONG_DOWNTIME_S)
        ],
        'platform_reads': fleet.measure_platform_reads(),
        'quota': fleet.measure_quota_messages(),
    }


def _fit_line(points):
    """Fit a line to points by least squares.

    Parameters
    ----------
    points : sequence of (int, float)
        Number of endpoints and CPU time (us).
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope /= sum((x - mean_x) ** 2 for x, _ in points)
    return {'constant_us': mean_y - slope * mean_x, 'per_endpoint_us': slope}


def _fit_starts(by_size):
    return {
        part: _fit_line([(size, row[part]) for size, row in by_size.items()])
        for part in ('start_us', 'outcome_us')
    }


def find_largest_pool(result, batch, busy_us):
    """Return the largest pool of endpoints that one leader can serve.

    Parameters
    ----------
    result : dict
        Result of `measure` with real processes.
    batch : int
        Number of outcomes handled in one iteration of the leader's event
        loop.
    busy_us : float
        CPU time per start of a busy leader with few endpoints (us).

    Notes
    -----
    The CPU time per start is constant outside the node (HTTP, JSON, sockets)
    and grows linearly with the pool inside it. With the heartbeats, the CPU
    time per second is therefore quadratic in the size of the pool.
    """
    fits = result['fit'][batch]
    slope_us = sum(line['per_endpoint_us'] for line in fits.values())
    measured_size = result['busy_entry']['endpoints']
    heartbeat_us = result['processes']['connection']['heartbeat_pair_us']
    endpoint_starts_per_s = PEAK_STARTS_PER_S / WORKERS
    constant_us = busy_us - slope_us * measured_size
    quadratic, linear = (
        slope_us * endpoint_starts_per_s,
        constant_us * endpoint_starts_per_s + heartbeat_us * HEARTBEATS_PER_S,
    )
    usable_us = USABLE_CORE_SHARE * 1e6
    pool_size = (
        math.sqrt(linear * linear + 4 * quadratic * usable_us) - linear
    ) / (2 * quadratic)
    return {
        'endpoints': int(pool_size),
        'pools': math.ceil(WORKERS / int(pool_size)),
        'us_per_start': constant_us + slope_us * pool_size,
        'starts_per_s': pool_size * endpoint_starts_per_s,
    }


def size_pools(result):
    """Return the largest pools for the measured and the target cost.

    Parameters
    ----------
    result : dict
        Result of `measure` with real processes.
    """
    measured = result['busy_entry']['cpu_us']
    costs_us = {'measured': measured, 'target': 120.0}
    return {
        f'{name}, {batch} per iteration': find_largest_pool(
            result, batch, busy_us
        )
        for name, busy_us in costs_us.items()
        for batch in BATCH_SIZES
    }


def flatten(value, path=()):
    """Yield the name and value of each figure in nested results."""
    if isinstance(value, list):
        value = {item.get('name', n): item for n, item in enumerate(value)}
    if not isinstance(value, dict):
        yield ' '.join(map(str, path)), value
        return
    for key, item in value.items():
        if key != 'name':
            yield from flatten(item, (*path, key))


def print_table(result):
    """Print one figure per line."""
    for name, value in flatten(result):
        text = f'{value:,.2f}' if isinstance(value, float) else f'{value:,}'
        print(f'{name:<58} {text:>14}')


@click.command()
@click.option('--seed', default=1, show_default=True)
@click.option(
    '--no-processes',
    is_flag=True,
    help='Skip the measurements of real processes.',
)
@click.option(
    '--output',
    default=OUTPUT,
    type=click.Path(path_type=pathlib.Path),
    show_default=True,
)
def main(seed, no_processes, output):
    """Measure the costs that determine the capacity of a deployment."""
    result = measure(seed, not no_processes)
    if not no_processes:
        result['pools'] = size_pools(result)
    print_table(result)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_text(json.dumps(result, indent=2) + '\n')


if __name__ == '__main__':
    main()
