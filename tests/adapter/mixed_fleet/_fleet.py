"""Machines of a fleet, each with its process, and the fakes beside them."""

import asyncio
import contextlib
import json
import pathlib
import signal
import time

import attrs
import fakes

from azurepier.daemon import _http
from mixed_fleet import _builds
from mixed_fleet import _record
from mixed_fleet import _worker
from standins import _server

DOMAINS = ('a', 'b', 'c')
GRACE_S = 6
# Limit of a start, from the process until it is connected to all others (s).
# Entries read the addresses of others from the store every 5 s.
START_LIMIT_S = 12.0
FRONT_PORT, READY_PORT, CONTROL_PORT = 17301, 17302, 17303
LEASE_CHECK_S = 0.02
HEARTBEAT_S = 0.2
ENTRIES_PREFIX = 'azurepier/entries/'
_MAX_ANSWER_BYTES = 1_000_000
_SETTINGS_TEMPLATE = '''
node_name = "{name}"
ip = "{ip}"
zone = "{domain}"
port_range = [17320, 17330]
seeds = {seeds}
service = "pool"
{worker}
[listen]
front = "{ip}:17301"
ready = "{ip}:17302"
control = "{ip}:17303"
[bounds]
grace_s = 6
[platform]
address = "127.0.0.1:{store}"
'''


@attrs.define(eq=False)
class Machine:
    """A machine that runs one process at a time.

    Attributes
    ----------
    build : Build or None
        That of its process.
    store_cut : bool
        Whether the store refuses this machine's requests.
    lives : list of (str, pathlib.Path)
        Name of the build and log of each of its processes.
    in_rotation : bool
        Whether callers are sent to it (entries).
    stopped_by, stopped_at : str, float
        Last signal that ended its process, and when it was sent (s).
    """

    role: str
    name: str
    ip: str
    domain: str
    worker: _worker.LeasedWorker | None = None
    build: _builds.Build | None = None
    process: object = None
    store_server: object = None
    worker_server: object = None
    store_cut: bool = False
    lives: list = attrs.field(factory=list)
    in_rotation: bool = False
    stopped_by: str = ''
    stopped_at: float = float('-inf')


@attrs.define(eq=False)
class Fleet:
    """Entries, and endpoint processes with a worker each.

    Entries have seeds. Endpoint processes have none, so that they find the
    entries only by what these have registered in the store.
    """

    folder: pathlib.Path
    record: _record.Record
    builds: dict
    store: fakes.FakeStore = attrs.field(factory=fakes.FakeStore)
    machines: list = attrs.field(factory=list)
    renewed_at: dict = attrs.field(factory=dict)
    pools: dict = attrs.field(factory=dict)
    tasks: list = attrs.field(factory=list)

    @property
    def entries(self):
        """Machines that run entries."""
        return [m for m in self.machines if m.role == 'entry']

    @property
    def endpoints(self):
        """Machines that run endpoint processes."""
        return [m for m in self.machines if m.role == 'endpoint']


def make_fleet(folder, record, builds, sizes=(3, 3)):
    """Return a fleet whose addresses belong to this process alone.

    `sizes` has the numbers of entries and of endpoint processes.
    """
    fleet = Fleet(folder, record, builds)
    prefix = fakes.loopback_network()
    roles = zip(('entry', 'endpoint'), (10, 100), sizes)
    for role, offset, size in roles:
        for number in range(size):
            domain = DOMAINS[number % len(DOMAINS)]
            name = f'{domain}{number // len(DOMAINS) or ""}'
            machine = Machine(
                role, f'{role}-{name}', f'{prefix}.{offset + number}', domain
            )
            if role == 'endpoint':
                machine.worker = _worker.LeasedWorker(
                    name=f'worker-{name}', record=record
                )
            fleet.machines.append(machine)
    return fleet


async def start_fakes(fleet):
    """Start the store, the workers and what acts on its own."""
    for machine in fleet.machines:
        machine.store_server = await _server.start(
            _store_handler(fleet, machine)
        )
        if machine.worker is not None:
            machine.worker_server = await _server.start(machine.worker.handle)
            fleet.tasks.append(_send_heartbeats(fleet, machine))
    fleet.tasks += [_end_leases(fleet), _check_readiness(fleet)]
    fleet.tasks = [asyncio.create_task(each) for each in fleet.tasks]


def _store_handler(fleet, machine):
    """Return the store as one machine reaches it."""

    async def handle(req):
        if machine.store_cut:
            return fakes.Reply({}, 503)
        reply = await fleet.store.handle(req)
        if machine.store_cut:
            return fakes.Reply({}, 503)
        _, operation, *rest = req.path.split('/')
        if reply.status == 200 and operation == 'kv-lease':
            fleet.renewed_at[reply.value['lease_id']] = time.monotonic()
        if reply.status == 200 and operation == 'kv-keep':
            fleet.renewed_at[int(rest[0])] = time.monotonic()
        return reply

    return handle


async def _end_leases(fleet):
    """End the leases of the workers and of the store."""
    while True:
        await asyncio.sleep(LEASE_CHECK_S)
        for machine in fleet.endpoints:
            machine.worker.end_lapsed()
        now = time.monotonic()
        for lease, ttl_ms in list(fleet.store.leases.items()):
            if now - fleet.renewed_at[lease] > ttl_ms / 1000:
                fleet.store.end_lease(lease)


async def _send_heartbeats(fleet, machine):
    sequence = 0
    while True:
        sequence += 1
        body = json.dumps(machine.worker.report(sequence)).encode()
        path = '/Instances.Heartbeat/' + machine.worker.name
        with contextlib.suppress(_http.NotSentError, _http.ResponseError):
            await call(fleet, machine, CONTROL_PORT, 'POST', path, body)
        await asyncio.sleep(HEARTBEAT_S)


async def _check_readiness(fleet):
    """Take entries out of rotation after two checks that they fail."""
    misses = dict.fromkeys((m.name for m in fleet.entries), 0)
    while True:
        for machine in fleet.entries:
            ready = await is_ready(fleet, machine)
            misses[machine.name] = 0 if ready else misses[machine.name] + 1
            machine.in_rotation = misses[machine.name] < 2
        await asyncio.sleep(0.2)


async def is_ready(fleet, machine):
    """Tell whether an entry reports that it is ready."""
    try:
        async with asyncio.timeout(1.0):
            status, _ = await call(fleet, machine, READY_PORT, 'GET', '/ready')
    except (TimeoutError, _http.NotSentError, _http.ResponseError):
        return False
    return status == 200


async def call(fleet, machine, port, method, path, body=b''):
    """Send a request to a process; return the status and the body.

    Raises
    ------
    NotSentError
    ResponseError
    """
    key = machine.ip, port
    if key not in fleet.pools:
        fleet.pools[key] = _http.Pool(*key, _MAX_ANSWER_BYTES)
    return await fleet.pools[key].call(method, path, body, {'Host': 'h'})


def start_process(fleet, machine, build):
    """Start the process of a machine."""
    seeds = []
    if machine.role == 'entry':
        seeds = [f'{m.ip}:1' for m in fleet.entries if m is not machine]
    worker = ''
    if machine.worker_server is not None:
        worker = f'app = "127.0.0.1:{machine.worker_server.port}"'
    settings = fleet.folder / f'{machine.name}.toml'
    settings.write_text(
        _SETTINGS_TEMPLATE.format(
            name=machine.name,
            ip=machine.ip,
            domain=machine.domain,
            seeds=json.dumps(seeds),
            worker=worker,
            store=machine.store_server.port,
        )
    )
    life = len(machine.lives) + 1
    log = fleet.folder / f'{machine.name}-{life}-{build.name}.log'
    with open(log, 'wb') as file:
        machine.process = _builds.launch(build, machine.role, settings, file)
    machine.build = build
    machine.lives.append((build.name, log))


async def stop_process(fleet, machine, signal_number):
    """End the process of a machine by a signal."""
    process = machine.process
    machine.stopped_by = signal.Signals(signal_number).name
    machine.stopped_at = time.monotonic()
    process.send_signal(signal_number)
    limit = time.monotonic() + GRACE_S
    while process.poll() is None and time.monotonic() < limit:
        await asyncio.sleep(0.01)
    if process.poll() is None:
        process.kill()
        killed_at = time.monotonic()
        while process.poll() is None:
            await asyncio.sleep(0.01)
        # A long time is the machine's: no process can put off SIGKILL.
        exit_s = time.monotonic() - killed_at
        _violate_process(
            fleet,
            machine,
            f'ran after the grace period and ended {exit_s:.2f} s after'
            ' SIGKILL',
        )
    elif signal_number == signal.SIGTERM and process.returncode:
        _violate_process(fleet, machine, f'ended with {process.returncode}')


def _violate_process(fleet, machine, detail):
    text = f'{machine.name} ({machine.build.name}) {detail}'
    _record.violate(fleet.record, 'process', text)


async def replace(fleet, machine, build, signal_number):
    """Replace the process of a machine by one of a build."""
    await stop_process(fleet, machine, signal_number)
    start_process(fleet, machine, build)
    await until_connected(fleet, machine)


async def until_connected(fleet, machine):
    """Wait until a started process serves and knows all others."""
    limit = time.monotonic() + START_LIMIT_S
    missing = {'log'}
    while missing and time.monotonic() < limit:
        if machine.process.poll() is not None:
            break
        await asyncio.sleep(0.05)
        missing = _missing(fleet, machine)
        if machine.role == 'entry' and not await is_ready(fleet, machine):
            missing.add('readiness')
    if missing:
        _violate_process(fleet, machine, f'lacks {sorted(missing)}')


def _missing(fleet, machine):
    """Return the processes to which a process has not yet connected."""
    wanted = {m.name for m in fleet.entries}
    if machine.role == 'entry':
        wanted |= {m.name for m in fleet.endpoints}
    lines = read_log(machine.lives[-1][1])
    connected = {
        line.get('entry', line.get('endpoint'))
        for line in lines
        if line.get('event') in ('entry_connected', 'endpoint_connected')
    }
    missing = wanted - connected - {machine.name}
    if machine.role == 'entry' and not _is_registered(fleet, machine, lines):
        missing.add('registration')
    return missing


def _is_registered(fleet, machine, lines):
    """Tell whether this run of an entry has written its address."""
    prefix = f'{ENTRIES_PREFIX}{machine.name}/'
    return any(
        prefix + line['incarnation'] in fleet.store.items
        for line in lines
        if line.get('event') == 'started'
    )


def read_log(path):
    """Return the lines of a log; any that is not JSON as `{'text': ...}`."""
    lines = []
    for text in path.read_text(errors='replace').split('\n')[:-1]:
        try:
            line = json.loads(text)
        except ValueError:
            line = {'text': text}
        lines.append(line if isinstance(line, dict) else {'text': text})
    return lines


async def close(fleet):
    """Kill the processes that still run and stop the fakes."""
    for task in fleet.tasks:
        task.cancel()
    for machine in fleet.machines:
        if machine.process is not None and machine.process.poll() is None:
            machine.process.kill()
            machine.process.wait()
        for server in (machine.store_server, machine.worker_server):
            if server is not None:
                await server.close()
    for pool in fleet.pools.values():
        pool.close()
