"""Clients that exceed the limits, at each listening port of all programs.

Each test starts a process, or takes the one that passed the previous test,
lets a crowd of clients exceed a limit, and checks that the process lives, that
its resident memory with the bytes that it hasn't read, and its open
descriptors stayed under a bound, and that an ordinary request is answered
while the connections of the crowd are open. Nothing depends on the speed of
the machine.

The smallest machine of all deployments has 160 MB. The settings of
``platform/run.py`` give each process `MEMORY_MB` here, which is below that, so
that a small crowd shows the fault; ``azurepierd`` has no such setting and must
stay below the smallest machine by its defaults.
"""

import asyncio
import json
import threading

from adapter import _store
import attrs
import crowd
import fakes
import pytest

from azurepier.kernel import messages
from azurepier import wire
from standins import _server

MEMORY_MB = 96
MAX_FDS = 128
# Connections of a crowd that offers many bytes, and number of these.
WIDE = 8
OFFERED = 24 * crowd.MB
# A request whose answer isn't read takes many times the memory of its bytes.
OFFERED_REQUESTS = 4 * crowd.MB
# Connections whose unread bytes the kernel keeps.
FEW_DOZEN = 40
# Connections of a crowd that offers little on each.
MANY = 320
MAX_BODY_BYTES = 262_144
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h',
            'path_prefix': '/q/',
            'service': 'pool',
        }
    ],
}


@attrs.frozen
class Case:
    """What each connection of a crowd sends: `start`, then `repeated`."""

    start: bytes
    repeated: bytes = b''
    count: int = WIDE
    size: int = OFFERED


_HEAD = b'POST /q/a HTTP/1.1\r\nhost: h\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_LENGTH = b'content-length: %d\r\n\r\n'
_JOB = b'{"spec":"","best_effort":true,"steps":[{"count":1,"cpu":1}]}'
_POST = _HEAD + _LENGTH % len(_JOB) + _JOB
_UNENDED_BODY = _HEAD + _LENGTH % MAX_BODY_BYTES
_MANY_HEADERS = b''.join(b'x-%04d: 1\r\n' % i for i in range(1000))

HTTP_CASES = {
    'header_without_end': Case(_HEAD + b'x-a: ', b'a'),
    'header_name_without_end': Case(_HEAD, b'a'),
    'many_headers': Case(_HEAD, _MANY_HEADERS),
    'request_line_without_end': Case(b'GET /', b'a'),
    'empty_lines_before_a_request': Case(b'', b'\r\n'),
    'empty_lines_on_many_connections': Case(
        b'', b'\r\n', FEW_DOZEN, OFFERED // 3
    ),
    'trailer_without_end': Case(
        _CHUNKED + b'1\r\n1\r\n0\r\nx-a: ', b'a', size=OFFERED
    ),
    'many_trailers': Case(_CHUNKED + b'1\r\n1\r\n0\r\n', _MANY_HEADERS),
    'pipelined_get': Case(
        b'',
        b'GET /q/ HTTP/1.1\r\nhost: h\r\n\r\n',
        size=OFFERED_REQUESTS,
    ),
    'pipelined_get_without_headers': Case(
        b'', b'GET / HTTP/1.1\r\n\r\n', size=OFFERED_REQUESTS
    ),
    'pipelined_metrics': Case(
        b'', b'GET /metrics HTTP/1.1\r\n\r\n', size=OFFERED_REQUESTS
    ),
    'pipelined_http_1_0': Case(
        b'',
        b'GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n',
        size=OFFERED_REQUESTS,
    ),
    'pipelined_http_1_0_without_headers': Case(
        b'', b'GET / HTTP/1.0\r\n\r\n', size=OFFERED_REQUESTS
    ),
    'pipelined_post': Case(b'', _POST, size=OFFERED_REQUESTS),
    'body_without_end': Case(_HEAD + _LENGTH % 2**40, b'a'),
    'chunked_body_without_end': Case(
        _CHUNKED, b'400\r\n%b\r\n' % (b'a' * 1024)
    ),
    'chunk_without_end': Case(_CHUNKED + b'fffffffffff\r\n', b'a'),
    'chunk_extension_without_end': Case(_CHUNKED + b'1;', b'a'),
    'chunk_extensions': Case(_CHUNKED, b'1;%b\r\na\r\n' % (b'a' * 4096)),
    'bodies_on_many_connections': Case(
        _UNENDED_BODY, b'a', MANY, MAX_BODY_BYTES
    ),
    'headers_on_many_connections': Case(_HEAD, b'x: 1\r\n', MANY, 12_000),
    'headers_sent_slowly': Case(_HEAD + b'x-a: ', count=MANY, size=0),
    'idle_connections': Case(b'', count=MANY, size=0),
}


def _hello_frame(number):
    return wire.encode(
        messages.Hello(
            protocol=1,
            role='entry',
            name=f'e{number}',
            incarnation=f'e{number}-1',
            session=1,
            domain='a',
            address='127.0.0.1:9',
            web_address='',
            config_version=0,
        )
    )


_FRAME_HEADER = (4 * crowd.MB).to_bytes(4, 'big')
INNER_CASES = {
    'idle_connections': Case(b'', count=MANY, size=0),
    'frame_before_the_handshake': Case(_FRAME_HEADER, b'a'),
    'frames_without_end': Case(
        _hello_frame('#####') + _FRAME_HEADER, b'a', 60, 4 * crowd.MB
    ),
}

_GET = b'GET %b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
_REPORT = json.dumps(fakes.FakeWorker().report(1)).encode()
_HEARTBEAT = (
    b'POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nhost: h\r\n'
    + _LENGTH % len(_REPORT)
    + _REPORT
)
# Program, port, ordinary request and start of its answer.
PORTS = {
    'entry-front': ('run entry', 'front', _GET % b'/q/', b'HTTP/1.1 200'),
    'entry-ready': ('run entry', 'ready', _GET % b'/ready', b'HTTP/1.1 '),
    'entry-metrics': (
        'run entry',
        'metrics',
        _GET % b'/metrics',
        b'HTTP/1.1 200',
    ),
    'endpoint-control': (
        'run endpoint',
        'control',
        _HEARTBEAT,
        b'HTTP/1.1 200',
    ),
    'endpoint-metrics': (
        'run endpoint',
        'metrics',
        _GET % b'/metrics',
        b'HTTP/1.1 200',
    ),
    'azurepierd-entry': (
        'azurepierd entry',
        'web',
        _GET % b'/healthz',
        b'HTTP/1.1 200',
    ),
    'azurepierd-endpoint': (
        'azurepierd endpoint',
        'endpoint_web',
        _GET % b'/healthz',
        b'HTTP/1.1 200',
    ),
}
INNER_PORTS = {
    'entry-inner': 'run entry',
    'azurepierd-inner': 'azurepierd entry',
}


class Programs:
    """Starts the programs; one that has failed a test is replaced."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        store = fakes.FakeStore()
        store.put(_store.CONFIG_KEY, json.dumps(CONFIG).encode())
        future = asyncio.run_coroutine_threadsafe(
            _server.start(store.handle), self._loop
        )
        self.store = future.result()

    async def _close_store(self):
        await self.store.close()
        # Answers to watches are still pending.
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def get(self, program):
        """Return the running process of a program."""
        if program not in self.running:
            # Different programs listen on the same address.
            for other in list(self.running):
                self.end(other)
            kind, role = program.split()
            if kind == 'run':
                process = crowd.start_program(
                    role, self.folder, self.store.port, MEMORY_MB, MAX_FDS
                )
            else:
                process = crowd.start_daemon(role, self.folder, MAX_FDS)
            self.running[program] = process
        return self.running[program]

    def end(self, program):
        """End the process of a program."""
        self.running.pop(program).kill()

    def close(self):
        """End all processes."""
        for program in list(self.running):
            self.end(program)
        asyncio.run_coroutine_threadsafe(
            self._close_store(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture(scope='module')
def programs(tmp_path_factory):
    """Yield the programs of all tests."""
    started = Programs(tmp_path_factory.mktemp('programs'))
    try:
        yield started
    finally:
        started.close()


def check(programs, program, port, case, request, expected):
    """Let a crowd meet a process, and check what must hold."""
    bound_mb = (
        MEMORY_MB if program.startswith('run') else crowd.SMALLEST_MACHINE_MB
    )
    process = programs.get(program)
    address = process.addresses[port]
    unread = crowd.Unread(address)
    socks = []
    try:
        # It has started once it has answered.
        assert crowd.ask(address, request).startswith(expected)
        socks = crowd.offer(
            process,
            address,
            case.count,
            case.start,
            case.repeated,
            case.size,
            bound_mb,
            unread,
        )
        fds = process.open_fds() if process.is_alive() else 0
        answer = crowd.ask(address, request) if fds else b''
        peak_mb = process.peak_mb() if process.is_alive() else 0
        assert process.is_alive()
        assert peak_mb + unread.peak_bytes / crowd.MB < bound_mb
        # The kernel's own limit counts too for azurepierd.
        assert fds < MAX_FDS
        assert answer.startswith(expected)
    except BaseException:
        programs.end(program)
        raise
    finally:
        for sock in socks:
            sock.close()


@pytest.mark.parametrize('case', HTTP_CASES)
@pytest.mark.parametrize('port', PORTS)
def test_http_port(programs, port, case):
    """Guards against clients that exhaust the memory or the descriptors."""
    check(programs, *PORTS[port][:2], HTTP_CASES[case], *PORTS[port][2:])


def check_inner_port(programs, port, case):
    """Let a crowd meet a port for other processes, and check what must hold.

    The answer to an ordinary peer begins with the header of the process's own
    first message.
    """
    hello = _hello_frame('probe')
    check(programs, INNER_PORTS[port], 'inner', case, hello, b'\0\0')


@pytest.mark.parametrize('case', INNER_CASES)
@pytest.mark.parametrize('port', INNER_PORTS)
def test_inner_port(programs, port, case):
    """Guards against connections of peers that exhaust the memory."""
    check_inner_port(programs, port, INNER_CASES[case])


@pytest.mark.parametrize('case', HTTP_CASES)
@pytest.mark.parametrize('port', INNER_PORTS)
def test_http_at_an_inner_port(programs, port, case):
    """Guards against HTTP clients at a port for other processes."""
    check_inner_port(programs, port, HTTP_CASES[case])
