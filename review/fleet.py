"""Small deployment of the real programs, with stand-ins around them.

A case starts entries and endpoint processes with the commands of the deploy
file, on loopback addresses of its own. The store is the project's own fake;
the worker, the callers and the links between the processes are here. They
follow the users' protocol page.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import attrs
import fakes

from azurepier.wire import _codec
from standins import _server

ROOT = pathlib.Path(__file__).parents[1]
INNER_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 17720, 17761, 17767, 17766
HOST = 'jobs.example'
ENTRIES_PREFIX = 'azurepier/entries/'
POOL = 'archebu'
DOMAINS = ('cwm-tawe', 'cwm-nedd', 'bro-gwyr')
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
START_LIMIT_S = 20.0
# Class numbers of the messages that carry addresses of entries.
_HELLO, _ENTRIES_KNOWN = 1, 28

SETTINGS = '''
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "{domain}"
region = "cymru-de"
port_range = [17720, 17735]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
orders = "invoke"
{worker}
[listen]
front = "{ip}:17761"
ready = "{ip}:17767"
control = "{ip}:17766"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recovery_s = 12
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
lease_ms = 3000
retransmit_ms = 1300
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
'''


class Record:
    """What was sent, answered and run, with times since the start (s)."""

    def __init__(self, path):
        self.path = path
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        """Return the time since the start (s)."""
        return time.monotonic() - self.started_at

    def add(self, *words):
        """Add a line."""
        text = ' '.join(map(str, words))
        self.lines.append(f'{self.now():9.3f} {text}')

    def write(self):
        """Write all lines to the file."""
        self.path.write_text('\n'.join(self.lines) + '\n')


@attrs.frozen
class Start:
    """Start of a run that a worker has carried out."""

    at: float
    worker: str
    task: str
    number: int


@attrs.define(eq=False)
class _Run:
    task: str
    number: int
    cpu: int
    work_ms: float
    done_ms: float = 0.0
    updated_ms: float = 0.0
    timer: object = None


@attrs.define(eq=False)
class Worker:
    """Worker that guards its capacity; a spec is ``{"ms": run time}``.

    Attributes
    ----------
    slowdown : float
        Divisor of its speed; infinite if its tasks stand still.
    """

    name: str
    record: Record
    domain: str
    kind: str = 'a'
    cpu: int = 64000
    mem_mb: int = 262144
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    state: str = 'ready'
    remaining_ms: int = 0
    slowdown: float = 1.0
    sequence: int = 0
    fence: int = 0
    lease_ms: float = 0.0
    highest: dict = attrs.field(factory=dict)
    runs: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    end_count: int = 0
    starts: list = attrs.field(factory=list)
    started_at: float = attrs.field(factory=time.monotonic)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def clock_ms(self):
        """Return the worker's clock (ms)."""
        return (time.monotonic() - self.started_at) * 1000 + 5000

    def report(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        remaining = {}
        if self.state == 'draining':
            remaining['remaining_ms'] = self.remaining_ms
        return {
            **remaining,
            'service': POOL,
            'address': '127.0.0.1:1',
            'zone': self.domain,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': self.mem_mb, 'gpu': 0},
            'labels': [self.kind, 'r1-1'],
            'clock_ms': round(self.clock_ms()),
            'born': self.born,
            'sequence': self.sequence,
        }

    async def handle(self, req):
        """Answer a request of the endpoint process."""
        body = req.json()
        if body['fence_token'] < self.fence:
            return self._reply({'reason': 'fence'}, 409)
        if req.path == '/run-start':
            expected = req.headers.get('expect-instance', self.name)
            if expected != self.name:
                return self._reply({}, 421)
        self.fence = body['fence_token']
        return await _WORKER_CALLS[req.path](self, body)

    def _reply(self, fields, status=200):
        value = {'clock_ms': round(self.clock_ms()), 'born': self.born}
        return fakes.Reply({**value, **fields}, status)

    def _extend_lease(self, deadline_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    async def _start(self, body):
        task, number = body['task'], body['run_id']
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return self._reply({})
        if body['deadline_ms'] < self.clock_ms():
            return self._reply({'reason': 'late'}, 409)
        self._extend_lease(body['deadline_ms'])
        if number <= self.highest.get(task, 0):
            return self._reply({'reason': 'old'}, 409)
        spec = json.loads(body['spec'])
        used = sum(each.cpu for each in self.runs.values())
        if used + spec['cpu'] > self.cpu:
            return self._reply({'reason': 'room'}, 409)
        self.highest[task] = number
        run = _Run(task, number, spec['cpu'], spec['ms'])
        run.updated_ms = self.clock_ms()
        self.runs[task] = run
        self.starts.append(Start(self.record.now(), self.name, task, number))
        self.record.add('run', self.name, 'starts', task, number)
        self._schedule(run)
        return self._reply({})

    def _schedule(self, run):
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        if self.slowdown < float('inf'):
            left_s = (run.work_ms - run.done_ms) * self.slowdown / 1000
            run.timer = asyncio.get_running_loop().call_later(
                max(left_s, 0.0), self._end, run, 'done'
            )

    def _update(self, run):
        now = self.clock_ms()
        run.done_ms += (now - run.updated_ms) / self.slowdown
        run.updated_ms = now

    def set_slowdown(self, factor):
        """Set the slowdown, which affects the current runs too."""
        for run in self.runs.values():
            self._update(run)
        self.slowdown = factor
        for run in self.runs.values():
            self._schedule(run)

    def _end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.runs[run.task]
        self.record.add('run', self.name, 'ends', run.task, run.number, how)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ''])
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lapsed(self):
        """End all runs if the lease has ended."""
        if self.runs and self.clock_ms() > self.lease_ms:
            for run in list(self.runs.values()):
                self._end(run, 'lapsed')

    def lose_runs(self):
        """End all runs without a trace, since the worker has ended."""
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.record.add('run', self.name, 'loses', run.task, run.number)
        self.runs.clear()

    async def _stop(self, body):
        task, number = body['task'], body['run_id']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number:
            self._end(run, 'stopped')
        return self._reply({})

    async def _hold(self, body):
        if body.get('deadline_ms') is not None:
            self._extend_lease(body['deadline_ms'])
        acked = body.get('acked', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if body.get('wait_ms') and not self.ended:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), body['wait_ms'] / 1000
                )
        for run in self.runs.values():
            self._update(run)
        running = [
            [
                run.task,
                run.number,
                '',
                min(int(100 * run.done_ms / run.work_ms), 99),
                run.cpu,
            ]
            for run in self.runs.values()
        ]
        return self._reply({'running': running, 'ended': self.ended[:500]})


_WORKER_CALLS = {
    '/run-start': Worker._start,
    '/run-stop': Worker._stop,
    '/hold': Worker._hold,
}


@attrs.define(eq=False)
class Machine:
    """A machine with its process, and the stand-ins beside it.

    `ip` is the address on which the process listens, `outer_ip` the one under
    which the others reach an entry through a link.
    """

    role: str
    name: str
    ip: str
    outer_ip: str
    domain: str
    worker: Worker | None = None
    process: object = None
    store_server: object = None
    worker_server: object = None
    links: object = None


@attrs.define(eq=False)
class Fleet:
    """A deployment of entries and endpoint processes.

    Attributes
    ----------
    isolated : set of str
        Names of the machines that are cut off from all others of the system.
        Callers and the store still reach them, and the worker beside one.
    """

    record: Record
    folder: pathlib.Path
    machines: list
    store: object = attrs.field(factory=fakes.FakeStore)
    isolated: set = attrs.field(factory=set)
    healed: asyncio.Event = attrs.field(factory=asyncio.Event)
    tasks: list = attrs.field(factory=list)

    def machine(self, name):
        """Return the machine with this name."""
        return next(each for each in self.machines if each.name == name)

    @property
    def entries(self):
        """Machines that run entries."""
        return [each for each in self.machines if each.role == 'entry']

    @property
    def workers(self):
        """The workers of all machines."""
        return [each.worker for each in self.machines if each.worker]

    def starts(self):
        """Return the starts on all workers, in the order of their times."""
        starts = [each for worker in self.workers for each in worker.starts]
        return sorted(starts, key=lambda each: each.at)

    def isolate(self, *names):
        """Cut these machines off from all others of the system."""
        self.isolated = set(names)
        self.record.add('cut off:', *names)

    def heal(self):
        """End the cut."""
        self.isolated = set()
        self.healed.set()
        self.healed = asyncio.Event()
        self.record.add('cut healed')

    async def until_open(self, one, other):
        """Wait until two machines can reach each other."""
        while one in self.isolated or other in self.isolated:
            await self.healed.wait()


def _free_network():
    """Return the first two numbers of loopback addresses that are free."""
    pid = os.getpid()
    return f'127.{30 + pid % 90}.{pid // 90 % 125 * 2}'


def make_fleet(folder, kinds=('a', 'a', 'a'), entries=3):
    """Return a fleet, with a worker of each of these kinds.

    Parameters
    ----------
    folder : pathlib.Path
        `record.txt` is written there.
    kinds : sequence of str
    entries : int
    """
    record = Record(folder / 'record.txt')
    inner = _free_network()
    first, second, third = inner.split('.')
    outer = f'{first}.{second}.{int(third) + 1}'
    machines = []
    for index in range(entries):
        domain = DOMAINS[index % len(DOMAINS)]
        machines.append(
            Machine(
                'entry',
                f'edge-{domain}-{index + 1}',
                f'{inner}.{10 + index}',
                f'{outer}.{10 + index}',
                domain,
            )
        )
    for index, kind in enumerate(kinds):
        domain = DOMAINS[index % len(DOMAINS)]
        worker = Worker(f'i-{index + 1:08x}', record, domain, kind)
        ip = f'{inner}.{100 + index}'
        machines.append(
            Machine('endpoint', f'side-{domain}-{index + 1}', ip, ip, domain)
        )
        machines[-1].worker = worker
    return Fleet(record, pathlib.Path(tempfile.mkdtemp()), machines)


def _replace_entries(fleet, msg, recipient):
    """Replace the addresses of entries in a message by those of the links."""
    outer = {
        f'{each.ip}:{INNER_PORT}': f'{each.outer_ip}:{INNER_PORT}'
        for each in fleet.entries
    }
    if recipient.role == 'entry':
        own = f'{recipient.ip}:{INNER_PORT}'
        outer[outer[own]] = own
    for item in getattr(msg, 'entries', None) or [msg]:
        item.address = outer.get(item.address, item.address)


async def _read_frame(reader):
    header = await reader.readexactly(_codec.HEADER_BYTES)
    return header, await reader.readexactly(_codec.frame_length(header))


async def _forward(fleet, reader, writer, ends, sender, recipient):
    """Pass on the messages of one direction of a connection.

    `ends` has the machines by side; that of the dialler is known from its
    first message.
    """
    try:
        while True:
            header, payload = await _read_frame(reader)
            data = header + payload
            if payload[0] in (_HELLO, _ENTRIES_KNOWN):
                msg = _codec.decode_payload(payload)
                if payload[0] == _HELLO and sender == 'dialer':
                    ends[sender].set_result(fleet.machine(msg.name))
                to = await asyncio.shield(ends[recipient])
                _replace_entries(fleet, msg, to)
                data = _codec.encode(msg)
            await _until_open(fleet, ends)
            writer.write(data)
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        await _until_open(fleet, ends)
        # A reset drops what the other side has not read.
        writer.transport.abort()


async def _until_open(fleet, ends):
    names = [(await asyncio.shield(end)).name for end in ends.values()]
    await fleet.until_open(*names)


async def _open_links(fleet, machine):
    """Listen at the outer address of an entry."""

    async def on_connection(reader, writer):
        try:
            inner = await asyncio.open_connection(machine.ip, INNER_PORT)
        except OSError:
            writer.transport.abort()
            return
        loop = asyncio.get_running_loop()
        ends = {'dialer': loop.create_future(), 'listener': None}
        ends['listener'] = loop.create_future()
        ends['listener'].set_result(machine)
        tasks = [
            _forward(fleet, reader, inner[1], ends, 'dialer', 'listener'),
            _forward(fleet, inner[0], writer, ends, 'listener', 'dialer'),
        ]
        fleet.tasks += [asyncio.create_task(each) for each in tasks]

    return await asyncio.start_server(
        on_connection, machine.outer_ip, INNER_PORT
    )


def _replace_text(text, old, new):
    value = base64.b64decode(text).decode()
    address, _, rest = value.partition(' ')
    if address == f'{old}:{INNER_PORT}':
        value = f'{new}:{INNER_PORT} {rest}'
    return base64.b64encode(value.encode()).decode()


def _store_handler(fleet, machine):
    """Return the store as one machine reaches it.

    What an entry registers is its address behind the link.
    """

    async def handle(req):
        if req.path == '/kv-txn':
            body = req.json()
            for write in body['writes']:
                write['value'] = _replace_text(
                    write['value'], machine.ip, machine.outer_ip
                )
            req.body = json.dumps(body).encode()
        reply = await fleet.store.handle(req)
        if reply is None or not isinstance(reply.value, dict):
            return reply
        value = dict(reply.value)
        for key in ('items', 'events'):
            rows = value.get(key)
            if rows:
                value[key] = [_shown_to(machine, row) for row in rows]
        return fakes.Reply(value, reply.status)

    return handle


def _shown_to(machine, row):
    if 'value' not in row or not row['key'].startswith(ENTRIES_PREFIX):
        return row
    value = _replace_text(row['value'], machine.outer_ip, machine.ip)
    return {**row, 'value': value}


def config(version, **fields):
    """Return the operator's configuration with one queue."""
    route = {
        'name': 'r-1',
        'hostname': HOST,
        'path_prefix': '/jobs/',
        'kind': 'unsafe',
        'timeout_ms': 1500,
        'target_latency_ms': 60,
        'priority': 0,
        'service': POOL,
        'max_attempts': 3,
        'stretch': 1.6,
        **fields,
    }
    service = {
        'name': POOL,
        'health_path': '/health',
        'max_conns': 64,
        'protocol': 'h1',
        'tls': False,
        'rejects_overload': True,
        'standby': False,
    }
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 262144,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    return {
        'version': version,
        'routes': [route],
        'services': [service],
        'limits': limits,
    }


async def start(fleet):
    """Start everything, and wait until all entries and workers serve."""
    fleet.store.put('op/config', json.dumps(config(7)).encode())
    for machine in fleet.machines:
        machine.store_server = await _server.start(
            _store_handler(fleet, machine)
        )
        if machine.role == 'entry':
            machine.links = await _open_links(fleet, machine)
        if machine.worker is not None:
            machine.worker_server = await _server.start(machine.worker.handle)
            fleet.tasks.append(asyncio.create_task(_heartbeats(machine)))
    fleet.tasks.append(asyncio.create_task(_end_lapsed(fleet)))
    for machine in fleet.machines:
        start_process(fleet, machine)
    await _until_serving(fleet)


def start_process(fleet, machine):
    """Start the process of a machine with the command of the deploy file."""
    worker = ''
    if machine.worker_server is not None:
        worker = (
            f'app = "127.0.0.1:{machine.worker_server.port}"\n'
            f'service = "{POOL}"'
        )
    is_entry = machine.role == 'entry'
    seeds = [f'{each.outer_ip}:{CONTROL_PORT}' for each in fleet.entries]
    text = SETTINGS.format(
        name=machine.name,
        role=machine.role,
        machine_class='edge' if is_entry else 'side',
        serves=json.dumps(['edge', 'control_plane'] if is_entry else ['side']),
        ip=machine.ip,
        domain=machine.domain,
        seeds=json.dumps(seeds),
        worker=worker,
        store=machine.store_server.port,
    )
    path = fleet.folder / f'{machine.name}.toml'
    path.write_text(text)
    env = {
        'PATH': os.environ['PATH'],
        'HOME': os.environ.get('HOME', '/'),
        'AZUREPIER_BOOT': str(path),
        'PYTHONPATH': 'target/deps',
        'PYTHONDONTWRITEBYTECODE': '1',
    }
    with open(fleet.folder / f'{machine.name}.log', 'ab') as log:
        machine.process = subprocess.Popen(
            ['python3', '-S', 'platform/run.py', machine.role],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )


def log_events(fleet, machine):
    """Return the events that the processes of a machine have logged."""
    events = []
    path = fleet.folder / f'{machine.name}.log'
    for line in path.read_text(errors='replace').splitlines():
        with contextlib.suppress(ValueError):
            events.append(json.loads(line))
    return events


async def _until_serving(fleet):
    endpoints = {m.name for m in fleet.machines if m.role == 'endpoint'}
    limit = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit:
        missing = set()
        for machine in fleet.entries:
            with contextlib.suppress(OSError, ValueError, TimeoutError):
                status, _ = await request(
                    machine.ip, READY_PORT, 'GET', '/ready', limit_s=1.0
                )
                connected = {
                    each.get('endpoint', each.get('entry'))
                    for each in log_events(fleet, machine)
                    if each.get('event')
                    in ('endpoint_connected', 'entry_connected')
                }
                others = {m.name for m in fleet.entries} - {machine.name}
                if status == 200 and connected >= endpoints | others:
                    continue
            missing.add(machine.name)
        if not missing and all(each.sequence > 1 for each in fleet.workers):
            fleet.record.add('all processes serve')
            return
        await asyncio.sleep(0.1)
    raise CaseError(f'not serving after {START_LIMIT_S} s: {missing}')


class CaseError(Exception):
    """The case could not run."""


async def _heartbeats(machine):
    while True:
        body = json.dumps(machine.worker.report()).encode()
        path = '/Instances.Heartbeat/' + machine.worker.name
        status = 0
        with contextlib.suppress(OSError, ValueError, TimeoutError):
            status, _ = await request(
                machine.ip, CONTROL_PORT, 'POST', path, body, limit_s=1.0
            )
        await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)


async def _end_lapsed(fleet):
    while True:
        await asyncio.sleep(0.01)
        for worker in fleet.workers:
            worker.end_lapsed()


async def request(ip, port, method, path, body=b'', limit_s=60.0):
    """Send a request on a new channel; return the status and the body.

    Raises
    ------
    OSError, ValueError, TimeoutError
        If there is no complete answer.
    """
    async with asyncio.timeout(limit_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode() + body)
            await writer.drain()
            return await _read_response(reader)
        finally:
            writer.close()


async def _read_response(reader):
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as exc:
        raise ConnectionResetError('the channel ended') from exc
    lines = head.decode('latin-1').split('\r\n')
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name.lower() == 'content-length':
            length = int(value)
    try:
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionResetError('the answer is incomplete') from exc
    return int(lines[0].split()[1]), body


def job(ms, count, cpu=6200, **fields):
    """Return the body of a best-effort job of equal tasks."""
    step = {'count': count, 'cpu': cpu, 'mem_mb': 64, 'estimate_ms': ms}
    spec = json.dumps({'ms': ms, 'cpu': cpu})
    body = {'spec': spec, 'steps': [{**step, **fields}], 'best_effort': True}
    return json.dumps(body).encode()


def new_job_id():
    """Return a random job id."""
    return os.urandom(8).hex()


async def submit(fleet, machine, job_id, body, limit_s=60.0):
    """Submit a job to an entry; return the status, None without an answer."""
    record = fleet.record
    record.add('client', 'POST', job_id, 'to', machine.name)
    try:
        status, answer = await request(
            machine.ip, FRONT_PORT, 'POST', f'/jobs/{job_id}', body, limit_s
        )
    except (OSError, ValueError, TimeoutError) as exc:
        record.add('client', job_id, 'no answer:', type(exc).__name__)
        return None, b''
    record.add('client', job_id, 'answered', status, answer.decode())
    return status, answer


async def cancel(fleet, machine, job_id):
    """Cancel a job at an entry; return the status."""
    fleet.record.add('client', 'DELETE', job_id, 'to', machine.name)
    status, _ = await request(
        machine.ip, FRONT_PORT, 'DELETE', f'/jobs/{job_id}', limit_s=10.0
    )
    fleet.record.add('client', 'DELETE', job_id, 'answered', status)
    return status


async def close(fleet):
    """End all processes and stand-ins."""
    for task in fleet.tasks:
        task.cancel()
    for machine in fleet.machines:
        process = machine.process
        if process is not None and process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for server in (machine.store_server, machine.worker_server):
            if server is not None:
                await server.close()
        if machine.links is not None:
            machine.links.close()


def run(play, folder, **options):
    """Run a case and exit with 0, 1 or 2.

    Parameters
    ----------
    play : callable
        ``await play(fleet, trouble)`` returns the reasons why the rule was
        broken, an empty list if it held.
    folder : pathlib.Path
    **options
        Those of `make_fleet`.
    """
    trouble = os.environ.get('TROUBLE') != '0'

    async def main():
        fleet = make_fleet(folder, **options)
        # The processes are ended, too, if the script itself is.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        try:
            async with asyncio.timeout(115):
                await start(fleet)
                broken = await play(fleet, trouble)
            for reason in broken:
                fleet.record.add('BROKEN', reason)
            fleet.record.add('rule broken' if broken else 'rule held')
            return 1 if broken else 0
        except Exception as exc:
            # Only a broken rule may end with 1.
            fleet.record.add('could not run:', repr(exc))
            return 2
        except asyncio.CancelledError:
            fleet.record.add('could not run: stopped')
            return 2
        finally:
            fleet.record.write()
            await close(fleet)
            fleet.record.write()
            print('\n'.join(fleet.record.lines[-6:]))
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copytree(fleet.folder, keep, dirs_exist_ok=True)
            shutil.rmtree(fleet.folder, ignore_errors=True)

    try:
        code = asyncio.run(main())
    except Exception as exc:
        print('could not run:', repr(exc))
        code = 2
    sys.exit(code)
