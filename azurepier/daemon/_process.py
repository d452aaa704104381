"""What both kinds of process share: sockets, start and graceful end."""

import asyncio
import contextlib
import random

import attrs

from azurepier.daemon import _keys
from azurepier.daemon import _logs
from azurepier.daemon import _metrics
from azurepier.daemon import _platform
from azurepier.daemon import _shell
from azurepier import etcd
from azurepier import kernel
from azurepier.kernel import SettingsError
from azurepier import timeline
from azurepier import wire

# No job may be open for longer than the longest deadline.
DRAIN_LIMIT_S = kernel.MAX_DEADLINE_MS / 1000 + 10.0
CLOSE_LIMIT_S = 10.0
RING_EVENTS = 20_000

_log = _logs.EventLog('azurepier.daemon')


@attrs.define(eq=False)
class Process:
    """A started process.

    Parameters
    ----------
    shell : Shell
    keys : Keys
    closers : contextlib.AsyncExitStack
        Ends everything that was started, in reverse order.
    addresses : dict
        Where the process listens, by name of the setting.
    signalled : bool
        Whether a signal has asked the process to stop.
    """

    shell: _shell.Shell
    keys: _keys.Keys
    closers: contextlib.AsyncExitStack
    addresses: dict
    signalled: bool = False


def bind(settings, key):
    """Return a socket that listens on the address of a setting.

    Raises
    ------
    SettingsError
    """
    address = getattr(settings, key)
    try:
        return wire.bind(address)
    except OSError as exc:
        raise SettingsError(
            f'{key}: cannot listen on {address}: {exc.strerror or exc}'
        ) from exc


def make_shell(module, node, settings, rng, metrics):
    """Return a shell for a node, the keys it uses and the platform's reader.

    The reader is None if the settings name no platform.
    """
    keys = _keys.Keys(settings.key_files)
    keys.reload()
    ring = timeline.Ring(RING_EVENTS, settings.name, node.incarnation)
    shell = _shell.Shell(module, node, ring, keys=lambda: keys.current)
    if settings.platform is None:
        _metrics.add_shell(metrics, shell)
        return shell, keys, None
    # The client's own generator: the node's must not depend on timing.
    client = etcd.Client(settings.platform, random.Random(rng.getrandbits(64)))
    _metrics.add_shell(metrics, shell, client.budget)
    return shell, keys, _platform.Reader(client, shell.feed, client.rng)


def announce_start(process):
    """Log that the process serves, with the actual addresses."""
    node = process.shell.node
    _log.info(
        'started',
        role=process.shell.status()['role'],
        incarnation=node.incarnation,
        **process.addresses,
    )


def reload_keys(process):
    """Read the key files again; on a fault the old keys stay in force."""
    try:
        process.keys.reload()
    except SettingsError as exc:
        _log.warning('keys_rejected', reason=str(exc))
    else:
        _log.info('keys_reloaded', count=len(process.keys.current))


async def finish(process):
    """Wait until the process was asked to stop, drain and close it.

    Returns
    -------
    bool
        Whether the drain ended in time.
    """
    await process.shell.stopping.wait()
    drained = True
    try:
        async with asyncio.timeout(DRAIN_LIMIT_S):
            await process.shell.stopped.wait()
    except TimeoutError:
        drained = False
        _log.warning('drain_timed_out', limit_s=DRAIN_LIMIT_S)
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await process.closers.aclose()
    except TimeoutError:
        _log.warning('close_timed_out', limit_s=CLOSE_LIMIT_S)
    _log.info('stopped', drained=drained)
    return drained
