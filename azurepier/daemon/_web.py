"""HTTP server that runs in the event loop of the process."""

import asyncio
import contextlib
import functools

import attrs
import uvicorn

from azurepier.daemon import _http_flow
from azurepier.daemon import _http_port
from azurepier.daemon import _http_refusal
from azurepier.daemon import _http_server
from azurepier.daemon import _limits
from azurepier.kernel import AzurepierError
from azurepier import web
from azurepier import wire

SHUTDOWN_TIMEOUT_S = 5
_START_POLL_INTERVAL_S = 0.01
_SUBMIT_PATH = '/v1/jobs'


def _holds(method, path):
    """Tell whether a request waits for the end of its job."""
    return method == 'PUT' or (method, path) == ('POST', _SUBMIT_PATH)


def _make_problem(retry_after_s):
    return web.make_refusal_body('too many connections', retry_after_s)


_REFUSALS = _http_refusal.Refusals(
    _holds, _make_problem, b'application/problem+json'
)


class _Server(uvicorn.Server):
    """Server that does not install signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


@attrs.frozen
class WebServer:
    """A running HTTP server."""

    server: uvicorn.Server
    task: asyncio.Task

    async def close(self):
        """Wait for the open requests and stop the server."""
        self.server.should_exit = True
        await asyncio.gather(self.task, return_exceptions=True)


async def serve(app, sock, limits):
    """Serve an ASGI application on a listening socket.

    Parameters
    ----------
    app : callable
    sock : socket.socket
    limits : azurepier.daemon._limits.Limits

    Raises
    ------
    AzurepierError
        If the application does not start.
    """
    cfg = uvicorn.Config(
        app,
        loop='asyncio',
        http=functools.partial(
            _http_server.BoundedProtocol,
            _http_port.Port(limits, 'web', refusals=_REFUSALS),
        ),
        ws='none',
        lifespan='on',
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        backlog=_limits.ACCEPTED_AT_ONCE,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    server = _Server(cfg)
    loop = asyncio.get_running_loop()
    task = loop.create_task(server.serve(sockets=[sock]))
    while not server.started:
        if task.done():
            raise AzurepierError('the HTTP server did not start')
        await asyncio.sleep(_START_POLL_INTERVAL_S)
    _http_flow.prepare_socket(sock)
    sock.listen(wire.BACKLOG)
    return WebServer(server, task)
