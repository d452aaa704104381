"""Tests of the stand-in for a worker."""

import asyncio
import json

from standins import _server
from standins import worker


def run(scenario, **options):
    """Run ``scenario(state, send)`` and return its result."""
    state = worker.Worker(**options)

    async def send(method, path, **value):
        body = json.dumps(value).encode()
        request = _server.Request(method, path, body)
        reply = await worker.handle(state, request)
        return reply.status, reply.value

    return asyncio.run(scenario(state, send))


async def start_long_task(state, send, path, **value):
    """Start a long task, wait until it runs and return its request."""
    request = {'kind': 'sleep', 'payload': {'ms': 600_000}, **value}
    task = asyncio.create_task(send('PUT', path, **request))
    while not state.running:
        await asyncio.sleep(0)
    return task


class TestWorker:
    def test_kinds_and_fail_all(self):
        # The demo and the tests rely on the documented behaviour of the kinds
        # and faults.
        async def scenario(state, send):
            _, value = await send(
                'PUT', '/tasks/j/0', kind='echo', payload=[1]
            )
            assert value['output'] == [1]
            status, _ = await send('PUT', '/tasks/j/1', kind='fail')
            assert status == 422
            await send('POST', '/fault', fail_all=True)
            status, _ = await send('PUT', '/tasks/j/2', kind='echo')
            assert status == 422
            _, starts = await send('GET', '/starts')
            assert starts == {'j/0': 1, 'j/1': 1, 'j/2': 1}

        run(scenario)

    def test_second_start_is_counted(self):
        # Tests of invariant 1 rely on the worker to detect second starts of a
        # task.
        async def scenario(state, send):
            await send('PUT', '/tasks/j/0', kind='echo')
            status, _ = await send('PUT', '/tasks/j/0', kind='echo')
            assert status == 409
            _, starts = await send('GET', '/starts')
            assert starts == {'j/0': 2}

        run(scenario)

    def test_task_whose_lease_lapses_is_stopped(self):
        # Guards against tasks that keep running after their endpoint process
        # has died.
        async def scenario(state, send):
            task = await start_long_task(
                state, send, '/tasks/j/0', lease_ms=60_000
            )
            assert (await send('PUT', '/tasks/j/0/lease', lease_ms=1))[
                0
            ] == 200
            assert (await task)[0] == 410
            assert (await send('PUT', '/tasks/j/0/lease'))[0] == 404

        run(scenario)

    def test_stop_frees_the_slot(self):
        # Guards against leaked slots and against more tasks than slots.
        async def scenario(state, send):
            task = await start_long_task(state, send, '/tasks/j/0')
            status, _ = await send('PUT', '/tasks/j/1', kind='echo')
            assert status == 429
            await send('DELETE', '/tasks/j/0')
            assert (await task)[0] == 410
            status, _ = await send('PUT', '/tasks/j/1', kind='echo')
            assert status == 200
            assert state.most_running == 1
            assert state.starts == {'j/0': 1, 'j/1': 1}

        run(scenario, slots=1)
