"""Requests to the web addresses of entries and endpoint processes."""

import asyncio
import contextlib
import json
import os
import urllib.parse

import attrs
from blacksheep.client import ClientSession
from blacksheep import Content
from blacksheep import InvalidURL
from blacksheep import Request
import click

from azurepier.cli import _run
from azurepier import kernel

LIMIT_S = 5.0
TOKEN_VARIABLE = 'AZUREPIER_TOKEN'
_MAX_PROCESSES = 2000
# Statuses are read from this many processes at the same time.
_PARALLEL = 50
_JSON = b'application/json'
_FORBIDDEN = 403
DRAIN_PATH = '/v1/drain'


def entry_options(function):
    """Add the options that name entries and the caller's token."""
    entry = click.option(
        '--entry',
        'entries',
        multiple=True,
        envvar='AZUREPIER_ENTRIES',
        metavar='URL',
        callback=_entries,
        help='Base URL of an entry; repeatable. Default: AZUREPIER_ENTRIES,'
        ' separated by spaces.',
    )
    token = click.option(
        '--token-file',
        'token',
        type=click.File(),
        callback=_token,
        help=f'File with the bearer token. Default: {TOKEN_VARIABLE}.',
    )
    return entry(token(function))


def _entries(ctx, param, value):
    return tuple(_base_url(url) for url in value)


def _base_url(text):
    url = text if '://' in text else f'http://{text}'
    return url.rstrip('/')


def _token(ctx, param, value):
    if value is not None:
        return value.read().strip() or None
    return os.environ.get(TOKEN_VARIABLE) or None


def check_entries(entries):
    """Raise an error if no entry was named."""
    if not entries:
        text = 'no entry is named'
        raise _run.EntryError(text)


@contextlib.asynccontextmanager
async def session():
    """Give a session that sends each request once."""
    found = ClientSession(
        follow_redirects=False,
        cookie_jar=False,
        http2=False,
        max_connection_retries=0,
        connection_timeout=LIMIT_S,
    )
    try:
        yield found
    finally:
        await found.close()


async def request(http, method, url, token=None, body=None, limit_s=LIMIT_S):
    """Send a request and return the status and the JSON value.

    Raises
    ------
    EntryError
        If there is no answer, or none that a process of azurepier gives.
    NotAllowedError
        If the process does not let this caller drain it.
    RefusedError
        If the answer is a problem document.
    """
    authorization = f'Bearer {token}' if token else ''
    return await send(http, method, url, authorization, body, limit_s)


async def send(
    http, method, url, authorization='', body=None, limit_s=LIMIT_S
):
    """Send a request with a value for ``Authorization``; see `request`."""
    headers = []
    if authorization:
        headers.append((b'authorization', authorization.encode()))
    try:
        async with asyncio.timeout(limit_s):
            found = Request(method, url.encode(), headers)
            if body is not None:
                found.content = Content(_JSON, json.dumps(body).encode())
            response = await http.send(found)
            raw = await response.read() or b''
        value = json.loads(raw) if raw.strip() else {}
        if not isinstance(value, dict):
            raise ValueError('the answer is not a JSON object')
    except TimeoutError as exc:
        text = f'{url}: no answer within {limit_s:g} s'
        raise _run.EntryError(text) from exc
    except InvalidURL as exc:
        raise _run.EntryError(f'{url}: not a URL') from exc
    except Exception as exc:
        # The library and its parser raise many unrelated classes here.
        raise _run.EntryError(f'{url}: {exc}') from exc
    if response.status >= 400:
        raise _refused(url, response.status, value)
    return response.status, value


def _refused(url, status, document):
    title = document.get('title') or f'status {status}'
    detail = document.get('detail') or ''
    if status == _FORBIDDEN and url.endswith(DRAIN_PATH):
        return _run.NotAllowedError(f'{url}: {title}: {detail}')
    if '/v1/jobs/' not in url or 'verdict' not in document:
        return _run.EntryError(f'{url}: {title} {detail}'.rstrip())
    text = f'{title}: {detail} ({document["verdict"]})'
    return _run.RefusedError(text, document)


async def first_answer(entries, method, path, token=None, limit_s=LIMIT_S):
    """Send an idempotent request to one entry after the other.

    Returns the status and JSON value of the first answer.
    """
    check_entries(entries)
    async with session() as http:
        for url in entries[:-1]:
            with contextlib.suppress(_run.EntryError):
                return await request(
                    http, method, url + path, token, limit_s=limit_s
                )
        url = entries[-1]
        return await request(http, method, url + path, token, limit_s=limit_s)


@attrs.frozen
class Process:
    """A process that was found; `status` is None if it didn't answer."""

    role: str
    name: str
    url: str
    status: dict | None
    error: str = ''


async def discover(http, entries):
    """Find all entries and endpoint processes by their statuses.

    Parameters
    ----------
    http : ClientSession
    entries : list of str
        Base URLs of entries to begin with.

    Returns
    -------
    list of Process
        Entries before endpoint processes, sorted by name.

    Raises
    ------
    EntryError
        If none of `entries` answers.
    """
    check_entries(entries)
    gate = asyncio.Semaphore(_PARALLEL)
    found = {}
    known = {url: ('entry', url) for url in entries}
    while fresh := {u: k for u, k in known.items() if u not in found}:
        processes = await asyncio.gather(
            *(_process(http, gate, u, *k) for u, k in fresh.items())
        )
        for process in processes:
            found[process.url] = process
            for url, key in _neighbours(process.status or {}):
                if len(known) < _MAX_PROCESSES:
                    known.setdefault(url, key)
    if not any(found[url].status for url in entries):
        text = '; '.join(found[url].error for url in entries)
        raise _run.EntryError(text)
    return sorted(
        _without_aliases(found.values()),
        key=lambda p: (p.role != 'entry', p.name),
    )


def _without_aliases(processes):
    """Drop further URLs, such as a load balancer's, of a process."""
    seen = {}
    for process in processes:
        incarnation = (process.status or {}).get('incarnation', process.url)
        seen.setdefault(incarnation, process)
    return seen.values()


def _neighbours(status):
    for key, role in (('entries', 'entry'), ('endpoints', 'endpoint')):
        for item in status.get(key, ()):
            if isinstance(item, dict) and item.get('web_address'):
                url = _base_url(item['web_address'])
                yield url, (role, item.get('name', url))


async def _process(http, gate, url, role, name):
    async with gate:
        try:
            _, status = await request(http, 'GET', url + '/v1/status')
        except kernel.AzurepierError as exc:
            return Process(role, name, url, None, str(exc))
    role, name = status.get('role', role), status.get('name', name)
    return Process(role, name, url, status)


def query(**fields):
    """Return the query part of a URL without the empty fields."""
    fields = {key: value for key, value in fields.items() if value}
    return '?' + urllib.parse.urlencode(fields) if fields else ''
