"""Tests of both clients against entries that fail as told."""

import asyncio
import contextlib
import functools
import json
import random

import pytest

from azurepier import client
from azurepier.client import _supply
from azurepier.client.tests import fakes
from azurepier import kernel

_TASK = [client.Task('echo', 1)]


def _asynchronous(function):
    @functools.wraps(function)
    def test(self, **params):
        asyncio.run(function(self, **params))

    return test


@contextlib.asynccontextmanager
async def _fleet(*scripts, **options):
    """Start an entry per script; yield a client and the entries."""
    entries = [await fakes.FakeEntry(script).start() for script in scripts]
    urls = [entry.url for entry in entries]
    options.setdefault('rng', random.Random(1))
    async with client.AsyncClient(urls, 'ash', 'tok', **options) as cli:
        yield cli, entries
    for entry in entries:
        await entry.stop()


def _puts(entries):
    return [seen[1:] for e in entries for seen in e.seen if seen[0] == 'PUT']


class TestSubmit:
    @_asynchronous
    async def test_one_request_per_job_once_ids_are_there(self):
        # Guards against a round trip for an id before each job.
        async with _fleet([]) as (cli, entries):
            for _ in range(30):
                result = await cli.submit(_TASK, urgent=True)
                assert result.outputs == [1]
            assert len(entries[0].seen) == 30
            assert entries[0].id_requests == 1
            assert len({job_id for _, job_id, _ in entries[0].seen}) == 30
            body = json.loads(entries[0].seen[0][2])
            assert 59_000 < body.pop('deadline_ms') <= 60_000
            assert body == {
                'customer': 'ash',
                'urgent': True,
                'idempotent': False,
                'tasks': [{'kind': 'echo', 'payload': 1}],
            }

    @pytest.mark.parametrize('end', [fakes.CLOSE, fakes.GARBAGE])
    @_asynchronous
    async def test_broken_request_is_repeated_elsewhere(self, end):
        # Guards against a second id, under which the job could run twice.
        async with _fleet([end], []) as (cli, entries):
            result = await cli.submit(_TASK)
            assert result.submissions == 2
            assert [len(_puts([entry])) for entry in entries] == [1, 1]
            first, second = _puts(entries)
            assert first == second

    @_asynchronous
    async def test_silent_entry_is_left_within_the_deadline(self):
        async with _fleet([fakes.SILENCE]) as (cli, entries):
            result = await cli.submit(_TASK, deadline_s=1.2)
            assert result.submissions == 2
            assert len(set(_puts(entries))) == 1

    @_asynchronous
    async def test_frozen_entry_is_noticed_long_before_the_deadline(self):
        # Guards against jobs that wait for half of their deadline, and
        # against an entry that keeps its connections and gets more jobs.
        async with _fleet([], []) as (cli, entries):
            await cli.submit(_TASK)
            entries[0].frozen = True
            results = await asyncio.gather(
                *(cli.submit(_TASK, deadline_s=3600) for _ in range(2))
            )
            assert sorted(r.submissions for r in results) == [1, 2]

    @_asynchronous
    async def test_entry_that_is_gone_costs_no_submission(self):
        # Guards against ids whose owner is gone: another entry would have
        # to look for work that was never sent.
        # Entries issue ids of other owners too, so all are dropped.
        async with _fleet([], [], retry_share=0.0) as (cli, entries):
            for number in range(8):
                if number == 2:
                    await entries[0].stop()
                result = await cli.submit(_TASK)
                assert result.submissions == 1
            port = entries[1].url.rpartition(':')[2]
            used = [job_id for job_id, _ in _puts(entries[1:])]
            first = fakes.IDS_PER_REQUEST
            assert used[1:] == [f'{port}-{first + i}' for i in range(6)]

    @_asynchronous
    async def test_retry_after_is_honoured_under_a_new_id(self):
        # Guards against a client that comes back early, or under an id
        # that the owner keeps refusing.
        script = [fakes.refused('overloaded', retry_after_ms=150)]
        async with _fleet(script) as (cli, entries):
            begin = asyncio.get_running_loop().time()
            await cli.submit(_TASK)
            assert asyncio.get_running_loop().time() - begin >= 0.15
            assert len({job_id for job_id, _ in _puts(entries)}) == 2

    @_asynchronous
    async def test_overload_beyond_the_deadline_is_raised_at_once(self):
        script = [fakes.refused('overloaded', retry_after_ms=9000)]
        async with _fleet(script) as (cli, entries):
            with pytest.raises(client.OverloadedError) as info:
                await cli.submit(_TASK, deadline_s=5)
            assert info.value.verdict is kernel.Verdict.NOT_RUN
            assert info.value.retry_after_s == 9.0

    @pytest.mark.parametrize('idempotent', [True, False])
    @_asynchronous
    async def test_only_an_idempotent_job_is_run_again(self, idempotent):
        script = [fakes.refused('task-lost', 'may_have_run')]
        async with _fleet(script) as (cli, entries):
            if idempotent:
                await cli.submit(_TASK, idempotent=True)
            else:
                with pytest.raises(client.MayHaveRunError):
                    await cli.submit(_TASK)
            assert len(_puts(entries)) == 1 + idempotent

    @_asynchronous
    async def test_answer_is_fetched_when_the_budget_is_spent(self):
        # Guards against resubmissions beyond the budget, and against a
        # lost answer because of it.
        script = [fakes.CLOSE, fakes.complete(1)] * 5
        async with _fleet(script, retry_share=0.0) as (cli, entries):
            for _ in range(5):
                assert (await cli.submit(_TASK)).outputs == [1]
            assert len(_puts(entries)) == 5 + 3
            assert [r[0] for r in entries[0].seen].count('GET') == 2

    @_asynchronous
    async def test_partial_answer_is_not_a_result(self):
        async with _fleet([fakes.complete(1)] * 99) as (cli, entries):
            with pytest.raises(client.MayHaveRunError):
                await cli.submit(_TASK * 2, deadline_s=0.3)

    @pytest.mark.parametrize(
        ('tasks', 'deadline_s'),
        [([], 1), (_TASK * 141, 1), (_TASK, 0), (_TASK, 3601)]
        + [([client.Task('k', value)], 1) for value in (float('nan'), {1})],
    )
    @_asynchronous
    async def test_wrong_arguments_are_not_sent(self, tasks, deadline_s):
        async with _fleet([]) as (cli, entries):
            with pytest.raises(kernel.InvalidInputError):
                await cli.submit(tasks, deadline_s=deadline_s)
            assert not entries[0].seen


class TestBlockingClient:
    def test_submits_from_several_threads(self):
        async def main():
            entry = await fakes.FakeEntry().start()
            with client.Client([entry.url], 'ash') as cli:
                results = await asyncio.gather(
                    *(asyncio.to_thread(cli.submit, _TASK) for _ in range(8))
                )
            assert [result.outputs for result in results] == [[1]] * 8
            assert len({result.job_id for result in results}) == 8
            with pytest.raises(RuntimeError):
                cli.submit(_TASK)
            await entry.stop()

        asyncio.run(main())


class TestSupply:
    def test_ids_are_used_once_and_not_when_old(self):
        # Guards against an id that expires before a resubmission.
        pool = _supply.IdPool()
        pool.put('a', ['1', '2', '3'], 100.0, 0.0)
        assert pool.take('a', 10.0) == '1'
        pool.put('a', ['4'], 100.0, 20.0)
        assert [pool.take('a', 49.0) for _ in range(2)] == ['2', '3']
        assert pool.take('a', 51.0) is None
        assert pool.take('b', 0.0) is None

    def test_entries_take_turns_and_suspects_wait(self):
        entries = _supply.Entries(('a', 'b', 'c'))
        assert [entries.pick(0.0) for _ in range(4)] == ['a', 'b', 'c', 'a']
        entries.suspect('b', 0.0)
        assert entries.pick(1.0) == 'c'
        assert entries.pick(1.0, avoid='c') == 'a'
        assert [entries.pick(3.0) for _ in range(2)] == ['a', 'b']
