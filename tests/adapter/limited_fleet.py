"""An entry and an endpoint process with lowered limits, and their stand-ins.

The stand-ins of the store and of the worker run in a thread of their own, so
that they go on while a crowd of clients sends.
"""

import asyncio
import json
import os
import threading

from adapter import _store
import attrs
import crowd
import fakes

from standins import _server

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'hostname': 'h',
            'path_prefix': '/q/',
            'service': 'pool',
            'stretch': 1000,
        }
    ],
}
ENTRY_IP = f'{crowd.NETWORK}.6'
ENDPOINT_IP = f'{crowd.NETWORK}.7'
HEARTBEAT_INTERVAL_S = 0.2
_SETTINGS = '''
node_name = "{name}"
ip = "{ip}"
zone = "a"
port_range = [17320, 17330]
seeds = ["{entry_ip}:1"]
service = "pool"
app = "127.0.0.1:{worker}"
[listen]
front = "{ip}:17301"
ready = "{ip}:17302"
control = "{ip}:17303"
[bounds]
grace_s = 6
[limits]
{limits}
[platform]
address = "127.0.0.1:{store}"
'''


def post(job_id, spec='20000', **step):
    """Return the request that submits a best-effort job of one step.

    The stand-in of the worker runs a task for the milliseconds in its `spec`.
    """
    job = {'spec': spec, 'best_effort': True, 'steps': [step]}
    body = json.dumps(job).encode()
    return (
        b'POST /q/%b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%b'
        % (job_id.encode(), len(body), body)
    )


@attrs.define(eq=False)
class Fleet:
    """The processes and stand-ins of a test.

    Parameters
    ----------
    folder : pathlib.Path
        Settings and logs.
    limits : dict of str to int
        Table ``limits`` of the settings.
    max_fds : int
        Soft limit of descriptors.
    capacity : dict of str to int
        Capacity of the worker.
    config : dict
        Configuration in the store.
    entry_output : int, optional
        File descriptor or `subprocess.PIPE` for the log of the entry.
    """

    folder: object
    limits: dict
    max_fds: int
    capacity: dict
    config: dict = attrs.field(factory=CONFIG.copy)
    entry_output: int | None = None
    store: fakes.FakeStore = attrs.field(factory=fakes.FakeStore)
    worker: fakes.FakeWorker = attrs.field(factory=fakes.FakeWorker)
    entry: crowd.Process = None
    endpoint: crowd.Process = None
    _loop: object = attrs.field(factory=asyncio.new_event_loop)
    _thread: threading.Thread = None
    _servers: list = attrs.field(factory=list)

    def start(self):
        """Start the stand-ins and both processes."""
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._put_config()
        for stand_in in (self.store, self.worker):
            future = asyncio.run_coroutine_threadsafe(
                _server.start(stand_in.handle), self._loop
            )
            self._servers.append(future.result())
        self.entry = self._start_process('entry', ENTRY_IP, self.entry_output)
        self.endpoint = self._start_process('endpoint', ENDPOINT_IP)
        asyncio.run_coroutine_threadsafe(self._send_heartbeats(), self._loop)

    def _put_config(self):
        self.store.put(_store.CONFIG_KEY, json.dumps(self.config).encode())

    def change_config(self, **changes):
        """Write another version of the configuration."""
        self.config |= changes
        self._loop.call_soon_threadsafe(self._put_config)

    def _start_process(self, role, ip, output=None):
        store, worker = self._servers
        path = self.folder / f'{role}.toml'
        path.write_text(
            _SETTINGS.format(
                name=role,
                ip=ip,
                entry_ip=ENTRY_IP,
                worker=worker.port,
                store=store.port,
                limits='\n'.join(
                    f'{key} = {value}' for key, value in self.limits.items()
                ),
            )
        )
        child = crowd.spawn(
            ['platform/run.py', role],
            self.folder / f'{role}.log',
            self.max_fds,
            output,
            env={**os.environ, 'AZUREPIER_BOOT': str(path)},
        )
        ports = {'front': 17301, 'control': 17303, 'inner': 17320}
        return crowd.Process(
            child, {name: (ip, port) for name, port in ports.items()}
        )

    async def _send_heartbeats(self):
        """Send the worker's heartbeats, each on a connection of its own."""
        sequence = 0
        while True:
            sequence += 1
            report = self.worker.report(sequence) | {'capacity': self.capacity}
            body = json.dumps(report).encode()
            request = (
                b'POST /Instances.Heartbeat/i-1 HTTP/1.1\r\nhost: h\r\n'
                b'connection: close\r\ncontent-length: %d\r\n\r\n%b'
                % (len(body), body)
            )
            try:
                reader, writer = await asyncio.open_connection(
                    *self.endpoint.addresses['control']
                )
                writer.write(request)
                await reader.read()
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _close_servers(self):
        for server in self._servers:
            await server.close()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    def close(self):
        """End all of it."""
        for process in (self.entry, self.endpoint):
            if process is not None:
                process.kill()
        asyncio.run_coroutine_threadsafe(
            self._close_servers(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()
