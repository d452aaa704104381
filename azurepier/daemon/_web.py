"""HTTP server in the process's own event loop."""

import asyncio
import contextlib

import attrs
import uvicorn

from azurepier.kernel import AzurepierError

# Callers and load balancers reuse connections for up to a minute.
KEEP_ALIVE_S = 75
CLOSE_LIMIT_S = 5
_START_POLL_S = 0.01


class _Server(uvicorn.Server):
    """Server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


@attrs.frozen
class WebServer:
    """A running HTTP server."""

    server: uvicorn.Server
    task: asyncio.Task

    async def close(self):
        """Finish the open requests and stop."""
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
        timeout_keep_alive=KEEP_ALIVE_S,
        timeout_graceful_shutdown=CLOSE_LIMIT_S,
    )
    server = _Server(cfg)
    loop = asyncio.get_running_loop()
    task = loop.create_task(server.serve(sockets=[sock]))
    while not server.started:
        if task.done():
            raise AzurepierError('the HTTP server did not start')
        await asyncio.sleep(_START_POLL_S)
    return WebServer(server, task)
