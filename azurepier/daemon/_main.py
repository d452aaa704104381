"""Command line of the daemon."""

import asyncio
import gc
import os
import random
import signal
import sys

import click

from azurepier.daemon import _endpoint
from azurepier.daemon import _entry
from azurepier.daemon import _logs
from azurepier.daemon import _loop
from azurepier.daemon import _process
from azurepier.daemon import _settings
from azurepier.kernel import AzurepierError
from azurepier import wire

EXIT_FAILURE = 1
EXIT_INVALID_SETTINGS = 2

_FILE_ARGUMENT = click.argument('path', metavar='FILE')


def _on_stop_signal(process):
    if process.signal_received:
        # The operator does not want to wait for the drain. A drain request
        # does not count as the first signal, since a service manager may
        # send its signal while the process drains.
        os._exit(EXIT_FAILURE)
    process.signal_received = True
    process.shell.stop()


def _install_signal_handlers(process):
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, _on_stop_signal, process)
    loop.add_signal_handler(signal.SIGHUP, _process.reload_keys, process)


async def _serve(start_process, settings):
    process = await start_process(settings, random.Random(os.urandom(16)))
    # A service manager that waits for the log event "started" may send a
    # signal right after it.
    _install_signal_handlers(process)
    _process.log_start(process)
    # Excludes the imported modules from garbage collection; otherwise a full
    # collection takes 30 ms.
    gc.collect()
    gc.freeze()
    return await _process.drain_and_close(process)


def _run(settings_class, start_process, path):
    try:
        wire.check_accelerated()
        settings = _settings.load(settings_class, path)
        _logs.configure(settings.log, settings.name)
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    # By default SIGHUP ends the process; it is ignored until the handler is
    # installed.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        with asyncio.Runner(loop_factory=_loop.BootTimeLoop) as runner:
            runner.run(_serve(start_process, settings))
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        _logs.EventLog('azurepier.daemon').error(
            'start_failed', reason=str(exc)
        )
        sys.exit(EXIT_FAILURE)


@click.group()
@click.version_option(package_name='azurepier')
def main():
    """Run a process of azurepier until SIGTERM.

    SIGTERM and SIGINT stop it gracefully, a second signal immediately. SIGHUP
    reloads the key files.
    """


@main.command()
@_FILE_ARGUMENT
def entry(path):
    """Run an entry, which accepts jobs, with the settings in FILE."""
    _run(_settings.EntrySettings, _entry.start_entry, path)


@main.command()
@_FILE_ARGUMENT
def endpoint(path):
    """Run an endpoint process beside a worker, with the settings in FILE."""
    _run(_settings.EndpointSettings, _endpoint.start_endpoint, path)


@main.command()
@_FILE_ARGUMENT
def check(path):
    """Check the settings in FILE and the key files it names."""
    try:
        settings_class = _settings.detect_class(path)
        _settings.load(settings_class, path)
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    role = settings_class.__name__.removesuffix('Settings').lower()
    click.echo(f'{path}: valid settings of an {role}')
