"""Watching a key of the store, with retries after faults."""

import asyncio

from azurepier.store import _interface

# Maximum wait of a single watch request (s). A connection can go silent, but a
# change has to take effect within 2 s after the connection has recovered.
WATCH_WAIT_S = 1.5
# Delay before a retry (s); the store bills every call, also a refused one.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4


async def follow(store, key, on_value, on_fault, rng):
    """Report the current value of a key and each new one, until cancelled.

    Parameters
    ----------
    store : object
        ``read(key) -> Page``, ``watch(prefix, revision, wait_s) -> Page``.
    key : str
    on_value : callable
        Called with each `Item` in the order of revisions, possibly more than
        once with the same item.
    on_fault : callable
        Called with the reason of each failure, and with None after each
        successful request.
    rng : random.Random
        Adds jitter to the retries of several processes.
    """
    revision = None
    history_losses = 0
    while True:
        try:
            if revision is None:
                page = await store.read(key)
            else:
                page = await store.watch(key, revision, WATCH_WAIT_S)
        except _interface.HistoryLostError as exc:
            revision = None
            history_losses += 1
            on_fault(str(exc))
            if history_losses > 1:
                # The watch failed again right after a fresh read, so wait
                # before the retry instead of reading in a tight loop.
                await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            continue
        except _interface.StoreError as exc:
            on_fault(str(exc))
            await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            continue
        if revision is not None:
            history_losses = 0
        on_fault(None)
        for item in page.items:
            if item.key == key:
                on_value(item)
        revision = max(page.revision, revision or 0)
