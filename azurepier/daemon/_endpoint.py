"""Startup of an endpoint process."""

import asyncio
import contextlib

from azurepier.daemon import _metrics
from azurepier.daemon import _platform
from azurepier.daemon import _process
from azurepier.daemon import _tasks
from azurepier.daemon import _web
from azurepier.daemon import _worker
from azurepier import endpoint
from azurepier.kernel import effects
from azurepier import web
from azurepier import wire


def _make_options(settings, web_sock):
    return endpoint.Options(
        name=settings.name,
        worker=settings.worker,
        domain=settings.domain,
        slots=settings.slots,
        kinds=settings.kinds,
        largest_size=settings.largest_size,
        seeds=settings.seeds,
        web_address=f'http://{wire.bound_address(web_sock)}',
    )


def _register_effect_handlers(shell, runner, reader):
    """Register the effects that run tasks and read the platform."""

    def run_task(_, effect):
        _tasks.run_task(runner, effect.key, effect.start)

    def stop_task(_, effect):
        _tasks.stop_task(runner, effect.key)

    def read_platform(_, effect):
        if reader is not None:
            _platform.start_read(reader)

    shell.handlers[effects.RunTask] = run_task
    shell.handlers[effects.StopTask] = stop_task
    shell.handlers[effects.ReadPlatform] = read_platform


async def start_endpoint(settings, rng):
    """Start an endpoint process.

    Parameters
    ----------
    settings : EndpointSettings
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
        web_sock = stack.enter_context(_process.bind(settings, 'listen_web'))
        node = endpoint.create(
            _make_options(settings, web_sock), rng, loop.time()
        )
        metrics = _metrics.create(with_run_times=True)
        shell, keys, reader = _process.make_shell(
            endpoint, node, settings, rng, metrics
        )
        if reader is not None:
            stack.push_async_callback(_platform.shut_down, reader, [])
        client = _worker.create_client(settings.worker_url)
        runner = _tasks.Runner(client, shell.feed, metrics.observe_run)
        stack.push_async_callback(runner.close)
        stack.push_async_callback(shell.close)
        _register_effect_handlers(shell, runner, reader)
        # The worker's health is checked before the first connection to an
        # entry, so that the slots of an unreachable worker are not offered.
        await _tasks.check_health(runner)
        runner.run_in_background(_tasks.watch_health(runner))
        runner.run_in_background(_tasks.renew_leases(runner))
        app = web.create_operators_app(shell, metrics.registry)
        server = await _web.serve(app, web_sock, shell.limits)
        stack.push_async_callback(server.close)
        return _process.Process(
            shell,
            keys,
            stack.pop_all(),
            {'listen_web': wire.bound_address(web_sock)},
        )
