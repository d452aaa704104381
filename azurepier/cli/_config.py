"""``azurepier config``: the operators' lists."""

import asyncio
import contextlib
import datetime
import getpass
import pathlib
import random

import attrs
import click

from azurepier.cli import _run
from azurepier.cli import _web
from azurepier import config as lists
from azurepier import etcd
from azurepier import kernel

_PLAN_COLUMNS = tuple(field.name for field in attrs.fields(lists.Plan))
_POLL_S = 0.25
_SECRET = 'hidden'

_directory = click.argument(
    'directory',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default='.',
)
_platform = click.option(
    '--platform',
    'platform_url',
    envvar='AZUREPIER_PLATFORM',
    metavar='URL',
    help='URL of the platform. Default: AZUREPIER_PLATFORM.',
)


@click.group()
def config():
    """Check, compare and apply customers.toml and plans.toml."""


def _load(directory):
    return lists.load_lists(
        directory / 'customers.toml', directory / 'plans.toml'
    )


@contextlib.asynccontextmanager
async def _client(url):
    if not url:
        raise kernel.PlatformError('no platform is named')
    # Edit ids have to differ between operators.
    client = etcd.Client(url, random.SystemRandom(), _web.LIMIT_S)
    try:
        yield client
    finally:
        await client.close()


@config.command()
@_directory
@_run.reported
def check(directory):
    """Check the lists in DIRECTORY without the platform."""
    customers, plans = _load(directory)
    text = f'{len(customers)} customers, {len(plans)} plans: no problems'
    value = {'customers': len(customers), 'plans': len(plans)}
    return _run.Output(value, text)


@config.command()
@_directory
@_platform
@click.option(
    '--exit-code', is_flag=True, help='Exit with 9 if there are differences.'
)
@_run.reported
async def diff(directory, platform_url, exit_code):
    """Show what applying the lists in DIRECTORY would change."""
    customers, plans = _load(directory)
    async with _client(platform_url) as client:
        current, _ = await etcd.read_current(client)
    new = lists.Configuration(1, '', '', customers, plans)
    lines = lists.differences(current, new)
    version = current.version if current else 0
    text = '\n'.join(lines) or f'no difference to version {version}'
    code = _run.DIFFERENT if exit_code and lines else _run.OK
    return _run.Output({'version': version, 'changes': lines}, text, code)


@config.command()
@_directory
@_platform
@_web.entry_options
@click.option('--yes', is_flag=True, help='Do not ask for confirmation.')
@click.option(
    '--author',
    envvar='AZUREPIER_AUTHOR',
    default=getpass.getuser,
    help='Name in the history. Default: AZUREPIER_AUTHOR or the login name.',
)
@click.option(
    '--expect-version',
    type=click.IntRange(min=0),
    help='Refuse unless this version is in the platform (0: none).',
)
@click.option(
    '--above',
    type=click.IntRange(min=0),
    default=0,
    help='Make the version higher than this one, after a loss of data.',
)
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0),
    default=0.0,
    metavar='SECONDS',
    help='Wait until every process that --entry leads to has adopted it.',
)
@_run.reported
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
    """Put the lists in DIRECTORY in force."""
    if _run.wants_json() and not yes:
        raise click.UsageError('--json needs --yes')
    found = _load(directory)
    async with _client(platform_url) as client:
        applied = await etcd.apply(
            client,
            found,
            author,
            expect_version,
            None if yes else _confirm,
            above,
        )
    if wait_s:
        await _wait_for(entries, applied.version, wait_s)
    return _applied(applied, shown=not yes)


def _confirm(lines):
    click.echo('\n'.join(lines))
    return click.confirm(f'Apply {len(lines)} changes?', abort=True)


def _applied(applied, shown):
    value = attrs.asdict(applied)
    if not applied.changed:
        text = f'no difference to version {applied.version}'
        return _run.Output(value, text)
    lines = () if shown else applied.lines
    text = '\n'.join((*lines, f'version {applied.version} is written'))
    return _run.Output(value, text)


async def _wait_for(entries, version, wait_s):
    """Wait until every process has adopted `version`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    async with _web.session() as http:
        while True:
            late = [
                process.name
                for process in await _web.discover(http, entries)
                if (process.status or {}).get('config_version', 0) < version
            ]
            if not late:
                return
            if loop.time() > end:
                names = ', '.join(late)
                text = f'version {version} is not in force at {names}'
                raise _run.EntryError(text)
            await asyncio.sleep(_POLL_S)


@config.command()
@_platform
@_run.reported
async def show(platform_url):
    """Show the configuration in the platform; token hashes are hidden."""
    async with _client(platform_url) as client:
        current, _ = await etcd.read_current(client)
    if current is None:
        return _run.Output(None, 'no configuration was applied yet')
    return _run.Output(_shown(current), _as_text(current))


def _shown(cfg):
    return {
        'version': cfg.version,
        'edit_id': cfg.edit_id,
        'author': cfg.author,
        'plans': {n: attrs.asdict(p) for n, p in cfg.plans.items()},
        'customers': {
            customer.name: {
                'plan': customer.plan,
                'token_sha256': _SECRET if customer.token_sha256 else None,
            }
            for customer in cfg.customers.values()
        },
    }


def _as_text(cfg):
    plans = [attrs.astuple(plan) for _, plan in sorted(cfg.plans.items())]
    customers = [
        (name, customer.plan, 'yes' if customer.token_sha256 else 'no')
        for name, customer in sorted(cfg.customers.items())
    ]
    return '\n\n'.join(
        (
            f'version {cfg.version} by {cfg.author} (edit {cfg.edit_id})',
            _run.table(('plan', *_PLAN_COLUMNS[1:]), plans),
            _run.table(('customer', 'plan', 'token'), customers),
        )
    )


@config.command()
@_platform
@_run.reported
async def history(platform_url):
    """Show the latest 50 versions and what each of them changed."""
    async with _client(platform_url) as client:
        entries = await client.history()
    lines = []
    for entry in entries:
        at = datetime.datetime.fromtimestamp(
            entry.written_at, datetime.timezone.utc
        )
        lines.append(
            f'version {entry.version} by {entry.author}'
            f' at {at:%Y-%m-%d %H:%M:%S} UTC'
        )
        lines += [f'  {line}' for line in entry.changes]
    value = [attrs.asdict(entry) for entry in entries]
    return _run.Output(value, '\n'.join(lines) or 'no versions yet')
