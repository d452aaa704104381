"""Finds entries that stopped answering while requests wait for them.

A job may take as long as its deadline, so a request that waits says little.
An entry whose event loop runs answers ``/healthz`` at once.
"""

import asyncio

import attrs

# A request that has waited for this long makes the client look (s).
PATIENCE_S = 0.5
PROBE_LIMIT_S = 1.0
_INTERVAL_S = 0.25


@attrs.define(eq=False)
class Wait:
    """One open request; `timeout` is its asyncio.Timeout."""

    url: str
    began_at: float
    timeout: asyncio.Timeout


@attrs.define(eq=False)
class Watch:
    """Open requests and the probes of entries that let them wait.

    Parameters
    ----------
    probe : callable
        ``await probe(url)`` tells whether the entry answers.
    doubt : callable
        ``doubt(url)`` is called before a probe.
    """

    probe: object
    doubt: object
    _open: set = attrs.field(factory=set)
    _probes: dict = attrs.field(factory=dict)
    _task: object = None

    def begin(self, url, timeout):
        """Watch a request until `end`."""
        loop = asyncio.get_running_loop()
        wait = Wait(url, loop.time(), timeout)
        self._open.add(wait)
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        return wait

    def end(self, wait):
        """Forget a request."""
        self._open.discard(wait)

    def close(self):
        """Stop all probes."""
        for task in (self._task, *self._probes.values()):
            if task is not None:
                task.cancel()

    async def _run(self):
        loop = asyncio.get_running_loop()
        while self._open:
            await asyncio.sleep(_INTERVAL_S)
            limit = loop.time() - PATIENCE_S
            for url in {w.url for w in self._open if w.began_at <= limit}:
                probe = self._probes.get(url)
                if probe is None or probe.done():
                    self._probes[url] = loop.create_task(self._look(url))

    async def _look(self, url):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        self.doubt(url)
        if await self.probe(url):
            return
        for wait in self._open:
            if wait.url != url or wait.began_at > began_at:
                continue
            if not wait.timeout.expired():
                wait.timeout.reschedule(loop.time())
