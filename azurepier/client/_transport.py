"""Single HTTP requests and the classification of their outcomes.

The HTTP library's connections are used without its session, because a session
follows redirects and resends requests on its own, which would be submissions
outside the budget.
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

CONNECT_TIMEOUT_S = 2.0
# Entries and most load balancers close idle connections after 60 s or more.
# The client stops using them earlier, because a request on a connection that
# is being closed has to be submitted again.
IDLE_TIMEOUT_S = 30.0
_JSON_CONTENT_TYPE = b'application/json'
_TYPE_PREFIX = 'urn:azurepier:error:'
_MS_PER_S = 1000
_Kind = _decisions.Kind


class NoResponseError(Exception):
    """A request got no response; `kind` is the kind of the outcome."""

    def __init__(self, kind, detail):
        super().__init__(detail)
        self.kind = kind


@attrs.frozen
class Response:
    """An HTTP response."""

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
    return ConnectionPools(http2=False, idle_timeout=IDLE_TIMEOUT_S)


def _is_usable(conn):
    return conn.is_alive() and not conn.reader.at_eof()


def _close(conn):
    # The library does not close the connection of a cancelled request.
    if conn.writer is not None:
        conn.writer.close()


async def _connect(pools, url):
    pool = pools.get_pool(url.schema, url.host, url.port, None)
    while True:
        conn = await pool.get_connection()
        if _is_usable(conn):
            return conn
        _close(conn)


async def exchange(
    pools, method, url, headers, body, timeout_s, on_start=None
):
    """Send a request and return its `Response`.

    Parameters
    ----------
    pools : ConnectionPools
    method : str
    url : str
    headers : list of tuple of bytes
    body : bytes
        Empty for a request without a body.
    timeout_s : float
        Timeout for the whole exchange.
    on_start : callable, optional
        Called with the `asyncio.Timeout` of the request before it is sent.

    Raises
    ------
    NoResponseError
        If there is no connection or no complete response.
    """
    target = URL(url.encode())
    deadline = asyncio.get_running_loop().time() + timeout_s
    try:
        async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
            conn = await _connect(pools, target)
    except (OSError, TimeoutError) as exc:
        detail = f'{url}: cannot connect: {exc}'
        raise NoResponseError(_Kind.UNSENT, detail) from exc
    port = f':{target.port}' if target.port else ''
    host = (b'host', target.host + port.encode())
    request = Request(method, target.value, [host, *headers])
    if body:
        request.content = Content(_JSON_CONTENT_TYPE, body)
    try:
        async with asyncio.timeout_at(deadline) as timeout:
            if on_start is not None:
                on_start(timeout)
            return await _send(conn, request)
    except TimeoutError as exc:
        _close(conn)
        detail = f'{url}: no answer in time'
        raise NoResponseError(_Kind.TIMED_OUT, detail) from exc
    except asyncio.CancelledError:
        _close(conn)
        raise
    except Exception as exc:
        # The library and its parser raise many unrelated exceptions here, and
        # none of them tells whether the request arrived.
        _close(conn)
        detail = f'{url}: connection lost: {exc!r}'
        raise NoResponseError(_Kind.BROKEN, detail) from exc


async def _send(conn, request):
    response = await conn.send(request)
    body = await response.read()
    # The library returns a truncated body without an error.
    if getattr(response.content, 'exc', None) is not None:
        raise response.content.exc
    if not conn.is_open:
        _close(conn)
    return Response(response.status, tuple(response.headers), body or b'')


def _read_results(response, task_count):
    value = json.loads(response.body)
    results = sorted(value['results'], key=lambda item: item['task'])
    if [item['task'] for item in results] != list(range(task_count)):
        raise ValueError(
            f'expected the results of tasks 0 to {task_count - 1}'
        )
    outputs = [item['output'] for item in results]
    return _decisions.Outcome(_Kind.COMPLETE, outputs)


def _read_running(response, task_count):
    return _decisions.Outcome(_Kind.RUNNING)


def _read_problem(response, task_count):
    value = json.loads(response.body)
    type_ = value['type'].removeprefix(_TYPE_PREFIX)
    if type_ == value['type']:
        raise ValueError(
            f'expected a problem type that starts with {_TYPE_PREFIX!r}'
        )
    retry_ms = value.get('retry_after_ms')
    return _decisions.Outcome(
        _Kind.REFUSED,
        type=type_,
        detail=str(value.get('detail', '')),
        verdict=kernel.Verdict(value['verdict']),
        retry_after_s=None if retry_ms is None else retry_ms / _MS_PER_S,
        # A refusal before the id was examined contains no id, and an id that
        # is unknown to the owner may become known.
        binding='id' in value and type_ != 'unknown-job',
    )


_READER_BY_STATUS = {200: _read_results, 202: _read_running}
_MALFORMED_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def read_outcome(response, task_count):
    """Return the `Outcome` in a response to a request for a job.

    Parameters
    ----------
    response : Response
    task_count : int
        Number of tasks of the job.

    Notes
    -----
    A response that does not come from an entry, such as the error page of a
    load balancer, is treated as a lost connection: it proves nothing about
    the submission.
    """
    return _read_or_broken(
        _READER_BY_STATUS.get(response.status, _read_problem),
        response,
        task_count,
    )


def read_ids(response):
    """Return the ids and their validity (s), or an `Outcome` on failure."""
    if response.status != 200:
        return attrs.evolve(
            _read_or_broken(_read_problem, response, 0), for_ids=True
        )
    try:
        value = json.loads(response.body)
        return tuple(value['ids']), float(value['expires_in_s'])
    except _MALFORMED_ERRORS as exc:
        detail = f'malformed job ids: {exc!r}'
        return _decisions.Outcome(_Kind.BROKEN, detail=detail, for_ids=True)


def _read_or_broken(reader, response, task_count):
    try:
        return reader(response, task_count)
    except _MALFORMED_ERRORS as exc:
        detail = f'malformed response with status {response.status}: {exc!r}'
        return _decisions.Outcome(_Kind.BROKEN, detail=detail)
