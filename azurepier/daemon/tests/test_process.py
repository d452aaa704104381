"""Tests of whole processes with stand-ins for worker and platform."""

import asyncio
import contextlib
import functools
import json
import os
import random
import signal
import sys

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

LOCAL = '127.0.0.1:0'
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
    fields = {'name': 'e1', 'domain': 'd', 'listen': LOCAL}
    fields['web_listen'] = LOCAL
    return _settings.EntrySettings(**(fields | changes))


async def serve(stack, handle):
    """Start a stand-in; return its server and its URL."""
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
    """Start an entry and an endpoint process with a worker."""
    worker = worker_standin.Worker()
    handle = functools.partial(worker_standin.handle, worker)
    _, worker_url = await serve(stack, handle)
    common = {'domain': 'd', 'platform': url, 'key_files': key_files}
    front = await start_entry(entry_settings(**common), RNG)
    settings = _settings.EndpointSettings(
        name='w1',
        worker='m1',
        worker_url=worker_url,
        slots=8,
        listen_web=LOCAL,
        seeds=(front.addresses['listen'],),
        **common,
    )
    return front, await start_endpoint(settings, RNG)


async def call(address, method, path, value=None):
    """Make an HTTP request; return status and body."""
    body = b'' if value is None else json.dumps(value).encode()
    pool = _http.Pool(*wire.split_address(address), 10_000_000)
    answer = await pool.call(method, path, body)
    pool.close()
    return answer


async def end(process):
    """Stop a process gracefully."""
    process.shell.stop()
    assert await _process.finish(process)


class TestCluster:
    @in_loop
    async def test_job(self, tmp_path):
        """Guards against parts that work alone but not together."""
        path = tmp_path / 'key'
        path.write_text('0123456789abcdef')
        async with contextlib.AsyncExitStack() as stack:
            _, url = await start_platform(stack)
            front, back = await start_cluster(stack, url, (str(path),))
            web = front.addresses['web_listen']
            await until(lambda: front.shell.status()['config_version'])
            await until(lambda: front.shell.status()['endpoints'])
            status, body = await call(web, 'POST', '/v1/jobs', JOB)
            assert status == 200, body
            outputs = [r['output'] for r in json.loads(body)['results']]
            assert outputs == list(range(20))
            for address in (web, back.addresses['listen_web']):
                for name in ('/healthz', '/metrics', '/v1/events'):
                    assert (await call(address, 'GET', name))[0] == 200
            _, body = await call(web, 'GET', '/metrics')
            assert b'azurepier_messages_sent_total{type="Start' in body
            assert b'azurepier_entry_config_version 1.0' in body
            assert b'azurepier_platform_calls_total{call="range"}' in body
            await asyncio.gather(end(back), end(front))

    @in_loop
    async def test_platform_that_is_down_at_the_start(self, monkeypatch):
        """Guards against processes that need the platform to start."""
        monkeypatch.setattr(_platform, 'RETRY_MIN_S', 0.02)
        monkeypatch.setattr(_platform, 'RETRY_MAX_S', 0.05)
        async with contextlib.AsyncExitStack() as stack:
            state, url = await start_platform(stack)
            state.down = True
            front, back = await start_cluster(stack, url)
            web = front.addresses['web_listen']
            assert (await call(web, 'GET', '/healthz'))[0] == 200
            assert (await call(web, 'GET', '/readyz'))[0] == 503
            state.down = False
            await until(lambda: back.shell.status()['config_version'])
            assert (await call(web, 'GET', '/readyz'))[0] == 200
            client = etcd.Client(url, random.Random(4))
            for _ in range(20):
                if await client.list_entries():
                    break
                await asyncio.sleep(0.05)
            names = [info.name for info in await client.list_entries()]
            assert names == ['e1']
            await end(back)
            await end(front)
            assert await client.list_entries() == []
            await client.close()

    @in_loop
    async def test_drain_by_request(self, monkeypatch):
        """Guards against a request that stops less than a signal does."""
        codes = []
        monkeypatch.setattr(os, '_exit', codes.append)
        async with contextlib.AsyncExitStack() as stack:
            _, url = await start_platform(stack)
            front, back = await start_cluster(stack, url)
            addresses = (
                front.addresses['web_listen'],
                back.addresses['listen_web'],
            )
            for process, address in zip((front, back), addresses):
                status, body = await call(address, 'POST', '/v1/drain', {})
                assert (status, json.loads(body)['draining']) == (202, True)
                assert process.shell.node.draining
                # A service manager's signal must not cut the drain short.
                _main._on_stop_signal(process)
                assert not codes
            assert await asyncio.gather(
                _process.finish(front), _process.finish(back)
            ) == [True, True]

    @in_loop
    async def test_address_in_use(self):
        """Guards against a start that fails without naming the setting."""
        with contextlib.closing(wire.bind(LOCAL)) as sock:
            address = wire.bound_address(sock)
            with pytest.raises(SettingsError, match='web_listen'):
                await start_entry(entry_settings(web_listen=address), RNG)


class TestSignals:
    @in_loop
    async def test_signals(self, tmp_path):
        """Guards against a process that ignores a signal or loses work."""
        key, log = tmp_path / 'key', tmp_path / 'log'
        key.write_text('0123456789abcdef')
        path = tmp_path / 'settings.toml'
        path.write_text(
            f'name = "e1"\ndomain = "d"\nlisten = "{LOCAL}"\n'
            f'web_listen = "{LOCAL}"\nlog = "{log}"\nkey_files = ["{key}"]\n'
        )

        def logged(event):
            lines = log.read_text().splitlines() if log.exists() else []
            found = [json.loads(line) for line in lines]
            return [line for line in found if line['event'] == event]

        code = 'from azurepier.daemon import main; main()'
        process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', code, 'entry', str(path)
        )
        await until(lambda: logged('started'))
        assert not logged('started')[0]['listen'].endswith(':0')
        process.send_signal(signal.SIGHUP)
        await until(lambda: logged('keys_reloaded'))
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
        assert logged('stopped')[0]['drained']

    @in_loop
    async def test_second_signal(self, monkeypatch):
        """Guards against a drain that an operator can't cut short."""
        codes = []
        monkeypatch.setattr(os, '_exit', codes.append)
        process = await start_entry(entry_settings(), RNG)
        _main._on_stop_signal(process)
        assert process.shell.node.draining and not codes
        _main._on_stop_signal(process)
        assert codes == [1]
        await _process.finish(process)
