"""A small HTTP/1.1 server that can misbehave.

The parser is a library; the server around it is written here because a
stand-in has to break connections at chosen points, which the HTTP servers in
use do not allow.
"""

import argparse
import asyncio
import functools
import json
import signal

import attrs
import httptools

_MAX_BODY_BYTES = 16_000_000
_REASONS = {200: 'OK', 400: 'Bad Request', 404: 'Not Found'}


@attrs.define
class Request:
    """A received request; names of headers are in lower case."""

    method: str
    path: str
    body: bytes
    headers: dict = attrs.field(factory=dict)
    query: str = ''

    def json(self):
        """Return the JSON object in the body, which may be empty."""
        value = json.loads(self.body or b'{}')
        if not isinstance(value, dict):
            raise ValueError('expected a JSON object')
        return value


@attrs.define
class Reply:
    """An answer: a JSON value or bytes, or lines from an async iterator."""

    value: object = None
    status: int = 200
    lines: object = None


def _encode(status, body, extra=''):
    head = (
        f'HTTP/1.1 {status} {_REASONS.get(status, "Other")}\r\n'
        f'content-type: application/json\r\n{extra}\r\n'
    )
    return head.encode() + body


def _chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


class _Connection(asyncio.Protocol):
    """One connection; clients send a request after the last answer."""

    def __init__(self, handle, connections):
        self.handle = handle
        self.connections = connections
        self.parser = httptools.HttpRequestParser(self)
        self.transport = None
        self.url = b''
        self.body = bytearray()
        self.headers = {}
        self.tasks = set()
        self.stream = None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, exc):
        self.connections.discard(self)
        # Work that a request has caused goes on without its caller.
        if self.stream is not None:
            self.stream.cancel()

    def data_received(self, data):
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, data):
        self.body += data
        if len(self.body) > _MAX_BODY_BYTES:
            self.transport.abort()

    def on_message_complete(self):
        url = httptools.parse_url(self.url)
        path = url.path.decode()
        query = (url.query or b'').decode()
        method = self.parser.get_method().decode()
        request = Request(method, path, bytes(self.body), self.headers, query)
        self.url = b''
        self.headers = {}
        self.body.clear()
        task = asyncio.get_running_loop().create_task(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, request):
        try:
            reply = await self.handle(request)
        except (ValueError, KeyError, TypeError) as exc:
            reply = Reply({'error': f'{type(exc).__name__}: {exc}'}, 400)
        if reply is None:
            self.transport.abort()
        elif reply.lines is not None:
            await self._send_lines(reply)
        elif not self.transport.is_closing():
            body = reply.value
            if not isinstance(body, bytes):
                body = json.dumps(body).encode()
            length = f'content-length: {len(body)}\r\n'
            self.transport.write(_encode(reply.status, body, length))

    async def _send_lines(self, reply):
        if self.transport.is_closing():
            return
        self.stream = asyncio.current_task()
        head = _encode(reply.status, b'', 'transfer-encoding: chunked\r\n')
        self.transport.write(head)
        async for value in reply.lines:
            line = json.dumps(value).encode() + b'\n'
            self.transport.write(_chunk(line))
        self.transport.abort()


@attrs.define
class Running:
    """A running server."""

    port: int
    connections: set
    _server: object

    def break_connections(self):
        """Close every connection at once."""
        for connection in tuple(self.connections):
            connection.transport.abort()

    async def close(self):
        """Stop the server and break its connections."""
        self._server.close()
        self.break_connections()
        await self._server.wait_closed()


async def start(handle, port=0):
    """Listen on a loopback port.

    Parameters
    ----------
    handle : callable
        ``await handle(request)`` returns a `Reply`, or None to break the
        connection.
    port : int
        0 lets the operating system choose.

    Returns
    -------
    Running
    """
    connections = set()
    loop = asyncio.get_running_loop()
    factory = functools.partial(_Connection, handle, connections)
    server = await loop.create_server(factory, '127.0.0.1', port)
    number = server.sockets[0].getsockname()[1]
    return Running(number, connections, server)


async def serve(handle, port, started=None):
    """Print the port as a JSON line and serve until SIGTERM or SIGINT.

    `started` is called with the `Running` server.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    running = await start(handle, port)
    if started is not None:
        started(running)
    print(json.dumps({'port': running.port}), flush=True)
    await stop.wait()
    await running.close()


def parser(description):
    """Return an argument parser with the options of every stand-in."""
    found = argparse.ArgumentParser(description=description)
    found.add_argument('--port', type=int, default=0)
    return found
