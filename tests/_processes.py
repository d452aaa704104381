"""Real processes on loopback: daemons, stand-ins and a relay."""

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

# Ends a test that hangs; no test depends on when something happens.
LIMIT_S = 40.0
POLL_S = 0.05
CUSTOMER = 'acme'
SLOTS = 8
_BIN = pathlib.Path(sys.executable).parent
_KEY = '0123456789abcdef'
_PLANS = '[p]\nstarts_per_s = {rate}\nconcurrent = 1000\nqueue = 5000\n'
_LOCAL = '127.0.0.1:0'
_CHUNK_BYTES = 65536


def until(condition, what):
    """Wait until `condition()` is true and return what it returns."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            found = condition()
            if found:
                return found
        time.sleep(POLL_S)
    raise AssertionError(f'not within {LIMIT_S:g} s: {what}')


@attrs.frozen
class Reply:
    """Status, headers and JSON value of an answer."""

    status: int
    headers: dict
    value: dict


def _reply(status, answer):
    return Reply(status, answer.headers, json.loads(answer.read()))


def call(method, url, value=None):
    """Make one request; return None if its connection breaks."""
    body = None if value is None else json.dumps(value).encode()
    request = urllib.request.Request(url, body, method=method)
    try:
        with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
            return _reply(answer.status, answer)
    except urllib.error.HTTPError as exc:
        return _reply(exc.code, exc)
    except (OSError, http.client.HTTPException):
        return None


def command(*args):
    """Run the command ``azurepier``."""
    args = [_BIN / 'azurepier', *args]
    subprocess.run(args, check=True, capture_output=True)


@attrs.define(eq=False)
class Process:
    """A started process; a daemon has a log and a base URL."""

    name: str
    child: subprocess.Popen
    url: str = ''
    log: pathlib.Path | None = None
    listen: str = ''
    relay: object = None

    def logged(self, event):
        """Return the first line of the log about `event`, or None."""
        assert self.child.poll() in (None, 0), f'{self.name} has failed'
        lines = self.log.read_text().splitlines() if self.log.exists() else ()
        found = (json.loads(line) for line in lines if f'"{event}"' in line)
        return next((line for line in found if line['event'] == event), None)

    def status(self):
        """Return what ``/v1/status`` says."""
        return _fleet.get_json(f'{self.url}/v1/status')


def _in_thread(function, *args):
    threading.Thread(target=function, args=args, daemon=True).start()


class Relay:
    """A TCP relay whose open connections can be made silent."""

    def __init__(self):
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        # Connections are closed until the target is known and after its end.
        self.target = ('127.0.0.1', 0)
        self.accepted = 0
        self._sockets = []
        self._silent = threading.Event()
        _in_thread(self._accept)

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self._listener.accept()
                self._sockets.append(near)
                try:
                    far = socket.create_connection(self.target)
                except OSError:
                    near.close()
                    continue
                self.accepted += 1
                self._sockets.append(far)
                for pair in ((near, far), (far, near)):
                    _in_thread(self._pump, *pair, self._silent)

    def _pump(self, source, sink, silent):
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                if silent.is_set():
                    # Neither end is told: both connections stay open.
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def silence(self):
        """Forward nothing more on the connections that are open now."""
        self._silent.set()
        self._silent = threading.Event()

    def close(self):
        """Close everything."""
        for sock in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                # Wakes the thread that waits for this socket.
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


@attrs.define
class Fleet:
    """All processes of a test and the pool that makes requests."""

    directory: pathlib.Path
    platform: Process = None
    entries: list = attrs.field(factory=list)
    endpoints: list = attrs.field(factory=list)
    workers: dict = attrs.field(factory=dict)
    started: list = attrs.field(factory=list)
    pool: object = attrs.field(
        factory=lambda: concurrent.futures.ThreadPoolExecutor(100)
    )

    def _spawn(self, name, args, **options):
        with open(self.directory / f'{name}.out', 'wb') as out:
            options = {'stdout': out, 'stderr': out} | options
            child = subprocess.Popen(args, **options)
        process = Process(name, child)
        self.started.append(process)
        return process

    def stand_in(self, role, name):
        """Start a stand-in."""
        args = [sys.executable, '-m', f'standins.{role}']
        process = self._spawn(name, args, stdout=subprocess.PIPE)
        port = json.loads(process.child.stdout.readline())['port']
        process.url = f'http://127.0.0.1:{port}'
        return process

    def _daemon(self, role, name, **values):
        key = self.directory / 'key'
        key.write_text(_KEY)
        log = self.directory / f'{name}.log'
        values |= {'name': name, 'domain': 'd', 'log': str(log)}
        values |= {'platform': self.platform.url, 'key_files': [str(key)]}
        values |= {'seeds': [e.relay.address for e in self.live_entries()]}
        lines = [f'{k} = {json.dumps(v)}\n' for k, v in values.items()]
        path = self.directory / f'{name}.toml'
        path.write_text(''.join(lines))
        process = self._spawn(name, [_BIN / 'azurepierd', role, path])
        process.log = log
        line = until(lambda: process.logged('started'), f'{name} starts')
        web = line.get('web_listen') or line['listen_web']
        process.url = f'http://{web}'
        process.listen = line.get('listen', '')
        return process

    def entry(self, name):
        """Start an entry, which other processes reach through a relay."""
        relay = Relay()
        values = {'listen': _LOCAL, 'web_listen': _LOCAL}
        process = self._daemon('entry', name, address=relay.address, **values)
        relay.target = wire.split_address(process.listen)
        process.relay = relay
        self.entries.append(process)
        return process

    def endpoint(self, name):
        """Start a worker and its endpoint process."""
        worker = self.stand_in('worker', f'worker-{name}')
        self.workers[name] = worker
        values = {'worker': worker.name, 'worker_url': worker.url}
        values |= {'slots': SLOTS, 'listen_web': _LOCAL}
        process = self._daemon('endpoint', name, **values)
        self.endpoints.append(process)
        return process

    def live_entries(self):
        """Return the entries that run."""
        return [e for e in self.entries if e.child.poll() is None]

    def apply(self, rate):
        """Put a new configuration in force at the platform."""
        lists = self.directory / 'lists'
        lists.mkdir(exist_ok=True)
        (lists / 'plans.toml').write_text(_PLANS.format(rate=rate))
        (lists / 'customers.toml').write_text(f'[{CUSTOMER}]\nplan = "p"\n')
        url = ('--platform', self.platform.url)
        command('config', 'apply', lists, '--yes', *url)

    def starts(self, name=None):
        """Return the starts of each task at one worker or all together."""
        found = collections.Counter()
        for worker in self.workers.values():
            if name in (None, worker.name.removeprefix('worker-')):
                found.update(_fleet.get_json(f'{worker.url}/starts'))
        return found

    def close(self):
        """End all processes."""
        for process in reversed(self.started):
            if process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
            process.child.wait()
            if process.relay:
                process.relay.close()
            if process.child.stdout:
                process.child.stdout.close()
        self.pool.shutdown()
