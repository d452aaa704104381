"""The blocking client."""

import asyncio
import threading

from azurepier.client import _async

_STOP_TIMEOUT_S = 10.0


class Client:
    """Blocking, thread-safe client for the jobs of one customer.

    It runs an `AsyncClient` on an event loop in a separate thread, so that
    connections stay usable and ids are fetched between calls. The parameters
    are those of `AsyncClient`.
    """

    def __init__(self, urls, customer, token=None, **options):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever,
            name='azurepier-client',
            daemon=True,
        )
        self._thread.start()
        self._closed = False
        try:
            self._client = _async.AsyncClient(urls, customer, token, **options)
        except BaseException:
            self._stop()
            raise

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    def _call(self, coro):
        fut = asyncio.run_coroutine_threadsafe(coro, self._loop)
        try:
            return fut.result()
        except BaseException:
            # After an interruption such as KeyboardInterrupt the request must
            # not continue without its caller.
            fut.cancel()
            raise

    def submit(
        self,
        tasks,
        urgent=False,
        idempotent=False,
        deadline_s=_async.DEFAULT_DEADLINE_S,
    ):
        """Run a job and return its result; see `AsyncClient.submit`."""
        if self._closed:
            raise RuntimeError('the client is closed')
        return self._call(
            self._client.submit(tasks, urgent, idempotent, deadline_s)
        )

    def close(self):
        """Close all connections and stop the thread."""
        if not self._closed:
            self._call(self._client.close())
            self._stop()

    def _stop(self):
        self._closed = True
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_STOP_TIMEOUT_S)
        self._loop.close()
