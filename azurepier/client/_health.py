"""Detection of entries that stop responding while requests are open.

A job may take until its deadline, so a long wait does not show that an entry
has failed. An entry whose event loop runs responds to ``/healthz``
immediately.
"""

import asyncio

import attrs

# An entry is probed once a request to it has waited for this time.
PROBE_AFTER_S = 0.5
PROBE_TIMEOUT_S = 1.0
_CHECK_INTERVAL_S = 0.25


@attrs.define(eq=False)
class OpenRequest:
    """An open request; `timeout` is its `asyncio.Timeout`."""

    url: str
    started_at: float
    timeout: asyncio.Timeout


@attrs.define(eq=False)
class HealthChecker:
    """Probes entries that respond slowly.

    When a probe fails, the requests that were open at its start end with a
    timeout.

    Parameters
    ----------
    probe : callable
        ``await probe(url)`` tells whether the entry responds.
    on_suspect : callable
        ``on_suspect(url)`` is called before a probe.
    """

    probe: object
    on_suspect: object
    _requests: set = attrs.field(factory=set)
    _probes: dict = attrs.field(factory=dict)
    _task: object = None

    def add(self, url, timeout):
        """Monitor a request until it is removed."""
        loop = asyncio.get_running_loop()
        request = OpenRequest(url, loop.time(), timeout)
        self._requests.add(request)
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        return request

    def remove(self, request):
        """Stop monitoring a request."""
        self._requests.discard(request)

    def close(self):
        """Stop all probes."""
        for task in (self._task, *self._probes.values()):
            if task is not None:
                task.cancel()

    async def _run(self):
        loop = asyncio.get_running_loop()
        while self._requests:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            latest_start = loop.time() - PROBE_AFTER_S
            for url in {
                request.url
                for request in self._requests
                if request.started_at <= latest_start
            }:
                probe = self._probes.get(url)
                if probe is None or probe.done():
                    self._probes[url] = loop.create_task(
                        self._probe_entry(url)
                    )

    async def _probe_entry(self, url):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.on_suspect(url)
        if await self.probe(url):
            return
        for request in self._requests:
            if request.url != url or request.started_at > started_at:
                continue
            if not request.timeout.expired():
                request.timeout.reschedule(loop.time())
