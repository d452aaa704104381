"""Registration of a process in the store, under a lease."""

import asyncio

from azurepier.store import _interface

# Time after which the store removes the key of a process that is gone (s).
TTL_S = 6.0
RENEW_S = 2.0
RETRY_S = 0.5
# Time for ending the lease when the process ends (s).
END_S = 0.3


async def register(store, key, value, on_fault):
    """Keep a key in the store until cancelled; then remove it.

    Parameters
    ----------
    store : object
        ``grant(ttl_s) -> lease``, ``put(key, value, lease)``,
        ``renew(lease)``, ``end(lease)``.
    key : str
        No other process may write it: the key goes with the lease of the
        last writer.
    value : bytes
    on_fault : callable
        Called with the reason of a failure, and with None once the store
        answers again.
    """
    lease = None
    try:
        while True:
            try:
                if lease is None:
                    granted = await store.grant(TTL_S)
                    await store.put(key, value, granted)
                    lease = granted
                else:
                    await store.renew(lease)
            except _interface.LeaseLostError as exc:
                if lease is None:
                    # A lease that is lost while the key is being written.
                    on_fault(str(exc))
                    await asyncio.sleep(RETRY_S)
                # Else it lapsed while the store was away: the entry is
                # renewed at once.
                lease = None
                continue
            except _interface.StoreError as exc:
                on_fault(str(exc))
                await asyncio.sleep(RETRY_S)
                continue
            on_fault(None)
            await asyncio.sleep(RENEW_S)
    finally:
        if lease is not None:
            await _end(store, lease, on_fault)


async def _end(store, lease, on_fault):
    try:
        async with asyncio.timeout(END_S):
            await store.end(lease)
    except (_interface.StoreError, TimeoutError) as exc:
        # The lease ends by itself.
        on_fault(str(exc) or 'no answer in time')
