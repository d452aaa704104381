"""Crowds of clients that the cases of single connections don't reach.

Each test starts an entry and an endpoint process whose settings lower the
limits, and checks that both live, that their resident memory and their open
descriptors stay under the bounds of the settings, and that an ordinary request
is answered afterwards. Nothing depends on the speed of the machine.
"""

import socket
import struct
import subprocess
import time

import crowd
import limited_fleet
import pytest

from azurepier.kernel import messages
from azurepier import wire

MAX_FDS = 128
# Memory of the machines in the settings, and bound of resident memory (MB).
MEMORY_MB = 72
CAPACITY = {'cpu': 64_000, 'mem_mb': 262_144, 'gpu': 0}
_GET = b'GET /q/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'
_OK = b'HTTP/1.1 200'
# A cancel that isn't confirmed is answered with 503.
_DELETE_STATUSES = (200, 410, 503)
_LINGER_RESET = struct.pack('ii', 1, 0)


@pytest.fixture
def start_fleet(tmp_path):
    """Yield a function that starts the processes of a test."""
    fleets = []

    def start(**options):
        options = {
            'limits': {'memory_mb': MEMORY_MB},
            'max_fds': 4 * MAX_FDS,
            'capacity': CAPACITY,
            **options,
        }
        fleet = limited_fleet.Fleet(tmp_path, **options)
        fleets.append(fleet)
        fleet.start()
        front = fleet.entry.addresses['front']
        assert crowd.ask(front, _GET).startswith(_OK)
        # The worker is known once a job has run.
        ask_for_job(front, 'before')
        return fleet

    yield start
    for fleet in fleets:
        fleet.close()


def ask_for_job(front, job_id):
    """Submit an ordinary job until it has run.

    Raises
    ------
    AssertionError
        If it hasn't run within `crowd.ANSWER_TIMEOUT_S`.
    """
    request = limited_fleet.post(job_id, '1', cpu=1000, estimate_ms=1)
    assert crowd.ask(front, request).startswith(_OK)


def check_processes(fleet, bound_mb=MEMORY_MB):
    """Check that both processes live and are below the bounds."""
    for process in (fleet.entry, fleet.endpoint):
        assert process.is_alive()
        assert process.peak_mb() < bound_mb
        assert process.open_fds() < fleet.max_fds


class TestRefusedConnections:
    """More callers than there are places, each with an ordinary job."""

    CALLERS = 200
    # Fewer answers than the descriptors leave callers without a place.
    REFUSED_MIN = CALLERS - MAX_FDS

    @staticmethod
    def _submit_jobs(front, count):
        callers = {}
        for number in range(count):
            job_id = f'crowd{number}'
            sock = socket.create_connection(front, crowd.ANSWER_TIMEOUT_S)
            sock.sendall(
                limited_fleet.post(job_id, cpu=8000, estimate_ms=20_000)
            )
            callers[job_id] = sock
        return callers

    @staticmethod
    def _read_answers(callers, count):
        """Return the answers that have come, at least `count` of them."""
        answers = {}
        deadline = time.monotonic() + crowd.ANSWER_TIMEOUT_S
        while len(answers) < count and time.monotonic() < deadline:
            for job_id, sock in callers.items():
                if job_id in answers:
                    continue
                sock.setblocking(False)
                try:
                    answers[job_id] = sock.recv(4096)
                except BlockingIOError:
                    continue
                except OSError as exc:
                    answers[job_id] = repr(exc).encode()
            time.sleep(0.05)
        return answers

    @pytest.mark.parametrize(
        'limits', [{}, {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}]
    )
    def test_each_caller_is_told_that_its_job_has_not_run(
        self, start_fleet, limits
    ):
        """Guards against callers that are cut off without an answer."""
        fleet = start_fleet(limits=limits, max_fds=MAX_FDS)
        front = fleet.entry.addresses['front']
        callers = self._submit_jobs(front, self.CALLERS)
        answers = self._read_answers(callers, self.REFUSED_MIN)
        assert len(answers) >= self.REFUSED_MIN
        for answer in answers.values():
            assert answer.startswith(b'HTTP/1.1 503')
            assert b'\r\nretry-after: ' in answer
        # One connection; `crowd.ask` would try again.
        with socket.create_connection(front, crowd.ANSWER_TIMEOUT_S) as sock:
            sock.sendall(_GET)
            assert sock.recv(4096).startswith(_OK)
        check_processes(fleet, crowd.SMALLEST_MACHINE_MB)
        started = {task.partition('.')[0] for task in fleet.worker.started}
        assert not started & answers.keys()
        for sock in callers.values():
            sock.close()
        ask_for_job(front, 'after')


class TestRefusedAgain:
    """A caller that submits its job again while there is no place."""

    def test_job_that_may_have_run(self, start_fleet):
        """Guards against 'not run' for a job that was started."""
        fleet = start_fleet(
            limits={'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS},
            max_fds=MAX_FDS,
        )
        front = fleet.entry.addresses['front']
        request = limited_fleet.post('again', cpu=1000, estimate_ms=20_000)
        with socket.create_connection(front, crowd.ANSWER_TIMEOUT_S) as sock:
            sock.sendall(request)
            deadline = time.monotonic() + crowd.ANSWER_TIMEOUT_S
            while 'again.0.0.0' not in fleet.worker.started:
                assert time.monotonic() < deadline
                time.sleep(0.02)
        job = limited_fleet.post('crowd-#####', cpu=1000, estimate_ms=20_000)
        socks = crowd.offer(
            fleet.entry, front, MAX_FDS, job, b'', 0, MEMORY_MB
        )
        crowd.settle(fleet.entry)
        statuses = {}
        for job_id in ('again', 'other'):
            request = limited_fleet.post(job_id, cpu=1000)
            with socket.create_connection(front) as sock:
                sock.settimeout(crowd.ANSWER_TIMEOUT_S)
                sock.sendall(request)
                statuses[job_id] = crowd.read_status(sock)
        assert statuses == {'again': 502, 'other': 503}
        check_processes(fleet)
        for sock in socks:
            sock.close()


class TestCallersThatLeave:
    """Callers that submit a job and reset their connection."""

    GROUPS = 60
    GROUP = 90
    HELD_S = 0.05

    def test_small_tasks(self, start_fleet):
        """Guards against calls to the worker that pile up."""
        fleet = start_fleet()
        front = fleet.entry.addresses['front']
        for group in range(self.GROUPS):
            socks = []
            for number in range(self.GROUP):
                sock = socket.create_connection(front, crowd.ANSWER_TIMEOUT_S)
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
                job_id = f'left{group}-{number}'
                request = limited_fleet.post(job_id, count=8, cpu=100)
                try:
                    sock.sendall(request)
                except OSError:
                    pass
                socks.append(sock)
            time.sleep(self.HELD_S)
            for sock in socks:
                sock.close()
        ask_for_job(front, 'after')
        check_processes(fleet)


class TestManyTasks:
    """Few bytes that stand for many tasks."""

    JOBS = 40
    COUNT = 10_000

    @pytest.mark.parametrize('cpu', [0, 8000])
    def test_jobs_with_the_most_tasks(self, start_fleet, cpu):
        """Guards against memory that the bytes of a request don't show."""
        fleet = start_fleet()
        front = fleet.entry.addresses['front']
        request = limited_fleet.post('#####', count=self.COUNT, cpu=cpu)
        socks = crowd.offer(
            fleet.entry, front, self.JOBS, request, b'', 0, MEMORY_MB
        )
        # An answer shows that the requests before it were read.
        assert crowd.ask(front, _GET)
        for sock in socks:
            sock.close()
        ask_for_job(front, 'after')
        check_processes(fleet)


class TestUnreadMessages:
    """Connections between processes whose peer reads nothing."""

    PEERS = 30
    CONFIG_BYTES = 1_000_000
    REQUESTS = 200

    def test_configuration_is_asked_for(self, start_fleet):
        """Guards against unsent messages that no limit of memory covers."""
        fleet = start_fleet(
            config=limited_fleet.CONFIG | {'notes': 'a' * self.CONFIG_BYTES}
        )
        hello = messages.Hello(
            protocol=1,
            role='entry',
            name='e#####',
            incarnation='e#####-1',
            session=1,
            domain='a',
            address='127.0.0.1:9',
            web_address='',
            config_version=-1,
            config_parts=True,
        )
        request = messages.ConfigRequest(have=-1, version=7, offset=0)
        socks = crowd.offer(
            fleet.entry,
            fleet.entry.addresses['inner'],
            self.PEERS,
            wire.encode(hello) + self.REQUESTS * wire.encode(request),
            b'',
            0,
            MEMORY_MB,
        )
        ask_for_job(fleet.entry.addresses['front'], 'after')
        check_processes(fleet)
        for sock in socks:
            sock.close()


class TestUnreadLog:
    """A log that nobody reads while clients make the process write."""

    REQUESTS = 3000
    PATH = b'/' + b'"' * 12_000

    def test_long_paths(self, start_fleet):
        """Guards against log lines that are counted and not measured."""
        fleet = start_fleet(entry_output=subprocess.PIPE)
        front = fleet.entry.addresses['front']
        request = b'GET %b HTTP/1.1\r\nhost: h\r\n\r\n' % self.PATH
        with socket.create_connection(front, crowd.ANSWER_TIMEOUT_S) as sock:
            for _ in range(self.REQUESTS):
                sock.sendall(request)
                assert crowd.read_status(sock) == 404
        ask_for_job(front, 'after')
        check_processes(fleet)


class TestLongLists:
    """A worker that lists more runs than any process starts there."""

    ROWS = 80_000
    MEMORY_MB = 96

    def test_running_runs(self, start_fleet):
        """Guards against rows that take many times their bytes."""
        fleet = start_fleet(limits={'memory_mb': self.MEMORY_MB})
        rows = [
            [f'{number:016x}.0.0.0', 1, '', 50, 0]
            for number in range(self.ROWS)
        ]
        fleet.worker.hold_reply = (
            200,
            {
                'clock_ms': fleet.worker.clock_ms(),
                'born': fleet.worker.born,
                'running': rows,
                'ended': [],
            },
        )
        crowd.settle(fleet.endpoint)
        fleet.worker.hold_reply = None
        ask_for_job(fleet.entry.addresses['front'], 'after')
        check_processes(fleet, self.MEMORY_MB)


class TestManyIds:
    """Ids of jobs, each of which a process remembers for a while."""

    CONNECTIONS = 8
    REQUESTS = 2500

    def test_canceled_jobs(self, start_fleet):
        """Guards against records of ids that no number limits."""
        fleet = start_fleet()
        front = fleet.entry.addresses['front']
        socks = [
            socket.create_connection(front, crowd.ANSWER_TIMEOUT_S)
            for _ in range(self.CONNECTIONS)
        ]
        for number in range(self.REQUESTS):
            for index, sock in enumerate(socks):
                sock.sendall(
                    b'DELETE /q/%064d HTTP/1.1\r\nhost: h\r\n\r\n'
                    % (number * self.CONNECTIONS + index)
                )
            for sock in socks:
                assert crowd.read_status(sock) in _DELETE_STATUSES
        for sock in socks:
            sock.close()
        ask_for_job(front, 'after')
        check_processes(fleet)
