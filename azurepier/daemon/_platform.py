"""Background tasks that register with, watch and read the platform.

Failures of the platform are logged and never end the process: nodes continue
with the members and the configuration in memory.
"""

import asyncio
import random

import attrs

from azurepier.daemon import _logs
from azurepier import etcd
from azurepier import kernel
from azurepier.kernel import events

# The lease of an entry's record expires this long after its last renewal.
RECORD_TTL_S = 15
RENEW_INTERVAL_S = 4.0
# Interval of reads in addition to the watch (s): a watch on a stalled
# connection looks like one without changes.
READ_INTERVAL_S = 2.0
RETRY_MIN_S = 0.5
RETRY_MAX_S = 10.0
UNREGISTER_TIMEOUT_S = 2.0

_log = _logs.EventLog('azurepier.daemon.platform')


@attrs.define(eq=False)
class Reader:
    """Reads the platform and passes changes to the node.

    Parameters
    ----------
    client : azurepier.etcd.Client
    feed : callable
        Called with the events `MembersSeen` and `ConfigSeen`; returns
        whether the node has handled them.
    rng : random.Random
        For jitter.

    Attributes
    ----------
    config_body : bytes or None
        The configuration that the node has handled last.
    entries_changed : asyncio.Event
        Set when the watch has seen a change of the entries.
    read_task : asyncio.Task or None
        The latest read that `start_read` began.
    """

    client: etcd.Client
    feed: object
    rng: random.Random
    config_body: bytes | None = None
    entries_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    read_task: asyncio.Task | None = None


def feed_config(reader, body):
    """Pass a configuration to the node if it has changed.

    One that the node failed to handle is passed again by the next read.
    """
    if body is None or body == reader.config_body:
        return
    if reader.feed(events.ConfigSeen(body)):
        reader.config_body = body


async def read(reader):
    """Read the entries and the configuration and pass them to the node.

    Raises
    ------
    PlatformError
    """
    entries = await reader.client.list_entries()
    reader.feed(events.MembersSeen(tuple(entries)))
    body, _ = await reader.client.read_config()
    feed_config(reader, body)


async def _try_step(step, *args):
    """Run `step`; log its failure and return whether it succeeded."""
    try:
        await step(*args)
    except kernel.PlatformError as exc:
        _log.warning('platform_failed', reason=str(exc))
        return False
    except Exception as exc:
        _log.error('platform_client_failed', exc_info=exc, error=repr(exc))
        return False
    return True


async def _repeat_with_backoff(reader, step, pause):
    """Run `step` repeatedly until cancelled.

    `pause` is awaited after a success; failures are repeated with exponential
    backoff and jitter.
    """
    delay_s = RETRY_MIN_S
    while True:
        if await _try_step(step, reader):
            delay_s = RETRY_MIN_S
            await pause(reader)
        else:
            await asyncio.sleep(delay_s * reader.rng.uniform(0.5, 1.5))
            delay_s = min(2 * delay_s, RETRY_MAX_S)


def start_read(reader):
    """Read in the background unless a read is in progress."""
    if reader.read_task is None or reader.read_task.done():
        loop = asyncio.get_running_loop()
        reader.read_task = loop.create_task(_try_step(read, reader))


async def _watch(reader):
    async for change in reader.client.watch():
        if change.key == etcd.CONFIG_KEY:
            feed_config(reader, change.value)
        elif not change.key or change.key.startswith(etcd.ENTRIES_PREFIX):
            reader.entries_changed.set()


async def _pause_before_watch(reader):
    # A watch that ends normally is restarted with the same delay as one that
    # has failed.
    await asyncio.sleep(RETRY_MIN_S)


async def _wait_for_change(reader):
    try:
        async with asyncio.timeout(READ_INTERVAL_S):
            await reader.entries_changed.wait()
    except TimeoutError:
        pass
    reader.entries_changed.clear()


def _make_registration(get_info):
    """Return a step that registers an entry or renews its record's lease.

    Parameters
    ----------
    get_info : callable
        Returns the current `EntryInfo`, which is registered again when it
        has changed.
    """
    registered = None

    async def register_or_renew(reader):
        nonlocal registered
        current = get_info()
        if current == registered:
            await reader.client.keep_alive()
        else:
            await reader.client.register(current, RECORD_TTL_S)
            registered = current

    return register_or_renew


async def _pause_before_renewal(reader):
    await asyncio.sleep(RENEW_INTERVAL_S)


def start_entry_tasks(reader, get_info):
    """Start the tasks of an entry: registration, watch and reads.

    Parameters
    ----------
    reader : Reader
    get_info : callable
        Returns the entry's current `EntryInfo`.

    Returns
    -------
    list of asyncio.Task
        The tasks run until they are cancelled.
    """
    loop = asyncio.get_running_loop()
    steps_and_pauses = (
        (_make_registration(get_info), _pause_before_renewal),
        (_watch, _pause_before_watch),
        (read, _wait_for_change),
    )
    return [
        loop.create_task(_repeat_with_backoff(reader, *step_and_pause))
        for step_and_pause in steps_and_pauses
    ]


async def shut_down(reader, tasks):
    """Cancel the tasks, unregister the entry and close the client.

    Parameters
    ----------
    reader : Reader
    tasks : list of asyncio.Task
        Tasks of `start_entry_tasks`. Empty in an endpoint process, which has
        no record to delete.
    """
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    if tasks:
        try:
            async with asyncio.timeout(UNREGISTER_TIMEOUT_S):
                await _try_step(_unregister, reader)
        except TimeoutError:
            _log.warning('platform_failed', reason='unregister: timed out')
    if reader.read_task is not None:
        reader.read_task.cancel()
    await reader.client.close()


async def _unregister(reader):
    await reader.client.unregister()
