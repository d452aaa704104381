"""The real programs as separate processes, against stand-ins."""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

from adapter import _process
from adapter import _store
import fakes
import pytest

from standins import _server

ROOT = pathlib.Path(__file__).parents[2]
LIMIT_S = 20.0
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h',
            'path_prefix': '/q/',
            'service': 'pool',
            'max_attempts': 2,
            'stretch': 1.6,
            'target_latency_ms': 60,
        }
    ],
}
_SETTINGS = '''
node_name = "{name}"
ip = "{ip}"
zone = "a"
port_range = [17320, 17330]
seeds = ["127.77.0.2:1", "127.77.0.3:1"]
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


def in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        asyncio.run(function(*args, **kwargs))

    return run


class Fleet:
    """Two entries and one endpoint process with their stand-ins."""

    def __init__(self, folder):
        self.folder = folder
        self.store = fakes.Store()
        self.worker = fakes.Worker()
        self.processes = {}
        self.pools = []
        self.beats = None

    async def start(self):
        """Start everything and wait until both entries are ready."""
        self.store.put(_store.CONFIG_KEY, json.dumps(CONFIG).encode())
        self.store_server = await _server.start(self.store.handle)
        self.worker_server = await _server.start(self.worker.handle)
        for number in (2, 3):
            self.start_program('entry', number)
        self.start_program('endpoint', 4)
        self.beats = asyncio.create_task(self._send_heartbeats())
        for number in (2, 3):
            await self.until_ready(number)

    def start_program(self, role, number):
        """Start a role on the address 127.77.0.`number`."""
        worker = ''
        if role == 'endpoint':
            worker = f'app = "127.0.0.1:{self.worker_server.port}"'
        text = _SETTINGS.format(
            name=f'{role}-{number}',
            ip=f'127.77.0.{number}',
            worker=worker,
            store=self.store_server.port,
        )
        path = self.folder / f'{number}.toml'
        path.write_text(text)
        log = open(self.folder / f'{number}.log', 'ab')
        with log:
            self.processes[number] = subprocess.Popen(
                [sys.executable, 'platform/run.py', role],
                cwd=ROOT,
                env={**os.environ, 'AZUREPIER_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )

    def log(self, number):
        """Return the events that a process has logged."""
        lines = (self.folder / f'{number}.log').read_text().splitlines()
        return [json.loads(line) for line in lines]

    def pool(self, number, port):
        """Return HTTP connections to a process."""
        pool = _process.make_http_pool(f'127.77.0.{number}:{port}', 1_000_000)
        self.pools.append(pool)
        return pool

    async def _send_heartbeats(self):
        pool = self.pool(4, 17303)
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps(self.worker.report(sequence)).encode()
            with contextlib.suppress(Exception):
                await pool.call('POST', '/Instances.Heartbeat/i-1', body)
            await asyncio.sleep(0.2)

    async def until_ready(self, number):
        """Wait until an entry says that it is ready."""
        pool = self.pool(number, 17302)
        async with asyncio.timeout(LIMIT_S):
            while True:
                with contextlib.suppress(Exception):
                    code, _ = await pool.call('GET', '/ready')
                    if code == 200:
                        return
                await asyncio.sleep(0.05)

    async def submit(self, number, job_id, ms=50, count=3, path='/q/'):
        """Submit a job to an entry; return status and JSON value."""
        step = {'count': count, 'cpu': 500, 'mem_mb': 8, 'estimate_ms': ms}
        body = {'spec': str(ms), 'best_effort': True, 'steps': [step]}
        pool = self.pool(number, 17301)
        async with asyncio.timeout(LIMIT_S):
            code, answer = await pool.call(
                'POST',
                path + job_id,
                json.dumps(body).encode(),
                {'Host': 'h'},
            )
        return code, json.loads(answer)

    async def close(self):
        """Stop everything that was started."""
        if self.beats is not None:
            self.beats.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for pool in self.pools:
            pool.close()
        await self.store_server.close()
        await self.worker_server.close()


@contextlib.asynccontextmanager
async def running(folder):
    """Yield a fleet that serves."""
    fleet = Fleet(folder)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


def task_names(job_id, count):
    return {f'{job_id}.0.0.{index}' for index in range(count)}


class TestPrograms:
    @in_loop
    async def test_a_job_through_each_entry(self, tmp_path):
        """Guards against parts that work alone but not together."""
        async with running(tmp_path) as fleet:
            for number in (2, 3):
                job_id = f'{number:016x}'
                answer = await fleet.submit(number, job_id)
                assert answer == (200, {'state': 'succeeded'})
                names = task_names(job_id, 3)
                assert {fleet.worker.started[name] for name in names} == {1}

    @in_loop
    async def test_answers_are_not_held_back(self, tmp_path):
        """Guards against answers that wait for an acknowledgement.

        Without TCP_NODELAY the second packet of an answer waits for 40 ms.
        """
        async with running(tmp_path) as fleet:
            pool = fleet.pool(2, 17301)
            took = []
            for _ in range(9):
                since = time.perf_counter()
                code, _ = await pool.call('GET', '/q/', b'', {'Host': 'h'})
                took.append(time.perf_counter() - since)
                assert code == 200
            assert sorted(took)[4] < 0.03

    @in_loop
    async def test_caller_leaves(self, tmp_path):
        """Guards against work for a caller whose connection is closed."""
        async with running(tmp_path) as fleet:
            call = asyncio.create_task(fleet.submit(2, 'a' * 16, ms=5000))
            async with asyncio.timeout(LIMIT_S):
                while len(fleet.worker.running) < 3:
                    await asyncio.sleep(0.01)
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await call
                while fleet.worker.running:
                    await asyncio.sleep(0.01)
            events = [line['event'] for line in fleet.log(2)]
            assert 'job_abandoned' in events

    @in_loop
    async def test_what_is_refused(self, tmp_path):
        """Guards against the wrong status, or work that is refused."""
        async with running(tmp_path) as fleet:
            code, _ = await fleet.submit(2, 'a' * 16, path='/none/')
            assert code == 404
            pool = fleet.pool(2, 17301)
            host = {'Host': 'h'}
            body = b'{"spec":"1","steps":[{"count":1}]}'
            code, _ = await pool.call('POST', '/q/' + 'b' * 16, body, host)
            assert code == 503
            code, _ = await pool.call('POST', '/q/' + 'c' * 16, b'x', host)
            assert code == 400
            code, _ = await pool.call('GET', '/q/' + 'd' * 16, b'', host)
            assert code == 410
            code, answer = await pool.call('GET', '/q/', b'', host)
            assert (code, json.loads(answer)) == (200, {'pending': 0})
            assert fleet.worker.started == {}

    @in_loop
    async def test_new_configuration(self, tmp_path):
        """Guards against entries that keep an old configuration."""
        async with running(tmp_path) as fleet:
            routes = [{**CONFIG['routes'][0], 'path_prefix': '/new/'}]
            newer = {'version': 9, 'routes': routes}
            fleet.store.put(_store.CONFIG_KEY, json.dumps(newer).encode())
            async with asyncio.timeout(LIMIT_S):
                for number in (2, 3):
                    while True:
                        code, _ = await fleet.submit(
                            number, '1' * 16, path='/new/'
                        )
                        if code == 200:
                            break
            code, _ = await fleet.submit(2, '2' * 16)
            assert code == 404

    @in_loop
    async def test_killed_entry(self, tmp_path):
        """Guards against runs that outlive their entry."""
        async with running(tmp_path) as fleet:
            job_id = 'e' * 16
            first = asyncio.create_task(fleet.submit(2, job_id, 5000, 2))
            async with asyncio.timeout(LIMIT_S):
                while len(fleet.worker.running) < 2:
                    await asyncio.sleep(0.02)
            fleet.processes[2].kill()
            with pytest.raises(Exception, match='clos|reset'):
                await first
            async with asyncio.timeout(1.3):
                while fleet.worker.running:
                    await asyncio.sleep(0.02)
            answer = await fleet.submit(3, job_id, 100, 2)
            assert answer == (200, {'state': 'succeeded'})

    @in_loop
    async def test_callers_that_come_during_a_start(self, tmp_path):
        """Guards against callers that a process refuses while it imports.

        They would come back only after a pause of their own.
        """
        async with running(tmp_path) as fleet:
            fleet.processes[2].kill()
            fleet.processes[2].wait()
            before = len(fleet.log(2))
            fleet.start_program('entry', 2)
            async with asyncio.timeout(LIMIT_S):
                while True:
                    with contextlib.suppress(OSError):
                        _, writer = await asyncio.open_connection(
                            '127.77.0.2', 17301
                        )
                        break
                    await asyncio.sleep(0.002)
            assert fleet.log(2)[before:] == []
            writer.close()
            answer = await fleet.submit(2, '8' * 16)
            assert answer == (200, {'state': 'succeeded'})

    @in_loop
    async def test_stopped_entry(self, tmp_path):
        """Guards against a graceful stop that drops work in hand."""
        async with running(tmp_path) as fleet:
            call = asyncio.create_task(fleet.submit(2, 'f' * 16, 1500, 2))
            async with asyncio.timeout(LIMIT_S):
                while len(fleet.worker.running) < 2:
                    await asyncio.sleep(0.02)
            process = fleet.processes[2]
            process.send_signal(signal.SIGTERM)
            assert await call == (200, {'state': 'succeeded'})
            async with asyncio.timeout(6.0):
                while process.poll() is None:
                    await asyncio.sleep(0.05)
            assert process.returncode == 0
            events = [line['event'] for line in fleet.log(2)]
            assert events[-1] == 'stopped'
            assert 'job_ended' in events

    @in_loop
    async def test_settings_and_metrics(self, tmp_path):
        """Guards against a signal that ends the process, and no metrics."""
        async with running(tmp_path) as fleet:
            await fleet.submit(2, '9' * 16)
            fleet.processes[2].send_signal(signal.SIGHUP)
            async with asyncio.timeout(LIMIT_S):
                while 'settings_reloaded' not in [
                    line['event'] for line in fleet.log(2)
                ]:
                    await asyncio.sleep(0.05)
            for number, name in (
                (2, 'azurepier_pool_entry_job_succeeded_seconds_count 1.0'),
                (4, 'azurepier_pool_endpoint_run_done_seconds_count 3.0'),
            ):
                pool = fleet.pool(number, 9464)
                code, text = await pool.call('GET', '/metrics')
                assert code == 200
                assert name in text.decode()
