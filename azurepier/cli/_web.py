"""HTTP requests to entries and endpoint processes."""

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

from azurepier.cli import _command
from azurepier import kernel

REQUEST_TIMEOUT_S = 5.0
TOKEN_VARIABLE = 'AZUREPIER_TOKEN'
_MAX_PROCESSES = 2000
# Maximum number of statuses that are fetched concurrently.
_MAX_PARALLEL_REQUESTS = 50
_JSON_TYPE = b'application/json'
_FORBIDDEN = 403
DRAIN_PATH = '/v1/drain'


def entry_options(function):
    """Add the options for the URLs of entries and the caller's token."""
    entry_option = click.option(
        '--entry',
        'entries',
        multiple=True,
        envvar='AZUREPIER_ENTRIES',
        metavar='URL',
        callback=_parse_entries,
        help='Base URL of an entry; repeatable. Default: AZUREPIER_ENTRIES,'
        ' separated by spaces.',
    )
    token_option = click.option(
        '--token-file',
        'token',
        type=click.File(),
        callback=_read_token,
        help=f'File with the bearer token. Default: {TOKEN_VARIABLE}.',
    )
    return entry_option(token_option(function))


def _parse_entries(ctx, param, value):
    return tuple(base_url(url) for url in value)


def base_url(text):
    """Return a URL with a scheme and without a slash at its end."""
    url = text if '://' in text else f'http://{text}'
    return url.rstrip('/')


def _read_token(ctx, param, value):
    if value is not None:
        return value.read().strip() or None
    return os.environ.get(TOKEN_VARIABLE) or None


def require_entries(entries):
    """Raise an error if no entry URL is given."""
    if not entries:
        text = 'no entry URL given; use --entry or AZUREPIER_ENTRIES'
        raise _command.ProcessError(text)


@contextlib.asynccontextmanager
async def session():
    """Open an HTTP session without retries and redirects."""
    client_session = ClientSession(
        follow_redirects=False,
        cookie_jar=False,
        http2=False,
        max_connection_retries=0,
        connection_timeout=REQUEST_TIMEOUT_S,
    )
    try:
        yield client_session
    finally:
        await client_session.close()


async def request(
    http, method, url, token=None, body=None, timeout_s=REQUEST_TIMEOUT_S
):
    """Send a request and return the status and the JSON object.

    Raises
    ------
    ProcessError
        If there is no response, or it is not one of an azurepier process.
    DrainNotAllowedError
        If the process rejects a request to drain it as not authorized.
    JobProblemError
        If the response is the problem document of a job, with a verdict.
    """
    authorization = f'Bearer {token}' if token else ''
    return await send(http, method, url, authorization, body, timeout_s)


async def send(
    http, method, url, authorization='', body=None, timeout_s=REQUEST_TIMEOUT_S
):
    """Send a request with the given ``Authorization`` value; see `request`."""
    headers = []
    if authorization:
        headers.append((b'authorization', authorization.encode()))
    try:
        async with asyncio.timeout(timeout_s):
            http_request = Request(method, url.encode(), headers)
            if body is not None:
                http_request.content = Content(
                    _JSON_TYPE, json.dumps(body).encode()
                )
            response = await http.send(http_request)
            raw = await response.read() or b''
        value = _decode_object(response.status, raw)
    except TimeoutError as exc:
        text = f'{url}: no response within {timeout_s:g} s'
        raise _command.ProcessError(text) from exc
    except InvalidURL as exc:
        raise _command.ProcessError(f'{url}: invalid URL') from exc
    except Exception as exc:
        # The HTTP library and its parser raise many unrelated exceptions.
        raise _command.ProcessError(f'{url}: {exc}') from exc
    if response.status >= 400:
        raise _response_error(url, response.status, value)
    return response.status, value


def _decode_object(status, raw):
    """Return the JSON object in a response, an empty one without a body."""
    if not raw.strip():
        return {}
    try:
        value = json.loads(raw)
    except ValueError as exc:
        raise ValueError(
            f'status {status} with a body that is not JSON, as a proxy or '
            'another server may send it'
        ) from exc
    if not isinstance(value, dict):
        raise ValueError(
            f'expected a JSON object, found {type(value).__name__}'
        )
    return value


def _response_error(url, status, document):
    title = document.get('title') or f'status {status}'
    detail = document.get('detail') or ''
    if status == _FORBIDDEN and url.endswith(DRAIN_PATH):
        return _command.DrainNotAllowedError(f'{url}: {title}: {detail}')
    if '/v1/jobs/' not in url or 'verdict' not in document:
        return _command.ProcessError(f'{url}: {title} {detail}'.rstrip())
    text = f'{title}: {detail} ({document["verdict"]})'
    return _command.JobProblemError(text, document)


async def first_response(
    entries, method, path, token=None, timeout_s=REQUEST_TIMEOUT_S
):
    """Send an idempotent request to the entries in turn until one responds.

    Returns
    -------
    status : int
    value : dict

    Raises
    ------
    ProcessError
        If no entry responds; the error is that of the last one.
    JobProblemError
        If the first response is a problem document with a verdict.
    """
    require_entries(entries)
    async with session() as http:
        for url in entries[:-1]:
            with contextlib.suppress(_command.ProcessError):
                return await request(
                    http, method, url + path, token, timeout_s=timeout_s
                )
        url = entries[-1]
        return await request(
            http, method, url + path, token, timeout_s=timeout_s
        )


@attrs.frozen
class Process:
    """A discovered process; `status` is None if it did not respond."""

    role: str
    name: str
    url: str
    status: dict | None
    error: str = ''


async def discover(http, entries):
    """Find all entries and endpoint processes.

    The status of each process names others, whose statuses are fetched next.

    Parameters
    ----------
    http : ClientSession
    entries : list of str
        Base URLs of the entries to start from.

    Returns
    -------
    list of Process
        Entries before endpoint processes, sorted by name.

    Raises
    ------
    ProcessError
        If none of `entries` responds.
    """
    require_entries(entries)
    semaphore = asyncio.Semaphore(_MAX_PARALLEL_REQUESTS)
    process_by_url = {}
    identity_by_url = {url: ('entry', url) for url in entries}
    while unvisited := {
        u: k for u, k in identity_by_url.items() if u not in process_by_url
    }:
        processes = await asyncio.gather(
            *(
                _fetch_process(http, semaphore, u, *k)
                for u, k in unvisited.items()
            )
        )
        for process in processes:
            process_by_url[process.url] = process
            for url, identity in _linked_processes(process.status or {}):
                if len(identity_by_url) < _MAX_PROCESSES:
                    identity_by_url.setdefault(url, identity)
    if not any(process_by_url[url].status for url in entries):
        text = '; '.join(process_by_url[url].error for url in entries)
        raise _command.ProcessError(text)
    return sorted(
        _drop_aliases(process_by_url.values()),
        key=lambda p: (p.role != 'entry', p.name),
    )


def _drop_aliases(processes):
    """Keep one URL per process; others may belong to a load balancer."""
    process_by_incarnation = {}
    for process in processes:
        incarnation = (process.status or {}).get('incarnation', process.url)
        process_by_incarnation.setdefault(incarnation, process)
    return process_by_incarnation.values()


def _linked_processes(status):
    for key, role in (('entries', 'entry'), ('endpoints', 'endpoint')):
        for item in status.get(key, ()):
            if isinstance(item, dict) and item.get('web_address'):
                url = base_url(item['web_address'])
                yield url, (role, item.get('name', url))


async def _fetch_process(http, semaphore, url, role, name):
    async with semaphore:
        try:
            _, status = await request(http, 'GET', url + '/v1/status')
        except kernel.AzurepierError as exc:
            return Process(role, name, url, None, str(exc))
    role, name = status.get('role', role), status.get('name', name)
    return Process(role, name, url, status)


def query_string(**fields):
    """Return the query string of a URL, without empty fields."""
    fields = {key: value for key, value in fields.items() if value}
    return '?' + urllib.parse.urlencode(fields) if fields else ''
