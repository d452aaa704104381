"""HTTP server that runs in the event loop of the process."""

import asyncio
import contextlib

import attrs
import uvicorn

from azurepier.kernel import AzurepierError

# Longer than the minute for which callers and load balancers reuse idle
# connections.
KEEP_ALIVE_TIMEOUT_S = 75
SHUTDOWN_TIMEOUT_S = 5
_START_POLL_INTERVAL_S = 0.01


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


async def serve(app, sock):
    """Serve an ASGI application on a listening socket.

    Raises
    ------
    AzurepierError
        If the application does not start.
    """
    cfg = uvicorn.Config(
        app,
        loop='asyncio',
        http='httptools',
        ws='none',
        lifespan='on',
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    server = _Server(cfg)
    loop = asyncio.get_running_loop()
    task = loop.create_task(server.serve(sockets=[sock]))
    while not server.started:
        if task.done():
            raise AzurepierError('the HTTP server did not start')
        await asyncio.sleep(_START_POLL_INTERVAL_S)
    return WebServer(server, task)
