"""The store's client and what uses it, against a stand-in with faults."""

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


def in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        asyncio.run(function(*args, **kwargs))

    return run


@contextlib.asynccontextmanager
async def serving():
    """Yield a stand-in store, its server and a client."""
    stand_in = fakes.Store()
    server = await _server.start(stand_in.handle)
    pool = _process.make_http_pool(
        f'127.0.0.1:{server.port}', _store.MAX_ANSWER_BYTES
    )
    try:
        yield stand_in, server, _store.StoreClient(pool)
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
    """Follow the configuration; yields the values seen and the faults."""
    values, faults = [], []
    task = asyncio.create_task(
        store.follow(
            client,
            _store.CONFIG_KEY,
            lambda item: values.append(item.value),
            faults.append,
            random.Random(1),
        )
    )
    try:
        yield values, faults
    finally:
        task.cancel()


class TestCalls:
    @in_loop
    async def test_read_and_scan(self):
        """Guards against values that are changed by the encoding."""
        async with serving() as (stand_in, _, client):
            stand_in.put('azurepier/entries/e', b'\x00\xff')
            page = await client.read('azurepier/entries/e')
            assert page.items[0].value == b'\x00\xff'
            assert page.revision == stand_in.revision
            assert (await client.read('none')).items == ()
            page = await client.scan('azurepier/entries/')
            assert [item.key for item in page.items] == ['azurepier/entries/e']

    @in_loop
    async def test_scan_of_several_pages(self):
        """Guards against entries that nobody finds in a large fleet."""
        async with serving() as (stand_in, _, client):
            stand_in.page = 10
            for number in range(35):
                stand_in.put(f'azurepier/entries/{number:02}', b'v')
            page = await client.scan('azurepier/entries/')
            assert len(page.items) == 35

    @pytest.mark.parametrize('fault', ['busy', 'many', 'reset', 'lost'])
    @in_loop
    async def test_faults(self, fault):
        """Guards against an empty answer in place of an error."""
        async with serving() as (stand_in, _, client):
            stand_in.fault = fault
            with pytest.raises(store.StoreError):
                await client.read(_store.CONFIG_KEY)
            with pytest.raises(store.StoreError):
                await client.grant(3.0)
            assert client.failures == 2

    @in_loop
    async def test_lease_that_has_ended(self):
        """Guards against a registration that nobody renews any more."""
        async with serving() as (_, _, client):
            with pytest.raises(store.LeaseLostError):
                await client.renew(1)
            with pytest.raises(store.LeaseLostError):
                await client.put('k', b'v', 1)


class TestFollow:
    @in_loop
    async def test_changes(self):
        """Guards against a change that is missed between two watches."""
        async with serving() as (stand_in, _, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, _):
                for number in range(2, 12):
                    stand_in.put(_store.CONFIG_KEY, b'%d' % number)
                    await asyncio.sleep(0.005 * (number % 3))
                await until(lambda: values and values[-1] == b'11')

    @pytest.mark.parametrize('fault', ['busy', 'many', 'reset', 'lost'])
    @in_loop
    async def test_change_during_a_fault(self, fault):
        """Guards against a change that is lost with the store."""
        async with serving() as (stand_in, server, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                stand_in.fault = fault
                server.break_connections()
                stand_in.put(_store.CONFIG_KEY, b'2')
                await until(lambda: any(faults))
                stand_in.fault = ''
                await until(lambda: values[-1] == b'2')
                await until(lambda: faults[-1] is None)

    @in_loop
    async def test_history_that_is_gone(self):
        """Guards against a watch that goes on after a gap."""
        async with serving() as (stand_in, server, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, _):
                await until(lambda: values)
                stand_in.fault = 'busy'
                server.break_connections()
                stand_in.put(_store.CONFIG_KEY, b'2')
                stand_in.forget()
                stand_in.fault = ''
                await until(lambda: values[-1] == b'2')

    @in_loop
    async def test_silent_connection(self, monkeypatch):
        """Guards against a watch that waits for ever for an answer."""
        monkeypatch.setattr(_store, 'CALL_TIMEOUT_S', 0.1)
        monkeypatch.setattr('azurepier.store._follow.WATCH_WAIT_S', 0.1)
        async with serving() as (stand_in, _, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                stand_in.fault = 'silent'
                await until(lambda: any(faults))
                stand_in.fault = ''
                stand_in.put(_store.CONFIG_KEY, b'2')
                await until(lambda: values[-1] == b'2')


class TestRegister:
    @in_loop
    async def test_lapsed_lease(self, monkeypatch):
        """Guards against an entry that is missing after an outage."""
        monkeypatch.setattr('azurepier.store._register.RENEW_INTERVAL_S', 0.02)
        async with serving() as (stand_in, _, client):
            key = _store.ENTRIES_PREFIX + 'e'
            task = asyncio.create_task(
                store.register(client, key, b'a:1', lambda reason: None)
            )
            await until(lambda: key in stand_in.items)
            for lease in list(stand_in.leases):
                stand_in.end_lease(lease)
            assert key not in stand_in.items
            await until(lambda: key in stand_in.items)
            task.cancel()

    @in_loop
    async def test_removed_when_the_process_ends(self):
        """Guards against an address in use after its process has ended."""
        async with serving() as (stand_in, _, client):
            key = _store.ENTRIES_PREFIX + 'e'
            task = asyncio.create_task(
                store.register(client, key, b'a:1', lambda reason: None)
            )
            await until(lambda: key in stand_in.items)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert key not in stand_in.items
            assert stand_in.leases == {}

    @in_loop
    async def test_two_processes_of_one_slot(self):
        """Guards against a late end that removes the successor's address.

        The first process was paused until its lease had ended, and registers
        again beside the second one before it ends.
        """
        async with serving() as (stand_in, _, client):
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
            await until(lambda: len(stand_in.items) == 2)
            tasks[1].cancel()
            await until(lambda: len(stand_in.items) == 1)
            found = await _entry.read_entries(client)
            assert [address for address, _ in found] == ['b:1']
            tasks[0].cancel()


MALFORMED = [
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
BAD_ITEMS = [
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
    """What another writer or a faulty store may answer."""

    @pytest.mark.parametrize('body', MALFORMED)
    @pytest.mark.parametrize('call', ['read', 'scan', 'watch', 'grant'])
    @in_loop
    async def test_one_kind_of_error(self, call, body):
        """Guards against an error that ends the task that called."""
        async with serving() as (stand_in, _, client):
            stand_in.raw = body
            calls = {
                'read': lambda: client.read(_store.CONFIG_KEY),
                'scan': lambda: client.scan('azurepier/'),
                'watch': lambda: client.watch('op/', 1, 0.1),
                'grant': lambda: client.grant(1.0),
            }
            with pytest.raises(store.StoreError):
                await calls[call]()

    @pytest.mark.parametrize('body', MALFORMED)
    @in_loop
    async def test_following_goes_on(self, body):
        """Guards against a process that never sees a change again."""
        async with serving() as (stand_in, _, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            async with following(client) as (values, faults):
                await until(lambda: values)
                stand_in.raw = body
                stand_in.put(_store.CONFIG_KEY, b'2')
                await until(lambda: any(faults))
                stand_in.raw = None
                await until(lambda: values[-1] == b'2')

    @pytest.mark.parametrize('item', BAD_ITEMS)
    @in_loop
    async def test_other_entries_hold(self, item):
        """Guards against one unreadable entry that hides all others."""
        async with serving() as (stand_in, _, client):
            stand_in.put('azurepier/entries/e', b'127.0.0.1:7 d')
            stand_in.items['azurepier/entries/x'] = item
            found = await _entry.read_entries(client)
            assert found == [('127.0.0.1:7', 'd')]


class TestForgetfulStore:
    @in_loop
    async def test_reads_are_paced(self):
        """Guards against a loop at the store's speed."""
        async with serving() as (stand_in, _, client):
            stand_in.put(_store.CONFIG_KEY, b'1')
            stand_in.forgotten = 10**9
            async with following(client) as (values, _):
                await until(lambda: values)
                stand_in.calls.clear()
                await asyncio.sleep(1.0)
                # One watch and one read for each pause.
                pauses = 1.0 / store.RETRY_MIN_S
                assert len(stand_in.calls) <= 2 * pauses + 2
