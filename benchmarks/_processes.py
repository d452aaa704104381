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

START_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
POLL_S = 0.05
CUSTOMER = 'bench'
ENDPOINTS = 11
SLOTS = 8
_DAEMON = pathlib.Path(sys.executable).with_name('azurepierd')
_CPU_FIELDS = slice(11, 13)  # utime and stime, counted after the name


@attrs.define
class Cluster:
    """One entry and its endpoints on loopback.

    `web_url` is the base URL of the entry, `worker_urls` those of the
    stand-in workers.
    """

    directory: pathlib.Path
    entry: subprocess.Popen | None = None
    web_url: str = ''
    worker_urls: list = attrs.field(factory=list)


@contextlib.asynccontextmanager
async def cluster(directory, endpoints=ENDPOINTS):
    """Start a cluster, and end its processes on exit.

    Parameters
    ----------
    directory : pathlib.Path
        For settings and logs.
    endpoints : int
        Number of endpoints, each with a worker of speed 1.
    """
    made = Cluster(directory)
    with contextlib.ExitStack() as stack:
        port = _stand_in(stack, 'standins.platform')
        platform_url = f'http://127.0.0.1:{port}'
        await _write_configuration(platform_url)
        address = _start_entry(stack, made, platform_url)
        for number in range(endpoints):
            _start_endpoint(stack, made, number, address, platform_url)
        _wait_until(lambda: _connected(made.web_url) == endpoints)
        yield made


def cpu_s(process):
    """Return the processor time that a process has used (s)."""
    text = pathlib.Path(f'/proc/{process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = sum(int(field) for field in fields[_CPU_FIELDS])
    return ticks / os.sysconf('SC_CLK_TCK')


def _start(stack, args, **options):
    process = subprocess.Popen(args, **options)
    stack.callback(_stop, process)
    return process


def _stop(process):
    process.terminate()
    try:
        process.wait(STOP_LIMIT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _stand_in(stack, module, *args):
    """Start a stand-in and return its port."""
    process = _start(
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


def _daemon(stack, made, kind, name, values):
    """Start a daemon and return what it logs of its start."""
    values = {'name': name, 'domain': 'a', **values}
    values['log'] = str(made.directory / f'{name}.log')
    path = made.directory / f'{name}.toml'
    # JSON strings, numbers and lists of strings are valid TOML values.
    lines = [f'{key} = {json.dumps(value)}' for key, value in values.items()]
    path.write_text('\n'.join(lines) + '\n')
    process = _start(stack, [_DAEMON, kind, path])
    started = _wait_until(lambda: _started(values['log']))
    return process, started


def _started(path):
    """Return the record of a daemon's start from its log, or None."""
    with contextlib.suppress(FileNotFoundError):
        for line in pathlib.Path(path).read_text().splitlines():
            record = json.loads(line)
            if record['event'] == 'started':
                return record
    return None


def _start_entry(stack, made, platform_url):
    values = {
        'listen': '127.0.0.1:0',
        'web_listen': '127.0.0.1:0',
        'platform': platform_url,
    }
    made.entry, started = _daemon(stack, made, 'entry', 'entry', values)
    made.web_url = started['web_address']
    return started['address']


def _start_endpoint(stack, made, number, address, platform_url):
    port = _stand_in(stack, 'standins.worker', '--slots', str(SLOTS))
    made.worker_urls.append(f'http://127.0.0.1:{port}')
    values = {
        'worker': f'worker-{number}',
        'worker_url': made.worker_urls[-1],
        'slots': SLOTS,
        'listen_web': '127.0.0.1:0',
        'seeds': [address],
        'platform': platform_url,
    }
    _daemon(stack, made, 'endpoint', f'endpoint-{number}', values)


def _connected(web_url):
    """Return how many endpoints a configured entry is connected to."""
    with urllib.request.urlopen(f'{web_url}/v1/status') as answer:
        status = json.load(answer)
    if not status['config_version']:
        return 0
    return sum(view['connected'] for view in status['endpoints'])


def _wait_until(condition):
    """Return the first true result of a condition.

    Raises
    ------
    TimeoutError
    """
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(urllib.error.URLError):
            result = condition()
            if result:
                return result
        time.sleep(POLL_S)
    raise TimeoutError('a process did not start in time')
