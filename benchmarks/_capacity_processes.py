"""Processor time, memory and traffic of real processes on loopback."""

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
from benchmarks import _capacity_rig as rig_of
from benchmarks import _processes
from benchmarks import bench_cost

ENDPOINTS = 3
ENTRY_COUNTS = (1, 2, 4, 6)
CONNECTIONS = 200
SETTLE_S = 2.0
IDLE_S = 4.0
LOAD_S = 10.0
BUSY_S = 6.0
BUSY_ENDPOINTS = 11
WARMUP_S = 2.0
# An entry starts tasks only when its shares of the limits are certain.
READY_S = 8.0
CLIENTS = 4
TASK_MS = 50
STARTS_PER_S = 600_000 / 17_000  # of one endpoint at the design peak
PAGE_KB = 1024
IMPORTS = (
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
_TRAFFIC = r'^azurepier_(?:sent|received)_bytes_total (\S+)'
_IMPORT_CODE = """
import importlib, json, pathlib, re, sys, time
def rss():
    text = pathlib.Path('/proc/self/status').read_text()
    return int(re.search(r'VmRSS:\\s+(\\d+)', text)[1])
found = [('interpreter', rss(), 0.0)]
for name in sys.argv[1:]:
    before, began = rss(), time.perf_counter()
    importlib.import_module(name)
    took = (time.perf_counter() - began) * 1000
    found.append((name, rss() - before, took))
print(json.dumps(found))
"""


@attrs.define
class _Cluster:
    stack: contextlib.ExitStack
    made: _processes.Cluster
    platform_url: str = ''
    entries: list = attrs.field(factory=list)  # (process, started)
    endpoints: list = attrs.field(factory=list)
    workers: list = attrs.field(factory=list)


# Reading of processes ----------------------------------------------------


def cpu_s(process):
    """Return the processor time that a process has used (s)."""
    tasks = pathlib.Path(f'/proc/{process.pid}/task')
    return (
        sum(
            int((task / 'schedstat').read_text().split()[0])
            for task in tasks.iterdir()
        )
        / 1e9
    )


def resident_mb(process):
    """Return the resident memory and its private part (MB)."""
    text = pathlib.Path(f'/proc/{process.pid}/smaps_rollup').read_text()
    kb = {
        name: int(value)
        for name, value in re.findall(r'(\w+):\s+(\d+) kB', text)
    }
    private = kb['Private_Dirty'] + kb['Private_Clean']
    return kb['Rss'] / PAGE_KB, private / PAGE_KB


def traffic_bytes(started):
    """Return the bytes that a process has sent and received."""
    url = f'http://{started["listen_web"]}/metrics'
    with urllib.request.urlopen(url) as answer:
        text = answer.read().decode()
    values = re.findall(_TRAFFIC, text, re.MULTILINE)
    if len(values) != 2:
        raise RuntimeError('the metrics of the traffic are missing')
    return sum(map(float, values))


# Processes ---------------------------------------------------------------


async def _write_configuration(url):
    client = etcd.Client(url, random.Random(1))
    try:
        body = config.to_json(rig_of.configuration())
        await client.replace_config(body, 0)
    finally:
        await client.close()


def _start_entry(cluster):
    values = {
        'listen': '127.0.0.1:0',
        'web_listen': '127.0.0.1:0',
        'platform': cluster.platform_url,
    }
    name = f'entry-{len(cluster.entries)}'
    found = _processes._daemon(
        cluster.stack, cluster.made, 'entry', name, values
    )
    cluster.entries.append(found)


def _start_endpoint(cluster):
    number = len(cluster.endpoints)
    slots = str(rig_of.SLOTS)
    port = _processes._stand_in(
        cluster.stack, 'standins.worker', '--slots', slots
    )
    values = {
        'worker': f'worker-{number}',
        'worker_url': f'http://127.0.0.1:{port}',
        'slots': rig_of.SLOTS,
        'listen_web': '127.0.0.1:0',
        'seeds': [started['address'] for _, started in cluster.entries],
        'platform': cluster.platform_url,
    }
    found = _processes._daemon(
        cluster.stack,
        cluster.made,
        'endpoint',
        f'endpoint-{number}',
        values,
    )
    cluster.endpoints.append(found)


def _wait_connected(cluster, count):
    for _, started in cluster.entries:
        url = started['web_address']
        _processes._wait_until(
            lambda url=url: _processes._connected(url) == count
        )


# Endpoint process --------------------------------------------------------


def _sample(cluster, seconds):
    """Return the mean use of an endpoint process over a time."""
    before = [
        (cpu_s(process), traffic_bytes(started))
        for process, started in cluster.endpoints
    ]
    began = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - began
    cpu = [
        cpu_s(process) - old[0]
        for (process, _), old in zip(cluster.endpoints, before)
    ]
    sent = [
        traffic_bytes(started) - old[1]
        for (_, started), old in zip(cluster.endpoints, before)
    ]
    sizes = [resident_mb(process) for process, _ in cluster.endpoints]
    return {
        'cpu_percent': statistics.mean(cpu) / elapsed_s * 100,
        'bytes_per_s': statistics.mean(sent) / elapsed_s,
        'resident_mb': statistics.mean(size for size, _ in sizes),
        'private_mb': statistics.mean(size for _, size in sizes),
    }


def _keep_busy(web_url, offset_s, interval_s, stop, done):
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
        'tasks': [task] * rig_of.TASKS,
    }
    due = time.monotonic() + offset_s
    while not stop.wait(max(due - time.monotonic(), 0)):
        due += interval_s
        conn.request('POST', '/v1/jobs', json.dumps(body), headers)
        answer = conn.getresponse()
        text = answer.read()
        if answer.status == 200:
            done.append(rig_of.TASKS)
        else:
            print(f'job: {answer.status} {text[:200]}', file=sys.stderr)


@contextlib.contextmanager
def _load(cluster):
    """Keep every endpoint at the starts per second of the design peak."""
    stop, done = threading.Event(), []
    rate = STARTS_PER_S * len(cluster.endpoints) / rig_of.TASKS
    interval_s = CLIENTS / rate
    url = cluster.entries[0][1]['web_address']
    threads = [
        threading.Thread(
            target=_keep_busy,
            args=(url, n / rate, interval_s, stop, done),
        )
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    try:
        yield done
    finally:
        stop.set()
        for thread in threads:
            thread.join()


def _loaded(cluster):
    with _load(cluster) as done:
        time.sleep(WARMUP_S)
        started = len(done)
        found = _sample(cluster, LOAD_S)
        starts = sum(done[started:])
    found['starts_per_s'] = starts / LOAD_S / len(cluster.endpoints)
    return found


# Connections of an entry -------------------------------------------------


async def _connections(cluster):
    """Return what a connection of an endpoint costs a real entry.

    The endpoint nodes run in this process, each with a shell of its own.
    """
    process, started = cluster.entries[0]
    loop = asyncio.get_running_loop()
    size, used = resident_mb(process)[0], cpu_s(process)
    shells = []
    for number in range(CONNECTIONS):
        opts = endpoint.Options(
            name=f'measured-{number}',
            worker=f'measured-{number}',
            domain='a',
            slots=rig_of.SLOTS,
            seeds=(started['address'],),
        )
        node = endpoint.create(opts, random.Random(number), loop.time())
        ring = timeline.Ring(10)
        shells.append(_shell.Shell(endpoint, node, ring))
    limit = time.monotonic() + _processes.START_LIMIT_S
    while not all(shell.node.by_conn for shell in shells):
        if time.monotonic() > limit:
            raise TimeoutError('not all connections were made')
        await asyncio.sleep(0.02)
    up_s = cpu_s(process) - used
    await asyncio.sleep(SETTLE_S)
    used = cpu_s(process)
    began = time.monotonic()
    await asyncio.sleep(IDLE_S)
    idle = (cpu_s(process) - used) / (time.monotonic() - began)
    grown_mb = resident_mb(process)[0] - size
    for shell in shells:
        await shell.close()
    return {
        'announcement_us': up_s / CONNECTIONS * 1e6,
        'heartbeat_pair_us': idle * rig_of.HEARTBEAT_S / CONNECTIONS * 1e6,
        'resident_kb': grown_mb * PAGE_KB / CONNECTIONS,
    }


async def _run(directory):
    found = {'idle': {}}
    with contextlib.ExitStack() as stack:
        made = _processes.Cluster(pathlib.Path(directory))
        cluster = _Cluster(stack, made)
        port = _processes._stand_in(stack, 'standins.platform')
        cluster.platform_url = f'http://127.0.0.1:{port}'
        await _write_configuration(cluster.platform_url)
        _start_entry(cluster)
        found['entry_resident_mb'] = resident_mb(cluster.entries[0][0])[0]
        found['connection'] = await _connections(cluster)
        for _ in range(ENDPOINTS):
            _start_endpoint(cluster)
        for count in ENTRY_COUNTS:
            while len(cluster.entries) < count:
                _start_entry(cluster)
            _wait_connected(cluster, ENDPOINTS)
            time.sleep(SETTLE_S)
            found['idle'][count] = _sample(cluster, IDLE_S)
        time.sleep(READY_S)
        found['load'] = _loaded(cluster)
    return found


async def _busy(directory):
    """Return the figures of an entry under full load."""
    path = pathlib.Path(directory)
    async with _processes.cluster(path, BUSY_ENDPOINTS) as cluster:
        return await bench_cost._cost(cluster, BUSY_S)


def busy_entry():
    """Return the processor time per start of a busy entry, all included."""
    with tempfile.TemporaryDirectory() as directory:
        found = asyncio.run(_busy(directory))
    return found | {'endpoints': BUSY_ENDPOINTS}


def measure():
    """Return the figures of the endpoint process and of connections."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(_run(directory))


def imports():
    """Return resident memory (kB) and time (ms) by imported package."""
    answer = subprocess.run(
        [sys.executable, '-c', _IMPORT_CODE, *IMPORTS],
        check=True,
        capture_output=True,
        timeout=_processes.START_LIMIT_S,
    )
    return [
        {'name': name, 'resident_kb': size, 'ms': took}
        for name, size, took in json.loads(answer.stdout)
    ]
