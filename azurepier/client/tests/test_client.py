"""Tests of both clients against entries with scripted failures."""

import asyncio
import contextlib
import functools
import json
import random

import pytest

from azurepier import client
from azurepier.client import _entries
from azurepier.client.tests import fakes
from azurepier import kernel

_ONE_TASK = [client.Task('echo', 1)]


def _in_event_loop(function):
    @functools.wraps(function)
    def test(self, **params):
        asyncio.run(function(self, **params))

    return test


@contextlib.asynccontextmanager
async def _running_entries(*scripts, **options):
    """Start an entry for each script; yield a client and the entries."""
    entries = [await fakes.FakeEntry(script).start() for script in scripts]
    urls = [entry.url for entry in entries]
    options.setdefault('rng', random.Random(1))
    async with client.AsyncClient(urls, 'ash', 'tok', **options) as job_client:
        yield job_client, entries
    for entry in entries:
        await entry.stop()


def _submissions(entries):
    return [
        request[1:]
        for e in entries
        for request in e.requests
        if request[0] == 'PUT'
    ]


class TestSubmit:
    @_in_event_loop
    async def test_one_request_per_job_with_prefetched_ids(self):
        """Guards against a round trip for an id before each job."""
        async with _running_entries([]) as (job_client, entries):
            for _ in range(30):
                result = await job_client.submit(_ONE_TASK, urgent=True)
                assert result.outputs == [1]
            assert len(entries[0].requests) == 30
            assert entries[0].id_requests == 1
            assert len({job_id for _, job_id, _ in entries[0].requests}) == 30
            body = json.loads(entries[0].requests[0][2])
            assert 59_000 < body.pop('deadline_ms') <= 60_000
            assert body == {
                'customer': 'ash',
                'urgent': True,
                'idempotent': False,
                'tasks': [{'kind': 'echo', 'payload': 1}],
            }

    @pytest.mark.parametrize('failure', [fakes.CLOSE, fakes.BAD_GATEWAY])
    @_in_event_loop
    async def test_broken_request_is_repeated_elsewhere(self, failure):
        """Under a second id the job could run twice."""
        async with _running_entries([failure], []) as (job_client, entries):
            result = await job_client.submit(_ONE_TASK)
            assert result.submissions == 2
            assert [len(_submissions([entry])) for entry in entries] == [1, 1]
            first, second = _submissions(entries)
            assert first == second

    @_in_event_loop
    async def test_request_without_response_is_repeated_in_time(self):
        """Guards against waiting for one request until the deadline."""
        async with _running_entries([fakes.NO_RESPONSE]) as (
            job_client,
            entries,
        ):
            result = await job_client.submit(_ONE_TASK, deadline_s=1.2)
            assert result.submissions == 2
            assert len(set(_submissions(entries))) == 1

    @_in_event_loop
    async def test_frozen_entry_is_noticed_long_before_the_deadline(self):
        """Guards against jobs that wait for half of their deadline.

        A frozen entry keeps its connections open, and must not receive more
        jobs.
        """
        async with _running_entries([], []) as (job_client, entries):
            await job_client.submit(_ONE_TASK)
            entries[0].frozen = True
            results = await asyncio.gather(
                *(
                    job_client.submit(_ONE_TASK, deadline_s=3600)
                    for _ in range(2)
                )
            )
            assert sorted(r.submissions for r in results) == [1, 2]

    @_in_event_loop
    async def test_entry_that_is_gone_costs_no_submission(self):
        """Guards against submissions under ids whose owner is gone.

        Another entry would have to search for work that was never sent.
        Entries also issue ids of other owners, so all ids are discarded.
        """
        async with _running_entries([], [], retry_share=0.0) as (
            job_client,
            entries,
        ):
            for number in range(8):
                if number == 2:
                    await entries[0].stop()
                result = await job_client.submit(_ONE_TASK)
                assert result.submissions == 1
            port = entries[1].url.rpartition(':')[2]
            used = [job_id for job_id, _ in _submissions(entries[1:])]
            first_number = fakes.IDS_PER_REQUEST
            assert used[1:] == [f'{port}-{first_number + i}' for i in range(6)]

    @_in_event_loop
    async def test_retry_after_is_honoured_under_a_new_id(self):
        """Guards against an early retry and a retry under a refused id."""
        script = [fakes.refused('overloaded', retry_after_ms=150)]
        async with _running_entries(script) as (job_client, entries):
            started_at = asyncio.get_running_loop().time()
            await job_client.submit(_ONE_TASK)
            assert asyncio.get_running_loop().time() - started_at >= 0.15
            assert len({job_id for job_id, _ in _submissions(entries)}) == 2

    @_in_event_loop
    async def test_overload_beyond_the_deadline_is_raised_at_once(self):
        """Guards against waiting for a retry that would be too late."""
        script = [fakes.refused('overloaded', retry_after_ms=9000)]
        async with _running_entries(script) as (job_client, entries):
            with pytest.raises(client.OverloadedError) as info:
                await job_client.submit(_ONE_TASK, deadline_s=5)
            assert info.value.verdict is kernel.Verdict.NOT_RUN
            assert info.value.retry_after_s == 9.0

    @pytest.mark.parametrize('idempotent', [True, False])
    @_in_event_loop
    async def test_only_an_idempotent_job_is_run_again(self, idempotent):
        """Guards against running a non-idempotent job twice."""
        script = [fakes.refused('task-lost', 'may_have_run')]
        async with _running_entries(script) as (job_client, entries):
            if idempotent:
                await job_client.submit(_ONE_TASK, idempotent=True)
            else:
                with pytest.raises(client.MayHaveRunError):
                    await job_client.submit(_ONE_TASK)
            assert len(_submissions(entries)) == 1 + idempotent

    @_in_event_loop
    async def test_answer_is_fetched_when_the_budget_is_exhausted(self):
        """Guards against resubmissions beyond the budget and lost answers."""
        script = [fakes.CLOSE, fakes.complete(1)] * 5
        async with _running_entries(script, retry_share=0.0) as (
            job_client,
            entries,
        ):
            for _ in range(5):
                assert (await job_client.submit(_ONE_TASK)).outputs == [1]
            assert len(_submissions(entries)) == 5 + 3
            assert [r[0] for r in entries[0].requests].count('GET') == 2

    @_in_event_loop
    async def test_partial_answer_is_not_a_result(self):
        """Guards against a result that lacks outputs of some tasks."""
        async with _running_entries([fakes.complete(1)] * 99) as (
            job_client,
            entries,
        ):
            with pytest.raises(client.MayHaveRunError):
                await job_client.submit(_ONE_TASK * 2, deadline_s=0.3)

    @pytest.mark.parametrize(
        ('tasks', 'deadline_s'),
        [([], 1), (_ONE_TASK * 141, 1), (_ONE_TASK, 0), (_ONE_TASK, 3601)]
        + [([client.Task('k', value)], 1) for value in (float('nan'), {1})],
    )
    @_in_event_loop
    async def test_invalid_arguments_are_not_sent(self, tasks, deadline_s):
        """Guards against requests that an entry would reject."""
        async with _running_entries([]) as (job_client, entries):
            with pytest.raises(kernel.InvalidInputError):
                await job_client.submit(tasks, deadline_s=deadline_s)
            assert not entries[0].requests


class TestBlockingClient:
    def test_submits_from_several_threads(self):
        """Guards against a client that is not thread-safe."""

        async def main():
            entry = await fakes.FakeEntry().start()
            with client.Client([entry.url], 'ash') as job_client:
                results = await asyncio.gather(
                    *(
                        asyncio.to_thread(job_client.submit, _ONE_TASK)
                        for _ in range(8)
                    )
                )
            assert [result.outputs for result in results] == [[1]] * 8
            assert len({result.job_id for result in results}) == 8
            with pytest.raises(RuntimeError):
                job_client.submit(_ONE_TASK)
            await entry.stop()

        asyncio.run(main())


class TestEntries:
    def test_ids_are_used_once_and_expire_early(self):
        """Guards against an id that expires before a resubmission."""
        pool = _entries.IdPool()
        pool.add('a', ['1', '2', '3'], 100.0, 0.0)
        assert pool.take('a', 10.0) == '1'
        pool.add('a', ['4'], 100.0, 20.0)
        assert [pool.take('a', 49.0) for _ in range(2)] == ['2', '3']
        assert pool.take('a', 51.0) is None
        assert pool.take('b', 0.0) is None

    def test_entries_rotate_and_suspects_are_avoided(self):
        """Guards against selecting an entry that failed recently."""
        entries = _entries.EntrySelector(('a', 'b', 'c'))
        assert [entries.pick(0.0) for _ in range(4)] == ['a', 'b', 'c', 'a']
        entries.mark_suspect('b', 0.0)
        assert entries.pick(1.0) == 'c'
        assert entries.pick(1.0, avoid='c') == 'a'
        assert [entries.pick(3.0) for _ in range(2)] == ['a', 'b']
