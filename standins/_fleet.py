"""Processes of the demo: starting, finding and stopping them."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request

import attrs

BUILD = pathlib.Path('build')
STATE = BUILD / 'demo.json'
LISTS = pathlib.Path('examples/lists')
# Belong to the hashes in examples/lists/customers.toml.
TOKENS = {'prydderch': 'prydderch-demo', 'yastikevi': 'yastikevi-demo'}
SPEEDS = (1, 2, 4)
SLOTS = 8
_BIN = pathlib.Path(sys.executable).parent
_START_LIMIT_S = 30.0
# Longer than the daemons' own limit for a graceful end.
_STOP_LIMIT_S = 45.0
_POLL_S = 0.05
_CALL_LIMIT_S = 5.0
# The callers' work ends before the processes that carry it out.
_STOP_ORDER = ('entry', 'endpoint', 'worker', 'platform')


class FleetError(Exception):
    """The processes of the demo did not start or stop as expected."""


@attrs.define
class Process:
    """A started process; `child` is None in another run of the script."""

    name: str
    role: str
    pid: int
    url: str = ''
    child: object = None


@attrs.define
class Fleet:
    """All processes of the demo."""

    processes: list = attrs.field(factory=list)

    def of(self, role):
        """Return the processes of a role."""
        return [p for p in self.processes if p.role == role]

    def urls(self, role):
        """Return the base URLs of the processes of a role."""
        return [process.url for process in self.of(role)]


def get(url):
    """Return the body of a GET request."""
    with urllib.request.urlopen(url, timeout=_CALL_LIMIT_S) as answer:
        return answer.read().decode()


def get_json(url):
    """Return the JSON value of a GET request."""
    return json.loads(get(url))


def command(fleet, *args):
    """Run the command ``azurepier`` and return its output."""
    env = {
        **os.environ,
        'AZUREPIER_ENTRIES': ' '.join(fleet.urls('entry')),
        'AZUREPIER_PLATFORM': fleet.urls('platform')[0],
        'AZUREPIER_TOKEN': TOKENS['prydderch'],
    }
    done = subprocess.run(
        [_BIN / 'azurepier', *args], env=env, capture_output=True, text=True
    )
    if done.returncode != 0:
        raise FleetError(f'azurepier {args[0]} failed: {done.stderr.strip()}')
    return done.stdout


def _wait(condition, what, limit_s=_START_LIMIT_S):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(_POLL_S)
    raise FleetError(f'{what} within {limit_s:g} s')


# Starting ----------------------------------------------------------------


def _spawn(fleet, name, role, args, url=''):
    """Start a process with its output in build/NAME.log."""
    with open(BUILD / f'{name}.log', 'wb') as log:
        child = subprocess.Popen(
            args,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            # An interrupt of the script must not end them out of order.
            start_new_session=True,
        )
    process = Process(name, role, child.pid, url, child)
    fleet.processes.append(process)
    return process


def _spawn_standin(fleet, name, role, *options):
    args = [sys.executable, '-m', f'standins.{role}', *options]
    process = _spawn(fleet, name, role, args)
    path = BUILD / f'{name}.log'

    def port():
        _check_runs(process)
        line, newline, _ = path.read_text().partition('\n')
        return json.loads(line)['port'] if newline else None

    number = _wait(port, f'{name} did not print its port')
    process.url = f'http://127.0.0.1:{number}'


def _check_runs(process):
    if process.child.poll() is not None:
        log = (BUILD / f'{process.name}.log').read_text()
        raise FleetError(f'{process.name} ended at once:\n{log}')


def free_addresses(count):
    """Return loopback addresses whose ports were free just now."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return [f'127.0.0.1:{port}' for port in ports]


def _write_settings(name, values):
    # Strings, integers and lists of strings look alike in JSON and TOML.
    lines = [f'{key} = {json.dumps(value)}' for key, value in values.items()]
    path = BUILD / f'{name}.toml'
    path.write_text('\n'.join(lines) + '\n')
    return path


def _spawn_daemon(fleet, role, web_address, values):
    name = values['name']
    path = _write_settings(name, values)
    args = [_BIN / 'azurepierd', role, path]
    _spawn(fleet, name, role, args, f'http://{web_address}')


def _start_daemons(fleet):
    platform = fleet.urls('platform')[0]
    wire_1, wire_2, *web = free_addresses(4 + len(SPEEDS))
    pairs = ((wire_1, wire_2), (wire_2, wire_1))
    for n, (listen, peer) in enumerate(pairs, 1):
        settings = {
            'name': f'entry-{n}',
            'domain': f'zone-{n}',
            'listen': listen,
            'web_listen': web[n - 1],
            'seeds': [peer],
            'platform': platform,
        }
        _spawn_daemon(fleet, 'entry', web[n - 1], settings)
    for n, worker in enumerate(fleet.of('worker'), 1):
        settings = {
            'name': f'endpoint-{n}',
            'worker': worker.name,
            'domain': f'zone-{n}',
            'worker_url': worker.url,
            'slots': SLOTS,
            'kinds': ['echo', 'sleep', 'fail'],
            'listen_web': web[n + 1],
            'seeds': [wire_1, wire_2],
            'platform': platform,
        }
        _spawn_daemon(fleet, 'endpoint', web[n + 1], settings)


def start():
    """Start all processes and return when they are ready.

    Returns
    -------
    Fleet

    Raises
    ------
    FleetError
        If a process fails; those that were started are stopped.
    """
    if STATE.exists():
        raise FleetError(f'{STATE} exists; stop that demo with "make down"')
    BUILD.mkdir(exist_ok=True)
    fleet = Fleet()
    try:
        _spawn_standin(fleet, 'platform', 'platform')
        for n, speed in enumerate(SPEEDS, 1):
            options = ('--speed', str(speed), '--slots', str(SLOTS))
            _spawn_standin(fleet, f'worker-{n}', 'worker', *options)
        apply = ('config', 'apply', LISTS, '--yes', '--author', 'demo')
        print(command(fleet, *apply), end='')
        _start_daemons(fleet)
        _wait(lambda: _is_ready(fleet), 'the processes were not ready')
    except BaseException:
        stop(fleet)
        raise
    _save(fleet)
    return fleet


def _is_ready(fleet):
    for process in fleet.of('entry') + fleet.of('endpoint'):
        _check_runs(process)
    try:
        for url in fleet.urls('entry'):
            get(f'{url}/readyz')
            status = get_json(f'{url}/v1/status')
            if sum(e['connected'] for e in status['endpoints']) < len(SPEEDS):
                return False
    except (OSError, urllib.error.HTTPError):
        return False
    return True


# The state file ----------------------------------------------------------


def _save(fleet):
    value = {
        'entries': fleet.urls('entry'),
        'workers': fleet.urls('worker'),
        'processes': [
            {'name': p.name, 'role': p.role, 'pid': p.pid, 'url': p.url}
            for p in fleet.processes
        ],
        'tokens': TOKENS,
    }
    STATE.write_text(json.dumps(value, indent=2) + '\n')


def load():
    """Return the fleet that an earlier ``up`` left running, or None."""
    if not STATE.exists():
        return None
    value = json.loads(STATE.read_text())
    return Fleet([Process(**fields) for fields in value['processes']])


def forget():
    """Remove the description of a fleet that was stopped."""
    STATE.unlink(missing_ok=True)


# Stopping ----------------------------------------------------------------


def _is_alive(process):
    if process.child is not None:
        return process.child.poll() is None
    # The number may belong to another process by now.
    try:
        command_line = pathlib.Path(f'/proc/{process.pid}/cmdline')
        words = command_line.read_bytes().decode(errors='replace')
    except OSError:
        return False
    return f'{process.name}.toml' in words or 'standins.' in words


def stop(fleet):
    """End all processes gracefully and return what went wrong.

    Returns
    -------
    list of str
        One line per process that was killed or had another exit code than
        0. The code is known only for children of this script.
    """
    faults = []
    for role in _STOP_ORDER:
        group = [process for process in fleet.of(role) if _is_alive(process)]
        for process in group:
            os.kill(process.pid, signal.SIGTERM)
        for process in group:
            faults += _await_end(process)
    return faults


def _await_end(process):
    try:
        _wait(lambda: not _is_alive(process), 'no end', _STOP_LIMIT_S)
    except FleetError:
        os.kill(process.pid, signal.SIGKILL)
        if process.child is not None:
            process.child.wait()
        return [f'{process.name}: killed after {_STOP_LIMIT_S:g} s']
    code = process.child.returncode if process.child is not None else 0
    return [f'{process.name}: exit code {code}'] if code else []
