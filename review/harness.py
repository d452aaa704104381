"""Stand-ins for the platform, its workers and its callers, and a judge.

The stand-ins follow the users' pages on the store, the workers and the
callers. The programs under test run as separate processes with the commands
of the deploy file, on loopback addresses and the real clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
FRONT, READY, CONTROL, INNER = 8161, 8167, 8166, 7720
HOST, PREFIX, SERVICE = 'nony24.example', '/lohu930/', 'huvo11a'
ZONES = ('cwm-tawe', 'cwm-nedd', 'bro-gwyr')
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 1000
CANCEL_S = 3.0
STOP_S = 0.04
RESEND_S = 1.3
_BOUNDS = """seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
back_ms = 250
max_stretch_ms = 5000
evacuate_ms = 5000
recovery_s = 12
max_hold_ms = 1000
stop_timeout_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
fencing = true
lease_ms = 3000
retransmit_ms = 1300"""


class CouldNotRun(Exception):
    """The case could not be carried out."""


class Record:
    """What callers, workers and the platform have seen, with its time (s)."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []
        self.runs = []

    def now(self):
        """Return the time since the record began (s)."""
        return time.monotonic() - self.began

    def note(self, text):
        """Add a line."""
        self.lines.append(f'{self.now():9.4f}  {text}')

    def write(self, folder, verdict):
        """Write the record beside the case."""
        self.note(verdict)
        text = '\n'.join(self.lines) + '\n'
        (folder / 'record.txt').write_text(text)
        print(verdict)


class Run:
    """A run that a worker has begun; its times are those of the record (s)."""

    def __init__(self, worker, task, number, cpu, began, label=''):
        self.worker = worker
        self.task = task
        self.number = number
        self.cpu = cpu
        self.began = began
        self.label = label
        self.ended = None
        self.how = ''
        self.ms = 0
        self.stopping = False
        self.timer = None


async def _read_message(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length') or 0)
    body = await reader.readexactly(size) if size else b''
    return first, headers, body


async def serve(handle, ip, port=0, channels=None):
    """Serve HTTP/1.1; `handle` returns status and body, or None to reset.

    Open channels are added to the set `channels`.
    """
    channels = set() if channels is None else channels

    async def on_connection(reader, writer):
        channels.add(writer.transport)
        with contextlib.suppress(OSError, EOFError):
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(' ')
                path, _, query = target.partition('?')
                reply = await handle(method, path, query, headers, body)
                if reply is None:
                    writer.transport.abort()
                    return
                status, value = reply
                data = json.dumps(value).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\ncontent-type: application/json'
                    f'\r\ncontent-length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        channels.discard(writer.transport)
        with contextlib.suppress(RuntimeError):
            writer.close()

    server = await asyncio.start_server(on_connection, ip, port)
    return server, server.sockets[0].getsockname()[1]


async def call(ip, port, method, path, body=None, timeout_s=40.0):
    """Send one request on a new connection; return status and body.

    Raises OSError, EOFError or TimeoutError if there is no whole answer.
    """
    data = b'' if body is None else json.dumps(body).encode()
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(
                f'{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n'
                'content-type: application/json\r\n'
                f'content-length: {len(data)}\r\n\r\n'.encode()
                + data
            )
            first, _, answer = await _read_message(reader)
        finally:
            writer.transport.abort()
    value = json.loads(answer) if answer else None
    return int(first.split(' ')[1]), value


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rev = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write a key."""
        self.rev += 1
        old = self.items.get(key, {'created_rev': self.rev})
        self.items[key] = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'rev': self.rev,
            'created_rev': old['created_rev'],
            'lease_id': lease,
        }
        self._notify(self.items[key])

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._notify({'key': key, 'rev': self.rev, 'removed': True})

    def _notify(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _end_lapsed(self):
        now = time.monotonic()
        for lease, (ttl_ms, renewed_at) in list(self.leases.items()):
            if now - renewed_at > ttl_ms / 1000:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease_id'] == lease:
                self.remove(key)

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        self._end_lapsed()
        args = dict(urllib.parse.parse_qsl(query))
        name, _, rest = path[1:].partition('/')
        raw = json.loads(body) if body else {}
        if name == 'kv-key':
            item = self.items.get(args['key'])
            if item is None:
                return 404, {'at_rev': self.rev}
            return 200, {**item, 'at_rev': self.rev}
        if name == 'kv-range':
            keys = [
                key
                for key in sorted(self.items)
                if key.startswith(args['path_prefix'])
                and key > args.get('after', '')
            ]
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'at_rev': self.rev,
            }
        if name == 'kv-watch':
            return await self._watch(args)
        if name == 'kv-txn':
            return self._commit(raw)
        if name == 'kv-lease':
            lease = 100 + self.rev * 1000 + len(self.leases)
            self.leases[lease] = (raw['ttl_ms'], time.monotonic())
            return 200, {'lease_id': lease, 'ttl_ms': raw['ttl_ms']}
        lease = int(rest)
        if lease not in self.leases:
            return 404, {}
        if name == 'kv-keep':
            ttl_ms, _ = self.leases[lease]
            self.leases[lease] = (ttl_ms, time.monotonic())
            return 200, {'ttl_ms': ttl_ms}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, args):
        after, prefix = int(args['after']), args['path_prefix']
        until = time.monotonic() + int(args['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.history
                if event['rev'] > after and event['key'].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at_rev': self.rev}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)

    def _commit(self, raw):
        for row in raw.get('expected', []):
            item = self.items.get(row['key'])
            if (item['rev'] if item else 0) != row['rev']:
                return 412, {'items': [item] if item else []}
        for write in raw.get('writes', []):
            lease = write.get('lease_id', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for write in raw.get('writes', []):
            value = base64.b64decode(write['value'])
            self.put(write['key'], value, write.get('lease_id', 0))
        for key in raw.get('remove', []):
            self.remove(key)
        return 200, {'rev': self.rev}


class Worker:
    """A worker, which runs a task for the milliseconds in its spec."""

    def __init__(self, name, ip, zone, record, cpu=16000, labels=('a', 'r1')):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.record = record
        self.cpu = cpu
        self.labels = list(labels)
        self.state = 'ready'
        self.port = 0
        self.server = None
        self.beats = None
        # Whether calls get no answer and have no effect.
        self.silent = False
        self.start_life()

    def start_life(self):
        """Begin a new life, which knows nothing of the one before."""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the worker's clock (ms)."""
        return int((time.monotonic() - self.started_at) * 1000) + 1000

    async def start(self, port=0):
        """Listen for calls, register, and go on sending heartbeats."""
        self.channels = set()
        self.server, self.port = await serve(
            self.handle, self.ip, port, self.channels
        )
        self.beats = asyncio.create_task(self._send_heartbeats())
        self.lapses = asyncio.create_task(self._end_lapsed())

    async def crash(self, down_s, silent=False, labels=None):
        """Crash and return in a new life after a time.

        A silent worker answers nothing while it is down: calls on open
        channels and the opening packets of new ones get no reply. Otherwise
        channels are reset and new ones refused.
        """
        self.record.note(f'{self.name} crashes')
        self.beats.cancel()
        self.lapses.cancel()
        self._lose_runs()
        self.silent = silent
        self.server.close()
        blockers = []
        if silent:
            blockers = await self._drop_opening_packets()
        else:
            self._reset_channels()
        await asyncio.sleep(down_s)
        for sock in blockers:
            sock.close()
        self._reset_channels()
        self.silent = False
        self.labels = list(labels or self.labels)
        self.start_life()
        await self.start(self.port)
        self.record.note(f'{self.name} is back with labels {self.labels}')

    def _reset_channels(self):
        for transport in list(self.channels):
            transport.abort()

    async def _drop_opening_packets(self):
        """Occupy the port with a full queue of new channels."""
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.ip, self.port))
        listener.listen(0)
        sockets = [listener]
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sockets.append(sock)
            try:
                await asyncio.wait_for(
                    loop.sock_connect(sock, (self.ip, self.port)), 0.005
                )
            except TimeoutError:
                return sockets
        raise CouldNotRun('the queue of new channels could not be filled')

    def _lose_runs(self):
        for run in list(self.runs.values()):
            run.timer.cancel()
            run.ended, run.how = self.record.now(), 'lost with its worker'
        self.runs = {}

    def report(self):
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return {
            'service': SERVICE,
            'address': f'{self.ip}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'capacity': {'cpu': self.cpu, 'mem_mb': 65536, 'gpu': 0},
            'labels': self.labels,
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'sequence': self.sequence,
        }

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        try:
            status, _ = await call(
                self.ip,
                CONTROL,
                'POST',
                f'/Instances.Heartbeat/{self.name}',
                self.report(),
                timeout_s=1.0,
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return 200 <= status < 300

    async def _send_heartbeats(self):
        while True:
            acked = await self.beat()
            await asyncio.sleep(HEARTBEAT_S if acked else 0.2)

    async def _end_lapsed(self):
        while True:
            await asyncio.sleep(0.01)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self._end(run, 'lapsed')

    def _end(self, run, how):
        if self.runs.pop((run.task, run.number), None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        run.ended, run.how = self.record.now(), how
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.number, how, ''])
        self.record.note(
            f'{self.name} ended {run.task} run {run.number}: {how}'
        )
        self.changed.set()
        self.changed = asyncio.Event()

    def _refuse(self, reason):
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    async def handle(self, method, path, query, headers, body):
        """Answer a call."""
        if self.silent:
            await asyncio.sleep(60)
            return None
        if path == '/health':
            return 200, {}
        raw = json.loads(body)
        expected = headers.get('expect-instance', self.name)
        if expected != self.name:
            return 421, {'clock_ms': self.clock_ms()}
        if raw.get('fence_token', 0) < self.fence:
            return self._refuse('fence')
        self.fence = raw.get('fence_token', 0)
        if path == '/run-start':
            return self._start(raw)
        if path == '/run-stop':
            return self._stop(raw)
        return await self._hold(raw)

    def _extend(self, deadline_ms):
        limit_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit_ms))

    def _start(self, raw):
        task, number = raw['task'], raw['run_id']
        if raw['deadline_ms'] < self.clock_ms():
            return self._refuse('late')
        self._extend(raw['deadline_ms'])
        if (task, number) in self.runs:
            return 200, {'clock_ms': self.clock_ms()}
        if number <= self.highest.get(task, 0):
            return self._refuse('old')
        spec = json.loads(raw['spec'])
        used = sum(run.cpu for run in self.runs.values())
        if used + spec['cpu'] > self.cpu:
            return self._refuse('room')
        run = Run(
            self.name,
            task,
            number,
            spec['cpu'],
            self.record.now(),
            self.labels[0],
        )
        run.ms = spec['ms']
        self.runs[task, number] = run
        self.record.runs.append(run)
        self.record.note(f'{self.name} started {task} run {number}')
        run.timer = asyncio.get_running_loop().call_later(
            spec['ms'] / 1000, self._end, run, 'done'
        )
        return 200, {'clock_ms': self.clock_ms()}

    def _stop(self, raw):
        task, number = raw['task'], raw['run_id']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self._end, run, 'stopped'
            )
        return 200, {'clock_ms': self.clock_ms()}

    async def _hold(self, raw):
        if 'deadline_ms' in raw:
            self._extend(raw['deadline_ms'])
        acked = raw.get('acked', 0)
        self.ends = [row for row in self.ends if row[0] > acked]
        if raw.get('wait_ms') and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.changed.wait(), raw['wait_ms'] / 1000
                )
        running = [
            [run.task, run.number, '', self._percent(run), run.cpu]
            for run in self.runs.values()
        ]
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'running': running,
            'ended': self.ends[:500],
        }

    def _percent(self, run):
        elapsed_ms = (self.record.now() - run.began) * 1000
        return min(int(elapsed_ms * 100 / max(run.ms, 1)), 99)


class Fleet:
    """Entries, endpoint processes and the stand-ins around them."""

    def __init__(self, record, entries=3, workers=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.entry_ips = []
        self.worker_ips = []
        self.entry_count = entries
        self.worker_count = workers
        self.workers = []
        self.processes = {}
        self.every = []
        self.store_port = 0
        self.routes = [
            {
                'name': 'r-1',
                'hostname': HOST,
                'path_prefix': PREFIX,
                'service': SERVICE,
                'priority': 0,
                'max_attempts': 2,
                'stretch': 1.6,
                'target_latency_ms': 60,
            }
        ]
        self.version = 0

    def publish(self):
        """Write the next version of the manifest."""
        self.version += 7
        manifest = {
            'version': self.version,
            'routes': self.routes,
            'services': [{'name': SERVICE, 'rejects_overload': True}],
            'limits': {},
        }
        self.store.put('op/config', json.dumps(manifest).encode())

    async def start(self):
        """Start everything and wait until all entries are ready."""
        net = _free_network()
        self.entry_ips = [
            f'{net}.{10 + each}' for each in range(self.entry_count)
        ]
        self.worker_ips = [
            f'{net}.{100 + each}' for each in range(self.worker_count)
        ]
        _, self.store_port = await serve(self.store.handle, f'{net}.2')
        self.net = net
        self.publish()
        for index, ip in enumerate(self.worker_ips):
            worker = Worker(
                f'i-{index:08x}', ip, ZONES[index % 3], self.record
            )
            self.workers.append(worker)
            await worker.start()
        for ip in self.entry_ips:
            self.start_process(ip, 'entry')
        for ip in self.worker_ips:
            self.start_process(ip, 'endpoint')
        await self.until_ready()

    async def until_ready(self, limit_s=30.0):
        """Wait until all entries have a way to all workers."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            if all([await self._is_ready(ip) for ip in self.entry_ips]):
                await asyncio.sleep(2.0)
                self.record.note('all entries are ready')
                return
        raise CouldNotRun('not all entries have become ready')

    async def _is_ready(self, ip):
        try:
            status, _ = await call(ip, READY, 'GET', '/ready', timeout_s=1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    def start_process(self, ip, role):
        """Start a program with its command of the deploy file."""
        if role == 'entry':
            index = self.entry_ips.index(ip)
            name, serves = f'edge-{ZONES[index % 3]}-{index}', '"edge"'
            listen = f'front = "{ip}:{FRONT}"\nready = "{ip}:{READY}"\n'
            extra = ''
        else:
            index = self.worker_ips.index(ip)
            name, serves, listen = f'side-{index}', '"side"', ''
            worker = self.workers[index]
            extra = f'app = "{ip}:{worker.port}"\nservice = "{SERVICE}"\n'
        seeds = ','.join(f'"{each}:{CONTROL}"' for each in self.entry_ips[:3])
        zones = ''.join(f'{zone} = "cymru-de"\n' for zone in ZONES)
        path = self.folder / f'{name}.toml'
        path.write_text(
            f'node_name = "{name}"\nrole = "{role}"\nserves = [{serves}]\n'
            f'ip = "{ip}"\nzone = "{ZONES[index % 3]}"\nregion = "cymru-de"\n'
            f'port_range = [{INNER},{INNER + 15}]\nseeds = [{seeds}]\n'
            'bootstrap = true\norders = "invoke"\nheartbeat_ms = 1500\n'
            f'{extra}[zones]\n{zones}[listen]\n{listen}'
            f'control = "{ip}:{CONTROL}"\n[bounds]\n{_BOUNDS}\n'
            f'[platform]\naddress = "{self.net}.2:{self.store_port}"\n'
            'form = "kv"\n'
        )
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['AZUREPIER_BOOT'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self.folder / f'{name}.log', 'ab') as log:
            process = subprocess.Popen(
                ['python3', '-S', 'platform/run.py', role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes[ip] = process
        self.every.append(process)
        return process

    def close(self):
        """End all processes that were started, and remove the folder."""
        for process in self.every:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.every:
            process.wait()
        keep = os.environ.get('REVIEW_LOGS')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_network():
    """Return the first three numbers of loopback addresses with free ports."""
    for step in range(200):
        number = os.getpid() + step * 97
        net = f'127.{80 + number % 120}.{number // 120 % 250}'
        try:
            for last, port in ((10, FRONT), (100, CONTROL), (10, 9464)):
                with socket.socket() as sock:
                    sock.bind((f'{net}.{last}', port))
        except OSError:
            continue
        return net
    raise CouldNotRun('no free loopback addresses')


def job_body(count, ms, cpu=1000, **step):
    """Return the body of a best-effort job."""
    return {
        'spec': json.dumps({'ms': ms, 'cpu': cpu}),
        'best_effort': True,
        'steps': [
            {
                'count': count,
                'cpu': cpu,
                'mem_mb': 64,
                'estimate_ms': ms,
                **step,
            }
        ],
    }


async def submit(fleet, rng, job_id, body, give_up_s=40.0):
    """Hand a job in as a caller does; return its last status and state."""
    record = fleet.record
    until = time.monotonic() + give_up_s
    status, state = 0, None
    while time.monotonic() < until:
        ip = rng.choice(fleet.entry_ips)
        record.note(f'caller sends {job_id} to {ip}')
        try:
            left_s = until - time.monotonic()
            status, answer = await call(
                ip, FRONT, 'POST', PREFIX + job_id, body, left_s
            )
        except (OSError, EOFError, TimeoutError) as exc:
            record.note(f'caller of {job_id}: no answer, {exc!r}')
            status = 0
        else:
            record.note(f'caller of {job_id}: {status} {answer}')
        if status == 200:
            return status, answer.get('state')
        if status not in (0, 502, 504):
            return status, state
        await asyncio.sleep(RESEND_S)
    return status, state


def overlaps(record, least_s=0.005):
    """Return pairs of runs of one task that were at work at one time."""
    by_task = {}
    for run in record.runs:
        by_task.setdefault(run.task, []).append(run)
    now = record.now()
    found = []
    for runs in by_task.values():
        for index, first in enumerate(runs):
            for second in runs[index + 1 :]:
                begin = max(first.began, second.began)
                end = min(first.ended or now, second.ended or now)
                if end - begin > least_s:
                    found.append((first, second, begin, end))
    return found


def main(folder, play):
    """Play a case, write its record and exit with its result.

    ``await play(record)`` returns a list of texts, one for each violation.
    """
    record = Record()
    folder = pathlib.Path(folder).resolve().parent
    # Streams that are collected after the end of the loop complain.
    sys.unraisablehook = lambda _: None
    # Ends the processes also if the script is asked to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        violations = asyncio.run(asyncio.wait_for(play(record), 110))
    except Exception as exc:
        record.write(folder, f'could not run: {exc!r}')
        sys.exit(NOT_RUN)
    for text in violations:
        record.note(text)
    if violations:
        record.write(folder, f'BROKEN: {len(violations)}, {violations[0]}')
        sys.exit(BROKEN)
    record.write(folder, 'held')
    sys.exit(HELD)
