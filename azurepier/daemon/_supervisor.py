"""Supervisor of the background tasks of a process."""

import asyncio

import attrs

from azurepier.daemon import _logs

# Delay before a task that has ended is restarted; it doubles with each
# restart. The maximum is part of the time within which a configuration change
# has to take effect.
RESTART_DELAY_MIN_S = 0.1
RESTART_DELAY_MAX_S = 2.0
# The delay is reset after a task has run for this long.
STABLE_RUN_S = 30.0

_log = _logs.EventLog('azurepier.daemon')


@attrs.define(eq=False)
class Supervisor:
    """Restarts tasks that end, with exponential backoff.

    Parameters
    ----------
    rng : random.Random
        For jitter: spreads the restarts of processes that have the same
        fault.

    Attributes
    ----------
    failures : dict of str to int
        Number of times that each task ended, for the metrics.
    awaiting_restart : set of str
        Tasks that wait for their restart. While there are any, the process
        is not healthy.
    """

    rng: object
    failures: dict = attrs.field(factory=dict)
    awaiting_restart: set = attrs.field(factory=set)
    tasks: list = attrs.field(factory=list)

    def start(self, name, factory):
        """Run ``factory()`` and restart it whenever it ends, until `stop`."""
        self.failures[name] = 0
        loop = asyncio.get_running_loop()
        self.tasks.append(
            loop.create_task(self._run_with_restarts(name, factory))
        )

    async def _run_with_restarts(self, name, factory):
        loop = asyncio.get_running_loop()
        delay_s = RESTART_DELAY_MIN_S
        while True:
            started_at = loop.time()
            error = 'ended'
            try:
                await factory()
            except Exception as exc:
                error = repr(exc)
                _log.error('task_failed', task=name, exc_info=exc, error=error)
            else:
                _log.error('task_failed', task=name, error=error)
            self.failures[name] += 1
            if loop.time() - started_at > STABLE_RUN_S:
                delay_s = RESTART_DELAY_MIN_S
            self.awaiting_restart.add(name)
            await asyncio.sleep(delay_s * self.rng.uniform(0.5, 1.0))
            self.awaiting_restart.discard(name)
            delay_s = min(2 * delay_s, RESTART_DELAY_MAX_S)
            _log.info('task_restarted', task=name)

    async def stop(self):
        """Cancel all tasks and wait for their end."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
