"""Tests of the supervisor, on real time."""

import asyncio
import random

from azurepier.daemon import _supervisor


def run(coro):
    return asyncio.run(coro)


class TestSupervisor:
    def test_failed_task_is_restarted(self, monkeypatch):
        """Guards against a task that an exception ends permanently."""
        monkeypatch.setattr(_supervisor, 'RESTART_DELAY_MIN_S', 0.001)
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
            result = (
                dict(supervisor.failures),
                set(supervisor.awaiting_restart),
            )
            await supervisor.stop()
            return result

        assert run(main()) == ({'t': 3}, set())

    def test_returning_task_is_restarted(self, monkeypatch):
        """Guards against a task that is not restarted if it returns."""
        monkeypatch.setattr(_supervisor, 'RESTART_DELAY_MIN_S', 0.001)
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

    def test_restarts_back_off(self):
        """Guards against restarts without a delay, which take a whole core."""
        starts = []

        async def task():
            starts.append(1)
            raise ValueError('always')

        async def main():
            supervisor = _supervisor.Supervisor(random.Random(1))
            supervisor.start('t', task)
            await asyncio.sleep(0.5)
            assert supervisor.awaiting_restart == {'t'}
            await supervisor.stop()

        run(main())
        # The delays are at least 0.05, 0.1 and 0.2 s.
        assert 2 <= len(starts) <= 5
