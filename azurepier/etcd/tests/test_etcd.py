"""Tests of the client against a stand-in for the platform."""

import asyncio
import contextlib
import copy
import random

import attrs
import pytest

from azurepier import config
from azurepier import etcd
from azurepier import kernel
from standins import platform as standin

ENTRY_INFO = kernel.messages.EntryInfo(
    name='e1',
    incarnation='i1',
    address='127.0.0.1:1',
    web_address='http://127.0.0.1:2',
    domain='d',
    draining=False,
)


def make_lists(**changes):
    plan = attrs.evolve(config.Plan('p', 1.0, 1, 1), **changes)
    return {'acme': config.Customer('acme', 'p')}, {'p': plan}


def run_scenario(scenario):
    """Run ``scenario(server, client)`` with a new platform."""

    async def main():
        server = standin.Platform()
        http_server = await standin.start(server)
        url = f'http://127.0.0.1:{http_server.port}'
        budget = etcd.Budget(calls_per_s=1e6, burst=1e6)
        client = etcd.Client(url, random.Random(1), 5.0, budget)
        try:
            return await scenario(server, client)
        finally:
            await client.close()
            await http_server.close()

    return asyncio.run(main())


async def expire_leases(server):
    """Expire every lease at once."""
    for lease in server.store.leases.values():
        lease.expires_at = 0.0


class TestApply:
    def test_versions_are_consecutive(self):
        # Guards against new versions without changes and missing history.
        async def scenario(server, client):
            assert await client.read_config() == (None, 0)
            first = await etcd.apply(client, make_lists(), 'ann')
            again = await etcd.apply(client, make_lists(), 'bob')
            second = await etcd.apply(client, make_lists(queue=7), 'bob')
            assert [first.version, second.version] == [1, 2]
            assert (again.changed, again.version) == (False, 1)
            assert second.lines == ('plan p: queue 1 -> 7',)
            cfg, _ = await etcd.read_current_config(client)
            assert cfg.plans['p'].queue == 7
            newest, oldest = await client.history()
            assert (newest.author, newest.changes) == ('bob', second.lines)
            assert oldest.version == 1

        run_scenario(scenario)

    def test_rejected_change_is_not_written(self):
        # Guards against a change that is written before it is confirmed.
        async def scenario(server, client):
            seen = []
            applied = await etcd.apply(
                client, make_lists(), 'ann', approve=seen.append
            )
            assert not applied.changed
            assert len(seen[0]) == 2
            assert await client.read_config() == (None, 0)

        run_scenario(scenario)

    def test_conflicting_edit_is_refused_with_its_changes(self):
        # Guards against an edit that silently reverts another operator's.
        async def scenario(server, client):
            await etcd.apply(client, make_lists(), 'ann')
            original = client.read_config

            async def read_before_conflicting_edit():
                found = await original()
                client.read_config = original
                await etcd.apply(client, make_lists(queue=9), 'bob')
                return found

            client.read_config = read_before_conflicting_edit
            with pytest.raises(kernel.ConflictError, match='queue 1 -> 9'):
                await etcd.apply(client, make_lists(queue=5), 'ann')
            with pytest.raises(kernel.ConflictError, match='by bob: plan p'):
                await etcd.apply(client, make_lists(queue=5), 'ann', 1)

        run_scenario(scenario)

    def test_history_keeps_the_latest_50(self):
        # Guards against history records that fill the platform's storage.
        async def scenario(server, client):
            for n in range(60):
                await etcd.apply(client, make_lists(queue=n), 'ann')
            versions = [entry.version for entry in await client.history()]
            assert versions == list(range(60, 10, -1))
            prefix = etcd.HISTORY_PREFIX.encode()
            kept = [k for k in server.store.items if k.startswith(prefix)]
            assert len(kept) == 50

        run_scenario(scenario)

    def test_version_is_above_the_requested_one(self):
        # After the platform has lost its data, processes adopt only versions
        # above their current one.
        async def scenario(server, client):
            applied = await etcd.apply(client, make_lists(), 'a', above=41)
            assert applied.version == 42

        run_scenario(scenario)

    def test_invalid_configuration_is_not_overwritten(self):
        # An invalid value is reported as a PlatformError and not overwritten.
        async def scenario(server, client):
            await etcd.apply(client, make_lists(), 'ann')
            server.store.items[etcd.CONFIG_KEY.encode()].value = b'{'
            with pytest.raises(kernel.PlatformError, match='invalid'):
                await etcd.apply(client, make_lists(queue=2), 'ann')

        run_scenario(scenario)


class TestLostAnswers:
    @pytest.mark.parametrize('lost', [1, 2])
    def test_write_that_took_effect_is_recognised(self, lost):
        # Guards against writing the edit twice or reporting a conflict.
        async def scenario(server, client):
            server.lose_answers = lost
            applied = await etcd.apply(client, make_lists(), 'ann')
            assert (applied.changed, applied.version) == (True, 1)
            assert len(await client.history()) == 1
            assert server.calls['/v3/kv/txn'] == 1
            assert client.budget.failures['txn'] == 1

        run_scenario(scenario)

    def test_write_that_did_not_take_effect_is_repeated(self):
        # Guards against an edit that is reported as written but was lost.
        async def scenario(server, client):
            original = standin._HANDLERS['/v3/kv/txn']
            pending = [True]

            async def lose_request(platform_, value):
                if pending:
                    pending.clear()
                    raise standin._ConnectionAbort
                return await original(platform_, value)

            with pytest.MonkeyPatch.context() as patch:
                patch.setitem(standin._HANDLERS, '/v3/kv/txn', lose_request)
                applied = await etcd.apply(client, make_lists(), 'ann')
            assert applied.version == 1
            assert server.calls['/v3/kv/txn'] == 2

        run_scenario(scenario)

    def test_own_edit_replaced_by_a_later_edit(self):
        # An edit that was written and then replaced by a later one is not
        # reported as a conflict.
        async def scenario(server, client):
            original = client.read_config

            async def read_after_replacing_edit():
                client.read_config = original
                await etcd.apply(client, make_lists(queue=9), 'bob')
                return await original()

            cfg = config.Configuration(1, 'mine', 'ann', *make_lists())
            server.lose_answers = 1
            client.read_config = read_after_replacing_edit
            await client.replace_config(config.to_json(cfg), 0)
            assert [e.author for e in await client.history()] == ['bob', 'ann']

        run_scenario(scenario)


class TestRepeatedReads:
    @staticmethod
    async def read_and_count(server, client):
        """Return the configuration and the number of values transferred."""
        before = server.values_sent
        body, _ = await client.read_config()
        return body, server.values_sent - before

    def test_unchanged_value_is_not_sent_again(self):
        # Guards against entries whose reads exceed the limit of 26 kB/s.
        async def scenario(server, client):
            await etcd.apply(client, make_lists(), 'ann')
            first, sent = await self.read_and_count(server, client)
            assert sent == 1
            assert await self.read_and_count(server, client) == (first, 0)
            await etcd.apply(client, make_lists(queue=8), 'bob')
            second, sent = await self.read_and_count(server, client)
            assert (second != first, sent) == (True, 1)
            async with contextlib.aclosing(client.watch()) as changes:
                await anext(changes)
                cfg = config.Configuration(3, 'e3', 'c', *make_lists())
                other = etcd.Client(client._gateway.url, client.rng)
                _, revision = await other.read_config()
                await other.replace_config(config.to_json(cfg), revision)
                await other.close()
                assert config.from_json((await anext(changes)).value) == cfg
            third, sent = await self.read_and_count(server, client)
            assert (config.from_json(third), sent) == (cfg, 0)

        run_scenario(scenario)

    @pytest.mark.parametrize('cluster, revision', [('', 1), ('new', 99)])
    def test_recreated_store(self, cluster, revision):
        # Guards against an entry that ignores the values of a new store.
        async def scenario(server, client):
            for n in range(3):
                await etcd.apply(client, make_lists(queue=n), 'ann')
            await client.read_config()
            old = server.store
            server.store = standin._store.Store(cluster=cluster or old.cluster)
            assert await client.read_config() == (None, 0)
            await client.register(ENTRY_INFO, 5)
            await etcd.apply(client, make_lists(), 'bob')
            body, _ = await client.read_config()
            assert config.from_json(body).author == 'bob'
            server.store = old
            await client.read_config()
            server.store = standin._store.Store(cluster=cluster or old.cluster)
            other = etcd.Client(client._gateway.url, client.rng)
            await etcd.apply(other, make_lists(), 'cyd')
            await other.close()
            server.store.revision = max(server.store.revision, revision)
            body, _ = await client.read_config()
            assert config.from_json(body).author == 'cyd'

        run_scenario(scenario)


class TestEntries:
    def test_record_expires_with_its_lease(self):
        # Guards against entries that stay listed after they terminated.
        async def scenario(server, client):
            await client.register(ENTRY_INFO, 5)
            assert await client.list_entries() == [ENTRY_INFO]
            assert await client.keep_alive()
            await expire_leases(server)
            assert await client.list_entries() == []
            # A client that was paused detects the expiry and registers again.
            assert not await client.keep_alive()
            assert await client.list_entries() == [ENTRY_INFO]
            await expire_leases(server)
            await client.register(ENTRY_INFO, 5)
            assert await client.list_entries() == [ENTRY_INFO]

        run_scenario(scenario)

    def test_successor_of_the_same_name_stays_registered(self):
        # Guards against a drained process that deletes a successor's record.
        async def scenario(server, client):
            await client.register(ENTRY_INFO, 5)
            successor = copy.copy(ENTRY_INFO)
            successor.incarnation = 'i2'
            await client.register(successor, 5)
            client._entry_info = ENTRY_INFO
            await client.unregister()
            assert await client.list_entries() == [successor]
            client._entry_info = successor
            await client.unregister()
            assert await client.list_entries() == []

        run_scenario(scenario)


class TestWatch:
    def test_changes_arrive_in_order(self):
        # Guards against changes and expirations that are not reported.
        async def scenario(server, client):
            async with contextlib.aclosing(client.watch()) as changes:
                assert (await anext(changes)).key == ''
                await client.register(ENTRY_INFO, 5)
                change = await anext(changes)
                assert change.key == '/azurepier/entries/e1'
                await etcd.apply(client, make_lists(), 'ann')
                change = await anext(changes)
                assert change.key == etcd.CONFIG_KEY
                assert config.from_json(change.value).author == 'ann'
                assert 'config-history' in (await anext(changes)).key
                await expire_leases(server)
                await client.list_entries()
                change = await anext(changes)
                assert change.value is None
            while server.store.watches:
                await asyncio.sleep(0.01)

        run_scenario(scenario)

    def test_watch_raises_when_the_connection_breaks(self):
        # Guards against an entry that waits indefinitely on a broken watch.
        async def scenario(server, client):
            changes = client.watch()
            await anext(changes)
            server.http_server.break_connections()
            with pytest.raises(kernel.PlatformError):
                await anext(changes)

        run_scenario(scenario)


class TestFaults:
    @pytest.mark.parametrize('fault', ['down', 'silent', 'delay_ms'])
    def test_each_call_ends_in_time_with_one_error_class(self, fault):
        # Guards against an entry that hangs or exits if the platform fails.
        async def scenario(server, client):
            await client.register(ENTRY_INFO, 5)
            setattr(server, fault, 60_000)
            client.timeout_s = 0.3
            calls = [
                client.read_config(),
                client.history(),
                client.list_entries(),
                client.register(ENTRY_INFO, 5),
                client.keep_alive(),
                etcd.apply(client, make_lists(), 'ann'),
                anext(client.watch()),
            ]
            found = await asyncio.gather(*calls, return_exceptions=True)
            assert {type(item) for item in found} == {kernel.PlatformError}
            setattr(server, fault, 0)
            client.timeout_s = 5.0
            assert await client.list_entries() == [ENTRY_INFO]

        run_scenario(scenario)

    def test_cancellation_is_not_lost(self):
        # Guards against a process that does not stop because the library
        # drops a cancellation that arrives together with an answer.
        async def read_forever(client):
            while True:
                await client.read_config()

        async def scenario(server, client):
            for steps in range(300):
                task = asyncio.create_task(read_forever(client))
                for _ in range(steps % 60):
                    await asyncio.sleep(0)
                task.cancel()
                # The timeout only prevents a failing test from hanging.
                await asyncio.wait((task,), timeout=30.0)
                assert task.cancelled()

        run_scenario(scenario)

    def test_malformed_answer_raises_platform_error(self):
        # Guards against parser exceptions that propagate to the caller.
        answers = [[], {'kvs': [{}]}, {'kvs': 3}, {'kvs': [{'key': '!'}]}]

        async def scenario(server, client):
            for answer in answers:

                async def reply(platform_, value, answer=answer):
                    return standin._server.Reply(answer)

                with pytest.MonkeyPatch.context() as patch:
                    patch.setitem(standin._HANDLERS, '/v3/kv/range', reply)
                    with pytest.raises(kernel.PlatformError):
                        await client.list_entries()

        run_scenario(scenario)

    @pytest.mark.parametrize('url', ['', 'x', 'ftp://h', 'http://h:x'])
    def test_invalid_url_is_rejected(self, url):
        # An invalid URL is reported at once and not at the first call.
        with pytest.raises(kernel.InvalidInputError):
            etcd.Client(url, random.Random(1))


class TestBudget:
    def test_calls_beyond_the_burst_are_spaced(self):
        # Guards against a process that exceeds the platform's limits.
        now = [0.0]
        budget = etcd.Budget(clock=lambda: now[0])
        waits = [budget.reserve(2.0) for _ in range(40)]
        assert waits[:20] == [0.0] * 20
        assert waits[20:30] == pytest.approx([n / 5 for n in range(1, 11)])
        assert waits[30:] == [None] * 10
        assert budget.refused == 10
        now[0] = 60.0
        assert [budget.reserve(0.0) for _ in range(21)].count(0.0) == 20
