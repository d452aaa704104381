"""Requests that cancel a job whose queue was removed or has moved."""

import attrs
import pytest

from azurepier import dispatch
from azurepier.kernel import events

from test_callers import QUEUE
from test_callers import run_in_loop
from test_callers import running_entry


def apply_routes(entry, version, *prefixes):
    """Apply a configuration with routes to one queue each."""
    queues = {
        ('h', prefix): attrs.evolve(QUEUE, name=prefix) for prefix in prefixes
    }
    routing = dispatch.Routing(version, queues)
    entry.shell.feed(dispatch.RoutingLoaded(routing))


async def ask(entry, method, path):
    """Return the answer to a request without a body."""
    client = entry.cancel('unused')
    await entry.answer(client)
    client.sendall(f'{method} {path} HTTP/1.1\r\nhost: h\r\n\r\n'.encode())
    return await entry.answer(client)


class TestRemovedRoute:
    @pytest.mark.parametrize('prefixes', [[], ['/'], ['/moved/'], ['/q/a/']])
    @run_in_loop
    async def test_job_is_canceled(self, prefixes):
        """Guards against a job that nobody can cancel any more."""
        async with running_entry() as entry:
            entry.connect_endpoint()
            caller = entry.send('a')
            await entry.until(lambda: len(entry.orders) == 2)
            apply_routes(entry, 2, *prefixes)
            assert ' 200 ' in await ask(entry, 'DELETE', '/q/a')
            assert entry.stopped == [1, 2]
            entry.end_runs()
            assert '"canceled"' in await entry.answer(caller)

    @run_in_loop
    async def test_other_entries_hear_of_the_cancel(self):
        """Guards against a cancel that an entry without the job drops."""
        async with running_entry() as entry:
            seeds = [entry.node.options.address]
            async with running_entry('e1', seeds) as other:
                await entry.until(lambda: entry.node.peers)
                await other.until(lambda: other.node.peers)
                entry.connect_endpoint()
                entry.send('a')
                await entry.until(lambda: len(entry.orders) == 2)
                for each in (entry, other):
                    apply_routes(each, 2)
                assert ' 410 ' in await ask(other, 'DELETE', '/q/a')
                await entry.until(lambda: entry.stopped == [1, 2])

    @run_in_loop
    async def test_status_without_a_job(self):
        """Guards against an acknowledgement below a route that never was."""
        async with running_entry() as entry:
            assert ' 404 ' in await ask(entry, 'DELETE', '/never/a')
            assert ' 404 ' in await ask(entry, 'DELETE', '/q')
            apply_routes(entry, 2)
            assert ' 410 ' in await ask(entry, 'DELETE', '/q/b')
            assert ' 404 ' in await ask(entry, 'DELETE', '/never/b')
            assert ' 404 ' in await ask(entry, 'GET', '/q/b')
            assert ' 404 ' in await ask(entry, 'POST', '/q/b')

    @run_in_loop
    async def test_number_of_remembered_routes(self):
        """Guards against memory that grows with each version."""
        async with running_entry() as entry:
            limit = dispatch.FORMER_ROUTES_MAX
            prefixes = [f'/{index}/' for index in range(limit + 5)]
            apply_routes(entry, 2, *prefixes)
            apply_routes(entry, 3)
            assert len(entry.node.former_routes) == limit


class TestUnconfirmed:
    @run_in_loop
    async def test_entry_that_reaches_nobody(self):
        """Guards against an acknowledged cancel that no other entry has."""
        async with running_entry() as entry:
            others = (('127.0.0.1:1', 'a'), ('127.0.0.1:2', 'a'))
            entry.shell.feed(events.MembersSeen(others))
            answer = await entry.answer(entry.cancel('a'))
            assert ' 503 ' in answer
            assert 'retry-after: 1\r\n' in answer
            assert entry.node.canceled_jobs

    @run_in_loop
    async def test_caller_leaves(self):
        """Guards against waits that are kept for callers that have left."""
        async with running_entry() as entry:
            others = (('127.0.0.1:1', 'a'), ('127.0.0.1:2', 'a'))
            entry.shell.feed(events.MembersSeen(others))
            client = entry.cancel('a')
            await entry.until(lambda: entry.node.cancel_checks.waits)
            client.close()
            await entry.until(lambda: not entry.node.cancel_checks.waits)
            assert not entry.node.counters['cancels_unconfirmed']

    @run_in_loop
    async def test_route_that_only_another_entry_had(self):
        """Guards against 404 for a job that a restarted entry doesn't know."""
        async with running_entry() as entry:
            seeds = [entry.node.options.address]
            async with running_entry('e1', seeds) as other:
                await entry.until(lambda: entry.node.peers)
                await other.until(lambda: other.node.peers)
                entry.connect_endpoint()
                entry.send('a')
                await entry.until(lambda: len(entry.orders) == 2)
                other.node.routing = dispatch.Routing(2, {})
                assert ' 200 ' in await other.answer(other.cancel('a'))
                assert entry.stopped == [1, 2]
                assert ' 404 ' in await other.answer(other.cancel('b'))
