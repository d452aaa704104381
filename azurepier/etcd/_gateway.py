"""Calls of the etcd v3 JSON gateway over the HTTP library's connections.

The library's connection pool is used without its session: the session sends
a request again by itself when a connection closes, which for a transaction
would hide that the first one may have taken effect.
"""

import asyncio
import json

import attrs
from blacksheep.client.pool import ConnectionPool
from blacksheep import Content
from blacksheep import InvalidURL
from blacksheep import Request
from blacksheep import URL

from azurepier import kernel

_JSON = b'application/json'
_MAX_LINE_BYTES = 16_000_000
_MAX_ERROR_CHARS = 300


@attrs.define
class Gateway:
    """One gateway and the open connections to it."""

    url: str
    pool: ConnectionPool
    open: set = attrs.field(factory=set)


def connect(base_url):
    """Return a `Gateway`; connections are made when they are needed.

    Raises
    ------
    InvalidInputError
        If `base_url` is not an absolute HTTP URL.
    """
    try:
        url = URL(base_url.rstrip('/').encode())
        port = url.port or {b'http': 80, b'https': 443}[url.schema]
        pool = ConnectionPool(url.schema, url.host, port, http2=False)
    except (InvalidURL, KeyError, ValueError, AttributeError) as exc:
        reason = f'expected an HTTP URL, found {base_url!r}'
        raise kernel.InvalidInputError('base_url', reason) from exc
    return Gateway(base_url.rstrip('/'), pool)


async def close(gateway):
    """Close all connections, including those of running calls."""
    for conn in tuple(gateway.open):
        _abort(conn)
    await gateway.pool.dispose()


def _abort(conn):
    # An orderly close would wait until a silent peer takes what is unsent.
    if conn.writer is not None:
        conn.writer.transport.abort()


async def _connection(gateway):
    while True:
        conn = await gateway.pool.get_connection()
        # The library does not notice that the server closed an idle one.
        if conn.is_alive() and not conn.reader.at_eof():
            return conn
        _abort(conn)


def _request(gateway, path, value):
    url = URL(f'{gateway.url}{path}'.encode())
    host = url.host + (f':{url.port}'.encode() if url.port else b'')
    request = Request('POST', url.value, [(b'host', host)])
    request.content = Content(_JSON, json.dumps(value).encode())
    return request


async def call(gateway, path, value, limit_s):
    """Make one call and return the answer's JSON object.

    Parameters
    ----------
    gateway : Gateway
    path : str
    value : dict
    limit_s : float
        For the whole call.

    Raises
    ------
    PlatformError
        For every fault. A write may have taken effect nevertheless.
    """
    response, body = await _guarded(
        gateway, path, limit_s, _exchange(gateway, path, value)
    )
    if response.status != 200:
        raise _refused(path, response.status, body)
    return _object(path, body)


async def _separately(coro):
    """Await `coro` in a task of its own, so that a cancellation gets through.

    The library uses `asyncio.wait_for`, which up to Python 3.11 drops a
    cancellation that arrives together with the result. A task that drops it
    here goes on for the time of one call at most.
    """
    task = asyncio.create_task(coro)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        raise
    return task.result()


async def _guarded(gateway, path, limit_s, exchange):
    async def bounded():
        async with asyncio.timeout(limit_s):
            return await exchange

    try:
        return await _separately(bounded())
    except kernel.PlatformError:
        raise
    except TimeoutError as exc:
        reason = f'no answer within {limit_s:g} s'
        raise kernel.PlatformError(f'{gateway.url}{path}: {reason}') from exc
    except Exception as exc:
        # The library and its parser raise many unrelated classes here.
        reason = f'{type(exc).__name__}: {exc}'
        raise kernel.PlatformError(f'{gateway.url}{path}: {reason}') from exc


async def _exchange(gateway, path, value):
    conn = await _connection(gateway)
    gateway.open.add(conn)
    try:
        response = await conn.send(_request(gateway, path, value))
        body = await response.content.read()
        # The library returns a truncated body without raising.
        if response.content.exc is not None:
            raise response.content.exc
        return response, body
    except BaseException:
        _abort(conn)
        raise
    finally:
        gateway.open.discard(conn)


def _refused(path, status, body):
    try:
        value = json.loads(body)
        reason = value.get('message') or value.get('error') or ''
    except (ValueError, AttributeError, RecursionError):
        reason = body.decode('utf-8', 'replace')
    text = f'{path}: status {status}: {str(reason)[:_MAX_ERROR_CHARS]}'
    return kernel.PlatformError(text)


def _object(path, body):
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise kernel.PlatformError(f'{path}: not JSON: {exc}') from exc
    if not isinstance(value, dict):
        raise kernel.PlatformError(f'{path}: expected a JSON object')
    return value


async def stream(gateway, path, value, limit_s):
    """Make a call with a streamed answer and yield its JSON objects.

    The generator ends by an exception only. `limit_s` applies until the
    first object has arrived.

    Raises
    ------
    PlatformError
        For every fault, and when the server ends the stream.
    """
    conn = await _guarded(gateway, path, limit_s, _connection(gateway))
    gateway.open.add(conn)
    try:
        response = await _guarded(
            gateway, path, limit_s, conn.send(_request(gateway, path, value))
        )
        if response.status != 200:
            raise _refused(path, response.status, b'')
        lines = _lines(path, response)
        first = await _guarded(gateway, path, limit_s, anext(lines))
        yield _result(path, first)
        while True:
            line = await _guarded(gateway, path, None, anext(lines))
            yield _result(path, line)
    finally:
        _abort(conn)
        gateway.open.discard(conn)


async def _lines(path, response):
    rest = b''
    async for chunk in response.content.stream():
        *lines, rest = (rest + chunk).split(b'\n')
        if len(rest) > _MAX_LINE_BYTES:
            raise kernel.PlatformError(f'{path}: an object is too large')
        for line in lines:
            if line.strip():
                yield line
    raise kernel.PlatformError(f'{path}: the stream ended')


def _result(path, line):
    value = _object(path, line)
    if not isinstance(value.get('result'), dict):
        reason = str(value.get('error'))[:_MAX_ERROR_CHARS]
        raise kernel.PlatformError(f'{path}: {reason}')
    return value['result']
