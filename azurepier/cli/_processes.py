"""``azurepier status``, ``events`` and ``drain``."""

import asyncio
import pathlib

import click

from azurepier.cli import _run
from azurepier.cli import _web
from azurepier import kernel
from azurepier import timeline
from azurepier import web

_POLL_S = 0.25


@click.command()
@_web.entry_options
@_run.reported
async def status(entries, token):
    """Show all entries and endpoint processes."""
    async with _web.session() as http:
        found = await _web.discover(http, entries)
    value = [
        {
            'role': process.role,
            'name': process.name,
            'url': process.url,
            'status': process.status,
            'error': process.error,
        }
        for process in found
    ]
    blocks = [
        _run.table(columns, [_row(process, columns) for process in group])
        for role, columns in _COLUMNS.items()
        if (group := [p for p in found if p.role == role])
    ]
    blocks += [
        f'no answer from {process.role} {process.name}: {process.error}'
        for process in found
        if process.status is None
    ]
    return _run.Output(value, '\n\n'.join(blocks))


_COLUMNS = {
    'entry': (
        'entry',
        'url',
        'domain',
        'config_version',
        'waiting_tasks',
        'unfinished_jobs',
        'draining',
    ),
    'endpoint': (
        'endpoint',
        'url',
        'worker',
        'config_version',
        'slots',
        'running',
        'healthy',
        'draining',
    ),
}


def _row(process, columns):
    fields = process.status or {}
    shown = {process.role: process.name, 'url': process.url}
    return [_cell((shown | fields).get(column, '?')) for column in columns]


def _cell(value):
    names = {True: 'yes', False: 'no'}
    return names[value] if isinstance(value, bool) else value


@click.command()
@_web.entry_options
@click.option('--job', 'job_id', help='Only events of this job.')
@click.option('--endpoint', help='Only events about this endpoint.')
@click.option(
    '--html',
    type=click.Path(dir_okay=False, writable=True, path_type=pathlib.Path),
    help='Write a page that draws the events to this file.',
)
@_run.reported
async def events(entries, token, job_id, endpoint, html):
    """Show the recent events of all processes in one order."""
    merged, missing = await collect(entries, token, job_id, endpoint)
    for text in missing:
        click.echo(f'warning: no events from {text}', err=True)
    value = [timeline.to_dict(event) for event in merged]
    if html is None:
        return _run.Output(value, timeline.as_text(merged))
    html.write_text(timeline.as_html(merged), encoding='utf-8')
    return _run.Output(value, f'{len(merged)} events are drawn in {html}')


async def collect(entries, token=None, job_id=None, endpoint=None):
    """Return the merged events of all processes and who did not answer."""
    path = '/v1/events' + _web.query(job=job_id, endpoint=endpoint)
    async with _web.session() as http:
        found = await _web.discover(http, entries)
        answers = await asyncio.gather(
            *(_events_of(http, process, path, token) for process in found)
        )
    sources = [events for events in answers if isinstance(events, list)]
    missing = [text for text in answers if isinstance(text, str)]
    return timeline.merge(sources), missing


async def _events_of(http, process, path, token):
    try:
        _, value = await _web.request(http, 'GET', process.url + path, token)
        return [timeline.from_dict(item) for item in value['events']]
    except (kernel.AzurepierError, KeyError, TypeError) as exc:
        return f'{process.role} {process.name}: {exc}'


def _key(ctx, param, value):
    if value is None:
        return None
    # Processes ignore white space around a key, too.
    key = value.read().strip()
    if not key:
        raise click.BadParameter('the file is empty')
    return key


@click.command()
@click.argument('role', type=click.Choice(['entry', 'endpoint']))
@click.argument('name')
@_web.entry_options
@click.option(
    '--key-file',
    'key',
    type=click.File('rb'),
    callback=_key,
    help='File with a shared key of the process, for a process on another'
    ' machine.',
)
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0),
    default=0.0,
    metavar='SECONDS',
    help='Wait until the process has stopped.',
)
@_run.reported
async def drain(role, name, entries, token, key, wait_s):
    """Let the entry or endpoint process NAME finish its work and stop."""
    async with _web.session() as http:
        found = await _web.discover(http, entries)
        process = _named(found, role, name)
        url = process.url + _web.DRAIN_PATH
        authorization = _drain_authorization(process, key)
        await _web.send(http, 'POST', url, authorization, {})
        stopped = await _stopped(http, process.url, wait_s)
    if wait_s and not stopped:
        text = f'{role} {name} still runs after {wait_s:g} s'
        raise _run.EntryError(text)
    text = f'{role} {name} {"has stopped" if stopped else "is draining"}'
    value = {'role': role, 'name': name, 'stopped': stopped}
    return _run.Output(value, text)


def _drain_authorization(process, key):
    """Return the header that proves to a process that the key is known."""
    if key is None:
        return ''
    if process.status is None:
        # The proof is made for one incarnation, which is not known.
        raise _run.EntryError(process.error)
    incarnation = process.status.get('incarnation', '')
    return 'HMAC ' + web.drain_proof(key, process.name, incarnation)


def _named(found, role, name):
    matching = [p for p in found if (p.role, p.name) == (role, name)]
    if not matching:
        names = ', '.join(p.name for p in found if p.role == role) or 'none'
        reason = f'no {role} has this name; there are: {names}'
        raise kernel.InvalidInputError(name, reason)
    return matching[0]


async def _stopped(http, url, wait_s):
    """Wait until nothing answers at `url` any more."""
    loop = asyncio.get_running_loop()
    end = loop.time() + wait_s
    while loop.time() < end:
        try:
            await _web.request(http, 'GET', url + '/v1/status')
        except _run.EntryError:
            return True
        await asyncio.sleep(_POLL_S)
    return False
