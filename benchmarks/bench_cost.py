"""CPU cost of the entry and latency of single tasks, with real processes.

Run with::

    python -m benchmarks.bench_cost [--quick] [--endpoints 11]

Runs one entry and endpoint processes with stand-in workers on loopback.

* CPU time per task start: clients keep jobs of 20 tasks of 50 ms in flight.
  The total CPU time of the entry (HTTP, JSON, dispatch, messages, heartbeats
  and logs) is divided by the number of tasks started in the same period.
* Added latency: a client runs jobs of one task that returns immediately, one
  at a time. The added latency is the response time at the client minus the
  median response time of the same task sent directly to the worker.

Other load on the machine raises both figures.
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

TASKS_PER_JOB = 20
TASK_MS = 50
JOBS_IN_FLIGHT = 5
WARMUP_S = 3.0
MEASUREMENT_S = 20.0
QUICK_MEASUREMENT_S = 5.0
LATENCY_JOBS = 2000
QUICK_LATENCY_JOBS = 500
WARMUP_JOBS = 200
# Pause between calls, so that the latency is that of an idle system.
CALL_PAUSE_S = 0.002
DEADLINE_MS = 30_000


def measure(quick=False, endpoints=_processes.ENDPOINTS):
    """Start a cluster and measure CPU time and latency.

    Parameters
    ----------
    quick : bool
        Measure for a shorter time.
    endpoints : int

    Returns
    -------
    dict
        Results of `measure_cpu` and the latencies of single tasks (ms).
    """
    return asyncio.run(_measure(quick, endpoints))


async def _measure(quick, endpoints):
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory)
        async with _processes.cluster(path, endpoints) as cluster:
            # Blocking calls run in threads to keep the event loop free.
            return {
                **await measure_cpu(
                    cluster, QUICK_MEASUREMENT_S if quick else MEASUREMENT_S
                ),
                **await asyncio.to_thread(
                    _measure_latency,
                    cluster,
                    QUICK_LATENCY_JOBS if quick else LATENCY_JOBS,
                ),
            }


async def measure_cpu(cluster, duration_s):
    """Return the CPU time per task start, starts per second and CPU load.

    All three are those of the entry, measured for `duration_s` under load.
    """
    stopping = asyncio.Event()
    completed_jobs = itertools.count()
    clients = [
        asyncio.create_task(
            asyncio.to_thread(
                _submit_jobs, cluster.web_url, stopping, completed_jobs
            )
        )
        for _ in range(JOBS_IN_FLIGHT)
    ]
    await asyncio.sleep(WARMUP_S)
    job_count, cpu_s, started_at = (
        next(completed_jobs),
        _processes.cpu_s(cluster.entry),
        time.time(),
    )
    await asyncio.sleep(duration_s)
    # Reading the counter with `next` has advanced it by one.
    job_count = next(completed_jobs) - job_count - 1
    cpu_s = _processes.cpu_s(cluster.entry) - cpu_s
    elapsed_s = time.time() - started_at
    stopping.set()
    await asyncio.gather(*clients)
    start_count = job_count * TASKS_PER_JOB
    return {
        'cpu_us': cpu_s / start_count * 1e6,
        'starts_per_s': start_count / elapsed_s,
        'entry_load': cpu_s / elapsed_s,
    }


def _submit_jobs(web_url, stopping, completed_jobs):
    """Submit jobs one after another until the event is set."""
    call = _make_caller(web_url)
    body = _make_job_body('sleep', {'ms': TASK_MS}, TASKS_PER_JOB)
    job_ids = _generate_job_ids(call)
    while not stopping.is_set():
        call('PUT', f'/v1/jobs/{next(job_ids)}', body)
        next(completed_jobs)


def _measure_latency(cluster, count):
    """Return the latency that azurepier adds to a single task (ms)."""
    direct_times_s = _time_calls(
        _make_worker_calls(cluster.worker_urls[0]), count
    )
    job_times_s = _time_calls(_make_job_calls(cluster.web_url), count)
    direct_median_s = _measures.quantile(direct_times_s, 0.5)
    added_s = [time_s - direct_median_s for time_s in job_times_s]
    return {
        'direct_ms_p50': direct_median_s * 1000,
        'added_ms_p50': _measures.quantile(added_s, 0.5) * 1000,
        'added_ms_p99': _measures.quantile(added_s, 0.99) * 1000,
    }


def _time_calls(calls, count):
    """Return the durations of `count` calls after a warm-up (s)."""
    times_s = []
    for call in itertools.islice(calls, WARMUP_JOBS + count):
        time.sleep(CALL_PAUSE_S)
        started_at = time.perf_counter()
        call()
        times_s.append(time.perf_counter() - started_at)
    return times_s[WARMUP_JOBS:]


def _make_worker_calls(worker_url):
    """Yield functions that run one task directly on a worker."""
    call = _make_caller(worker_url)
    body = {'kind': 'echo', 'payload': {}, 'lease_ms': 5000}
    for number in itertools.count():
        path = f'/tasks/direct/{number}'
        yield lambda path=path: call('PUT', path, body)


def _make_job_calls(web_url):
    """Yield functions that run a job of one task."""
    call = _make_caller(web_url)
    body = _make_job_body('echo', {}, 1)
    for job_id in _generate_job_ids(call):
        yield lambda path=f'/v1/jobs/{job_id}': call('PUT', path, body)


def _make_job_body(kind, payload, count):
    task = {'kind': kind, 'payload': payload, 'duration_ms': TASK_MS}
    return {
        'customer': _processes.CUSTOMER,
        'deadline_ms': DEADLINE_MS,
        'tasks': [task] * count,
    }


def _generate_job_ids(call):
    """Yield job ids, which are requested from the entry in batches."""
    while True:
        yield from call('POST', '/v1/job-ids', {'count': 100})['ids']


def _make_caller(base_url):
    """Return a function that sends requests on a persistent connection."""
    conn = http.client.HTTPConnection(urllib.parse.urlsplit(base_url).netloc)
    headers = {'content-type': 'application/json'}

    def call(method, path, value):
        conn.request(method, path, json.dumps(value).encode(), headers)
        resp = conn.getresponse()
        body = resp.read()
        if resp.status != 200:
            raise RuntimeError(
                f'{method} {path}: HTTP status {resp.status}, {body[:200]!r}'
            )
        return json.loads(body)

    return call


def print_result(result):
    """Print the result of `measure`."""
    print(
        '  entry {cpu_us:.1f} us per task start at {starts_per_s:.0f} starts/s'
        ' ({entry_load:.2f} of a core)'.format(**result)
    )
    print(
        '  added latency p50 {added_ms_p50:.2f} ms, p99 {added_ms_p99:.2f} ms;'
        ' directly on the worker {direct_ms_p50:.2f} ms'.format(**result)
    )


@click.command()
@click.option('--quick', is_flag=True, help='Measure for a shorter time.')
@click.option('--endpoints', default=_processes.ENDPOINTS, show_default=True)
def main(quick, endpoints):
    """Measure the cost of task starts and the latency of single tasks."""
    result = measure(quick, endpoints)
    print(f'loopback, {endpoints} endpoints')
    print_result(result)


if __name__ == '__main__':
    main()
