"""Tests of the real processes against a fake store and worker."""

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
TIMEOUT_S = 20.0
NETWORK = fakes.loopback_network()
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
_SETTINGS_TEMPLATE = '''
node_name = "{name}"
ip = "{ip}"
zone = "a"
port_range = [17320, 17330]
seeds = ["{network}.2:1", "{network}.3:1"]
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


def run_in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        asyncio.run(function(*args, **kwargs))

    return run


class Fleet:
    """Two entries and one endpoint process, with a fake store and worker."""

    def __init__(self, folder):
        self.folder = folder
        self.store = fakes.FakeStore()
        self.worker = fakes.FakeWorker()
        self.processes = {}
        self.pools = []
        self.heartbeat_task = None

    async def start(self):
        """Start all processes and wait until both entries are ready."""
        self.store.put(_store.CONFIG_KEY, json.dumps(CONFIG).encode())
        self.store_server = await _server.start(self.store.handle)
        self.worker_server = await _server.start(self.worker.handle)
        for number in (2, 3):
            self.start_process('entry', number)
        self.start_process('endpoint', 4)
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())
        for number in (2, 3):
            await self.until_ready(number)

    def start_process(self, role, number):
        """Start the process of a role on the address `NETWORK`.`number`."""
        worker = ''
        if role == 'endpoint':
            worker = f'app = "127.0.0.1:{self.worker_server.port}"'
        text = _SETTINGS_TEMPLATE.format(
            name=f'{role}-{number}',
            ip=f'{NETWORK}.{number}',
            network=NETWORK,
            worker=worker,
            store=self.store_server.port,
        )
        path = self.folder / f'{number}.toml'
        path.write_text(text)
        log_file = open(self.folder / f'{number}.log', 'ab')
        with log_file:
            self.processes[number] = subprocess.Popen(
                [sys.executable, 'platform/run.py', role],
                cwd=ROOT,
                env={**os.environ, 'AZUREPIER_BOOT': str(path)},
                stdout=log_file,
                stderr=log_file,
            )

    def log_events(self, number):
        """Return the events that a process has logged."""
        lines = (self.folder / f'{number}.log').read_text().splitlines()
        return [json.loads(line) for line in lines]

    def http_pool(self, number, port):
        """Return a pool of HTTP connections to a process."""
        pool = _process.make_http_pool(f'{NETWORK}.{number}:{port}', 1_000_000)
        self.pools.append(pool)
        return pool

    async def _send_heartbeats(self):
        pool = self.http_pool(4, 17303)
        sequence = 0
        while True:
            sequence += 1
            body = json.dumps(self.worker.report(sequence)).encode()
            with contextlib.suppress(Exception):
                await pool.call('POST', '/Instances.Heartbeat/i-1', body)
            await asyncio.sleep(0.2)

    async def until_ready(self, number):
        """Wait until an entry reports that it is ready."""
        pool = self.http_pool(number, 17302)
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                with contextlib.suppress(Exception):
                    status, _ = await pool.call('GET', '/ready')
                    if status == 200:
                        return
                await asyncio.sleep(0.05)

    async def submit(self, number, job_id, run_ms=50, count=3, path='/q/'):
        """Submit a job to an entry; return the status and the JSON value.

        Each of the `count` tasks runs for `run_ms`.
        """
        step = {'count': count, 'cpu': 500, 'mem_mb': 8, 'estimate_ms': run_ms}
        body = {'spec': str(run_ms), 'best_effort': True, 'steps': [step]}
        pool = self.http_pool(number, 17301)
        async with asyncio.timeout(TIMEOUT_S):
            status, answer = await pool.call(
                'POST',
                path + job_id,
                json.dumps(body).encode(),
                {'Host': 'h'},
            )
        return status, json.loads(answer)

    async def close(self):
        """Stop all processes and servers."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for pool in self.pools:
            pool.close()
        await self.store_server.close()
        await self.worker_server.close()


@contextlib.asynccontextmanager
async def running_fleet(folder):
    """Yield a fleet whose entries are ready."""
    fleet = Fleet(folder)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()


def task_ids(job_id, count):
    return {f'{job_id}.0.0.{index}' for index in range(count)}


class TestPrograms:
    @run_in_loop
    async def test_job_through_each_entry(self, tmp_path):
        """Guards against components that work only in isolation."""
        async with running_fleet(tmp_path) as fleet:
            for number in (2, 3):
                job_id = f'{number:016x}'
                answer = await fleet.submit(number, job_id)
                assert answer == (200, {'state': 'succeeded'})
                tasks = task_ids(job_id, 3)
                assert {fleet.worker.started[task] for task in tasks} == {1}

    @run_in_loop
    async def test_answers_are_not_delayed(self, tmp_path):
        """Guards against answers that wait for a TCP acknowledgement.

        Without TCP_NODELAY the second packet of an answer is delayed by 40 ms.
        """
        async with running_fleet(tmp_path) as fleet:
            pool = fleet.http_pool(2, 17301)
            durations_s = []
            for _ in range(9):
                started_at = time.perf_counter()
                status, _ = await pool.call('GET', '/q/', b'', {'Host': 'h'})
                durations_s.append(time.perf_counter() - started_at)
                assert status == 200
            assert sorted(durations_s)[4] < 0.03

    @run_in_loop
    async def test_evacuated_domain(self, tmp_path):
        """Guards against an evacuation that only works in the simulation."""
        async with running_fleet(tmp_path) as fleet:
            key = _store.EVACUATIONS_PREFIX + 'a'
            fleet.store.put(key, b'{}')
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    status, answer = await fleet.submit(2, '1' * 16)
                    if status == 503:
                        break
            assert answer == {'error': 'evacuated'}
            fleet.worker.started.clear()
            # Processes that start in an evacuated domain start nothing.
            for number in (3, 4):
                fleet.processes[number].kill()
                fleet.processes[number].wait()
            fleet.start_process('entry', 3)
            fleet.start_process('endpoint', 4)
            await fleet.until_ready(3)
            status, _ = await fleet.submit(3, '2' * 16)
            assert status == 503
            assert not fleet.worker.started
            fleet.store.remove(key)
            async with asyncio.timeout(TIMEOUT_S):
                while status != 200:
                    status, _ = await fleet.submit(3, '3' * 16)
            events = [line['event'] for line in fleet.log_events(2)]
            assert events.count('domain_evacuated') == 1
            assert events.count('domain_restored') == 1

    @run_in_loop
    async def test_caller_disconnects(self, tmp_path):
        """Guards against runs that outlive the connection of their caller."""
        async with running_fleet(tmp_path) as fleet:
            call = asyncio.create_task(fleet.submit(2, 'a' * 16, run_ms=5000))
            async with asyncio.timeout(TIMEOUT_S):
                while len(fleet.worker.running) < 3:
                    await asyncio.sleep(0.01)
                call.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await call
                while fleet.worker.running:
                    await asyncio.sleep(0.01)
            events = [line['event'] for line in fleet.log_events(2)]
            assert 'job_abandoned' in events

    @run_in_loop
    async def test_rejected_requests(self, tmp_path):
        """Guards against a wrong status, and against runs of rejected jobs."""
        async with running_fleet(tmp_path) as fleet:
            status, _ = await fleet.submit(2, 'a' * 16, path='/none/')
            assert status == 404
            pool = fleet.http_pool(2, 17301)
            headers = {'Host': 'h'}
            body = b'{"spec":"1","steps":[{"count":1}]}'
            status, _ = await pool.call(
                'POST', '/q/' + 'b' * 16, body, headers
            )
            assert status == 503
            status, _ = await pool.call(
                'POST', '/q/' + 'c' * 16, b'x', headers
            )
            assert status == 400
            status, _ = await pool.call('GET', '/q/' + 'd' * 16, b'', headers)
            assert status == 410
            status, answer = await pool.call('GET', '/q/', b'', headers)
            assert (status, json.loads(answer)) == (200, {'pending': 0})
            assert fleet.worker.started == {}

    @run_in_loop
    async def test_new_configuration(self, tmp_path):
        """Guards against entries that keep an outdated configuration."""
        async with running_fleet(tmp_path) as fleet:
            routes = [{**CONFIG['routes'][0], 'path_prefix': '/new/'}]
            new_config = {'version': 9, 'routes': routes}
            fleet.store.put(_store.CONFIG_KEY, json.dumps(new_config).encode())
            async with asyncio.timeout(TIMEOUT_S):
                for number in (2, 3):
                    while True:
                        status, _ = await fleet.submit(
                            number, '1' * 16, path='/new/'
                        )
                        if status == 200:
                            break
            status, _ = await fleet.submit(2, '2' * 16)
            assert status == 404

    @run_in_loop
    async def test_killed_entry(self, tmp_path):
        """Guards against runs that go on after their entry was killed."""
        async with running_fleet(tmp_path) as fleet:
            job_id = 'e' * 16
            first_call = asyncio.create_task(fleet.submit(2, job_id, 5000, 2))
            async with asyncio.timeout(TIMEOUT_S):
                while len(fleet.worker.running) < 2:
                    await asyncio.sleep(0.02)
            fleet.processes[2].kill()
            with pytest.raises(Exception, match='clos|reset'):
                await first_call
            async with asyncio.timeout(1.3):
                while fleet.worker.running:
                    await asyncio.sleep(0.02)
            answer = await fleet.submit(3, job_id, 100, 2)
            assert answer == (200, {'state': 'succeeded'})

    @run_in_loop
    async def test_callers_during_a_start(self, tmp_path):
        """Guards against callers that are refused while a process imports.

        They would retry only after a backoff of their own.
        """
        async with running_fleet(tmp_path) as fleet:
            fleet.processes[2].kill()
            fleet.processes[2].wait()
            logged_before = len(fleet.log_events(2))
            fleet.start_process('entry', 2)
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    with contextlib.suppress(OSError):
                        _, writer = await asyncio.open_connection(
                            f'{NETWORK}.2', 17301
                        )
                        break
                    await asyncio.sleep(0.002)
            assert fleet.log_events(2)[logged_before:] == []
            writer.close()
            answer = await fleet.submit(2, '8' * 16)
            assert answer == (200, {'state': 'succeeded'})

    @run_in_loop
    async def test_stopped_entry(self, tmp_path):
        """Guards against a graceful stop that drops accepted jobs."""
        async with running_fleet(tmp_path) as fleet:
            call = asyncio.create_task(fleet.submit(2, 'f' * 16, 1500, 2))
            async with asyncio.timeout(TIMEOUT_S):
                while len(fleet.worker.running) < 2:
                    await asyncio.sleep(0.02)
            process = fleet.processes[2]
            process.send_signal(signal.SIGTERM)
            assert await call == (200, {'state': 'succeeded'})
            async with asyncio.timeout(6.0):
                while process.poll() is None:
                    await asyncio.sleep(0.05)
            assert process.returncode == 0
            events = [line['event'] for line in fleet.log_events(2)]
            assert events[-1] == 'stopped'
            assert 'job_ended' in events

    @run_in_loop
    async def test_stopped_entry_closes_idle_connections(self, tmp_path):
        """Guards against callers that stay on an entry until it ends."""
        async with running_fleet(tmp_path) as fleet:
            reader, writer = await asyncio.open_connection(
                f'{NETWORK}.2', 17301
            )
            writer.write(b'GET /q/ HTTP/1.1\r\nHost: h\r\n\r\n')
            assert (await reader.readline()).startswith(b'HTTP/1.1 200')
            while await reader.readline() != b'\r\n':
                pass
            await reader.readexactly(len(b'{"pending":0}'))
            fleet.processes[2].send_signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            async with asyncio.timeout(6.0):
                assert await reader.read() == b''
                # New connections reach it for two seconds more, and it keeps
                # open ones for so long.
                assert time.monotonic() - stopped_at > 2.0
                while fleet.processes[2].poll() is None:
                    await asyncio.sleep(0.02)
            assert time.monotonic() - stopped_at < 3.5
            writer.close()

    @run_in_loop
    async def test_request_before_the_first_configuration(self, tmp_path):
        """Guards against refusals while the store is busy after a loss."""
        async with running_fleet(tmp_path) as fleet:
            fleet.store.fault = 'unavailable'
            for number in (2, 3):
                fleet.processes[number].kill()
                fleet.processes[number].wait()
            fleet.start_process('entry', 2)
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    with contextlib.suppress(OSError):
                        _, writer = await asyncio.open_connection(
                            f'{NETWORK}.2', 17301
                        )
                        writer.close()
                        break
                    await asyncio.sleep(0.05)
            status, answer = await fleet.submit(2, '1' * 16)
            assert (status, answer) == (503, {'error': 'no configuration'})
            call = asyncio.create_task(fleet.submit(2, '2' * 16))
            await asyncio.sleep(0.3)
            assert not call.done()
            fleet.store.fault = ''
            assert await call == (200, {'state': 'succeeded'})

    @run_in_loop
    async def test_settings_and_metrics(self, tmp_path):
        """Guards against a SIGHUP that ends a process, and missing metrics."""
        async with running_fleet(tmp_path) as fleet:
            await fleet.submit(2, '9' * 16)
            fleet.processes[2].send_signal(signal.SIGHUP)
            async with asyncio.timeout(TIMEOUT_S):
                while 'settings_reloaded' not in [
                    line['event'] for line in fleet.log_events(2)
                ]:
                    await asyncio.sleep(0.05)
            for number, name in (
                (2, 'azurepier_pool_entry_job_succeeded_seconds_count 1.0'),
                (4, 'azurepier_pool_endpoint_run_done_seconds_count 3.0'),
            ):
                pool = fleet.http_pool(number, 9464)
                status, text = await pool.call('GET', '/metrics')
                assert status == 200
                assert name in text.decode()
            await self.check_explanation(fleet)

    async def check_explanation(self, fleet):
        """Guards against explanations on other ports or of unknown queues."""
        query = '/explain?count=2&cpu=1000&queue='
        pool = fleet.http_pool(2, 9464)
        status, text = await pool.call('GET', f'{query}r')
        result = json.loads(text)
        assert status == 200, result
        assert sum(result['starts'].values()) == 2
        # The interval between explanations has not passed.
        status, _ = await pool.call('GET', f'{query}r')
        assert status == 429
        status, _ = await pool.call('GET', f'{query}none')
        assert status == 404
        status, _ = await fleet.http_pool(4, 9464).call('GET', query)
        assert status == 404
