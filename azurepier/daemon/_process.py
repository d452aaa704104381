"""Startup and graceful shutdown common to entries and endpoint processes."""

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

# By this time every open job has passed its deadline.
DRAIN_TIMEOUT_S = kernel.MAX_DEADLINE_MS / 1000 + 10.0
CLOSE_TIMEOUT_S = 10.0
# Maximum number of recent events of the node that are kept for operators.
TIMELINE_CAPACITY = 20_000

_log = _logs.EventLog('azurepier.daemon')


@attrs.define(eq=False)
class Process:
    """A started process.

    Parameters
    ----------
    shell : Shell
    keys : Keys
    exit_stack : contextlib.AsyncExitStack
        Closes everything that was started, in reverse order.
    addresses : dict of str to str
        Bound and advertised addresses, by name of the setting.
    signal_received : bool
        Whether a signal has asked the process to stop.
    """

    shell: _shell.Shell
    keys: _keys.Keys
    exit_stack: contextlib.AsyncExitStack
    addresses: dict
    signal_received: bool = False


def bind(settings, key):
    """Return a socket bound to the address in the setting `key`.

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
    """Return the shell for a node, its keys and the platform reader.

    The reader is None if the setting `platform` is not set.
    """
    keys = _keys.Keys(settings.key_files)
    keys.reload()
    ring = timeline.Ring(TIMELINE_CAPACITY, settings.name, node.incarnation)
    shell = _shell.Shell(module, node, ring, keys=lambda: keys.current)
    if settings.platform is None:
        _metrics.register_shell(metrics, shell)
        return shell, keys, None
    # The client has its own generator: its draws depend on timing, which must
    # not affect the random numbers of the node.
    client = etcd.Client(settings.platform, random.Random(rng.getrandbits(64)))
    _metrics.register_shell(metrics, shell, client.budget)
    return shell, keys, _platform.Reader(client, shell.feed, client.rng)


def log_start(process):
    """Log that the process has started, with the bound addresses."""
    node = process.shell.node
    _log.info(
        'started',
        role=process.shell.status()['role'],
        incarnation=node.incarnation,
        **process.addresses,
    )


def reload_keys(process):
    """Reload the key files; if one is invalid, the old keys stay active."""
    try:
        process.keys.reload()
    except SettingsError as exc:
        _log.warning('keys_rejected', reason=str(exc))
    else:
        _log.info('keys_reloaded', count=len(process.keys.current))


async def drain_and_close(process):
    """Wait for the request to stop, then for the drain; close the process.

    Returns
    -------
    bool
        Whether the drain ended within `DRAIN_TIMEOUT_S`.
    """
    await process.shell.stopping.wait()
    drained = True
    try:
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            await process.shell.stopped.wait()
    except TimeoutError:
        drained = False
        _log.warning('drain_timed_out', limit_s=DRAIN_TIMEOUT_S)
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await process.exit_stack.aclose()
    except TimeoutError:
        _log.warning('close_timed_out', limit_s=CLOSE_TIMEOUT_S)
    _log.info('stopped', drained=drained)
    return drained
