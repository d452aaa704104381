"""Starting and stopping the processes of the demo."""

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

BUILD_DIR = pathlib.Path('build')
STATE_FILE = BUILD_DIR / 'demo.json'
LISTS_DIR = pathlib.Path('examples/lists')
# Tokens whose hashes are in examples/lists/customers.toml.
TOKENS = {'prydderch': 'prydderch-demo', 'yastikevi': 'yastikevi-demo'}
SPEEDS = (1, 2, 4)
SLOTS = 8
_BIN_DIR = pathlib.Path(sys.executable).parent
_START_TIMEOUT_S = 30.0
# Longer than the daemons' own timeout for a graceful shutdown.
_STOP_TIMEOUT_S = 45.0
_POLL_INTERVAL_S = 0.05
_HTTP_TIMEOUT_S = 5.0
# Entries first, so that running jobs can end before the processes that run
# them are stopped.
_STOP_ORDER = ('entry', 'endpoint', 'worker', 'platform')


class FleetError(Exception):
    """A process of the demo failed to start or stop, or a command failed."""


@attrs.define
class Process:
    """A process of the demo.

    Attributes
    ----------
    name : str
    role : str
        ``platform``, ``worker``, ``endpoint`` or ``entry``.
    pid : int
    url : str
        Base URL of its HTTP server.
    child : subprocess.Popen or None
        None if another run of the script has started the process.
    """

    name: str
    role: str
    pid: int
    url: str = ''
    child: object = None


@attrs.define
class Fleet:
    """All processes of the demo."""

    processes: list = attrs.field(factory=list)

    def with_role(self, role):
        """Return the processes of a role."""
        return [p for p in self.processes if p.role == role]

    def urls(self, role):
        """Return the base URLs of the processes of a role."""
        return [process.url for process in self.with_role(role)]


def get(url):
    """Return the body of a GET request."""
    with urllib.request.urlopen(url, timeout=_HTTP_TIMEOUT_S) as response:
        return response.read().decode()


def get_json(url):
    """Return the JSON value of a GET request."""
    return json.loads(get(url))


def run_command(fleet, *args):
    """Run the command ``azurepier`` and return its output."""
    env = {
        **os.environ,
        'AZUREPIER_ENTRIES': ' '.join(fleet.urls('entry')),
        'AZUREPIER_PLATFORM': fleet.urls('platform')[0],
        'AZUREPIER_TOKEN': TOKENS['prydderch'],
    }
    completed = subprocess.run(
        [_BIN_DIR / 'azurepier', *args],
        env=env,
        capture_output=True,
        text=True,
    )
    if completed.returncode != 0:
        raise FleetError(
            f'azurepier {args[0]} failed: {completed.stderr.strip()}'
        )
    return completed.stdout


def _wait_until(condition, failure, timeout_s=_START_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(_POLL_INTERVAL_S)
    raise FleetError(f'{failure} within {timeout_s:g} s')


def _spawn(fleet, name, role, args, url=''):
    """Start a process with its output in build/NAME.log."""
    with open(BUILD_DIR / f'{name}.log', 'wb') as log:
        child = subprocess.Popen(
            args,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            # Ctrl+C must not stop the processes out of order.
            start_new_session=True,
        )
    process = Process(name, role, child.pid, url, child)
    fleet.processes.append(process)
    return process


def _spawn_stand_in(fleet, name, role, *options):
    args = [sys.executable, '-m', f'standins.{role}', *options]
    process = _spawn(fleet, name, role, args)
    path = BUILD_DIR / f'{name}.log'

    def read_port():
        _check_running(process)
        line, newline, _ = path.read_text().partition('\n')
        return json.loads(line)['port'] if newline else None

    port_number = _wait_until(read_port, f'{name} did not print its port')
    process.url = f'http://127.0.0.1:{port_number}'


def _check_running(process):
    if process.child.poll() is not None:
        log = (BUILD_DIR / f'{process.name}.log').read_text()
        raise FleetError(f'{process.name} exited while starting:\n{log}')


def free_addresses(count):
    """Return loopback addresses whose ports are currently free."""
    sockets = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return [f'127.0.0.1:{port}' for port in ports]


def _write_settings(name, values):
    # Strings, integers and lists of strings have the same syntax in JSON and
    # TOML.
    lines = [f'{key} = {json.dumps(value)}' for key, value in values.items()]
    path = BUILD_DIR / f'{name}.toml'
    path.write_text('\n'.join(lines) + '\n')
    return path


def _spawn_daemon(fleet, role, web_address, values):
    name = values['name']
    path = _write_settings(name, values)
    args = [_BIN_DIR / 'azurepierd', role, path]
    _spawn(fleet, name, role, args, f'http://{web_address}')


def _start_daemons(fleet):
    platform = fleet.urls('platform')[0]
    peer_address_1, peer_address_2, *web_addresses = free_addresses(
        4 + len(SPEEDS)
    )
    address_pairs = (
        (peer_address_1, peer_address_2),
        (peer_address_2, peer_address_1),
    )
    for n, (listen, peer) in enumerate(address_pairs, 1):
        settings = {
            'name': f'entry-{n}',
            'domain': f'domain-{n}',
            'listen': listen,
            'web_listen': web_addresses[n - 1],
            'seeds': [peer],
            'platform': platform,
        }
        _spawn_daemon(fleet, 'entry', web_addresses[n - 1], settings)
    for n, worker in enumerate(fleet.with_role('worker'), 1):
        settings = {
            'name': f'endpoint-{n}',
            'worker': worker.name,
            'domain': f'domain-{n}',
            'worker_url': worker.url,
            'slots': SLOTS,
            'kinds': ['echo', 'sleep', 'fail'],
            'listen_web': web_addresses[n + 1],
            'seeds': [peer_address_1, peer_address_2],
            'platform': platform,
        }
        _spawn_daemon(fleet, 'endpoint', web_addresses[n + 1], settings)


def start():
    """Start all processes and wait until they are ready.

    Returns
    -------
    Fleet

    Raises
    ------
    FleetError
        If a process fails to start. The others are stopped.
    """
    if STATE_FILE.exists():
        raise FleetError(
            f'{STATE_FILE} exists; stop that demo with "make down"'
        )
    BUILD_DIR.mkdir(exist_ok=True)
    fleet = Fleet()
    try:
        _spawn_stand_in(fleet, 'platform', 'platform')
        for n, speed in enumerate(SPEEDS, 1):
            options = ('--speed', str(speed), '--slots', str(SLOTS))
            _spawn_stand_in(fleet, f'worker-{n}', 'worker', *options)
        apply_args = (
            'config',
            'apply',
            LISTS_DIR,
            '--yes',
            '--author',
            'demo',
        )
        print(run_command(fleet, *apply_args), end='')
        _start_daemons(fleet)
        _wait_until(lambda: _is_ready(fleet), 'the processes were not ready')
    except BaseException:
        stop(fleet)
        raise
    _save_state(fleet)
    return fleet


def _is_ready(fleet):
    for process in fleet.with_role('entry') + fleet.with_role('endpoint'):
        _check_running(process)
    try:
        for url in fleet.urls('entry'):
            get(f'{url}/readyz')
            status = get_json(f'{url}/v1/status')
            if sum(e['connected'] for e in status['endpoints']) < len(SPEEDS):
                return False
    except (OSError, urllib.error.HTTPError):
        return False
    return True


def _save_state(fleet):
    value = {
        'entries': fleet.urls('entry'),
        'workers': fleet.urls('worker'),
        'processes': [
            {'name': p.name, 'role': p.role, 'pid': p.pid, 'url': p.url}
            for p in fleet.processes
        ],
        'tokens': TOKENS,
    }
    STATE_FILE.write_text(json.dumps(value, indent=2) + '\n')


def load_state():
    """Return the fleet that an earlier ``up`` has started, or None."""
    if not STATE_FILE.exists():
        return None
    value = json.loads(STATE_FILE.read_text())
    return Fleet([Process(**fields) for fields in value['processes']])


def remove_state_file():
    """Remove the file that describes the running fleet."""
    STATE_FILE.unlink(missing_ok=True)


def _is_alive(process):
    if process.child is not None:
        return process.child.poll() is None
    # The process id may have been reused by another process.
    try:
        command_line = pathlib.Path(f'/proc/{process.pid}/cmdline')
        arguments = command_line.read_bytes().decode(errors='replace')
    except OSError:
        return False
    return f'{process.name}.toml' in arguments or 'standins.' in arguments


def stop(fleet):
    """Stop all processes gracefully; kill those that don't exit in time.

    Returns
    -------
    list of str
        One line for each process that was killed or failed. The exit code is
        known only for children of this script.
    """
    problems = []
    for role in _STOP_ORDER:
        running_processes = [
            process for process in fleet.with_role(role) if _is_alive(process)
        ]
        for process in running_processes:
            os.kill(process.pid, signal.SIGTERM)
        for process in running_processes:
            problems += _wait_for_exit(process)
    return problems


def _wait_for_exit(process):
    try:
        _wait_until(
            lambda: not _is_alive(process), 'did not exit', _STOP_TIMEOUT_S
        )
    except FleetError:
        os.kill(process.pid, signal.SIGKILL)
        if process.child is not None:
            process.child.wait()
        return [f'{process.name}: killed after {_STOP_TIMEOUT_S:g} s']
    exit_code = process.child.returncode if process.child is not None else 0
    return [f'{process.name}: exit code {exit_code}'] if exit_code else []
