"""Follows a key of the store through its faults."""

import asyncio

from azurepier.store import _interface

# How long one request for changes waits (s). A connection can go silent; a
# change has to be in force 2 s after the connection counts as sound again.
WATCH_WAIT_S = 1.5
# Pause after a failure (s); all calls are paid for, refused ones included.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4


async def follow(store, key, on_value, on_fault, rng):
    """Pass on the value of a key, and each new one, until cancelled.

    Parameters
    ----------
    store : object
        ``read(key) -> Page``, ``watch(prefix, revision, wait_s) -> Page``.
    key : str
    on_value : callable
        Called with each `Item`, in the order of revisions. An item may come
        twice.
    on_fault : callable
        Called with the reason of a failure, and with None once the store
        answers again.
    rng : random.Random
        Spreads the retries of several processes.
    """
    revision = None
    lost = 0
    while True:
        try:
            if revision is None:
                page = await store.read(key)
            else:
                page = await store.watch(key, revision, WATCH_WAIT_S)
        except _interface.HistoryLostError as exc:
            revision = None
            lost += 1
            on_fault(str(exc))
            if lost > 1:
                # The revision read after the first loss is lost as well.
                await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            continue
        except _interface.StoreError as exc:
            on_fault(str(exc))
            await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            continue
        if revision is not None:
            lost = 0
        on_fault(None)
        for item in page.items:
            if item.key == key:
                on_value(item)
        revision = max(page.revision, revision or 0)
