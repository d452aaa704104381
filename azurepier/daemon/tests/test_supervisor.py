"""Tasks that run as long as the process."""

import asyncio
import random

from azurepier.daemon import _supervisor


def run(coro):
    return asyncio.run(coro)


class TestSupervisor:
    def test_a_task_that_fails_runs_again(self, monkeypatch):
        """Guards against a follower that one bad answer ends for good."""
        monkeypatch.setattr(_supervisor, 'PAUSE_MIN_S', 0.001)
        starts = []

        async def task():
            starts.append(1)
            if len(starts) < 4:
                raise RecursionError('deep')
            await asyncio.sleep(10)

        async def main():
            supervisor = _supervisor.Supervisor(random.Random(1))
            supervisor.start('t', task)
            while len(starts) < 4:
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.01)
            found = dict(supervisor.failures), set(supervisor.waiting)
            await supervisor.stop()
            return found

        assert run(main()) == ({'t': 3}, set())

    def test_a_task_that_returns_runs_again(self, monkeypatch):
        """Guards against a task that ends without an error."""
        monkeypatch.setattr(_supervisor, 'PAUSE_MIN_S', 0.001)
        starts = []

        async def task():
            starts.append(1)

        async def main():
            supervisor = _supervisor.Supervisor(random.Random(1))
            supervisor.start('t', task)
            while len(starts) < 3:
                await asyncio.sleep(0.001)
            await supervisor.stop()

        run(main())

    def test_restarts_are_paced(self):
        """Guards against a loop that takes the whole processor."""
        starts = []

        async def task():
            starts.append(1)
            raise ValueError('always')

        async def main():
            supervisor = _supervisor.Supervisor(random.Random(1))
            supervisor.start('t', task)
            await asyncio.sleep(0.5)
            assert supervisor.waiting == {'t'}
            await supervisor.stop()

        run(main())
        # Pauses of 0.05, 0.1, 0.2 s at least.
        assert 2 <= len(starts) <= 5
