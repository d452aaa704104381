"""Tests of the evacuations that the operator writes to the store."""

import asyncio
import contextlib
import random
import types

from adapter import _operator
from adapter import _store
from adapter import _workers
import pytest

from azurepier import membership
from azurepier import runner
from azurepier import store
from test_store import MALFORMED_ANSWERS
from test_store import run_in_loop
from test_store import serving_store
from test_store import until

PREFIX = _store.EVACUATIONS_PREFIX


class _Shell:
    """Records the events of an entry.

    Attributes
    ----------
    updates : list of Evacuations
    """

    def __init__(self):
        self.updates = []
        self.counted = []
        self.node = types.SimpleNamespace(count=self.counted.append)

    def feed(self, event):
        if isinstance(event, membership.EvacuationsLoaded):
            self.updates.append(event.evacuations)
        return True

    def domains(self):
        """Return the latest evacuated failure domains, or None."""
        return self.updates[-1].domains if self.updates else None


@contextlib.asynccontextmanager
async def following(client):
    """Follow the operator's items; yield the shell that gets them."""
    shell = _Shell()
    task = asyncio.create_task(
        _operator.follow(shell, client, random.Random(1))
    )
    try:
        yield shell
    finally:
        task.cancel()


class TestEvacuations:
    @run_in_loop
    async def test_evacuated_and_taken_back(self):
        """Guards against a change that does not reach the entry."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(PREFIX + 'a', b'{}')
            async with following(client) as shell:
                await until(lambda: shell.domains() == {'a'})
                fake_store.put(PREFIX + 'b', b'{}')
                await until(lambda: shell.domains() == {'a', 'b'})
                fake_store.remove(PREFIX + 'a')
                await until(lambda: shell.domains() == {'b'})
                fake_store.put(PREFIX + 'a', b'not JSON')
                await until(lambda: shell.domains() == {'a', 'b'})
                revisions = [each.revision for each in shell.updates]
                assert revisions == sorted(revisions)

    @pytest.mark.parametrize('fault', ['unavailable', 'reset', 'answer_lost'])
    @run_in_loop
    async def test_changes_during_lost_history(self, fault):
        """Guards against a removal that is missed with the history."""
        async with serving_store() as (fake_store, server, client):
            fake_store.put(PREFIX + 'a', b'{}')
            async with following(client) as shell:
                await until(lambda: shell.domains() == {'a'})
                fake_store.fault = fault
                server.break_connections()
                fake_store.remove(PREFIX + 'a')
                fake_store.put(PREFIX + 'b', b'{}')
                fake_store.discard_history()
                fake_store.fault = ''
                await until(lambda: shell.domains() == {'b'})
                assert not any(each.domains == set() for each in shell.updates)

    @run_in_loop
    async def test_several_pages(self):
        """Guards against domains beyond the first page."""
        async with serving_store() as (fake_store, _, client):
            fake_store.page_size = 2
            names = {f'd{number}' for number in range(7)}
            for name in names:
                fake_store.put(PREFIX + name, b'{}')
            async with following(client) as shell:
                await until(lambda: shell.domains() == names)
            evacuations = await _operator.read_evacuations(client)
            assert evacuations.domains == names
            assert evacuations.revision == fake_store.revision

    @pytest.mark.parametrize('name', ['', 'a/b', '/'])
    @run_in_loop
    async def test_malformed_key(self, name):
        """Guards against a malformed key that hides valid ones."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(PREFIX + 'a', b'{}')
            async with following(client) as shell:
                await until(lambda: shell.domains() == {'a'})
                fake_store.put(PREFIX + name, b'{}')
                await until(lambda: shell.counted)
                assert shell.domains() == {'a'}
                assert shell.counted == ['operator_items_malformed']
                fake_store.put(PREFIX + 'b', b'{}')
                await until(lambda: shell.domains() == {'a', 'b'})

    @pytest.mark.parametrize(
        'item',
        [
            {'key': PREFIX + 'a', 'value': '!!', 'rev': 1},
            {'key': PREFIX + 'a', 'value': None, 'rev': 1},
            {'key': PREFIX + 'a', 'rev': 1},
        ],
    )
    @run_in_loop
    async def test_malformed_value(self, item):
        """Guards against an evacuation that is lost with its value."""
        async with serving_store() as (fake_store, _, client):
            fake_store.items[PREFIX + 'a'] = item
            evacuations = await _operator.read_evacuations(client)
            assert evacuations.domains == {'a'}

    @run_in_loop
    async def test_snapshot_with_unknown_items(self):
        """Guards against a return that follows from an unreadable item."""
        async with serving_store() as (fake_store, server, client):
            fake_store.put(PREFIX + 'a', b'{}')
            async with following(client) as shell:
                await until(lambda: shell.domains() == {'a'})
                fake_store.items[PREFIX + 'a'] = {'rev': 'x'}
                fake_store.revision += 1
                fake_store.discard_history()
                server.break_connections()
                await until(lambda: shell.counted)
                assert shell.domains() == {'a'}

    @run_in_loop
    async def test_read_with_unknown_items(self):
        """Guards against an endpoint process that takes back a domain."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put(PREFIX + 'a', b'{}')
            fake_store.items[PREFIX + 'b'] = {'rev': 'x'}
            with pytest.raises(store.StoreError, match='without a key'):
                await _operator.read_evacuations(client)

    @pytest.mark.parametrize('body', MALFORMED_ANSWERS)
    @run_in_loop
    async def test_malformed_answer(self, body):
        """Guards against an answer that is read as no evacuations."""
        async with serving_store() as (fake_store, _, client):
            fake_store.raw_answer = body
            with pytest.raises(store.StoreError):
                await _operator.read_evacuations(client)


class _HttpPool:
    """Keeps requests until the test answers them."""

    def __init__(self):
        self.requests = []

    def request(
        self,
        method,
        path,
        data,
        headers,
        timeout_s,
        on_answer,
        identification=None,
        identify=None,
    ):
        self.requests.append(on_answer)


class TestQueuedStarts:
    def test_withdrawn_after_the_evacuation(self):
        """Guards against starts that waited for an earlier one's answer."""
        pool, fed = _HttpPool(), []
        evacuated = []
        client = _workers.WorkerClient(
            pool, fed.append, None, may_start=lambda effect: not evacuated
        )
        total = _workers.MAX_CONCURRENT_STARTS + 3
        for index in range(total):
            client.start_run(
                runner.StartRun(f't{index}', 1, 's', 1000, 1, 'w', 1)
            )
        assert len(pool.requests) == _workers.MAX_CONCURRENT_STARTS
        evacuated.append(True)
        for on_answer in list(pool.requests):
            on_answer((200, b'{}'), None)
        assert len(pool.requests) == _workers.MAX_CONCURRENT_STARTS
        results = {event.task: event.result for event in fed}
        assert len(results) == total
        withdrawn = [
            task
            for task, result in results.items()
            if result is runner.StartResult.WITHDRAWN
        ]
        assert len(withdrawn) == 3
