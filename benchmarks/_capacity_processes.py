"""CPU time, memory and traffic of real processes on loopback."""

import asyncio
import contextlib
import http.client
import json
import pathlib
import random
import re
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request

import attrs

from azurepier import config
from azurepier.daemon import _shell
from azurepier import endpoint
from azurepier import etcd
from azurepier import timeline
from benchmarks import _capacity_rig as rigs
from benchmarks import _processes
from benchmarks import bench_cost

ENDPOINTS = 3
ENTRY_COUNTS = (1, 2, 4, 6)
CONNECTION_COUNT = 200
SETTLE_S = 2.0
IDLE_S = 4.0
LOAD_S = 10.0
BUSY_S = 6.0
BUSY_ENDPOINTS = 11
WARMUP_S = 2.0
# Time until a new entry has been granted its share of the customers' limits
# (s). It starts no tasks before.
QUOTA_SETTLE_S = 8.0
CLIENT_COUNT = 4
TASK_MS = 50
# Starts per second of one endpoint at the peak load of the design size.
STARTS_PER_S = 600_000 / 17_000
KB_PER_MB = 1024
IMPORTED_MODULES = (
    'asyncio',
    'attrs',
    'thrift.protocol.fastbinary',
    'azurepier.kernel',
    'azurepier.endpoint',
    'blacksheep',
    'uvicorn',
    'azurepier.etcd',
    'prometheus_client',
    'pythonjsonlogger.json',
    'click',
    'azurepier.daemon._main',
)
_TRAFFIC_PATTERN = r'^azurepier_(?:sent|received)_bytes_total (\S+)'
_IMPORT_CODE = """
import importlib, json, pathlib, re, sys, time
def resident_kb():
    text = pathlib.Path('/proc/self/status').read_text()
    return int(re.search(r'VmRSS:\\s+(\\d+)', text)[1])
results = [('interpreter', resident_kb(), 0.0)]
for name in sys.argv[1:]:
    kb_before, started_at = resident_kb(), time.perf_counter()
    importlib.import_module(name)
    import_ms = (time.perf_counter() - started_at) * 1000
    results.append((name, resident_kb() - kb_before, import_ms))
print(json.dumps(results))
"""


@attrs.define
class _Cluster:
    """Entries and endpoint processes on loopback.

    `process_cluster` has the directory for their settings and logs.
    """

    stack: contextlib.ExitStack
    process_cluster: _processes.Cluster
    platform_url: str = ''
    entries: list = attrs.field(factory=list)  # (process, start record)
    endpoints: list = attrs.field(factory=list)
    workers: list = attrs.field(factory=list)


def cpu_s(process):
    """Return the CPU time that the threads of a process have used (s).

    `/proc/PID/task/*/schedstat` counts in ns, `/proc/PID/stat`, which
    `benchmarks._processes.cpu_s` reads, in clock ticks.
    """
    tasks = pathlib.Path(f'/proc/{process.pid}/task')
    return (
        sum(
            int((task / 'schedstat').read_text().split()[0])
            for task in tasks.iterdir()
        )
        / 1e9
    )


def resident_mb(process):
    """Return the resident memory of a process and its private part (MB)."""
    text = pathlib.Path(f'/proc/{process.pid}/smaps_rollup').read_text()
    kb = {
        name: int(value)
        for name, value in re.findall(r'(\w+):\s+(\d+) kB', text)
    }
    private = kb['Private_Dirty'] + kb['Private_Clean']
    return kb['Rss'] / KB_PER_MB, private / KB_PER_MB


def traffic_bytes(start_record):
    """Return the number of bytes that a process has sent and received."""
    url = f'http://{start_record["listen_web"]}/metrics'
    with urllib.request.urlopen(url) as resp:
        text = resp.read().decode()
    values = re.findall(_TRAFFIC_PATTERN, text, re.MULTILINE)
    if len(values) != 2:
        raise RuntimeError(
            f'{url}: expected metrics of sent and received bytes'
        )
    return sum(map(float, values))


async def _write_configuration(url):
    client = etcd.Client(url, random.Random(1))
    try:
        body = config.to_json(rigs.configuration())
        await client.replace_config(body, 0)
    finally:
        await client.close()


def _start_entry(cluster):
    settings = {
        'listen': '127.0.0.1:0',
        'web_listen': '127.0.0.1:0',
        'platform': cluster.platform_url,
    }
    name = f'entry-{len(cluster.entries)}'
    process_and_record = _processes.start_daemon(
        cluster.stack, cluster.process_cluster, 'entry', name, settings
    )
    cluster.entries.append(process_and_record)


def _start_endpoint(cluster):
    number = len(cluster.endpoints)
    slots = str(rigs.SLOTS)
    port = _processes.start_stand_in(
        cluster.stack, 'standins.worker', '--slots', slots
    )
    settings = {
        'worker': f'worker-{number}',
        'worker_url': f'http://127.0.0.1:{port}',
        'slots': rigs.SLOTS,
        'listen_web': '127.0.0.1:0',
        'seeds': [
            start_record['address'] for _, start_record in cluster.entries
        ],
        'platform': cluster.platform_url,
    }
    process_and_record = _processes.start_daemon(
        cluster.stack,
        cluster.process_cluster,
        'endpoint',
        f'endpoint-{number}',
        settings,
    )
    cluster.endpoints.append(process_and_record)


def _wait_connected(cluster, count):
    for _, start_record in cluster.entries:
        url = start_record['web_address']
        _processes.wait_until(
            lambda url=url: _processes.count_connected(url) == count
        )


def _measure_use(cluster, duration_s):
    """Return the mean resource use of an endpoint process."""
    samples_before = [
        (cpu_s(process), traffic_bytes(start_record))
        for process, start_record in cluster.endpoints
    ]
    started_at = time.monotonic()
    time.sleep(duration_s)
    elapsed_s = time.monotonic() - started_at
    cpu_used_s = [
        cpu_s(process) - sample_before[0]
        for (process, _), sample_before in zip(
            cluster.endpoints, samples_before
        )
    ]
    traffic = [
        traffic_bytes(start_record) - sample_before[1]
        for (_, start_record), sample_before in zip(
            cluster.endpoints, samples_before
        )
    ]
    memory = [resident_mb(process) for process, _ in cluster.endpoints]
    return {
        'cpu_percent': statistics.mean(cpu_used_s) / elapsed_s * 100,
        'bytes_per_s': statistics.mean(traffic) / elapsed_s,
        'resident_mb': statistics.mean(mb for mb, _ in memory),
        'private_mb': statistics.mean(mb for _, mb in memory),
    }


def _submit_jobs(
    web_url, offset_s, interval_s, stopping, completed_task_counts
):
    """Submit jobs of 20 tasks at a fixed interval."""
    netloc = urllib.parse.urlsplit(web_url).netloc
    conn = http.client.HTTPConnection(netloc)
    headers = {
        'content-type': 'application/json',
        'authorization': 'Bearer 0',
    }
    task = {
        'kind': 'sleep',
        'payload': {'ms': TASK_MS},
        'duration_ms': TASK_MS,
    }
    body = {
        'customer': 'team-0',
        'deadline_ms': 30_000,
        'tasks': [task] * rigs.TASKS_PER_JOB,
    }
    due_at = time.monotonic() + offset_s
    while not stopping.wait(max(due_at - time.monotonic(), 0)):
        due_at += interval_s
        conn.request('POST', '/v1/jobs', json.dumps(body), headers)
        resp = conn.getresponse()
        text = resp.read()
        if resp.status == 200:
            completed_task_counts.append(rigs.TASKS_PER_JOB)
        else:
            print(
                f'job not completed: HTTP status {resp.status}, {text[:200]}',
                file=sys.stderr,
            )


@contextlib.contextmanager
def _apply_load(cluster):
    """Load every endpoint with the starts per second of the design peak."""
    stopping, completed_task_counts = threading.Event(), []
    jobs_per_s = STARTS_PER_S * len(cluster.endpoints) / rigs.TASKS_PER_JOB
    interval_s = CLIENT_COUNT / jobs_per_s
    url = cluster.entries[0][1]['web_address']
    threads = [
        threading.Thread(
            target=_submit_jobs,
            args=(
                url,
                n / jobs_per_s,
                interval_s,
                stopping,
                completed_task_counts,
            ),
        )
        for n in range(CLIENT_COUNT)
    ]
    for thread in threads:
        thread.start()
    try:
        yield completed_task_counts
    finally:
        stopping.set()
        for thread in threads:
            thread.join()


def _measure_loaded(cluster):
    with _apply_load(cluster) as completed_task_counts:
        time.sleep(WARMUP_S)
        jobs_before = len(completed_task_counts)
        result = _measure_use(cluster, LOAD_S)
        task_count = sum(completed_task_counts[jobs_before:])
    result['starts_per_s'] = task_count / LOAD_S / len(cluster.endpoints)
    return result


async def _measure_connections(cluster):
    """Return the cost of a connection to an endpoint for a real entry.

    The endpoint nodes run in this process, each with its own shell.
    """
    process, start_record = cluster.entries[0]
    loop = asyncio.get_running_loop()
    mb_before, cpu_before_s = resident_mb(process)[0], cpu_s(process)
    shells = []
    for number in range(CONNECTION_COUNT):
        opts = endpoint.Options(
            name=f'measured-{number}',
            worker=f'measured-{number}',
            domain='a',
            slots=rigs.SLOTS,
            seeds=(start_record['address'],),
        )
        node = endpoint.create(opts, random.Random(number), loop.time())
        ring = timeline.Ring(10)
        shells.append(_shell.Shell(endpoint, node, ring))
    deadline = time.monotonic() + _processes.START_TIMEOUT_S
    while not all(shell.node.by_conn for shell in shells):
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'not all {CONNECTION_COUNT} endpoints connected in time'
            )
        await asyncio.sleep(0.02)
    connect_cpu_s = cpu_s(process) - cpu_before_s
    await asyncio.sleep(SETTLE_S)
    cpu_before_s = cpu_s(process)
    started_at = time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle_core_share = (cpu_s(process) - cpu_before_s) / (
        time.monotonic() - started_at
    )
    grown_mb = resident_mb(process)[0] - mb_before
    for shell in shells:
        await shell.close()
    return {
        'announcement_us': connect_cpu_s / CONNECTION_COUNT * 1e6,
        'heartbeat_pair_us': idle_core_share
        * rigs.HEARTBEAT_INTERVAL_S
        / CONNECTION_COUNT
        * 1e6,
        'resident_kb': grown_mb * KB_PER_MB / CONNECTION_COUNT,
    }


async def _measure_processes(directory):
    result = {'idle': {}}
    with contextlib.ExitStack() as stack:
        process_cluster = _processes.Cluster(pathlib.Path(directory))
        cluster = _Cluster(stack, process_cluster)
        port = _processes.start_stand_in(stack, 'standins.platform')
        cluster.platform_url = f'http://127.0.0.1:{port}'
        await _write_configuration(cluster.platform_url)
        _start_entry(cluster)
        result['entry_resident_mb'] = resident_mb(cluster.entries[0][0])[0]
        result['connection'] = await _measure_connections(cluster)
        for _ in range(ENDPOINTS):
            _start_endpoint(cluster)
        for count in ENTRY_COUNTS:
            while len(cluster.entries) < count:
                _start_entry(cluster)
            _wait_connected(cluster, ENDPOINTS)
            time.sleep(SETTLE_S)
            result['idle'][count] = _measure_use(cluster, IDLE_S)
        time.sleep(QUOTA_SETTLE_S)
        result['load'] = _measure_loaded(cluster)
    return result


async def _measure_busy_entry(directory):
    """Return the cost of task starts at an entry under full load."""
    path = pathlib.Path(directory)
    async with _processes.cluster(path, BUSY_ENDPOINTS) as cluster:
        return await bench_cost.measure_cpu(cluster, BUSY_S)


def measure_busy_entry():
    """Return the total CPU time of a busy entry per task start."""
    with tempfile.TemporaryDirectory() as directory:
        result = asyncio.run(_measure_busy_entry(directory))
    return result | {'endpoints': BUSY_ENDPOINTS}


def measure():
    """Return the resource use of endpoint processes and connections."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_measure_processes(directory))


def measure_imports():
    """Return the memory (kB) and time (ms) that each import adds."""
    completed = subprocess.run(
        [sys.executable, '-c', _IMPORT_CODE, *IMPORTED_MODULES],
        check=True,
        capture_output=True,
        timeout=_processes.START_TIMEOUT_S,
    )
    return [
        {'name': name, 'resident_kb': resident_kb, 'ms': import_ms}
        for name, resident_kb, import_ms in json.loads(completed.stdout)
    ]
