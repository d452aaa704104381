"""``azurepier config``: manage the lists of customers and plans."""

import asyncio
import contextlib
import datetime
import getpass
import pathlib
import random

import attrs
import click

from azurepier.cli import _command
from azurepier.cli import _web
from azurepier import config as lists
from azurepier import etcd
from azurepier import kernel

_PLAN_COLUMNS = tuple(field.name for field in attrs.fields(lists.Plan))
_POLL_INTERVAL_S = 0.25
_HIDDEN = 'hidden'

_directory_argument = click.argument(
    'directory',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default='.',
)
_platform_option = click.option(
    '--platform',
    'platform_url',
    envvar='AZUREPIER_PLATFORM',
    metavar='URL',
    help='Base URL of the platform. Default: AZUREPIER_PLATFORM.',
)


@click.group()
def config():
    """Check, compare and apply customers.toml and plans.toml."""


def _load_lists(directory):
    return lists.load_lists(
        directory / 'customers.toml', directory / 'plans.toml'
    )


@contextlib.asynccontextmanager
async def _platform_client(url):
    if not url:
        raise kernel.PlatformError(
            'no platform URL given; use --platform or AZUREPIER_PLATFORM'
        )
    # Edit ids must be unique across operators, so they need system entropy.
    client = etcd.Client(url, random.SystemRandom(), _web.REQUEST_TIMEOUT_S)
    try:
        yield client
    finally:
        await client.close()


@config.command()
@_directory_argument
@_command.with_output
def check(directory):
    """Validate the lists in DIRECTORY; needs no platform."""
    customers, plans = _load_lists(directory)
    text = f'{len(customers)} customers, {len(plans)} plans: no problems found'
    value = {'customers': len(customers), 'plans': len(plans)}
    return _command.Output(value, text)


@config.command()
@_directory_argument
@_platform_option
@click.option(
    '--exit-code',
    is_flag=True,
    help='Exit with code 9 if there are differences.',
)
@_command.with_output
async def diff(directory, platform_url, exit_code):
    """Show the changes that applying the lists in DIRECTORY would make."""
    customers, plans = _load_lists(directory)
    async with _platform_client(platform_url) as client:
        current, _ = await etcd.read_current_config(client)
    new = lists.Configuration(1, '', '', customers, plans)
    lines = lists.differences(current, new)
    version = current.version if current else 0
    text = '\n'.join(lines) or f'no differences from version {version}'
    code = _command.EXIT_DIFFERENT if exit_code and lines else _command.EXIT_OK
    return _command.Output({'version': version, 'changes': lines}, text, code)


@config.command()
@_directory_argument
@_platform_option
@_web.entry_options
@click.option('--yes', is_flag=True, help='Do not ask for confirmation.')
@click.option(
    '--author',
    envvar='AZUREPIER_AUTHOR',
    default=getpass.getuser,
    help='Author in the history. Default: AZUREPIER_AUTHOR or the login name.',
)
@click.option(
    '--expect-version',
    type=click.IntRange(min=0),
    help='Fail unless the platform has this version (0: no configuration).',
)
@click.option(
    '--above',
    type=click.IntRange(min=0),
    default=0,
    help='Write a version higher than this one, after the platform lost data.',
)
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0),
    default=0.0,
    metavar='SECONDS',
    help='Wait up to SECONDS until all processes found through --entry have'
    ' adopted the version.',
)
@_command.with_output
async def apply(
    directory,
    platform_url,
    entries,
    token,
    yes,
    author,
    expect_version,
    above,
    wait_s,
):
    """Write the lists in DIRECTORY to the platform as the next version."""
    if _command.wants_json() and not yes:
        raise click.UsageError('--json requires --yes')
    loaded_lists = _load_lists(directory)
    async with _platform_client(platform_url) as client:
        applied = await etcd.apply(
            client,
            loaded_lists,
            author,
            expect_version,
            None if yes else _confirm,
            above,
        )
    if wait_s:
        await _wait_for_adoption(entries, applied.version, wait_s)
    return _format_applied(applied, lines_shown=not yes)


def _confirm(lines):
    click.echo('\n'.join(lines))
    return click.confirm(f'Apply {len(lines)} changes?', abort=True)


def _format_applied(applied, lines_shown):
    value = attrs.asdict(applied)
    if not applied.changed:
        text = f'no differences from version {applied.version}'
        return _command.Output(value, text)
    lines = () if lines_shown else applied.lines
    text = '\n'.join((*lines, f'wrote version {applied.version}'))
    return _command.Output(value, text)


async def _wait_for_adoption(entries, version, wait_s):
    """Wait until all processes have adopted `version`.

    Raises
    ------
    ProcessError
        If some have not adopted it after `wait_s` seconds.
    """
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + wait_s
    async with _web.session() as http:
        while True:
            outdated = [
                process.name
                for process in await _web.discover(http, entries)
                if (process.status or {}).get('config_version', 0) < version
            ]
            if not outdated:
                return
            if loop.time() > deadline_at:
                names = ', '.join(outdated)
                text = f'version {version} was not adopted by {names}'
                raise _command.ProcessError(text)
            await asyncio.sleep(_POLL_INTERVAL_S)


@config.command()
@_platform_option
@_command.with_output
async def show(platform_url):
    """Show the configuration in the platform without token digests."""
    async with _platform_client(platform_url) as client:
        current, _ = await etcd.read_current_config(client)
    if current is None:
        return _command.Output(None, 'no configuration has been applied yet')
    return _command.Output(_to_json_value(current), _to_text(current))


def _to_json_value(cfg):
    return {
        'version': cfg.version,
        'edit_id': cfg.edit_id,
        'author': cfg.author,
        'plans': {n: attrs.asdict(p) for n, p in cfg.plans.items()},
        'customers': {
            customer.name: {
                'plan': customer.plan,
                'token_sha256': _HIDDEN if customer.token_sha256 else None,
            }
            for customer in cfg.customers.values()
        },
    }


def _to_text(cfg):
    plans = [attrs.astuple(plan) for _, plan in sorted(cfg.plans.items())]
    customers = [
        (name, customer.plan, 'yes' if customer.token_sha256 else 'no')
        for name, customer in sorted(cfg.customers.items())
    ]
    return '\n\n'.join(
        (
            f'version {cfg.version} by {cfg.author} (edit {cfg.edit_id})',
            _command.format_table(('plan', *_PLAN_COLUMNS[1:]), plans),
            _command.format_table(('customer', 'plan', 'token'), customers),
        )
    )


@config.command()
@_platform_option
@_command.with_output
async def history(platform_url):
    """Show the latest 50 versions and the changes in each of them."""
    async with _platform_client(platform_url) as client:
        records = await client.history()
    lines = []
    for record in records:
        written_at = datetime.datetime.fromtimestamp(
            record.written_at, datetime.timezone.utc
        )
        lines.append(
            f'version {record.version} by {record.author}'
            f' at {written_at:%Y-%m-%d %H:%M:%S} UTC'
        )
        lines += [f'  {line}' for line in record.changes]
    value = [attrs.asdict(record) for record in records]
    return _command.Output(
        value, '\n'.join(lines) or 'no versions have been written yet'
    )
