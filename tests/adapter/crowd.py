"""Clients that exceed the limits, and processes that face them on loopback.

The clients offer bytes on nonblocking sockets. They stop when all is sent,
when the process has closed their connections, when it reads no more, or when
its memory has grown beyond the bound already.
"""

import http.client
import json
import os
import pathlib
import resource
import selectors
import socket
import subprocess
import sys
import time

import attrs
import fakes

from azurepier import wire

ROOT = pathlib.Path(__file__).parents[2]
NETWORK = fakes.loopback_network()
# The process doesn't read if it takes nothing for this time (s).
STALL_S = 0.5
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_LOCAL_ADDRESS = '127.0.0.1:0'
# State of a connection in /proc/net/tcp.
_ESTABLISHED = '01'
MB = 1024 * 1024
SMALLEST_MACHINE_MB = 160

_SETTINGS = '''
node_name = "{role}-5"
ip = "{ip}"
zone = "a"
port_range = [17320, 17330]
seeds = []
service = "pool"
app = "127.0.0.1:9"
[listen]
front = "{ip}:17301"
ready = "{ip}:17302"
control = "{ip}:17303"
[bounds]
grace_s = 6
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[platform]
address = "127.0.0.1:{store}"
'''
_DAEMON_SETTINGS = {
    'entry': {'listen': _LOCAL_ADDRESS, 'web_listen': _LOCAL_ADDRESS},
    'endpoint': {
        'listen_web': _LOCAL_ADDRESS,
        'worker': 'w',
        'worker_url': 'http://127.0.0.1:9',
        'slots': 1,
        'seeds': ['127.0.0.1:9'],
    },
}


@attrs.define(eq=False)
class Process:
    """A started process.

    Parameters
    ----------
    child : subprocess.Popen
    addresses : dict of str to tuple
        Host and port by the name of the listening port.
    """

    child: subprocess.Popen
    addresses: dict

    def is_alive(self):
        """Tell whether the process runs."""
        return self.child.poll() is None

    def _status_kb(self, key):
        text = pathlib.Path(f'/proc/{self.child.pid}/status').read_text()
        line = next(x for x in text.splitlines() if x.startswith(f'{key}:'))
        return int(line.split()[1])

    def peak_mb(self):
        """Return the most memory that was resident so far (MB)."""
        return self._status_kb('VmHWM') / 1024

    def open_fds(self):
        """Return the number of open descriptors."""
        return len(os.listdir(f'/proc/{self.child.pid}/fd'))

    def kill(self):
        """End the process."""
        self.child.kill()
        self.child.wait()
        if self.child.stdout is not None:
            self.child.stdout.close()


def spawn(args, log_path, max_fds, output=None, **options):
    """Start a process whose soft limit of descriptors is `max_fds`.

    Its output goes to a file unless `output` is set.
    """

    def lower_limit():
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, hard))

    with open(log_path, 'wb') as log:
        return subprocess.Popen(
            [sys.executable, *args],
            cwd=ROOT,
            stdout=log if output is None else output,
            stderr=log,
            preexec_fn=lower_limit,
            **options,
        )


def start_program(role, folder, store_port, memory_mb, max_fds):
    """Start ``platform/run.py ROLE`` with these limits in its settings."""
    ip = f'{NETWORK}.5'
    path = folder / f'{role}.toml'
    path.write_text(
        _SETTINGS.format(
            role=role,
            ip=ip,
            store=store_port,
            memory_mb=memory_mb,
            max_fds=max_fds,
        )
    )
    # Without a bound of its own the kernel's limit of descriptors would hide
    # that the settings are not in force.
    child = spawn(
        ['platform/run.py', role],
        folder / f'{role}.log',
        max_fds * 4,
        env={**os.environ, 'AZUREPIER_BOOT': str(path)},
    )
    ports = {'front': 17301, 'ready': 17302, 'control': 17303}
    ports |= {'metrics': 9464, 'inner': 17320}
    addresses = {name: (ip, port) for name, port in ports.items()}
    return Process(child, addresses)


def start_daemon(role, folder, max_fds):
    """Start ``azurepierd ROLE`` with a lowered limit of descriptors."""
    log = folder / f'azurepierd-{role}.log'
    log.unlink(missing_ok=True)
    values = {'name': 'x', 'domain': 'd', 'log': str(log)}
    values |= _DAEMON_SETTINGS[role]
    path = folder / f'azurepierd-{role}.toml'
    path.write_text(
        ''.join(f'{key} = {json.dumps(v)}\n' for key, v in values.items())
    )
    command = pathlib.Path(sys.executable).parent / 'azurepierd'
    child = spawn(
        [command, role, path], folder / f'azurepierd-{role}.out', max_fds
    )
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        lines = log.read_text().splitlines() if log.exists() else []
        for line in map(json.loads, lines):
            if line['event'] == 'started':
                names = {'web': 'web_listen', 'inner': 'listen'}
                names |= {'endpoint_web': 'listen_web'}
                addresses = {
                    name: wire.split_address(line[key])
                    for name, key in names.items()
                    if key in line
                }
                return Process(child, addresses)
        time.sleep(_POLL_INTERVAL_S)
    child.kill()
    raise AssertionError(f'azurepierd {role} did not start')


@attrs.define(eq=False)
class _Offer:
    sock: socket.socket
    pending: memoryview
    left: int


@attrs.define
class Unread:
    """Bytes that the kernel keeps for a listening port until they are read.

    They count towards the memory of a machine, but not of the process.

    Parameters
    ----------
    address : tuple
        Host and port.

    Attributes
    ----------
    peak_bytes : int
    """

    address: tuple
    peak_bytes: int = 0

    def sample(self):
        """Add up the connections of the port (see proc(5))."""
        host = socket.inet_aton(self.address[0])[::-1].hex().upper()
        local = f'{host}:{self.address[1]:04X}'
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
            fields = line.split()
            if fields[1] == local and fields[3] == _ESTABLISHED:
                total += int(fields[4].partition(':')[2], 16)
        self.peak_bytes = max(self.peak_bytes, total)


def connect(address):
    """Return a connected socket, None if the process refuses it.

    Its receive buffer is small, so that few unread answers fill it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.settimeout(ANSWER_TIMEOUT_S)
    try:
        sock.connect(address)
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    return sock


def offer(
    process, address, count, start, repeated, size, bound_mb, unread=None
):
    """Send `start` and then `repeated` on each of `count` connections.

    Nothing is read. The sockets are returned and remain open.

    Parameters
    ----------
    process : Process
    address : tuple
    count : int
        Number of connections.
    start, repeated : bytes
        The number of the connection replaces ``#####`` in `start`.
    size : int
        Bytes to offer on each connection in all.
    bound_mb : float
        The offer ends early when the process has taken twice this memory.
    unread : Unread, optional
        Is sampled during the offer.
    """
    socks = [sock for sock in (connect(address) for _ in range(count)) if sock]
    selector = selectors.DefaultSelector()
    block = memoryview(repeated * max(MB // max(len(repeated), 1), 1))
    for index, sock in enumerate(socks):
        # The process tells peers apart by what they send first.
        first = start.replace(b'#####', b'%05d' % index)
        offered = _Offer(sock, memoryview(first), size - len(first))
        selector.register(sock, selectors.EVENT_WRITE, offered)
    taken_at = time.monotonic()
    while selector.get_map() and time.monotonic() - taken_at < STALL_S:
        if not process.is_alive() or process.peak_mb() > 2 * bound_mb:
            break
        if unread is not None:
            unread.sample()
        for key, _ in selector.select(0.1):
            if _send(key.data, block):
                taken_at = time.monotonic()
            else:
                selector.unregister(key.fileobj)
    selector.close()
    return socks


def _send(offered, block):
    """Send what the process takes; return whether the offer goes on."""
    if not offered.pending:
        if offered.left <= 0 or not block:
            return False
        offered.pending = block[: offered.left]
        offered.left -= len(offered.pending)
    try:
        sent = offered.sock.send(offered.pending)
    except BlockingIOError:
        return True
    except OSError:
        return False
    offered.pending = offered.pending[sent:]
    return bool(offered.pending) or offered.left > 0


def settle(process):
    """Wait until the memory of a process doesn't grow any more."""
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    grown_at, peak_mb = time.monotonic(), 0.0
    while process.is_alive() and time.monotonic() < deadline:
        if process.peak_mb() > peak_mb:
            grown_at, peak_mb = time.monotonic(), process.peak_mb()
        elif time.monotonic() - grown_at > 2 * STALL_S:
            return
        time.sleep(_POLL_INTERVAL_S)


def ask(address, request):
    """Return the first bytes of the answer to a request.

    Connections may be refused for a while, with 503 and Retry-After or by
    being closed, as long as one is accepted in the end.

    Raises
    ------
    AssertionError
        If there is no answer within `ANSWER_TIMEOUT_S`.
    """
    deadline = time.monotonic() + ANSWER_TIMEOUT_S
    while (remaining_s := deadline - time.monotonic()) > 0:
        try:
            with socket.create_connection(address, remaining_s) as sock:
                sock.settimeout(remaining_s)
                sock.sendall(request)
                answer = sock.recv(4096)
                if answer and not _is_refusal(answer):
                    return answer
        except OSError:
            pass
        time.sleep(_POLL_INTERVAL_S)
    raise AssertionError(f'no answer of {address}')


def _is_refusal(answer):
    return (
        answer.startswith(b'HTTP/1.1 503') and b'\r\nretry-after: ' in answer
    )


def read_status(sock):
    """Read an answer from a socket; return its status."""
    response = http.client.HTTPResponse(sock)
    response.begin()
    response.read()
    return response.status
