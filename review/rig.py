"""A small deployment on loopback addresses, for the cases 11 and up.

The processes of azurepier are started with the commands of
deploy/system.toml. The store is the project's own fake, with leases that end.
The workers and the clients are written here, after the platform's pages.
"""

import asyncio
import functools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import fakes

from standins import _server

ROOT = pathlib.Path(__file__).parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT_PORT, READY_PORT, CONTROL_PORT, INNER_PORT = 8161, 8167, 8166, 7720
METRICS_PORT = 9464
# Bounds of a small deployment, as its settings give them.
CONTACT_S, CANCEL_S, GRACE_S, RETRANSMIT_S = 3.0, 3.0, 6.0, 1.3
MAX_HOLD_MS = 1000
HISTORY_S = 20.0
LOSS_SLACK_S = 0.2
HEARTBEAT_S = 0.5
# Time after which the platform starts a process again that has ended (s).
RESTART_S = 0.5
START_LIMIT_S = 20.0
HOST, PREFIX, POOL = 'jobs.example', '/queue/', 'pool'
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'queue',
            'hostname': HOST,
            'path_prefix': PREFIX,
            'service': POOL,
            'priority': 0,
            'max_attempts': 2,
            'stretch': 1.6,
            'target_latency_ms': 60,
        }
    ],
    'services': [{'name': POOL, 'rejects_overload': True}],
    'limits': {},
}
_SETTINGS = """
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = {serves}
ip = "{ip}"
zone = "zone-{zone}"
region = "region"
port_range = [7720, 7735]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform"]
orders = "invoke"
{worker}
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
{listen}
[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
retransmit_ms = 1300
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
"""


class CouldNotRunError(Exception):
    """The case could not be run."""


class Record:
    """Lines of what was sent, answered and run, with the time."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / 'record.txt'
        self.began_at = time.monotonic()
        self.path.write_text('')

    def now(self):
        """Return the time since the start of the case (s)."""
        return time.monotonic() - self.began_at

    def add(self, text):
        """Write a line."""
        with open(self.path, 'a') as file:
            file.write(f'{self.now():8.3f} {text}\n')


class Worker:
    """A worker after the platform's pages.

    `starts` has the time, task and run number of each start that was carried
    out. The spec of a task is its run time in milliseconds.
    """

    def __init__(self, name, zone, record, cpu=8000):
        self.name, self.zone, self.record, self.cpu = name, zone, record, cpu
        self.born = int(time.time() * 1000)
        self.fence = self.lease_ms = self.end_count = 0
        self.running, self.highest, self.ended, self.starts = {}, {}, [], []
        self.calls = 0
        self.state = 'ready'
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the worker's steady clock (ms)."""
        return int(time.monotonic() * 1000) + 50_000

    def report(self, sequence):
        """Return the body of a heartbeat."""
        return {
            'service': POOL,
            'address': '127.0.0.1:1',
            'zone': f'zone-{self.zone}',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 4096, 'gpu': 0},
            'labels': ['a', 'r1'],
            'clock_ms': self.clock_ms(),
            'sequence': sequence,
            'born': self.born,
        }

    def _reply(self, status=200, **fields):
        return _server.Reply({'clock_ms': self.clock_ms(), **fields}, status)

    async def handle(self, req):
        """Answer a call of the process on the worker's machine."""
        self.calls += 1
        body = req.json()
        expected = req.headers.get('expect-instance', self.name)
        if expected != self.name:
            return self._reply(421)
        self.end_lapsed()
        fence = body.get('fence_token', 0)
        if fence < self.fence:
            return self._reply(409, reason='fence')
        self.fence = fence
        return await _WORKER_CALLS[req.path](self, body)

    def _extend(self, body):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        deadline_ms = body.get('deadline_ms', 0)
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def end_lapsed(self):
        """End all runs once the lease is over."""
        if self.clock_ms() > self.lease_ms:
            for key in list(self.running):
                self._end(*key, 'lapsed')

    def _end(self, task, number, how):
        self.highest[task] = max(self.highest.get(task, 0), number)
        if self.running.pop((task, number), None) is None:
            return
        self.end_count += 1
        self.ended.append([self.end_count, task, number, how, ''])
        self.record.add(f'{self.name}: run {task} #{number} ended {how}')
        self.changed.set()
        self.changed = asyncio.Event()

    async def _start(self, body):
        task, number = body['task'], body['run_id']
        if (task, number) in self.running:
            return self._reply()
        if body['deadline_ms'] < self.clock_ms():
            return self._reply(409, reason='late')
        self._extend(body)
        if number <= self.highest.get(task, 0):
            return self._reply(409, reason='old')
        if len(self.running) >= self.cpu // 1000:
            return self._reply(409, reason='room')
        run_ms = int(body['spec'])
        self.running[task, number] = self.clock_ms(), run_ms
        self.starts.append((self.record.now(), task, number))
        self.record.add(f'{self.name}: run {task} #{number} started')
        asyncio.get_running_loop().call_later(
            run_ms / 1000, self._end, task, number, 'done'
        )
        return self._reply()

    async def _stop(self, body):
        self._end(body['task'], body['run_id'], 'stopped')
        task = body['task']
        self.highest[task] = max(self.highest.get(task, 0), body['run_id'])
        return self._reply()

    def _row(self, key):
        began_ms, run_ms = self.running[key]
        percent = min((self.clock_ms() - began_ms) * 100 // run_ms, 99)
        return [*key, '', percent, 1000]

    async def _hold(self, body):
        self._extend(body)
        acked = body.get('acked', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if body.get('wait_ms') and not self.ended:
            try:
                async with asyncio.timeout(body['wait_ms'] / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        return self._reply(
            born=self.born,
            running=[self._row(key) for key in self.running],
            ended=self.ended[:500],
        )


_WORKER_CALLS = {
    '/run-start': Worker._start,
    '/run-stop': Worker._stop,
    '/hold': Worker._hold,
}


class Machine:
    """A machine with its process, and its worker if it has one."""

    def __init__(self, role, zone, ip, number):
        self.role, self.zone, self.ip = role, zone, ip
        self.name = f'{role}-{zone}-{number}'
        self.worker = self.server = self.process = self.store_server = None
        # Whether the store rejects this machine's calls.
        self.is_rejected = False
        self.started_at = 0.0
        self.starts = 0
        # Ends of the process that the case has not caused.
        self.own_ends = 0
        self.is_kept = False


def _is_free(ip):
    ports = FRONT_PORT, READY_PORT, CONTROL_PORT, INNER_PORT, METRICS_PORT
    for port in ports:
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                return False
    return True


def _find_network(size):
    """Return the first three numbers of addresses whose ports are free."""
    for _ in range(50):
        network = f'127.{random.randint(60, 250)}.{random.randint(1, 250)}'
        if all(_is_free(f'{network}.{10 + each}') for each in range(size)):
            return network
    raise CouldNotRunError('no free loopback addresses')


async def request(ip, port, method, path, body=b'', timeout_s=30.0):
    """Send a request on a new channel; return the status and the body.

    Raises
    ------
    OSError
        If there is no complete answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = (
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            writer.write(head.encode() + body)
            await writer.drain()
            return await read_answer(reader)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionResetError('the channel has ended') from exc
        finally:
            writer.close()


async def read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').lower()
    length = 0
    for line in head.split('\r\n'):
        if line.startswith('content-length:'):
            length = int(line.partition(':')[2])
    body = await reader.readexactly(length)
    return int(head.split()[1]), body.decode()


class Deployment:
    """Entries and endpoint processes, with their store and workers."""

    def __init__(self, record, entries=3, endpoints=3):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        self.store = fakes.FakeStore()
        self.renewed_at = {}
        # Time and revision of the manifests in the history.
        self.written = []
        self.tasks = []
        network = _find_network(entries + endpoints)
        roles = ['entry'] * entries + ['endpoint'] * endpoints
        counts = {}
        self.machines = []
        for offset, role in enumerate(roles):
            count = counts[role] = counts.get(role, 0) + 1
            zone = 'abc'[(count - 1) % 3]
            ip = f'{network}.{10 + offset}'
            self.machines.append(Machine(role, zone, ip, count))
        with open(ROOT / 'deploy/system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        self.commands = {role: roles[role]['run'].split() for role in roles}

    @property
    def entries(self):
        """Machines with entries."""
        return [each for each in self.machines if each.role == 'entry']

    @property
    def endpoints(self):
        """Machines with a worker."""
        return [each for each in self.machines if each.role == 'endpoint']

    async def start(self):
        """Start everything, and wait until all machines are in touch."""
        self.put_config(CONFIG)
        for machine in self.machines:
            machine.store_server = await _server.start(
                functools.partial(self._handle_store, machine)
            )
        for machine in self.endpoints:
            machine.worker = Worker(
                f'w-{machine.name}', machine.zone, self.record
            )
            machine.server = await _server.start(machine.worker.handle)
            self._run(self._send_heartbeats(machine))
        self._run(self._end_leases())
        for machine in self.machines:
            self.start_process(machine)
        self._run(self._restart_processes())
        await self.until_ready()
        await self.until_in_touch()

    def _run(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    def put_config(self, config):
        """Write a manifest, as the operator."""
        self.store.put('op/config', json.dumps(config).encode())
        self.written.append((time.monotonic(), self.store.revision))
        self.record.add(
            f'operator: version {config["version"]} is acknowledged'
        )

    def _discard_history(self):
        """Discard the changes that are older than the store's history."""
        while self.written:
            at, revision = self.written[0]
            if time.monotonic() - at <= HISTORY_S:
                return
            self.written.pop(0)
            self.store.discarded_revision = revision

    async def _handle_store(self, machine, req):
        self._discard_history()
        if machine.is_rejected:
            return _server.Reply({}, 503)
        reply = await self.store.handle(req)
        if machine.is_rejected:
            return _server.Reply({}, 503)
        _, call, *rest = req.path.split('/')
        if reply is not None and reply.status == 200:
            if call == 'kv-lease':
                self.renewed_at[reply.value['lease_id']] = time.monotonic()
            elif call == 'kv-keep':
                self.renewed_at[int(rest[0])] = time.monotonic()
        return reply

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for machine in self.endpoints:
                machine.worker.end_lapsed()
            for lease, ttl_ms in list(self.store.leases.items()):
                if now - self.renewed_at[lease] > ttl_ms / 1000:
                    self.store.end_lease(lease)

    async def _send_heartbeats(self, machine):
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps(machine.worker.report(sequence)).encode()
            path = f'/Instances.Heartbeat/{machine.worker.name}'
            try:
                await request(
                    machine.ip, CONTROL_PORT, 'POST', path, body, 1.0
                )
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    def start_process(self, machine):
        """Start the process of a machine with the deploy file's command."""
        is_entry = machine.role == 'entry'
        listen = {'control': CONTROL_PORT}
        if is_entry:
            listen |= {'front': FRONT_PORT, 'ready': READY_PORT}
        worker = ''
        if not is_entry:
            worker = (
                f'app = "127.0.0.1:{machine.server.port}"\nservice = "{POOL}"'
            )
        text = _SETTINGS.format(
            name=machine.name,
            role=machine.role,
            machine_class='edge' if is_entry else 'side',
            serves=json.dumps(
                ['edge', 'control_plane'] if is_entry else ['side']
            ),
            ip=machine.ip,
            zone=machine.zone,
            seeds=json.dumps(
                [f'{each.ip}:{CONTROL_PORT}' for each in self.entries[:3]]
            ),
            worker=worker,
            listen='\n'.join(
                f'{name} = "{machine.ip}:{port}"'
                for name, port in listen.items()
            ),
            memory_mb=300 if is_entry else 168,
            max_fds=4100 if is_entry else 4096,
            store=machine.store_server.port,
        )
        folder = pathlib.Path(self.folder.name)
        settings = folder / f'{machine.name}.toml'
        settings.write_text(text)
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env |= {'AZUREPIER_BOOT': str(settings), 'PYTHONPATH': 'target/deps'}
        with open(folder / f'{machine.name}.log', 'ab') as log:
            machine.process = subprocess.Popen(
                self.commands[machine.role],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        machine.is_kept = True
        machine.starts += 1
        machine.started_at = self.record.now()
        self.record.add(f'{machine.name}: process started')

    async def _restart_processes(self):
        """Start the processes again that end by themselves."""
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines:
                if not machine.is_kept or machine.process.poll() is None:
                    continue
                machine.own_ends += 1
                machine.is_kept = False
                code = machine.process.returncode
                self.record.add(
                    f'{machine.name}: process ended by itself, {code}'
                )
                asyncio.get_running_loop().call_later(
                    RESTART_S, self.start_process, machine
                )

    def kill(self, machine):
        """Send SIGKILL to the process of a machine; it isn't restarted."""
        machine.is_kept = False
        machine.process.kill()
        machine.process.wait()
        self.record.add(f'{machine.name}: process killed')

    def terminate(self, machine):
        """Send SIGTERM to the process of a machine; it isn't restarted."""
        machine.is_kept = False
        machine.process.send_signal(signal.SIGTERM)
        self.record.add(f'{machine.name}: SIGTERM')

    async def until_ended(self, machine):
        """Wait until the process of a machine has ended."""
        limit = time.monotonic() + GRACE_S
        while machine.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.005)
        if machine.process.poll() is None:
            machine.process.kill()
            machine.process.wait()
        self.record.add(f'{machine.name}: process has ended')

    async def is_ready(self, machine):
        """Tell whether an entry is ready."""
        try:
            status, _ = await request(
                machine.ip, READY_PORT, 'GET', '/ready', timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return False
        return status == 200

    async def until_ready(self):
        """Wait until all entries are ready.

        Raises
        ------
        CouldNotRunError
        """
        limit = time.monotonic() + START_LIMIT_S
        for machine in self.entries:
            while not await self.is_ready(machine):
                if time.monotonic() > limit:
                    raise CouldNotRunError(f'{machine.name} is not ready')
                await asyncio.sleep(0.05)
        self.record.add('all entries are ready')

    async def until_in_touch(self):
        """Wait until all processes have run for the contact time."""
        since = max(each.started_at for each in self.machines)
        await asyncio.sleep(
            max(since + CONTACT_S + 1.0 - self.record.now(), 0)
        )
        self.record.add('all machines are in touch')

    async def call(self, machine, method, path, body=b'', timeout_s=40.0):
        """Send a client's request; return its status, None if it broke."""
        self.record.add(f'client: {method} {path} sent to {machine.name}')
        try:
            status, text = await request(
                machine.ip, FRONT_PORT, method, path, body, timeout_s
            )
        except (OSError, TimeoutError) as exc:
            self.record.add(
                f'client: {method} {path} at {machine.name} has no answer:'
                f' {exc!r}'
            )
            return None
        self.record.add(
            f'client: {method} {path} at {machine.name} answered'
            f' {status} {text}'
        )
        return status

    def starts(self, job_id):
        """Return the time, worker and task of each start of a job."""
        return sorted(
            (at, machine, task)
            for machine in self.endpoints
            for at, task, _ in machine.worker.starts
            if task.partition('.')[0] == job_id
        )

    async def close(self):
        """End all processes and stand-ins."""
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.is_kept = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        self.folder.cleanup()


def job_body(run_ms, count=1, cpu=1000):
    """Return the body of a submission."""
    step = {'count': count, 'cpu': cpu, 'mem_mb': 64, 'estimate_ms': run_ms}
    job = {'spec': str(run_ms), 'steps': [step], 'best_effort': True}
    return json.dumps(job).encode()


def has_trouble():
    """Tell whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(folder, play, **sizes):
    """Play a case and exit with its result.

    Parameters
    ----------
    folder : path-like
        The case's folder.
    play : callable
        ``await play(deployment)`` returns the breaches of the rule.
    **sizes
        Numbers of `entries` and `endpoints`.
    """
    record = Record(folder)

    async def main():
        deployment = Deployment(record, **sizes)
        try:
            async with asyncio.timeout(100):
                await deployment.start()
                return await play(deployment)
        finally:
            if 'KEEP_LOGS' in os.environ:
                os.system(
                    f'cp {deployment.folder.name}/*.log'
                    f' {os.environ["KEEP_LOGS"]}/'
                )
            await deployment.close()

    try:
        breaches = asyncio.run(main())
    except (CouldNotRunError, OSError, TimeoutError) as exc:
        record.add(f'could not run: {exc!r}')
        sys.exit(NOT_RUN)
    for text in breaches:
        record.add(f'BROKEN: {text}')
        print(text)
    if not breaches:
        record.add('the rule held')
    sys.exit(BROKEN if breaches else HELD)
