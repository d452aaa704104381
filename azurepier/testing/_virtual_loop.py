"""Event loop on virtual time, whose connections stay in memory.

Whole processes run in it with their sockets and timeouts: time passes at once
while they wait. Each process has a host address, which its tasks and callbacks
carry in a context variable, so that connections between hosts can be cut,
silenced or reset.
"""

import asyncio
import collections
import contextvars
import math
import selectors

import attrs

# Address of the host that runs the current task or callback.
HOST = contextvars.ContextVar('host', default='')
DELAY_S = 0.001
# Data travels in segments, and so many bytes of a connection are on their way
# at most, as with the small windows of short connections.
SEGMENT_BYTES = 16 * 1024
WINDOW_BYTES = 64 * 1024
# Size of a packet without data.
PACKET_BYTES = 60


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
class Link:
    """Connection of a host to the network.

    Parameters
    ----------
    bytes_per_s : float
        Bandwidth in each direction.
    delay_s : float
        Delay of each packet in each direction (s), added to `DELAY_S`.
    """

    bytes_per_s: float = math.inf
    delay_s: float = 0.0
    _free_at: dict = attrs.field(factory=dict)

    def transmit(self, direction, nbytes, start_at):
        """Return when a packet has passed that starts no earlier (s)."""
        start_at = max(start_at, self._free_at.get(direction, 0.0))
        end_at = start_at + nbytes / self.bytes_per_s
        self._free_at[direction] = end_at
        return end_at + self.delay_s


@attrs.define(eq=False)
class ListeningSocket:
    """Stands for a listening socket; port 0 selects a free port."""

    host: str
    port: int

    def setsockopt(self, *args):
        """Do nothing: the kernel's buffers aren't modelled."""

    def listen(self, backlog):
        """Do nothing: connections don't queue."""

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
        self._unsent = collections.deque()
        self._in_flight = 0
        self._ending = False

    def _call(self, delay_s, function, *args):
        self.loop.call_at(
            self.loop.time() + delay_s, function, *args, context=self.context
        )

    def connect(self, protocol):
        """Attach the protocol that receives the data."""
        self.protocol = protocol
        self.loop.transports.add(self)
        protocol.connection_made(self)

    def _send(self, nbytes, function, *args):
        """Call a function of the other end, in the order of sending."""
        if self.silent or self.loop.is_cut(self.host, self.other.host):
            self.silent = True
            return
        # The event loop doesn't keep the order of timers of the same time.
        self._arrives_at = max(
            self.loop.arrival(self.host, self.other.host, nbytes),
            math.nextafter(self._arrives_at, math.inf),
        )
        self.loop.call_at(
            self._arrives_at, function, *args, context=self.other.context
        )

    def write(self, data):
        """Send data to the other end."""
        if self.closed or self._ending:
            return
        data = bytes(data)
        for start in range(0, len(data), SEGMENT_BYTES):
            self._unsent.append(data[start : start + SEGMENT_BYTES])
        self._send_segments()

    def _send_segments(self):
        """Send what the window allows, then the end of the connection."""
        while self._unsent and not self.closed:
            size = len(self._unsent[0])
            if self._in_flight and self._in_flight + size > WINDOW_BYTES:
                return
            self._in_flight += size
            self._send(size, self.other._deliver, self._unsent.popleft())
        if self._ending and not self.closed:
            self._end()

    def _deliver(self, data):
        """Receive a segment, and tell the sender that it has arrived."""
        self._send(PACKET_BYTES, self.other._on_delivered, len(data))
        self._receive(data)

    def _on_delivered(self, nbytes):
        self._in_flight -= nbytes
        self._send_segments()

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
        """Close the connection after the data that is still to be sent."""
        if not self.closed:
            self._ending = True
            self._send_segments()

    def abort(self):
        """Close the connection at once."""
        if not self.closed:
            self._unsent.clear()
            self._end()

    def _end(self):
        self._ending = True
        self._send(PACKET_BYTES, self.other._lose)
        self._call(0.0, self._lose)

    def reset(self):
        """Break the connection, as the network does."""
        error = ConnectionResetError('connection reset')
        for end in (self, self.other):
            end._call(0.0, end._lose, error)

    def is_closing(self):
        """Return whether the connection is closed or being closed."""
        return self.closed or self._ending

    def get_write_buffer_size(self):
        """Return the number of bytes that wait for the window."""
        return sum(map(len, self._unsent))

    def can_write_eof(self):
        """Return False: a connection ends in both directions."""
        return False

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
    links : dict of str to Link
        Links by host; the others are neither slow nor delayed.
    """

    def __init__(self):
        self._virtual_clock = _Clock()
        super().__init__(_Selector(self._virtual_clock))
        self.servers = {}
        self.transports = set()
        self.cuts = set()
        self.tasks = {}
        self.links = {}
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

    def arrival(self, source, target, nbytes):
        """Return when a packet arrives that a host sends now (s)."""
        at = self.time() + DELAY_S
        for host, direction in ((source, 'out'), (target, 'in')):
            if host in self.links:
                at = self.links[host].transmit(direction, nbytes, at)
        return at

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
        for path in ((source, host), (host, source)):
            arrives_at = self.arrival(*path, PACKET_BYTES)
            await asyncio.sleep(arrives_at - self.time())
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
