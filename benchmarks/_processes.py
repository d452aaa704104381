"""Starts real processes on loopback for measurements in real time."""

import contextlib
import json
import os
import pathlib
import random
import subprocess
import sys
import time
import urllib.error
import urllib.request

import attrs

from azurepier import config
from azurepier import etcd

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
CUSTOMER = 'bench'
ENDPOINTS = 11
SLOTS = 8
_DAEMON_PATH = pathlib.Path(sys.executable).with_name('azurepierd')
# Positions of utime and stime in /proc/PID/stat, counted after the name of the
# process.
_CPU_TIME_FIELDS = slice(11, 13)


@attrs.define
class Cluster:
    """One entry and its endpoints on loopback.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and logs.
    entry : Popen or None
    web_url : str
        Base URL of the entry.
    worker_urls : list of str
        Base URLs of the stand-in workers.
    """

    directory: pathlib.Path
    entry: subprocess.Popen | None = None
    web_url: str = ''
    worker_urls: list = attrs.field(factory=list)


@contextlib.asynccontextmanager
async def cluster(directory, endpoints=ENDPOINTS):
    """Start a cluster and stop its processes on exit.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and logs.
    endpoints : int
        Number of endpoints, each with a worker of speed 1.
    """
    started = Cluster(directory)
    with contextlib.ExitStack() as stack:
        port = start_stand_in(stack, 'standins.platform')
        platform_url = f'http://127.0.0.1:{port}'
        await _write_configuration(platform_url)
        address = _start_entry(stack, started, platform_url)
        for number in range(endpoints):
            _start_endpoint(stack, started, number, address, platform_url)
        wait_until(lambda: count_connected(started.web_url) == endpoints)
        yield started


def cpu_s(process):
    """Return the CPU time that a process has used (s)."""
    text = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = sum(int(field) for field in fields[_CPU_TIME_FIELDS])
    return ticks / os.sysconf('SC_CLK_TCK')


def _start_process(stack, args, **popen_options):
    process = subprocess.Popen(args, **popen_options)
    stack.callback(_stop_process, process)
    return process


def _stop_process(process):
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def start_stand_in(stack, module, *args):
    """Start a stand-in and return its port."""
    process = _start_process(
        stack,
        [sys.executable, '-m', module, *args],
        stdout=subprocess.PIPE,
    )
    stack.callback(process.stdout.close)
    return json.loads(process.stdout.readline())['port']


async def _write_configuration(platform_url):
    plan = config.Plan(
        name='bench', starts_per_s=1e6, concurrent=100_000, queue=100_000
    )
    cfg = config.Configuration(
        version=1,
        edit_id='benchmark',
        author='benchmark',
        customers={CUSTOMER: config.Customer(CUSTOMER, 'bench')},
        plans={'bench': plan},
    )
    client = etcd.Client(platform_url, random.Random(1))
    try:
        await client.replace_config(config.to_json(cfg), 0)
    finally:
        await client.close()


def start_daemon(stack, cluster, role, name, settings):
    """Start a daemon; return its process and the log record of its start."""
    settings = {'name': name, 'domain': 'a', **settings}
    settings['log'] = str(cluster.directory / f'{name}.log')
    path = cluster.directory / f'{name}.toml'
    # JSON strings, numbers and lists of strings are valid TOML.
    lines = [f'{key} = {json.dumps(value)}' for key, value in settings.items()]
    path.write_text('\n'.join(lines) + '\n')
    process = _start_process(stack, [_DAEMON_PATH, role, path])
    start_record = wait_until(lambda: _read_start_record(settings['log']))
    return process, start_record


def _read_start_record(path):
    """Return the `started` record from the log of a daemon, or None."""
    with contextlib.suppress(FileNotFoundError):
        for line in pathlib.Path(path).read_text().splitlines():
            record = json.loads(line)
            if record['event'] == 'started':
                return record
    return None


def _start_entry(stack, cluster, platform_url):
    settings = {
        'listen': '127.0.0.1:0',
        'web_listen': '127.0.0.1:0',
        'platform': platform_url,
    }
    cluster.entry, start_record = start_daemon(
        stack, cluster, 'entry', 'entry', settings
    )
    cluster.web_url = start_record['web_address']
    return start_record['address']


def _start_endpoint(stack, cluster, number, address, platform_url):
    port = start_stand_in(stack, 'standins.worker', '--slots', str(SLOTS))
    cluster.worker_urls.append(f'http://127.0.0.1:{port}')
    settings = {
        'worker': f'worker-{number}',
        'worker_url': cluster.worker_urls[-1],
        'slots': SLOTS,
        'listen_web': '127.0.0.1:0',
        'seeds': [address],
        'platform': platform_url,
    }
    start_daemon(stack, cluster, 'endpoint', f'endpoint-{number}', settings)


def count_connected(web_url):
    """Return the number of endpoints that an entry is connected to.

    It is 0 before the entry has its configuration.
    """
    with urllib.request.urlopen(f'{web_url}/v1/status') as resp:
        status = json.load(resp)
    if not status['config_version']:
        return 0
    return sum(endpoint['connected'] for endpoint in status['endpoints'])


def wait_until(condition):
    """Poll a condition and return its first true result.

    Raises
    ------
    TimeoutError
        If the condition isn't true within `START_TIMEOUT_S`.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib.error.URLError):
            result = condition()
            if result:
                return result
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f'processes were not ready within {START_TIMEOUT_S:g} s'
    )
