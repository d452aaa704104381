"""Tests of the store client and its users against a fake with faults."""

import asyncio
import contextlib
import functools
import random

from adapter import _entry
from adapter import _process
from adapter import _store
import pytest

from azurepier import store
from standins import _server

import fakes


def run_in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        asyncio.run(function(*args, **kwargs))

    return run


@contextlib.asynccontextmanager
async def serving_store(store_class=fakes.FakeStore):
    """Yield a fake store, its server and a client."""
    fake_store = store_class()
    server = await _server.start(fake_store.handle)
    pool = _process.make_http_pool(
        f'127.0.0.1:{server.port}', _store.MAX_ANSWER_BYTES
    )
    try:
        yield fake_store, server, _store.StoreClient(pool)
    finally:
        pool.close()
        await server.close()


async def until(condition):
    """Wait until a condition holds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def following(client):
    """Follow the configuration; yield the values and faults seen."""
    values, faults = [], []

    def on_page(page, complete):
        values.extend(
            item.value for item in page.items if item.key == _store.CONFIG_KEY
        )
        return True

    task = asyncio.create_task(
        store.follow(
            client,
            _store.OPERATOR_PREFIX,
            on_page,
            faults.append,
            random.Random(1),
        )
    )
    try:
        yield values, faults
    finally:
        task.cancel()


class TestCalls:
    @run_in_loop
    async def test_read_and_scan(self):
        """Guards against values that are changed by the encoding."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put('azurepier/entries/e', b'\x00\xff')
            page = await client.read('azurepier/entries/e')
            assert page.items[0].value == b'\x00\xff'
            assert page.revision == fake_store.revision
            assert (await client.read('none')).items == ()
            page = await client.scan('azurepier/entries/')
            assert [item.key for item in page.items] == ['azurepier/entries/e']

    @run_in_loop
    async def test_scan_of_several_pages(self):
        """Guards against a scan that stops after the first page."""
        async with serving_store() as (fake_store, _, client):
            fake_store.page_size = 10
            for number in range(35):
                fake_store.put(f'azurepier/entries/{number:02}', b'v')
            page = await client.scan('azurepier/entries/')
            assert len(page.items) == 35

    @pytest.mark.parametrize(
        'fault', ['unavailable', 'rate_limited', 'reset', 'answer_lost']
    )
    @run_in_loop
    async def test_faults(self, fault):
        """Guards against a failed request that is taken as an empty answer."""
        async with serving_store() as (fake_store, _, client):
            fake_store.fault = fault
            with pytest.raises(store.StoreError):
                await client.read(_store.CONFIG_KEY)
            with pytest.raises(store.StoreError):
                await client.grant(3.0)
            assert client.failures == 2

    @run_in_loop
    async def test_expired_lease(self):
        """Guards against an expired lease that is not noticed."""
        async with serving_store() as (_, _, client):
            with pytest.raises(store.LeaseLostError):
                await client.renew(1)
            with pytest.raises(store.LeaseLostError):
                await client.put('k', b'v', 1)


class TestFollow:
    @run_in_loop
    async def test_changes(self):
        """Guards against a change that is missed between two watches."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, _):
                for number in range(2, 12):
                    fake_store.put(_store.CONFIG_KEY, b'%d' % number)
                    await asyncio.sleep(0.005 * (number % 3))
                await until(lambda: values and values[-1] == b'11')

    @pytest.mark.parametrize(
        'fault', ['unavailable', 'rate_limited', 'reset', 'answer_lost']
    )
    @run_in_loop
    async def test_change_during_a_fault(self, fault):
        """Guards against a change that is missed while the store fails."""
        async with serving_store() as (fake_store, server, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                fake_store.fault = fault
                server.break_connections()
                fake_store.put(_store.CONFIG_KEY, b'2')
                await until(lambda: any(faults))
                fake_store.fault = ''
                await until(lambda: values[-1] == b'2')
                await until(lambda: faults[-1] is None)

    @run_in_loop
    async def test_lost_history(self):
        """Guards against a watch that continues after a gap in the history."""
        async with serving_store() as (fake_store, server, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, _):
                await until(lambda: values)
                fake_store.fault = 'unavailable'
                server.break_connections()
                fake_store.put(_store.CONFIG_KEY, b'2')
                fake_store.discard_history()
                fake_store.fault = ''
                await until(lambda: values[-1] == b'2')

    @run_in_loop
    async def test_silent_connection(self, monkeypatch):
        """Guards against a watch that waits forever for an answer."""
        monkeypatch.setattr(_store, 'CALL_TIMEOUT_S', 0.1)
        monkeypatch.setattr('azurepier.store._follow.WATCH_WAIT_S', 0.1)
        async with serving_store() as (fake_store, _, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                fake_store.fault = 'silent'
                await until(lambda: any(faults))
                fake_store.fault = ''
                fake_store.put(_store.CONFIG_KEY, b'2')
                await until(lambda: values[-1] == b'2')


class TestRegister:
    @run_in_loop
    async def test_expired_lease(self, monkeypatch):
        """Guards against an entry that stays unregistered after an outage."""
        monkeypatch.setattr('azurepier.store._register.RENEW_INTERVAL_S', 0.02)
        async with serving_store() as (fake_store, _, client):
            key = _store.ENTRIES_PREFIX + 'e'
            task = asyncio.create_task(
                store.register(client, key, b'a:1', lambda reason: None)
            )
            await until(lambda: key in fake_store.items)
            for lease in list(fake_store.leases):
                fake_store.end_lease(lease)
            assert key not in fake_store.items
            await until(lambda: key in fake_store.items)
            task.cancel()

    @run_in_loop
    async def test_removed_when_the_process_ends(self):
        """Guards against an address that stays after its process has ended."""
        async with serving_store() as (fake_store, _, client):
            key = _store.ENTRIES_PREFIX + 'e'
            task = asyncio.create_task(
                store.register(client, key, b'a:1', lambda reason: None)
            )
            await until(lambda: key in fake_store.items)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert key not in fake_store.items
            assert fake_store.leases == {}

    @run_in_loop
    async def test_two_incarnations_of_one_entry(self):
        """Guards against a late stop that removes the successor's address.

        The first process was suspended until its lease had expired, and
        registers again beside the second one before it stops.
        """
        async with serving_store() as (fake_store, _, client):
            tasks = [
                asyncio.create_task(
                    store.register(
                        client,
                        _entry.registration_key('e', incarnation),
                        address,
                        lambda reason: None,
                    )
                )
                for incarnation, address in (('i2', b'b:1'), ('i1', b'a:1'))
            ]
            await until(lambda: len(fake_store.items) == 2)
            tasks[1].cancel()
            await until(lambda: len(fake_store.items) == 1)
            entries = await _entry.read_entries(client)
            assert [address for address, _ in entries] == ['b:1']
            tasks[0].cancel()


MALFORMED_ANSWERS = [
    b'',
    b'[]',
    b'{"at_rev": "seven"}',
    b'{"at_rev": null}',
    b'{"at_rev": true}',
    b'{"at_rev": 1e400}',
    b'{"at_rev": 9, "items": null, "events": null, "rev": "x"}',
    b'{"at_rev": 9, "items": {}, "events": 7, "rev": null}',
    b'[' * 5000,
    b'{"at_rev":' * 5000,
    b'{"key": "\\ud800", "at_rev": 9, "rev": 9, "value": "AA=="}',
    b'\xff\xfe',
]
MALFORMED_ITEMS = [
    None,
    7,
    {},
    {'key': 7, 'value': '', 'rev': 1},
    {'key': 'azurepier/entries/x', 'value': 'AA', 'rev': 1},
    {'key': 'azurepier/entries/x', 'value': '!!!!', 'rev': 1},
    {'key': 'azurepier/entries/x', 'value': None, 'rev': 1},
    {'key': 'azurepier/entries/x', 'value': '', 'rev': 'x'},
    {'key': 'azurepier/entries/x', 'value': '//4=', 'rev': 1},
    {'key': 'azurepier/entries/x', 'value': 'bm8gcG9ydA==', 'rev': 1},
]


class TestMalformedAnswers:
    """Answers of a faulty store, and items written by other programs."""

    @pytest.mark.parametrize('body', MALFORMED_ANSWERS)
    @pytest.mark.parametrize('call', ['read', 'scan', 'watch', 'grant'])
    @run_in_loop
    async def test_raises_store_error(self, call, body):
        """Guards against other exceptions, which would end the caller."""
        async with serving_store() as (fake_store, _, client):
            fake_store.raw_answer = body
            calls = {
                'read': lambda: client.read(_store.CONFIG_KEY),
                'scan': lambda: client.scan('azurepier/'),
                'watch': lambda: client.watch('op/', 1, 0.1),
                'grant': lambda: client.grant(1.0),
            }
            with pytest.raises(store.StoreError):
                await calls[call]()

    @pytest.mark.parametrize('body', MALFORMED_ANSWERS)
    @run_in_loop
    async def test_following_continues(self, body):
        """Guards against a process that misses all later changes."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                fake_store.raw_answer = body
                fake_store.put(_store.CONFIG_KEY, b'2')
                await until(lambda: any(faults))
                fake_store.raw_answer = None
                await until(lambda: values[-1] == b'2')

    @pytest.mark.parametrize('item', MALFORMED_ITEMS)
    @run_in_loop
    async def test_valid_entries_are_returned(self, item):
        """Guards against one malformed entry that hides all others."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put('azurepier/entries/e', b'127.0.0.1:7 d')
            fake_store.items['azurepier/entries/x'] = item
            entries = await _entry.read_entries(client)
            assert entries == [('127.0.0.1:7', 'd')]


class TestLostHistory:
    @run_in_loop
    async def test_reads_are_paced(self):
        """Guards against retries without a pause."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(_store.CONFIG_KEY, b'1')
            fake_store.discarded_revision = 10**9
            async with following(client) as (values, _):
                await until(lambda: values)
                fake_store.calls.clear()
                await asyncio.sleep(1.0)
                # One watch and one read for each pause.
                pauses = 1.0 / store.RETRY_MIN_S
                assert len(fake_store.calls) <= 2 * pauses + 2
