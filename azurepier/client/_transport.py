"""Single HTTP requests, with every end told apart that matters.

The library's connections are used without its session: the session resends
requests by itself, which would be submissions outside the budget, and it
follows redirects.
"""

import asyncio
import json

import attrs
from blacksheep.client.pool import ConnectionPools
from blacksheep import Content
from blacksheep import Request
from blacksheep import URL

from azurepier.client import _decisions
from azurepier import kernel

CONNECT_LIMIT_S = 2.0
# Entries and most load balancers close idle connections after 60 s or more.
# The client stops using them earlier, because a request that meets a closing
# connection has to be submitted again.
IDLE_LIMIT_S = 30.0
_JSON = b'application/json'
_TYPE_PREFIX = 'urn:azurepier:error:'
_MS_PER_S = 1000
_Kind = _decisions.Kind


class NoContactError(Exception):
    """A request ended without an answer; `kind` says how."""

    def __init__(self, kind, detail):
        super().__init__(detail)
        self.kind = kind


@attrs.frozen
class Answer:
    """Status, headers and body of an answer."""

    status: int
    headers: tuple
    body: bytes

    def header(self, name):
        """Return the first value of a header, or None."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode('latin-1')
        return None


def make_pools():
    """Return connection pools for `exchange`."""
    return ConnectionPools(http2=False, idle_timeout=IDLE_LIMIT_S)


def _is_usable(conn):
    return conn.is_alive() and not conn.reader.at_eof()


def _drop(conn):
    # The library leaves a connection open whose request was cancelled.
    if conn.writer is not None:
        conn.writer.close()


async def _connect(pools, url):
    pool = pools.get_pool(url.schema, url.host, url.port, None)
    while True:
        conn = await pool.get_connection()
        if _is_usable(conn):
            return conn
        _drop(conn)


async def exchange(pools, method, url, headers, body, limit_s, began=None):
    """Send one request and return its `Answer`.

    Parameters
    ----------
    pools : ConnectionPools
    method : str
    url : str
    headers : list of tuple of bytes
    body : bytes
        Empty for a request without a body.
    limit_s : float
        For the whole exchange.
    began : callable, optional
        Called with the `asyncio.Timeout` of the wait for the answer.

    Raises
    ------
    NoContactError
    """
    target = URL(url.encode())
    end = asyncio.get_running_loop().time() + limit_s
    try:
        async with asyncio.timeout(min(limit_s, CONNECT_LIMIT_S)):
            conn = await _connect(pools, target)
    except (OSError, TimeoutError) as exc:
        detail = f'{url}: no connection: {exc}'
        raise NoContactError(_Kind.UNSENT, detail) from exc
    port = f':{target.port}' if target.port else ''
    host = (b'host', target.host + port.encode())
    request = Request(method, target.value, [host, *headers])
    if body:
        request.content = Content(_JSON, body)
    try:
        async with asyncio.timeout_at(end) as timeout:
            if began is not None:
                began(timeout)
            return await _answer(conn, request)
    except TimeoutError as exc:
        _drop(conn)
        detail = f'{url}: no answer in time'
        raise NoContactError(_Kind.SILENT, detail) from exc
    except asyncio.CancelledError:
        _drop(conn)
        raise
    except Exception as exc:
        # The library and its parser raise many unrelated classes here, and
        # all of them leave it open whether the request arrived.
        _drop(conn)
        detail = f'{url}: the connection broke: {exc!r}'
        raise NoContactError(_Kind.BROKEN, detail) from exc


async def _answer(conn, request):
    response = await conn.send(request)
    body = await response.read()
    # The library returns a truncated body without an error.
    if getattr(response.content, 'exc', None) is not None:
        raise response.content.exc
    if not conn.is_open:
        _drop(conn)
    return Answer(response.status, tuple(response.headers), body or b'')


def _results(answer, tasks):
    value = json.loads(answer.body)
    results = sorted(value['results'], key=lambda item: item['task'])
    if [item['task'] for item in results] != list(range(tasks)):
        raise ValueError(f'not the results of {tasks} tasks')
    outputs = [item['output'] for item in results]
    return _decisions.Outcome(_Kind.COMPLETE, outputs)


def _running(answer, tasks):
    return _decisions.Outcome(_Kind.RUNNING)


def _problem(answer, tasks):
    value = json.loads(answer.body)
    type_ = value['type'].removeprefix(_TYPE_PREFIX)
    if type_ == value['type']:
        raise ValueError('not a problem document of an entry')
    retry_ms = value.get('retry_after_ms')
    return _decisions.Outcome(
        _Kind.REFUSED,
        type=type_,
        detail=str(value.get('detail', '')),
        verdict=kernel.Verdict(value['verdict']),
        retry_after_s=None if retry_ms is None else retry_ms / _MS_PER_S,
        # What an entry refuses before it looks at the id names no id, and
        # an id that the owner did not know may become known.
        binding='id' in value and type_ != 'unknown-job',
    )


_READERS = {200: _results, 202: _running}
_MALFORMED = (ValueError, KeyError, TypeError, AttributeError)


def read_outcome(answer, tasks):
    """Return the `Outcome` that an answer about a job describes.

    Parameters
    ----------
    answer : Answer
    tasks : int
        Number of tasks of the job.

    Notes
    -----
    An answer that no entry gives, such as a load balancer's error page,
    counts as a broken connection: it proves nothing about the submission.
    """
    return _read(_READERS.get(answer.status, _problem), answer, tasks)


def read_ids(answer):
    """Return the ids and their validity (s), or the `Outcome` without ids."""
    if answer.status != 200:
        return attrs.evolve(_read(_problem, answer, 0), for_ids=True)
    try:
        value = json.loads(answer.body)
        return tuple(value['ids']), float(value['expires_in_s'])
    except _MALFORMED as exc:
        detail = f'not job ids: {exc!r}'
        return _decisions.Outcome(_Kind.BROKEN, detail=detail, for_ids=True)


def _read(reader, answer, tasks):
    try:
        return reader(answer, tasks)
    except _MALFORMED as exc:
        detail = f'not understood: status {answer.status}: {exc!r}'
        return _decisions.Outcome(_Kind.BROKEN, detail=detail)
