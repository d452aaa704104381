"""Calls to the etcd v3 JSON gateway over the HTTP library's connections.

The library's connection pool is used without its client session. The session
resends a request when a connection closes, which for a transaction would hide
that the first attempt may have taken effect.
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

_JSON_CONTENT_TYPE = b'application/json'
_MAX_LINE_BYTES = 16_000_000
_MAX_ERROR_CHARS = 300


@attrs.define
class Gateway:
    """A gateway, its connection pool and the connections in use."""

    url: str
    pool: ConnectionPool
    in_use: set = attrs.field(factory=set)


def create(base_url):
    """Return a `Gateway`, which opens connections on demand.

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
    """Close all connections, including those of pending calls."""
    for conn in tuple(gateway.in_use):
        _abort(conn)
    await gateway.pool.dispose()


def _abort(conn):
    # A graceful close would wait for a silent peer to receive unsent data.
    if conn.writer is not None:
        conn.writer.transport.abort()


async def _acquire_connection(gateway):
    while True:
        conn = await gateway.pool.get_connection()
        # The library does not detect idle connections that the server closed.
        if conn.is_alive() and not conn.reader.at_eof():
            return conn
        _abort(conn)


def _make_request(gateway, path, value):
    url = URL(f'{gateway.url}{path}'.encode())
    host = url.host + (f':{url.port}'.encode() if url.port else b'')
    request = Request('POST', url.value, [(b'host', host)])
    request.content = Content(_JSON_CONTENT_TYPE, json.dumps(value).encode())
    return request


async def call(gateway, path, value, timeout_s):
    """Make one call and return the answer's JSON object.

    Parameters
    ----------
    gateway : Gateway
    path : str
    value : dict
    timeout_s : float
        Timeout of the whole call.

    Raises
    ------
    PlatformError
        For every failure. A write may have taken effect nevertheless.
    """
    response, body = await _call_with_timeout(
        gateway, path, timeout_s, _exchange(gateway, path, value)
    )
    if response.status != 200:
        raise _status_error(path, response.status, body)
    return _decode_object(path, body)


async def _run_in_task(coro):
    """Await `coro` in a separate task, so that no cancellation is lost.

    The library uses `asyncio.wait_for`, which up to Python 3.11 drops a
    cancellation that arrives together with the result. If the separate task
    drops it, the task continues for the duration of one call at most.
    """
    task = asyncio.create_task(coro)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    try:
        await asyncio.wait((task,))
    except asyncio.CancelledError:
        task.cancel()
        raise
    return task.result()


async def _call_with_timeout(gateway, path, timeout_s, coro):
    async def limited():
        async with asyncio.timeout(timeout_s):
            return await coro

    try:
        return await _run_in_task(limited())
    except kernel.PlatformError:
        raise
    except TimeoutError as exc:
        reason = f'no answer within {timeout_s:g} s'
        raise kernel.PlatformError(f'{gateway.url}{path}: {reason}') from exc
    except Exception as exc:
        # The library and its parser raise many unrelated classes here.
        reason = f'{type(exc).__name__}: {exc}'
        raise kernel.PlatformError(f'{gateway.url}{path}: {reason}') from exc


async def _exchange(gateway, path, value):
    conn = await _acquire_connection(gateway)
    gateway.in_use.add(conn)
    try:
        response = await conn.send(_make_request(gateway, path, value))
        body = await response.content.read()
        # The library returns a truncated body without raising an exception.
        if response.content.exc is not None:
            raise response.content.exc
        return response, body
    except BaseException:
        _abort(conn)
        raise
    finally:
        gateway.in_use.discard(conn)


def _status_error(path, status, body):
    try:
        value = json.loads(body)
        reason = value.get('message') or value.get('error') or ''
    except (ValueError, AttributeError, RecursionError):
        reason = body.decode('utf-8', 'replace')
    text = f'{path}: status {status}: {str(reason)[:_MAX_ERROR_CHARS]}'
    return kernel.PlatformError(text)


def _decode_object(path, body):
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise kernel.PlatformError(f'{path}: not JSON: {exc}') from exc
    if not isinstance(value, dict):
        raise kernel.PlatformError(
            f'{path}: expected a JSON object, found {type(value).__name__}'
        )
    return value


async def stream(gateway, path, value, timeout_s):
    """Make a call with a streamed answer and yield its JSON objects.

    The generator ends only with an exception. `timeout_s` applies until the
    first object has arrived.

    Raises
    ------
    PlatformError
        For every failure, and when the server ends the stream.
    """
    conn = await _call_with_timeout(
        gateway, path, timeout_s, _acquire_connection(gateway)
    )
    gateway.in_use.add(conn)
    try:
        response = await _call_with_timeout(
            gateway,
            path,
            timeout_s,
            conn.send(_make_request(gateway, path, value)),
        )
        if response.status != 200:
            raise _status_error(path, response.status, b'')
        lines = _read_lines(path, response)
        first = await _call_with_timeout(
            gateway, path, timeout_s, anext(lines)
        )
        yield _decode_result(path, first)
        while True:
            line = await _call_with_timeout(gateway, path, None, anext(lines))
            yield _decode_result(path, line)
    finally:
        _abort(conn)
        gateway.in_use.discard(conn)


async def _read_lines(path, response):
    rest = b''
    async for chunk in response.content.stream():
        *lines, rest = (rest + chunk).split(b'\n')
        if len(rest) > _MAX_LINE_BYTES:
            raise kernel.PlatformError(
                f'{path}: an object of {len(rest)} bytes in the stream '
                f'exceeds the limit of {_MAX_LINE_BYTES}'
            )
        for line in lines:
            if line.strip():
                yield line
    raise kernel.PlatformError(f'{path}: the server ended the stream')


def _decode_result(path, line):
    value = _decode_object(path, line)
    if not isinstance(value.get('result'), dict):
        reason = str(value.get('error'))[:_MAX_ERROR_CHARS]
        raise kernel.PlatformError(
            f'{path}: item of the stream has no result; its error: {reason}'
        )
    return value['result']
