"""HTTP/1.1 server for stand-ins, with fault injection.

Stand-ins have to break connections at chosen points, which the usual HTTP
servers don't support. Requests are parsed by httptools.
"""

import argparse
import asyncio
import functools
import json
import signal

import attrs
import httptools

_MAX_BODY_BYTES = 16_000_000
_REASON_PHRASES = {200: 'OK', 400: 'Bad Request', 404: 'Not Found'}


@attrs.define
class Request:
    """A received request; header names are in lower case."""

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
    """Reply to a request.

    Attributes
    ----------
    value : object
        JSON value, or the body as bytes.
    status : int
    lines : async iterator or None
        JSON values that are streamed one a line, in place of `value`. The
        connection is closed after the last.
    """

    value: object = None
    status: int = 200
    lines: object = None


def _encode_response(status, body, extra_headers=''):
    head = (
        f'HTTP/1.1 {status} {_REASON_PHRASES.get(status, "Other")}\r\n'
        f'content-type: application/json\r\n{extra_headers}\r\n'
    )
    return head.encode() + body


def _encode_chunk(data):
    return b'%x\r\n%b\r\n' % (len(data), data)


class _Connection(asyncio.Protocol):
    """An HTTP connection; clients must not pipeline requests."""

    def __init__(self, handle, connections):
        self.handle = handle
        self.connections = connections
        self.parser = httptools.HttpRequestParser(self)
        self.transport = None
        self.url = b''
        self.body = bytearray()
        self.headers = {}
        self.tasks = set()
        self.stream_task = None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)

    def connection_lost(self, exc):
        self.connections.discard(self)
        # Requests in progress continue without their caller.
        if self.stream_task is not None:
            self.stream_task.cancel()

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
        task = asyncio.get_running_loop().create_task(
            self._handle_request(request)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _handle_request(self, request):
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
            self.transport.write(_encode_response(reply.status, body, length))

    async def _send_lines(self, reply):
        if self.transport.is_closing():
            return
        self.stream_task = asyncio.current_task()
        head = _encode_response(
            reply.status, b'', 'transfer-encoding: chunked\r\n'
        )
        self.transport.write(head)
        async for value in reply.lines:
            line = json.dumps(value).encode() + b'\n'
            self.transport.write(_encode_chunk(line))
        self.transport.abort()


@attrs.define
class RunningServer:
    """A running server, its port and its open connections."""

    port: int
    connections: set
    _server: object

    def break_connections(self):
        """Abort all open connections."""
        for connection in tuple(self.connections):
            connection.transport.abort()

    async def close(self):
        """Stop the server and abort its connections."""
        self._server.close()
        self.break_connections()
        await self._server.wait_closed()


async def start(handle, port=0):
    """Start a server on a loopback port.

    Parameters
    ----------
    handle : callable
        ``await handle(request)`` returns a `Reply`, or None to abort the
        connection.
    port : int
        0 for a port that the operating system chooses.

    Returns
    -------
    RunningServer
    """
    connections = set()
    loop = asyncio.get_running_loop()
    factory = functools.partial(_Connection, handle, connections)
    server = await loop.create_server(factory, '127.0.0.1', port)
    port_number = server.sockets[0].getsockname()[1]
    return RunningServer(port_number, connections, server)


async def serve(handle, port, on_started=None):
    """Print the port as a JSON line and serve until SIGTERM or SIGINT.

    `on_started` is called with the `RunningServer`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    server = await start(handle, port)
    if on_started is not None:
        on_started(server)
    print(json.dumps({'port': server.port}), flush=True)
    await stop.wait()
    await server.close()


def make_parser(description):
    """Return an argument parser with the options of every stand-in."""
    arg_parser = argparse.ArgumentParser(description=description)
    arg_parser.add_argument('--port', type=int, default=0)
    return arg_parser
