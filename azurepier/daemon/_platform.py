"""Exchange with the platform: registration, watch and reads.

Faults of the platform are logged and never end the process: nodes go on
with the members and the configuration in memory.
"""

import asyncio
import random

import attrs

from azurepier.daemon import _logs
from azurepier import etcd
from azurepier import kernel
from azurepier.kernel import events

# An entry's record disappears this long after its last renewal.
RECORD_TTL_S = 15
RENEW_INTERVAL_S = 4.0
# A watch whose connection went silent looks like one without changes.
READ_INTERVAL_S = 2.0
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0
UNREGISTER_LIMIT_S = 2.0

_log = _logs.EventLog('azurepier.daemon.platform')


@attrs.define(eq=False)
class Reader:
    """What was last read, and where changes are passed to.

    Parameters
    ----------
    client : azurepier.etcd.Client
    feed : callable
        Takes `MembersSeen` and `ConfigSeen`.
    rng : random.Random
        For jitter.
    """

    client: etcd.Client
    feed: object
    rng: random.Random
    body: bytes | None = None
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    reading: asyncio.Task | None = None


def see_config(reader, body):
    """Pass on a configuration unless it is the one passed on last."""
    if body is not None and body != reader.body:
        reader.body = body
        reader.feed(events.ConfigSeen(body))


async def read(reader):
    """Read the entries and the configuration once.

    Raises
    ------
    PlatformError
    """
    entries = await reader.client.list_entries()
    reader.feed(events.MembersSeen(tuple(entries)))
    body, _ = await reader.client.read_config()
    see_config(reader, body)


async def _attempt(step, *args):
    """Run `step`; log a fault of the platform and return whether it ran."""
    try:
        await step(*args)
    except kernel.PlatformError as exc:
        _log.warning('platform_failed', reason=str(exc))
        return False
    except Exception as exc:
        _log.error('platform_client_failed', exc_info=exc, error=repr(exc))
        return False
    return True


async def _repeat(reader, step, pause):
    """Run `step` for ever; after faults wait longer, with jitter."""
    delay_s = RETRY_MIN_S
    while True:
        if await _attempt(step, reader):
            delay_s = RETRY_MIN_S
            await pause(reader)
        else:
            await asyncio.sleep(delay_s * reader.rng.uniform(0.5, 1.5))
            delay_s = min(2 * delay_s, RETRY_MAX_S)


def read_once(reader):
    """Read in the background unless a read is under way."""
    if reader.reading is None or reader.reading.done():
        loop = asyncio.get_running_loop()
        reader.reading = loop.create_task(_attempt(read, reader))


# Entry -------------------------------------------------------------------


async def _watch(reader):
    async for change in reader.client.watch():
        if change.key == etcd.CONFIG_KEY:
            see_config(reader, change.value)
        elif not change.key or change.key.startswith(etcd.ENTRIES_PREFIX):
            reader.changed.set()


async def _no_pause(reader):
    # A watch that ends without a fault is begun again like after one.
    await asyncio.sleep(RETRY_MIN_S)


async def _until_changed(reader):
    try:
        async with asyncio.timeout(READ_INTERVAL_S):
            await reader.changed.wait()
    except TimeoutError:
        pass
    reader.changed.clear()


def _make_announce(info):
    """Return a step that registers an entry and keeps its record alive.

    Parameters
    ----------
    info : callable
        Returns the `EntryInfo` to announce.
    """
    announced = None

    async def announce(reader):
        nonlocal announced
        current = info()
        if current == announced:
            await reader.client.keep_alive()
        else:
            await reader.client.register(current, RECORD_TTL_S)
            announced = current

    return announce


async def _renew_pause(reader):
    await asyncio.sleep(RENEW_INTERVAL_S)


def serve_entry(reader, info):
    """Start what an entry does with the platform.

    Parameters
    ----------
    reader : Reader
    info : callable
        Returns the entry's current `EntryInfo`.

    Returns
    -------
    list of asyncio.Task
        They run until they are cancelled.
    """
    loop = asyncio.get_running_loop()
    loops = (
        (_make_announce(info), _renew_pause),
        (_watch, _no_pause),
        (read, _until_changed),
    )
    return [loop.create_task(_repeat(reader, *pair)) for pair in loops]


async def leave(reader, tasks):
    """End the tasks, remove the entry's record and close the client."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if tasks:
        try:
            async with asyncio.timeout(UNREGISTER_LIMIT_S):
                await _attempt(_unregister, reader)
        except TimeoutError:
            _log.warning('platform_failed', reason='unregister: timed out')
    if reader.reading is not None:
        reader.reading.cancel()
    await reader.client.close()


async def _unregister(reader):
    await reader.client.unregister()
