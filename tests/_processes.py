"""Daemons, stand-ins and TCP relays on loopback, for tests of processes."""

import collections
import concurrent.futures
import contextlib
import http.client
import json
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time
import urllib.error
import urllib.request

import attrs

from azurepier import wire
from standins import _fleet

# Limit on waiting for a condition, so that a test that hangs fails. No test
# depends on the exact time of an event.
TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05
CUSTOMER = 'acme'
SLOTS = 8
_BIN_DIR = pathlib.Path(sys.executable).parent
_KEY = '0123456789abcdef'
_PLANS = '[p]\nstarts_per_s = {rate}\nconcurrent = 1000\nqueue = 5000\n'
_LOCAL_ADDRESS = '127.0.0.1:0'
_CHUNK_BYTES = 65536


def wait_until(condition, description):
    """Poll until `condition()` is true and return its value.

    Raises
    ------
    AssertionError
        If it isn't true within `TIMEOUT_S`; names `description`.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            value = condition()
            if value:
                return value
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f'not within {TIMEOUT_S:g} s: {description}')


@attrs.frozen
class Reply:
    """Status, headers and JSON value of an HTTP response."""

    status: int
    headers: dict
    value: dict


def _make_reply(status, response):
    return Reply(status, response.headers, json.loads(response.read()))


def send_request(method, url, value=None):
    """Send a request; return None if its connection breaks."""
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return _make_reply(response.status, response)
    except urllib.error.HTTPError as exc:
        return _make_reply(exc.code, exc)
    except (OSError, http.client.HTTPException):
        return None


def run_command(*args):
    """Run the command ``azurepier``."""
    args = [_BIN_DIR / 'azurepier', *args]
    subprocess.run(args, check=True, capture_output=True)


@attrs.define(eq=False)
class Process:
    """A started process.

    Attributes
    ----------
    name : str
    child : subprocess.Popen
    url : str
        Base URL of its HTTP server.
    log : pathlib.Path or None
        Log of a daemon.
    listen : str
        Address that an entry listens at for other processes.
    relay : Relay or None
        Relay through which other processes reach an entry.
    """

    name: str
    child: subprocess.Popen
    url: str = ''
    log: pathlib.Path | None = None
    listen: str = ''
    relay: object = None

    def find_log_record(self, event):
        """Return the first log record of `event` as a dict, or None."""
        assert self.child.poll() in (None, 0), f'{self.name} has failed'
        lines = self.log.read_text().splitlines() if self.log.exists() else ()
        candidates = (
            json.loads(line) for line in lines if f'"{event}"' in line
        )
        return next(
            (line for line in candidates if line['event'] == event), None
        )

    def status(self):
        """Return the JSON value of ``/v1/status``."""
        return _fleet.get_json(f'{self.url}/v1/status')


def _start_thread(function, *args):
    threading.Thread(target=function, args=args, daemon=True).start()


class Relay:
    """A TCP relay that can stop forwarding on its open connections."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        # Until the target is set, and after it has exited, the relay closes
        # every connection that it accepts.
        self.target = ('127.0.0.1', 0)
        self.accepted = 0
        self._sockets = []
        self._silenced = threading.Event()
        _start_thread(self._accept_connections)

    def _accept_connections(self):
        with contextlib.suppress(OSError):
            while True:
                client_sock, _ = self._listener.accept()
                self._sockets.append(client_sock)
                try:
                    server_sock = socket.create_connection(self.target)
                except OSError:
                    client_sock.close()
                    continue
                self.accepted += 1
                self._sockets.append(server_sock)
                for direction in (
                    (client_sock, server_sock),
                    (server_sock, client_sock),
                ):
                    _start_thread(self._forward, *direction, self._silenced)

    def _forward(self, source, sink, silenced):
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                if silenced.is_set():
                    # Both connections stay open, so neither side notices.
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def silence(self):
        """Stop forwarding on the currently open connections."""
        self._silenced.set()
        self._silenced = threading.Event()

    def close(self):
        """Close the listener and all connections."""
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                # Unblocks the thread that waits for this socket.
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@attrs.define
class Fleet:
    """All processes of a test and the thread pool for its requests.

    Attributes
    ----------
    directory : pathlib.Path
        Directory of the settings and logs.
    platform : Process
        Stand-in for the platform.
    entries, endpoints : list of Process
    workers : dict of str to Process
        By the name of the endpoint process.
    started_processes : list of Process
        In the order of their start.
    """

    directory: pathlib.Path
    platform: Process = None
    entries: list = attrs.field(factory=list)
    endpoints: list = attrs.field(factory=list)
    workers: dict = attrs.field(factory=dict)
    started_processes: list = attrs.field(factory=list)
    request_pool: object = attrs.field(
        factory=lambda: concurrent.futures.ThreadPoolExecutor(100)
    )

    def _spawn(self, name, args, **options):
        with open(self.directory / f'{name}.out', 'wb') as out:
            options = {'stdout': out, 'stderr': out} | options
            child = subprocess.Popen(args, **options)
        process = Process(name, child)
        self.started_processes.append(process)
        return process

    def start_stand_in(self, role, name):
        """Start a stand-in and read its port from its output."""
        args = [sys.executable, '-m', f'standins.{role}']
        process = self._spawn(name, args, stdout=subprocess.PIPE)
        port = json.loads(process.child.stdout.readline())['port']
        process.url = f'http://127.0.0.1:{port}'
        return process

    def _start_daemon(self, role, name, **values):
        key = self.directory / 'key'
        key.write_text(_KEY)
        log = self.directory / f'{name}.log'
        values |= {'name': name, 'domain': 'd', 'log': str(log)}
        values |= {'platform': self.platform.url, 'key_files': [str(key)]}
        values |= {'seeds': [e.relay.address for e in self.running_entries()]}
        lines = [f'{k} = {json.dumps(v)}\n' for k, v in values.items()]
        path = self.directory / f'{name}.toml'
        path.write_text(''.join(lines))
        process = self._spawn(name, [_BIN_DIR / 'azurepierd', role, path])
        process.log = log
        line = wait_until(
            lambda: process.find_log_record('started'), f'{name} starts'
        )
        web = line.get('web_listen') or line['listen_web']
        process.url = f'http://{web}'
        process.listen = line.get('listen', '')
        return process

    def start_entry(self, name):
        """Start an entry that other processes reach through a relay."""
        relay = Relay()
        values = {'listen': _LOCAL_ADDRESS, 'web_listen': _LOCAL_ADDRESS}
        process = self._start_daemon(
            'entry', name, address=relay.address, **values
        )
        relay.target = wire.split_address(process.listen)
        process.relay = relay
        self.entries.append(process)
        return process

    def start_endpoint(self, name):
        """Start a worker and its endpoint process."""
        worker = self.start_stand_in('worker', f'worker-{name}')
        self.workers[name] = worker
        values = {'worker': worker.name, 'worker_url': worker.url}
        values |= {'slots': SLOTS, 'listen_web': _LOCAL_ADDRESS}
        process = self._start_daemon('endpoint', name, **values)
        self.endpoints.append(process)
        return process

    def running_entries(self):
        """Return the entries that are running."""
        return [e for e in self.entries if e.child.poll() is None]

    def apply_plan(self, rate):
        """Apply a configuration whose plan allows `rate` starts per second."""
        lists = self.directory / 'lists'
        lists.mkdir(exist_ok=True)
        (lists / 'plans.toml').write_text(_PLANS.format(rate=rate))
        (lists / 'customers.toml').write_text(f'[{CUSTOMER}]\nplan = "p"\n')
        url = ('--platform', self.platform.url)
        run_command('config', 'apply', lists, '--yes', *url)

    def count_starts(self, name=None):
        """Return the number of starts by task, at one worker or at all."""
        found = collections.Counter()
        for worker in self.workers.values():
            if name in (None, worker.name.removeprefix('worker-')):
                found.update(_fleet.get_json(f'{worker.url}/starts'))
        return found

    def close(self):
        """Kill all processes."""
        for process in reversed(self.started_processes):
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
            process.child.wait()
            if process.relay:
                process.relay.close()
            if process.child.stdout:
                process.child.stdout.close()
        self.request_pool.shutdown()
