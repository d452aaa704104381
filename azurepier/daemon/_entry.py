"""Startup of an entry."""

import asyncio
import contextlib

from azurepier.daemon import _metrics
from azurepier.daemon import _platform
from azurepier.daemon import _process
from azurepier.daemon import _web
from azurepier import entry
from azurepier.kernel import messages
from azurepier import web
from azurepier import wire


def _make_entry_info(node):
    """Return the record of an entry that is published on the platform."""
    opt = node.options
    return messages.EntryInfo(
        name=opt.name,
        incarnation=node.incarnation,
        address=opt.address,
        web_address=opt.web_address,
        domain=opt.domain,
        draining=node.draining,
    )


def _make_options(settings, sock, web_sock):
    web_address = f'http://{wire.bound_address(web_sock)}'
    return entry.Options(
        name=settings.name,
        domain=settings.domain,
        address=settings.address or wire.bound_address(sock),
        web_address=settings.web_address or web_address,
        seeds=settings.seeds,
    )


async def start_entry(settings, rng):
    """Start an entry.

    Parameters
    ----------
    settings : EntrySettings
    rng : random.Random

    Returns
    -------
    Process

    Raises
    ------
    AzurepierError
        If an address can't be bound or a key file can't be read.
    """
    loop = asyncio.get_running_loop()
    async with contextlib.AsyncExitStack() as stack:
        sock = stack.enter_context(_process.bind(settings, 'listen'))
        web_sock = stack.enter_context(_process.bind(settings, 'web_listen'))
        options = _make_options(settings, sock, web_sock)
        node = entry.create(options, rng, loop.time())
        metrics = _metrics.create()
        shell, keys, reader = _process.make_shell(
            entry, node, settings, rng, metrics
        )
        stack.push_async_callback(shell.close)
        if reader is not None:
            tasks = _platform.start_entry_tasks(
                reader, lambda: _make_entry_info(node)
            )
            stack.push_async_callback(_platform.shut_down, reader, tasks)
        app = web.create_app(shell, metrics.registry)
        server = await _web.serve(app, web_sock, shell.limits)
        stack.push_async_callback(server.close)
        listener = await wire.listen(
            sock,
            shell.hooks,
            max_connections=shell.limits.max_inner_connections,
        )
        stack.callback(listener.close)
        return _process.Process(
            shell,
            keys,
            stack.pop_all(),
            {
                'listen': wire.bound_address(sock),
                'web_listen': wire.bound_address(web_sock),
                'address': options.address,
                'web_address': options.web_address,
            },
        )
