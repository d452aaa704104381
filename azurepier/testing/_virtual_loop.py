"""Event loop on virtual time, whose connections stay in memory.

Whole processes run in it with their sockets and timeouts: time passes at once
while they wait. Each process has a host address, which its tasks and callbacks
carry in a context variable, so that connections between hosts can be cut,
silenced or reset.
"""

import asyncio
import contextvars
import selectors

import attrs

# Address of the host that runs the current task or callback.
HOST = contextvars.ContextVar('host', default='')
DELAY_S = 0.001


class _Selector(selectors.DefaultSelector):
    """Lets the time pass instead of waiting for sockets."""

    def __init__(self, clock):
        super().__init__()
        self._clock = clock

    def select(self, timeout=None):
        """Advance the clock by the timeout; no socket is ever ready."""
        if timeout is None:
            raise RuntimeError('all tasks wait for each other')
        self._clock.now += max(timeout, 0.0)
        return []


@attrs.define
class _Clock:
    now: float = 0.0


@attrs.define(eq=False)
class ListeningSocket:
    """Stands for a listening socket; port 0 selects a free port."""

    host: str
    port: int

    def getsockname(self):
        """Return host and port."""
        return self.host, self.port


@attrs.define(eq=False)
class _Server:
    """A server in memory, with the interface of `asyncio.Server`."""

    loop: object
    sock: ListeningSocket
    factory: object
    context: object

    @property
    def sockets(self):
        """Return the listening socket."""
        return (self.sock,)

    def close(self):
        """Stop accepting connections."""
        self.loop.servers.pop(self.sock.getsockname(), None)

    async def wait_closed(self):
        """Return at once."""


class Transport(asyncio.Transport):
    """One end of a connection in memory.

    Attributes
    ----------
    host : str
        Host of this end.
    silent : bool
        Whether all that this end sends is lost.
    """

    def __init__(self, loop, host, context, peer_name):
        super().__init__(extra={'peername': peer_name})
        self.loop = loop
        self.host = host
        self.context = context
        self.protocol = None
        self.other = None
        self.silent = False
        self.closed = False
        self._arrives_at = 0.0

    def _call(self, delay_s, function, *args):
        self.loop.call_at(
            self.loop.time() + delay_s, function, *args, context=self.context
        )

    def connect(self, protocol):
        """Attach the protocol that receives the data."""
        self.protocol = protocol
        self.loop.transports.add(self)
        protocol.connection_made(self)

    def _send(self, function, *args):
        """Call a function of the other end, in the order of sending."""
        if self.silent or self.loop.is_cut(self.host, self.other.host):
            self.silent = True
            return
        arrives_at = max(self.loop.time() + DELAY_S, self._arrives_at)
        self._arrives_at = arrives_at
        self.other._call(arrives_at - self.loop.time(), function, *args)

    def write(self, data):
        """Send data to the other end."""
        if not self.closed:
            self._send(self.other._receive, bytes(data))

    def _receive(self, data):
        if self.closed:
            return
        if not isinstance(self.protocol, asyncio.BufferedProtocol):
            self.protocol.data_received(data)
            return
        while data and not self.closed:
            buffer = self.protocol.get_buffer(-1)
            part, data = data[: len(buffer)], data[len(buffer) :]
            buffer[: len(part)] = part
            self.protocol.buffer_updated(len(part))

    def _lose(self, exc=None):
        if not self.closed:
            self.closed = True
            self.loop.transports.discard(self)
            self.protocol.connection_lost(exc)

    def close(self):
        """Close the connection."""
        if not self.closed:
            self._send(self.other._lose)
            self._call(0.0, self._lose)

    abort = close

    def reset(self):
        """Break the connection, as the network does."""
        error = ConnectionResetError('connection reset')
        for end in (self, self.other):
            end._call(0.0, end._lose, error)

    def is_closing(self):
        """Return whether the connection is closed."""
        return self.closed

    def get_write_buffer_size(self):
        """Return 0, since all data is sent at once."""
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        """Ignore the limits."""

    def pause_reading(self):
        """Ignore the pause; the other end never waits."""

    def resume_reading(self):
        """Ignore the end of a pause."""


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time.

    Attributes
    ----------
    servers : dict
        By host and port.
    transports : set of Transport
        Ends of the open connections.
    cuts : set of frozenset of str
        Pairs of hosts that can't reach each other. A connection on which
        something was sent meanwhile stays silent.
    tasks : dict of str to list of asyncio.Task
        Tasks by host.
    """

    def __init__(self):
        self._virtual_clock = _Clock()
        super().__init__(_Selector(self._virtual_clock))
        self.servers = {}
        self.transports = set()
        self.cuts = set()
        self.tasks = {}
        self._last_port = 30_000

    def time(self):
        """Return the virtual time (s)."""
        return self._virtual_clock.now

    def create_task(self, coro, **options):
        """Create a task, and note its host."""
        task = super().create_task(coro, **options)
        tasks = self.tasks.setdefault(HOST.get(), set())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def add_signal_handler(self, sig, callback, *args):
        """Ignore the handler; signals are sent to no process here."""

    def is_cut(self, host, other):
        """Return whether two hosts can't reach each other."""
        return frozenset((host, other)) in self.cuts

    def connections(self, host, other=None):
        """Return the ends at a host, of connections to another or to all."""
        return [
            end
            for end in self.transports
            if end.host == host and other in (None, end.other.host)
        ]

    async def create_server(
        self, factory, host=None, port=None, *, sock=None, **_
    ):
        """Return a server in memory."""
        if not sock:
            if not port:
                self._last_port += 1
                port = self._last_port
            sock = ListeningSocket(host, port)
        context = contextvars.copy_context()
        server = _Server(self, sock, factory, context)
        self.servers[sock.getsockname()] = server
        return server

    async def create_connection(self, factory, host=None, port=None, **_):
        """Connect to a server in memory; wait for ever across a cut."""
        source = HOST.get()
        await asyncio.sleep(2 * DELAY_S)
        if self.is_cut(source, host):
            await self.create_future()
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(111, 'Connection refused')
        self._last_port += 1
        near = Transport(
            self, source, contextvars.copy_context(), (host, port)
        )
        far = Transport(self, host, server.context, (source, self._last_port))
        near.other, far.other = far, near
        server.context.run(lambda: far.connect(server.factory()))
        protocol = factory()
        near.connect(protocol)
        return near, protocol

    def kill(self, host):
        """End the tasks of a host at once and reset its connections."""
        for task in list(self.tasks.get(host, ())):
            task.cancel()
        for address in [each for each in self.servers if each[0] == host]:
            del self.servers[address]
        for end in self.connections(host):
            end.reset()


def run(make_coroutine):
    """Run a coroutine function on a new loop on virtual time.

    Returns
    -------
    object
        What the coroutine returns.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(make_coroutine())
