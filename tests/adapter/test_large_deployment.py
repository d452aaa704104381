"""Memory of an entry beside all processes of the largest deployment.

The entry has the memory and the descriptors of the smallest machine. All other
entries and all endpoint processes are connected to it, more than in any
deployment, and are played by the test; the configuration is as long as the
store allows. Crowds of clients then use all that the limits give them.
"""

import asyncio
import contextlib
import itertools
import json
import threading

import attrs
import crowd
import limited_fleet
import pytest

from azurepier.kernel import messages
from azurepier import wire

ENTRIES = 34
ENDPOINTS = 160
MACHINE = {'memory_mb': crowd.SMALLEST_MACHINE_MB, 'max_fds': 3075}
ROUTES = 4500
BEAT_INTERVAL_S = 0.4
CONNECT_TIMEOUT_S = 60.0
SPEC_BYTES = 4000
# Connections of each crowd; together more than there are places.
JOBS = 700
AHEAD = 400
BODIES = 200
PEERS = 40
REQUESTS = 100
_GET = b'GET /q/ HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n'


def make_config():
    """Return a configuration of about 1 MB."""
    route = limited_fleet.CONFIG['routes'][0]
    added = [
        route
        | {
            'name': f'added-{number}',
            'hostname': f'host-{number}.example',
            'path_prefix': f'/added/{number:040d}/',
        }
        for number in range(ROUTES)
    ]
    return limited_fleet.CONFIG | {'routes': [route, *added]}


def make_hello(role, number):
    """Return the first message of an entry or an endpoint process."""
    is_entry = role == 'entry'
    return messages.Hello(
        protocol=1,
        role=role,
        name=f'{role}-{number}',
        incarnation=f'{role}-{number}-1',
        session=1,
        domain=f'd{number % 5}',
        address=f'127.0.0.1:{10_000 + number}' if is_entry else '',
        web_address='',
        config_version=7 if is_entry else -1,
        worker=None if is_entry else f'w{number}',
        slots=None if is_entry else 1,
        kinds=None if is_entry else [],
        largest_size=None if is_entry else 1,
        config_parts=is_entry,
        relays_cancels=True,
    )


def pool_state(seen):
    """Return the report of an endpoint process that has room."""
    return messages.PoolState(
        pool='pool',
        labels=['a', 'rack-1'],
        cpu=64_000,
        mem_mb=262_144,
        gpu=0,
        free_cpu=32_000,
        free_mem_mb=131_072,
        free_gpu=0,
        accepting=True,
        seen=seen,
        speed=1.0,
        failures=0,
        wanted=1.0,
        entries=ENTRIES,
    )


@attrs.define(eq=False)
class Deployment:
    """The processes that are connected to the entry.

    Attributes
    ----------
    seen : dict of Connection to int
        Highest number of an order, by connection of an endpoint process.
    addresses : set of str
        Addresses of the connections on this side.
    """

    address: str
    peers: list = attrs.field(factory=list)
    seen: dict = attrs.field(factory=dict)
    addresses: set = attrs.field(factory=set)
    _loop: object = attrs.field(factory=asyncio.new_event_loop)
    _thread: threading.Thread = None

    def start(self):
        """Connect all processes."""
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._run(self._connect_all())
        asyncio.run_coroutine_threadsafe(self._send_beats(), self._loop)

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(
            CONNECT_TIMEOUT_S
        )

    async def _connect_all(self):
        numbers = [('entry', number) for number in range(ENTRIES)]
        numbers += [('endpoint', number) for number in range(ENDPOINTS)]
        for role, number in numbers:
            hooks = wire.Hooks(
                make_hello=lambda role=role, number=number: make_hello(
                    role, number
                ),
                get_keys=tuple,
                on_connected=getattr(self, f'_on_{role}_connected'),
                on_message=self._on_message,
                on_disconnected=lambda conn, reason: None,
                on_connect_failed=lambda peer, reason: None,
            )
            await wire.dial(self.address, hooks)
        while len(self.peers) + len(self.seen) < len(numbers):
            await asyncio.sleep(0.05)
        for conn in itertools.chain(self.peers, self.seen):
            host, port = conn._transport.get_extra_info('sockname')
            self.addresses.add(f'{host}:{port}')

    def _on_entry_connected(self, conn, hello):
        self.peers.append(conn)

    def _on_endpoint_connected(self, conn, hello):
        self.seen[conn] = 0
        conn.send(
            messages.RunsKnown(
                running=[], ends=[], state=pool_state(0), session=1
            )
        )

    def _on_message(self, conn, msg):
        if isinstance(msg, messages.RunOrders):
            self.seen[conn] = max(order.seq for order in msg.orders)

    async def _send_beats(self):
        while True:
            for conn in self.peers:
                conn.send(messages.Beat(config_version=7, demand=1.0))
            for conn, seen in self.seen.items():
                conn.send(pool_state(seen))
            await asyncio.sleep(BEAT_INTERVAL_S)

    def count_open(self):
        """Return the number of connections that are established."""
        conns = itertools.chain(self.peers, self.seen)
        return sum(conn.is_connected for conn in conns)

    async def _end(self):
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        for conn in itertools.chain(self.peers, self.seen):
            conn.abort()

    def close(self):
        """Close all connections."""
        self._run(self._end())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


@pytest.fixture
def fleet(tmp_path):
    """Yield the entry, with its own endpoint process and stand-ins."""
    fleet = limited_fleet.Fleet(
        tmp_path,
        MACHINE,
        4 * MACHINE['max_fds'],
        {'cpu': 64_000, 'mem_mb': 262_144, 'gpu': 0},
        config=make_config(),
    )
    fleet.start()
    try:
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def deployment(fleet):
    """Yield all other processes of the deployment."""
    front = fleet.entry.addresses['front']
    # The entry has the configuration.
    assert crowd.ask(front, _GET).startswith(b'HTTP/1.1 200')
    host, port = fleet.entry.addresses['inner']
    deployment = Deployment(f'{host}:{port}')
    deployment.start()
    try:
        yield deployment
    finally:
        deployment.close()


def _failed_addresses(fleet):
    """Return the peers whose connections the entry ended for a limit."""
    lines = (fleet.folder / 'entry.log').read_text().splitlines()
    return {
        line.get('address')
        for line in map(json.loads, lines)
        if line['event'] == 'connection_failed'
    }


class TestMemoryOfAnEntry:
    def _offer(self, fleet, port, count, start, repeated=b'', size=0):
        return crowd.offer(
            fleet.entry,
            fleet.entry.addresses[port],
            count,
            start,
            repeated,
            size,
            MACHINE['memory_mb'],
        )

    @contextlib.contextmanager
    def _crowds(self, fleet):
        """Let crowds use all that they may, and change the configuration."""
        spec = 'a' * SPEC_BYTES
        job = limited_fleet.post(
            'job-#####', spec, count=32, cpu=1000, estimate_ms=20_000
        )
        ahead = limited_fleet.post('ahead-#####', spec, cpu=1000)
        head = b'POST /q/body HTTP/1.1\r\nhost: h\r\ncontent-length: 262144'
        hello = make_hello('entry', 0)
        hello.name, hello.incarnation = 'reads-nothing-#####', 'x#####'
        request = messages.ConfigRequest(have=-1, version=7, offset=0)
        unread = wire.encode(hello) + REQUESTS * wire.encode(request)
        socks = self._offer(fleet, 'front', JOBS, job)
        socks += self._offer(fleet, 'front', AHEAD, ahead, _GET, 100_000)
        socks += self._offer(
            fleet, 'front', BODIES, head + b'\r\n\r\n', b'a', 262_000
        )
        socks += self._offer(fleet, 'inner', PEERS, unread)
        try:
            crowd.settle(fleet.entry)
            fleet.change_config(version=8)
            crowd.settle(fleet.entry)
            yield
        finally:
            for sock in socks:
                sock.close()

    def test_crowds_use_all_that_they_may(self, fleet, deployment):
        """Guards against limits that leave too little for the process."""
        front = fleet.entry.addresses['front']
        with self._crowds(fleet):
            answer = crowd.ask(front, _GET)
            assert answer.startswith(b'HTTP/1.1 200')
            assert fleet.entry.is_alive()
            assert fleet.entry.peak_mb() < MACHINE['memory_mb']
            assert fleet.entry.open_fds() < MACHINE['max_fds']
            assert not deployment.addresses & _failed_addresses(fleet)

    def test_other_processes_stay_connected(self, fleet, deployment):
        """Guards against clients that keep an entry from its links."""
        with self._crowds(fleet):
            assert deployment.count_open() == ENTRIES + ENDPOINTS
