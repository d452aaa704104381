"""Tests of whole processes with stand-ins for worker and platform."""

import asyncio
import contextlib
import functools
import json
import os
import random
import signal
import sys
import time

import pytest

from azurepier import config
from azurepier.daemon import _http
from azurepier.daemon import _main
from azurepier.daemon import _platform
from azurepier.daemon import _process
from azurepier.daemon import _settings
from azurepier.daemon import start_endpoint
from azurepier.daemon import start_entry
from azurepier import etcd
from azurepier.kernel import SettingsError
from azurepier import wire
from azurepier.wire.tests.support import in_loop
from azurepier.wire.tests.support import until
from standins import _server
from standins import platform as platform_standin
from standins import worker as worker_standin

ADDRESS = '127.0.0.1:0'
RNG = random.Random(1)
PLAN = config.Plan(name='p', starts_per_s=1000, concurrent=100, queue=1000)
CONFIG = config.Configuration(
    version=1,
    edit_id='e',
    author='a',
    customers={'c': config.Customer(name='c', plan='p')},
    plans={'p': PLAN},
)
JOB = {
    'customer': 'c',
    'deadline_ms': 20_000,
    'tasks': [{'kind': 'echo', 'payload': n} for n in range(20)],
}


def entry_settings(**changes):
    """Return settings of an entry on free ports."""
    fields = {'name': 'e1', 'domain': 'd', 'listen': ADDRESS}
    fields['web_listen'] = ADDRESS
    return _settings.EntrySettings(**(fields | changes))


async def serve(stack, handle):
    """Start a stand-in server; return it and its URL."""
    server = await _server.start(handle)
    stack.push_async_callback(server.close)
    return server, f'http://127.0.0.1:{server.port}'


async def start_platform(stack):
    """Start a stand-in platform that has a configuration."""
    state = platform_standin.Platform()
    handle = functools.partial(platform_standin.handle, state)
    state.http_server, url = await serve(stack, handle)
    client = etcd.Client(url, random.Random(3))
    await client.replace_config(config.to_json(CONFIG), 0)
    await client.close()
    return state, url


async def start_cluster(stack, url, key_files=()):
    """Start a worker; return a started entry and endpoint process for it."""
    worker = worker_standin.Worker()
    handle = functools.partial(worker_standin.handle, worker)
    _, worker_url = await serve(stack, handle)
    common = {'domain': 'd', 'platform': url, 'key_files': key_files}
    entry = await start_entry(entry_settings(**common), RNG)
    settings = _settings.EndpointSettings(
        name='w1',
        worker='m1',
        worker_url=worker_url,
        slots=8,
        listen_web=ADDRESS,
        seeds=(entry.addresses['listen'],),
        **common,
    )
    return entry, await start_endpoint(settings, RNG)


async def call(address, method, path, value=None):
    """Make an HTTP request; return status and body."""
    body = b'' if value is None else json.dumps(value).encode()
    pool = _http.Pool(*wire.split_address(address), 10_000_000)
    response = await pool.call(method, path, body)
    pool.close()
    return response


async def stop_process(process):
    """Stop a process gracefully."""
    process.shell.stop()
    assert await _process.drain_and_close(process)


class TestCluster:
    @in_loop
    async def test_job(self, tmp_path):
        """A job must pass through entry, endpoint process and worker."""
        path = tmp_path / 'key'
        path.write_text('0123456789abcdef')
        async with contextlib.AsyncExitStack() as stack:
            _, url = await start_platform(stack)
            entry, endpoint = await start_cluster(stack, url, (str(path),))
            web = entry.addresses['web_listen']
            await until(lambda: entry.shell.status()['config_version'])
            await until(lambda: entry.shell.status()['endpoints'])
            status, body = await call(web, 'POST', '/v1/jobs', JOB)
            assert status == 200, body
            outputs = [r['output'] for r in json.loads(body)['results']]
            assert outputs == list(range(20))
            for address in (web, endpoint.addresses['listen_web']):
                for name in ('/healthz', '/metrics', '/v1/events'):
                    assert (await call(address, 'GET', name))[0] == 200
            _, body = await call(web, 'GET', '/metrics')
            assert b'azurepier_messages_sent_total{type="Start' in body
            assert b'azurepier_entry_config_version 1.0' in body
            assert b'azurepier_platform_calls_total{call="range"}' in body
            await asyncio.gather(stop_process(endpoint), stop_process(entry))

    @in_loop
    async def test_platform_unavailable_at_start(self, monkeypatch):
        """Guards against processes that can't start without the platform."""
        monkeypatch.setattr(_platform, 'RETRY_MIN_S', 0.02)
        monkeypatch.setattr(_platform, 'RETRY_MAX_S', 0.05)
        async with contextlib.AsyncExitStack() as stack:
            state, url = await start_platform(stack)
            state.down = True
            entry, endpoint = await start_cluster(stack, url)
            web = entry.addresses['web_listen']
            assert (await call(web, 'GET', '/healthz'))[0] == 200
            assert (await call(web, 'GET', '/readyz'))[0] == 503
            state.down = False
            await until(lambda: endpoint.shell.status()['config_version'])
            assert (await call(web, 'GET', '/readyz'))[0] == 200
            client = etcd.Client(url, random.Random(4))
            for _ in range(20):
                if await client.list_entries():
                    break
                await asyncio.sleep(0.05)
            names = [info.name for info in await client.list_entries()]
            assert names == ['e1']
            await stop_process(endpoint)
            await stop_process(entry)
            assert await client.list_entries() == []
            await client.close()

    @in_loop
    async def test_drain_by_request(self, monkeypatch):
        """A drain request must stop the process like a first signal does.

        A signal after the request must not end the process immediately.
        """
        exit_codes = []
        monkeypatch.setattr(os, '_exit', exit_codes.append)
        async with contextlib.AsyncExitStack() as stack:
            _, url = await start_platform(stack)
            entry, endpoint = await start_cluster(stack, url)
            addresses = (
                entry.addresses['web_listen'],
                endpoint.addresses['listen_web'],
            )
            for process, address in zip((entry, endpoint), addresses):
                status, body = await call(address, 'POST', '/v1/drain', {})
                assert (status, json.loads(body)['draining']) == (202, True)
                assert process.shell.node.draining
                # The first signal of a service manager must not abort the
                # drain.
                _main._on_stop_signal(process)
                assert not exit_codes
            assert await asyncio.gather(
                _process.drain_and_close(entry),
                _process.drain_and_close(endpoint),
            ) == [True, True]

    @in_loop
    async def test_address_in_use(self):
        """Guards against a startup error that does not name the setting."""
        with contextlib.closing(wire.bind(ADDRESS)) as sock:
            address = wire.bound_address(sock)
            with pytest.raises(SettingsError, match='web_listen'):
                await start_entry(entry_settings(web_listen=address), RNG)


class TestSignals:
    @in_loop
    async def test_signals(self, tmp_path):
        """Guards against ignored signals and a shutdown without a drain."""
        key, log = tmp_path / 'key', tmp_path / 'log'
        key.write_text('0123456789abcdef')
        path = tmp_path / 'settings.toml'
        path.write_text(
            f'name = "e1"\ndomain = "d"\nlisten = "{ADDRESS}"\n'
            f'web_listen = "{ADDRESS}"\nlog = "{log}"\nkey_files = ["{key}"]\n'
        )

        def find_records(event):
            log_lines = log.read_text().splitlines() if log.exists() else []
            records = [json.loads(line) for line in log_lines]
            return [line for line in records if line['event'] == event]

        code = 'from azurepier.daemon import main; main()'
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', code, 'entry', str(path)
        )
        await until(lambda: find_records('started'))
        assert not find_records('started')[0]['listen'].endswith(':0')
        process.send_signal(signal.SIGHUP)
        await until(lambda: find_records('keys_reloaded'))
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert find_records('stopped')[0]['drained']

    @in_loop
    async def test_second_signal(self, monkeypatch):
        """Guards against a drain that an operator can't abort."""
        exit_codes = []
        monkeypatch.setattr(os, '_exit', exit_codes.append)
        process = await start_entry(entry_settings(), RNG)
        _main._on_stop_signal(process)
        assert process.shell.node.draining and not exit_codes
        _main._on_stop_signal(process)
        assert exit_codes == [1]
        await _process.drain_and_close(process)


class TestClock:
    def test_counts_a_suspension(self, monkeypatch):
        """Guards against leases that are used after a suspension.

        The monotonic clock stops while the machine is suspended; the time
        since the boot doesn't.
        """
        suspended_s = 100.0
        seen = []

        async def start(settings, rng):
            loop = asyncio.get_running_loop()
            seen.append(loop.time() - time.monotonic())
            raise SettingsError('stop here')

        def clock_gettime(clock):
            stopped = clock == time.CLOCK_MONOTONIC
            return time.monotonic() + (0.0 if stopped else suspended_s)

        monkeypatch.setattr(time, 'clock_gettime', clock_gettime)
        monkeypatch.setattr(_settings, 'load', lambda *args: entry_settings())
        monkeypatch.setattr(_main._logs, 'configure', lambda *args: None)
        monkeypatch.setattr(signal, 'signal', lambda *args: None)
        with pytest.raises(SystemExit):
            _main._run(_settings.EntrySettings, start, 'settings.toml')
        assert seen == [pytest.approx(suspended_s, abs=1.0)]
