"""Cost of the entry and latency of single tasks, with real processes.

Run with::

    python -m benchmarks.bench_cost [--quick] [--endpoints 11]

One entry and endpoint processes with stand-in workers run on loopback.

* Processor time per task start: clients keep jobs of 20 tasks of 50 ms in
  flight. All processor time of the entry counts (HTTP, JSON, dispatch,
  messages, heartbeats and logs), over the tasks started meanwhile.
* Added latency: one job of one task that returns at once is in flight. Its
  time at the client less the median time of the same task sent straight to
  the worker is what azurepier adds.

Other load on the machine raises both.
"""

import asyncio
import http.client
import itertools
import json
import pathlib
import tempfile
import time
import urllib.parse

import click

from benchmarks import _measures
from benchmarks import _processes

TASKS = 20
TASK_MS = 50
JOBS_IN_FLIGHT = 5
WARMUP_S = 3.0
MEASURE_S = 20.0
QUICK_S = 5.0
LATENCY_JOBS = 2000
QUICK_JOBS = 500
WARMUP_JOBS = 200
# A client without pauses would not be an idle system.
PAUSE_S = 0.002
DEADLINE_MS = 30_000


def measure(quick=False, endpoints=_processes.ENDPOINTS):
    """Start a cluster and return all figures.

    Parameters
    ----------
    quick : bool
        Measure for a shorter time.
    endpoints : int

    Returns
    -------
    dict
    """
    return asyncio.run(_measure(quick, endpoints))


async def _measure(quick, endpoints):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        async with _processes.cluster(path, endpoints) as cluster:
            # Blocking calls are made in threads, off this event loop.
            return {
                **await _cost(cluster, QUICK_S if quick else MEASURE_S),
                **await asyncio.to_thread(
                    _latency, cluster, QUICK_JOBS if quick else LATENCY_JOBS
                ),
            }


# Processor time ----------------------------------------------------------


async def _cost(cluster, measure_s):
    """Return the processor time of the entry per task start."""
    stop = asyncio.Event()
    done = itertools.count()
    clients = [
        asyncio.create_task(
            asyncio.to_thread(_keep_busy, cluster.web_url, stop, done)
        )
        for _ in range(JOBS_IN_FLIGHT)
    ]
    await asyncio.sleep(WARMUP_S)
    jobs, cpu_s, at = next(done), _processes.cpu_s(cluster.entry), time.time()
    await asyncio.sleep(measure_s)
    # Reading the counter adds one to it.
    jobs = next(done) - jobs - 1
    cpu_s = _processes.cpu_s(cluster.entry) - cpu_s
    elapsed_s = time.time() - at
    stop.set()
    await asyncio.gather(*clients)
    starts = jobs * TASKS
    return {
        'cpu_us': cpu_s / starts * 1e6,
        'starts_per_s': starts / elapsed_s,
        'entry_load': cpu_s / elapsed_s,
    }


def _keep_busy(web_url, stop, done):
    """Submit one job after the other."""
    call = _caller(web_url)
    body = _job_body('sleep', {'ms': TASK_MS}, TASKS)
    ids = _job_ids(call)
    while not stop.is_set():
        call('PUT', f'/v1/jobs/{next(ids)}', body)
        next(done)


# Latency -----------------------------------------------------------------


def _latency(cluster, count):
    """Return what azurepier adds to the time of one task (ms)."""
    direct = _times(_direct_calls(cluster.worker_urls[0]), count)
    through = _times(_job_calls(cluster.web_url), count)
    base_s = _measures.quantile(direct, 0.5)
    added = [value - base_s for value in through]
    return {
        'direct_ms_p50': base_s * 1000,
        'added_ms_p50': _measures.quantile(added, 0.5) * 1000,
        'added_ms_p99': _measures.quantile(added, 0.99) * 1000,
    }


def _times(calls, count):
    """Return the times of `count` calls after a warm-up (s)."""
    found = []
    for call in itertools.islice(calls, WARMUP_JOBS + count):
        time.sleep(PAUSE_S)
        began = time.perf_counter()
        call()
        found.append(time.perf_counter() - began)
    return found[WARMUP_JOBS:]


def _direct_calls(worker_url):
    """Yield functions that each run one task on a worker."""
    call = _caller(worker_url)
    body = {'kind': 'echo', 'payload': {}, 'lease_ms': 5000}
    for number in itertools.count():
        path = f'/tasks/direct/{number}'
        yield lambda path=path: call('PUT', path, body)


def _job_calls(web_url):
    """Yield functions that each run a job of one task."""
    call = _caller(web_url)
    body = _job_body('echo', {}, 1)
    for job_id in _job_ids(call):
        yield lambda path=f'/v1/jobs/{job_id}': call('PUT', path, body)


# Requests ----------------------------------------------------------------


def _job_body(kind, payload, count):
    task = {'kind': kind, 'payload': payload, 'duration_ms': TASK_MS}
    return {
        'customer': _processes.CUSTOMER,
        'deadline_ms': DEADLINE_MS,
        'tasks': [task] * count,
    }


def _job_ids(call):
    """Yield job ids, which the entry issues in blocks."""
    while True:
        yield from call('POST', '/v1/job-ids', {'count': 100})['ids']


def _caller(base_url):
    """Return a function that makes requests on one connection."""
    conn = http.client.HTTPConnection(urllib.parse.urlsplit(base_url).netloc)
    headers = {'content-type': 'application/json'}

    def call(method, path, value):
        conn.request(method, path, json.dumps(value).encode(), headers)
        response = conn.getresponse()
        body = response.read()
        if response.status != 200:
            raise RuntimeError(f'{path}: {response.status} {body[:200]!r}')
        return json.loads(body)

    return call


def show(found):
    """Print the figures."""
    print(
        '  entry {cpu_us:.1f} us per task start at {starts_per_s:.0f} starts/s'
        ' ({entry_load:.2f} of a core)'.format(**found)
    )
    print(
        '  added latency p50 {added_ms_p50:.2f} ms, p99 {added_ms_p99:.2f} ms;'
        ' straight to the worker {direct_ms_p50:.2f} ms'.format(**found)
    )


@click.command()
@click.option('--quick', is_flag=True, help='Measure for a shorter time.')
@click.option('--endpoints', default=_processes.ENDPOINTS, show_default=True)
def main(quick, endpoints):
    """Measure the cost of task starts and the latency of single tasks."""
    found = measure(quick, endpoints)
    print(f'loopback, {endpoints} endpoints')
    show(found)


if __name__ == '__main__':
    main()
