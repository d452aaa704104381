"""Registration of a process in the store under a lease."""

import asyncio

from azurepier.store import _interface

# Time after which the store removes the key of a process that has died (s).
LEASE_TTL_S = 6.0
RENEW_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.5
# Timeout for revoking the lease when the process exits (s).
END_TIMEOUT_S = 0.3


async def register(store, key, value, on_fault):
    """Keep a key in the store until cancelled, then remove it.

    Parameters
    ----------
    store : object
        ``grant(ttl_s) -> lease``, ``put(key, value, lease)``,
        ``renew(lease)``, ``end(lease)``.
    key : str
        Must not be written by another process, since the key is removed with
        the lease of its last writer.
    value : bytes
    on_fault : callable
        Called with the reason of each failure, and with None after each
        successful request.
    """
    lease = None
    try:
        while True:
            try:
                if lease is None:
                    granted = await store.grant(LEASE_TTL_S)
                    await store.put(key, value, granted)
                    lease = granted
                else:
                    await store.renew(lease)
            except _interface.LeaseLostError as exc:
                if lease is None:
                    # The lease was lost before the key was written.
                    on_fault(str(exc))
                    await asyncio.sleep(RETRY_DELAY_S)
                # A lease that expired while the store was unavailable is
                # replaced immediately, without a backoff.
                lease = None
                continue
            except _interface.StoreError as exc:
                on_fault(str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            on_fault(None)
            await asyncio.sleep(RENEW_INTERVAL_S)
    finally:
        if lease is not None:
            await _end_lease(store, lease, on_fault)


async def _end_lease(store, lease, on_fault):
    try:
        async with asyncio.timeout(END_TIMEOUT_S):
            await store.end(lease)
    except (_interface.StoreError, TimeoutError) as exc:
        # Nothing else to do: the lease expires by itself.
        on_fault(str(exc) or 'the store did not end the lease in time')
