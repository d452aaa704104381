"""Tasks that run as long as the process."""

import asyncio

import attrs

from azurepier.daemon import _logs

# Pause before a task that has ended is started again; each is twice as long
# as the one before (s). The longest is a part of the time in which a change
# has to be in force.
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 2.0
# A task that ran for so long begins with the shortest pause again (s).
STEADY_S = 30.0

_log = _logs.EventLog('azurepier.daemon')


@attrs.define(eq=False)
class Supervisor:
    """Starts tasks again when they end.

    Parameters
    ----------
    rng : random.Random
        Spreads the starts of several processes that meet the same fault.

    Attributes
    ----------
    failures : dict of str to int
        Ends of each task, for the metrics.
    waiting : set of str
        Tasks that wait for their next start; the process is not sound.
    """

    rng: object
    failures: dict = attrs.field(factory=dict)
    waiting: set = attrs.field(factory=set)
    tasks: list = attrs.field(factory=list)

    def start(self, name, factory):
        """Run what ``factory()`` returns, a coroutine, until `stop`."""
        self.failures[name] = 0
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(self._keep(name, factory)))

    async def _keep(self, name, factory):
        loop = asyncio.get_running_loop()
        pause_s = PAUSE_MIN_S
        while True:
            began_at = loop.time()
            error = 'ended'
            try:
                await factory()
            except Exception as exc:
                error = repr(exc)
                _log.error('task_failed', task=name, exc_info=exc, error=error)
            else:
                _log.error('task_failed', task=name, error=error)
            self.failures[name] += 1
            if loop.time() - began_at > STEADY_S:
                pause_s = PAUSE_MIN_S
            self.waiting.add(name)
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
            self.waiting.discard(name)
            pause_s = min(2 * pause_s, PAUSE_MAX_S)
            _log.info('task_restarted', task=name)

    async def stop(self):
        """End all tasks."""
        for task in self.tasks:
            task.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
