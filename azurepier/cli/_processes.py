"""``azurepier status``, ``events`` and ``drain``."""

import asyncio
import pathlib

import click

from azurepier.cli import _command
from azurepier.cli import _web
from azurepier import kernel
from azurepier import timeline
from azurepier import web

_POLL_INTERVAL_S = 0.25


@click.command()
@_web.entry_options
@_command.with_output
async def status(entries, token):
    """Show the status of all entries and endpoint processes."""
    async with _web.session() as http:
        processes = await _web.discover(http, entries)
    value = [
        {
            'role': process.role,
            'name': process.name,
            'url': process.url,
            'status': process.status,
            'error': process.error,
        }
        for process in processes
    ]
    sections = [
        _command.format_table(
            columns, [_status_row(process, columns) for process in group]
        )
        for role, columns in _STATUS_COLUMNS.items()
        if (group := [p for p in processes if p.role == role])
    ]
    sections += [
        f'no response from {process.role} {process.name}: {process.error}'
        for process in processes
        if process.status is None
    ]
    return _command.Output(value, '\n\n'.join(sections))


_STATUS_COLUMNS = {
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


def _status_row(process, columns):
    fields = process.status or {}
    identity = {process.role: process.name, 'url': process.url}
    return [
        _format_cell((identity | fields).get(column, '?'))
        for column in columns
    ]


def _format_cell(value):
    texts = {True: 'yes', False: 'no'}
    return texts[value] if isinstance(value, bool) else value


@click.command()
@_web.entry_options
@click.option('--job', 'job_id', help='Show only events of this job.')
@click.option('--endpoint', help='Show only events of this endpoint.')
@click.option(
    '--html',
    type=click.Path(dir_okay=False, writable=True, path_type=pathlib.Path),
    help='Write the events to this file as an HTML page with a chart.',
)
@_command.with_output
async def events(entries, token, job_id, endpoint, html):
    """Show the recent events of all processes in a single timeline."""
    merged, missing = await collect_events(entries, token, job_id, endpoint)
    for text in missing:
        click.echo(f'warning: no events from {text}', err=True)
    value = [timeline.to_dict(event) for event in merged]
    if html is None:
        return _command.Output(value, timeline.as_text(merged))
    html.write_text(timeline.as_html(merged), encoding='utf-8')
    return _command.Output(value, f'{len(merged)} events written to {html}')


async def collect_events(entries, token=None, job_id=None, endpoint=None):
    """Fetch and merge the events of all processes.

    Returns
    -------
    merged : list of Event
    missing : list of str
        Name and error of each process that did not respond.
    """
    path = '/v1/events' + _web.query_string(job=job_id, endpoint=endpoint)
    async with _web.session() as http:
        processes = await _web.discover(http, entries)
        results = await asyncio.gather(
            *(
                _fetch_events(http, process, path, token)
                for process in processes
            )
        )
    sources = [events for events in results if isinstance(events, list)]
    missing = [text for text in results if isinstance(text, str)]
    return timeline.merge(sources), missing


async def _fetch_events(http, process, path, token):
    try:
        _, value = await _web.request(http, 'GET', process.url + path, token)
        return [timeline.from_dict(item) for item in value['events']]
    except (kernel.AzurepierError, KeyError, TypeError) as exc:
        return f'{process.role} {process.name}: {exc}'


def _read_key(ctx, param, value):
    if value is None:
        return None
    # Processes ignore white space around a key as well.
    key = value.read().strip()
    if not key:
        raise click.BadParameter('the key file is empty; expected a key')
    return key


@click.command()
@click.argument('role', type=click.Choice(['entry', 'endpoint']))
@click.argument('name')
@_web.entry_options
@click.option(
    '--key-file',
    'key',
    type=click.File('rb'),
    callback=_read_key,
    help='File with a shared key of the process. Required for a process on'
    ' another host.',
)
@click.option(
    '--wait',
    'wait_s',
    type=click.FloatRange(min=0),
    default=0.0,
    metavar='SECONDS',
    help='Wait up to SECONDS until the process has stopped.',
)
@_command.with_output
async def drain(role, name, entries, token, key, wait_s):
    """Let the entry or endpoint process NAME finish its work and stop."""
    async with _web.session() as http:
        processes = await _web.discover(http, entries)
        process = _find_process(processes, role, name)
        url = process.url + _web.DRAIN_PATH
        authorization = _drain_authorization(process, key)
        await _web.send(http, 'POST', url, authorization, {})
        stopped = await _wait_until_stopped(http, process.url, wait_s)
    if wait_s and not stopped:
        text = f'{role} {name} is still running after {wait_s:g} s'
        raise _command.ProcessError(text)
    text = f'{role} {name} {"has stopped" if stopped else "is draining"}'
    value = {'role': role, 'name': name, 'stopped': stopped}
    return _command.Output(value, text)


def _drain_authorization(process, key):
    """Return an ``Authorization`` value that proves possession of the key."""
    if key is None:
        return ''
    if process.status is None:
        # Without a status the incarnation, which the proof has to contain, is
        # not known.
        raise _command.ProcessError(process.error)
    incarnation = process.status.get('incarnation', '')
    return 'HMAC ' + web.drain_proof(key, process.name, incarnation)


def _find_process(processes, role, name):
    matching = [p for p in processes if (p.role, p.name) == (role, name)]
    if not matching:
        names = (
            ', '.join(p.name for p in processes if p.role == role) or 'none'
        )
        reason = f'no {role} has this name; known names: {names}'
        raise kernel.InvalidInputError(name, reason)
    return matching[0]


async def _wait_until_stopped(http, url, wait_s):
    """Return whether the process at `url` stops within `wait_s` seconds."""
    loop = asyncio.get_running_loop()
    deadline_at = loop.time() + wait_s
    while loop.time() < deadline_at:
        try:
            await _web.request(http, 'GET', url + '/v1/status')
        except _command.ProcessError:
            return True
        await asyncio.sleep(_POLL_INTERVAL_S)
    return False
