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
from azurepier.daemon import _process
from azurepier.daemon import _settings
from azurepier.kernel import AzurepierError
from azurepier import wire

EXIT_FAILED = 1
EXIT_SETTINGS = 2

_FILE = click.argument('path', metavar='FILE')


def _on_stop_signal(process):
    if process.signalled:
        # A second signal: the operator does not want to wait. A request to
        # drain does not count, since a service manager may send the first
        # signal while the process drains.
        os._exit(EXIT_FAILED)
    process.signalled = True
    process.shell.stop()


def _handle_signals(process):
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _on_stop_signal, process)
    loop.add_signal_handler(signal.SIGHUP, _process.reload_keys, process)


async def _serve(start, settings):
    process = await start(settings, random.Random(os.urandom(16)))
    # Whoever waits for the start line may send a signal at once.
    _handle_signals(process)
    _process.announce_start(process)
    # A full collection that visits the imported modules takes 30 ms.
    gc.collect()
    gc.freeze()
    return await _process.finish(process)


def _run(cls, start, path):
    try:
        wire.check_accelerated()
        settings = _settings.load(cls, path)
        _logs.configure(settings.log, settings.name)
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_SETTINGS)
    # Until there is a handler the signal would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(_serve(start, settings))
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        _logs.EventLog('azurepier.daemon').error(
            'start_failed', reason=str(exc)
        )
        sys.exit(EXIT_FAILED)


@click.group()
@click.version_option(package_name='azurepier')
def main():
    """Run a process of azurepier until SIGTERM.

    SIGTERM and SIGINT end it gracefully, a second one at once. SIGHUP reads
    the key files again.
    """


@main.command()
@_FILE
def entry(path):
    """Run an entry, which takes jobs, with the settings in FILE."""
    _run(_settings.EntrySettings, _entry.start_entry, path)


@main.command()
@_FILE
def endpoint(path):
    """Run an endpoint process beside a worker, with the settings in FILE."""
    _run(_settings.EndpointSettings, _endpoint.start_endpoint, path)


@main.command()
@_FILE
def check(path):
    """Check the settings in FILE and the key files it names."""
    try:
        cls = _settings.kind_of(path)
        _settings.load(cls, path)
    except AzurepierError as exc:
        click.echo(str(exc), err=True)
        sys.exit(EXIT_SETTINGS)
    kind = cls.__name__.removesuffix('Settings').lower()
    click.echo(f'{path}: valid settings of an {kind}')
