"""Tests of the limits of HTTP connections, on loopback."""

import asyncio
import functools
import time

import pytest
import uvicorn

from azurepier.daemon import _http_port
from azurepier.daemon import _http_refusal
from azurepier.daemon import _http_server
from azurepier.daemon import _limits

TIMEOUT_S = 10.0
GET = b'GET /%d HTTP/1.1\r\nhost: h\r\n\r\n'
HEAD = b'POST /0 HTTP/1.1\r\nhost: h\r\n'


def run_in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        async def limited():
            async with asyncio.timeout(TIMEOUT_S):
                await function(*args, **kwargs)

        asyncio.run(limited())

    return run


async def _app(scope, receive, send):
    """Answer with the path; wait for half a second for ``/slow``."""
    while (await receive()).get('more_body'):
        pass
    if scope['path'] == '/slow':
        await asyncio.sleep(0.5)
    body = scope['path'].encode()
    headers = [(b'content-length', b'%d' % len(body))]
    start = {'type': 'http.response.start', 'status': 200, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': body})


async def _start(limits):
    """Serve `_app`; return a function that connects."""
    cfg = uvicorn.Config(_app, lifespan='off', log_config=None)
    cfg.load()
    server = uvicorn.Server(cfg)
    refusals = _http_refusal.Refusals(lambda method, path: method == 'POST')
    port = _http_port.Port(limits, 'test', refusals=refusals)
    listener = await asyncio.get_running_loop().create_server(
        lambda: _http_server.BoundedProtocol(
            port, config=cfg, server_state=server.server_state, app_state={}
        ),
        '127.0.0.1',
    )
    return functools.partial(
        asyncio.open_connection, *listener.sockets[0].getsockname()
    )


def _limits_of(shared_bytes=1_000_000, max_connections=8, **requests):
    return _limits.Limits(
        max_connections,
        _limits.Budget(shared_bytes),
        _limits.Budget(shared_bytes),
        8,
        8,
        _limits.Requests(**requests),
    )


async def _exchange(connect, data):
    """Return the first line of the answer to some bytes."""
    reader, writer = await connect()
    writer.write(data)
    line = await reader.readline()
    writer.close()
    return line


@run_in_loop
async def test_pipelined_requests():
    """Guards against requests within the limits that are lost or swapped."""
    connect = await _start(_limits_of())
    reader, writer = await connect()
    writer.write(b''.join(GET % i for i in range(5000)))
    for i in range(5000):
        await reader.readuntil(b'\r\n\r\n')
        assert await reader.readexactly(len(b'/%d' % i)) == b'/%d' % i
    writer.close()


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (HEAD + b'x: ' + b'a' * 20_000, b'431'),
        (HEAD + b'x: ' + b'a' * 20_000 + b'\r\n\r\n', b'431'),
        (HEAD + b'x: 1\r\n' * 300, b'431'),
        (b'\r\n' * 20_000, b'431'),
        (HEAD + b'content-length: 300000\r\n\r\n' + b'a' * 270_000, b'413'),
        (b'a b c\r\n\r\n', b'400'),
        (HEAD, b'408'),
    ],
)
@run_in_loop
async def test_status(data, status):
    """Guards against clients that aren't told which limit they exceed."""
    limits = _limits_of(header_timeout_s=0.1)
    connect = await _start(limits)
    assert (await _exchange(connect, data)).split()[1] == status
    assert sum(limits.closed.values()) == 1
    assert (await _exchange(connect, GET % 1)).split()[1] == b'200'
    assert limits.shared.used_bytes == 0


@run_in_loop
async def test_requests_at_the_limits():
    """Guards against requests within the limits that are refused."""
    limits = _limits_of()
    connect = await _start(limits)
    start = HEAD + b'x: ' + b'a' * 16_000 + b'\r\n'
    body = b'content-length: 262144\r\n\r\n' + b'a' * 262_144
    assert (await _exchange(connect, start + body)).split()[1] == b'200'
    start = HEAD + b'transfer-encoding: chunked\r\n\r\n'
    body = b'1\r\na\r\n' * 50_000 + b'0\r\nx: 1\r\n\r\n'
    assert (await _exchange(connect, start + body)).split()[1] == b'200'
    assert not limits.closed


@run_in_loop
async def test_deadlines_while_an_answer_is_awaited(monkeypatch):
    """Guards against a job that is cut while its caller waits for it."""
    monkeypatch.setattr(_limits, 'SWEEP_INTERVAL_S', 0.02)
    limits = _limits_of(header_timeout_s=0.1, idle_timeout_s=0.1)
    connect = await _start(limits)
    reader, writer = await connect()
    writer.write(b'GET /slow HTTP/1.1\r\nhost: h\r\n\r\n')
    assert (await reader.readline()).split()[1] == b'200'
    # Idle afterwards.
    await reader.read()
    assert limits.closed == {'idle_timeout': 1}
    writer.close()


@run_in_loop
async def test_memory_of_all_connections():
    """Guards against large bodies that together take all memory."""
    limits = _limits_of(shared_bytes=100_000)
    connect = await _start(limits)
    large = HEAD + b'content-length: 60000\r\n\r\n' + b'a' * 60_000
    assert (await _exchange(connect, large)).startswith(b'HTTP/1.1 503')
    assert limits.closed == {'memory': 1}
    small = HEAD + b'content-length: 5000\r\n\r\n' + b'a' * 5_000
    assert (await _exchange(connect, small)).split()[1] == b'200'
    assert limits.shared.used_bytes == 0


@run_in_loop
async def test_number_of_connections():
    """Guards against an ordinary caller that finds no connection left."""
    limits = _limits_of(max_connections=2)
    connect = await _start(limits)
    crowd = [await connect() for _ in range(6)]
    assert (await _exchange(connect, GET % 1)).split()[1] == b'200'
    assert limits.closed['connections'] >= 4
    # Connections with a request in progress don't give way.
    slow = []
    for _ in range(2):
        slow.append(await connect())
        slow[-1][1].write(b'GET /slow HTTP/1.1\r\nhost: h\r\n\r\n')
        await asyncio.sleep(0.05)
    answer = await _exchange(connect, GET % 1)
    assert answer.startswith(b'HTTP/1.1 503')
    for reader, _ in slow:
        assert (await reader.readline()).split()[1] == b'200'
    for _, writer in crowd + slow:
        writer.close()


@run_in_loop
async def test_incomplete_request_behind_another():
    """Guards against connections that no deadline covers.

    The body of the second request is missing when the first is answered.
    """
    limits = _limits_of(max_connections=2, header_timeout_s=0.2)
    connect = await _start(limits)
    clients = [await connect() for _ in range(2)]
    for _, writer in clients:
        writer.write(GET % 1 + HEAD + b'content-length: 10\r\n\r\n')
    await asyncio.sleep(_limits.SLOW_REQUEST_S + 0.2)
    assert (await _exchange(connect, GET % 2)).startswith(b'HTTP/1.1 200')


@run_in_loop
async def test_partial_head_behind_other_requests():
    """Guards against a partial request that stays after the others."""
    limits = _limits_of(4_000_000, max_connections=64, header_timeout_s=0.2)
    connect = await _start(limits)
    clients = [await connect() for _ in range(56)]
    for number, (_, writer) in enumerate(clients, start=4):
        writer.write((GET % 1) * number + b'GET /2 HT')
    await asyncio.sleep(3 * _limits.SWEEP_INTERVAL_S + 0.5)
    assert limits.closed.get('header_timeout') == 56


@run_in_loop
async def test_malformed_request_behind_an_open_one():
    """Guards against a status that seems to be the answer to another job."""
    connect = await _start(_limits_of())
    chunked = HEAD + b'transfer-encoding: chunked\r\n\r\nxyz\r\n'
    slow = GET.replace(b'/%d', b'/slow')
    assert not (await _exchange(connect, slow + chunked)).startswith(
        b'HTTP/1.1 4'
    )


@run_in_loop
async def test_body_behind_its_answer(monkeypatch):
    """Guards against memory that an idle connection keeps."""
    limits = _limits_of()
    monkeypatch.setitem(globals(), '_app', _answer_at_once)
    connect = await _start(limits)
    reader, writer = await connect()
    writer.write(HEAD + b'content-length: 100000\r\n\r\n')
    await reader.readline()
    writer.write(bytes(100_000))
    await asyncio.sleep(0.2)
    assert limits.shared.used_bytes == 0
    writer.close()


async def _answer_at_once(scope, receive, send):
    headers = [(b'content-length', b'0')]
    start = {'type': 'http.response.start', 'status': 404, 'headers': headers}
    await send(start)
    await send({'type': 'http.response.body', 'body': b''})


@run_in_loop
async def test_deadlines_after_a_pause(monkeypatch):
    """Guards against 408 for data that arrived while the process paused."""
    monkeypatch.setattr(_limits, 'BODY_TIMEOUT_S', 0.5, raising=False)
    connect = await _start(_limits_of(header_timeout_s=0.5))
    reader, writer = await connect()
    writer.write(HEAD + b'content-length: 200000\r\n\r\n')
    await asyncio.sleep(0.1)
    writer.write(bytes(200_000))
    # Blocks the event loop for longer than two sweeps.
    time.sleep(2 * _limits.SWEEP_INTERVAL_S + 0.2)
    assert (await reader.readline()).startswith(b'HTTP/1.1 200')
    writer.close()
