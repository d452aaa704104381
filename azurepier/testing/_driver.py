"""Discrete-event simulation of nodes, with faults of their connections.

The driver replaces the shells of the daemons: it executes effects, delivers
messages after a delay and counts the tasks that the workers start. The nodes
are those of the daemons.
"""

import heapq
import random
import typing

import attrs

from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events

CLOSE_DELAY_S = 0.0005
DIAL_DELAY_S = 0.001


@attrs.define(eq=False, repr=False)
class Process:
    """Simulated process: a node, its connections and its faults.

    Attributes
    ----------
    inbox : list
        Events that arrived while the process was frozen.
    connections : dict
        Open connections by connection number.
    worker : callable or PoolWorker
        Worker of an endpoint process. A callable returns the run time (s),
        status and output of a task.
    wake_at : float or None
        Time of the next scheduled tick (s).
    tasks : dict
        Start messages of the running tasks, by key.
    """

    name: str
    node: typing.Any
    handle: typing.Callable
    address: str = ''
    alive: bool = True
    frozen: bool = False
    stopped: bool = False
    inbox: list = attrs.field(factory=list)
    connections: dict = attrs.field(factory=dict)
    session: int = 0
    wake_at: float | None = None
    worker: typing.Any = None
    # ``recover(node, now)``, called after a handler has failed, and the number
    # of those calls.
    recover: typing.Callable | None = None
    handler_failures: int = 0
    tasks: dict = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class _Connection:
    """Connection between two processes; if `silent`, it drops messages."""

    ends: tuple  # ((process, conn), (process, conn))
    silent: bool = False
    open: bool = True
    last_arrivals: list = attrs.field(factory=lambda: [0.0, 0.0])


@attrs.define(eq=False, repr=False)
class Driver:
    """Event loop on virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    delay : callable
        ``delay(sender, receiver)`` returns the one-way delay (s).

    Attributes
    ----------
    partitions : set of frozenset of str
        Pairs of names of processes that can't connect to each other.
    effect_handlers : dict of type to callable
        ``handler(driver, process, effect)`` by the class of the effect.
    """

    seed: int = 1
    delay: typing.Callable = lambda sender, receiver: 0.0005
    now: float = 0.0
    rng: random.Random = attrs.field(init=False)
    processes: dict = attrs.field(factory=dict)
    by_address: dict = attrs.field(factory=dict)
    answers: dict = attrs.field(factory=dict)  # (process, req) -> (at, body)
    on_answer: typing.Callable | None = None
    on_platform_read: typing.Callable | None = None
    sent: dict = attrs.field(factory=dict)  # message class name -> count
    # Returns the size of a message for `sent_bytes`. Unset by default, since
    # encoding each message takes time.
    size_of: typing.Callable | None = None
    sent_bytes: int = 0
    records: list | None = None
    # ``(time, process name, effect)`` of `effects.Log`; None to keep none.
    log_effects: list | None = None
    partitions: set = attrs.field(factory=set)
    effect_handlers: dict = attrs.field(factory=lambda: dict(_EFFECTS))
    _heap: list = attrs.field(factory=list)
    _event_count: int = 0
    _last_conn: int = 0

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    def at(self, when, function, *args):
        """Call `function(*args)` at the time `when` (s)."""
        self._event_count += 1
        heapq.heappush(self._heap, (when, self._event_count, function, args))

    def after(self, delay_s, function, *args):
        """Call `function(*args)` after a delay (s)."""
        self.at(self.now + delay_s, function, *args)

    def run_until(self, when):
        """Run all events up to the time `when` (s)."""
        while self._heap and self._heap[0][0] <= when:
            self.now, _, function, args = heapq.heappop(self._heap)
            function(*args)
        self.now = when

    def add(self, process):
        """Start a process."""
        self.processes[process.name] = process
        if process.address:
            self.by_address[process.address] = process
        self._schedule_wakeup(process)
        return process

    def feed(self, process, event):
        """Pass an event to a process; queue it while the process is frozen."""
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append(event)
            return
        try:
            emitted = process.handle(process.node, event, self.now)
        except Exception:
            if process.recover is None:
                raise
            process.handler_failures += 1
            emitted = process.recover(process.node, self.now)
        for effect in emitted:
            self.effect_handlers[type(effect)](self, process, effect)
        self._schedule_wakeup(process)

    def _schedule_wakeup(self, process):
        at = process.node.timers.next_at()
        if at is not None and (
            process.wake_at is None or at < process.wake_at
        ):
            process.wake_at = at
            self.at(max(at, self.now), self._wake_up, process, at)

    def _wake_up(self, process, at):
        if process.wake_at == at:
            process.wake_at = None
            self.feed(process, events.Tick())

    def kill(self, process):
        """Kill a process; its peers see the connections close."""
        process.alive = False
        for connection in list(process.connections.values()):
            self._close(connection)
        for key in list(process.tasks):
            # The worker stops these tasks when their leases expire.
            process.tasks.pop(key)

    def freeze(self, process):
        """Pause a process without closing its connections."""
        process.frozen = True

    def thaw(self, process):
        """Resume a frozen process, which gets the queued events."""
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self.feed(process, event)

    def silence(self, a, b):
        """Drop all further messages on the connections of two processes."""
        for connection in list(a.connections.values()):
            if any(process is b for process, _ in connection.ends):
                connection.silent = True

    def partition(self, a, b):
        """Drop all traffic between two processes until `heal`."""
        self.partitions.add(frozenset((a.name, b.name)))
        self.silence(a, b)

    def heal(self, a, b):
        """Allow new connections between two processes again."""
        self.partitions.discard(frozenset((a.name, b.name)))

    def _connect(self, dialer, address):
        listener = self.by_address.get(address)
        if listener is None or not listener.alive or not dialer.alive:
            return
        if frozenset((dialer.name, listener.name)) in self.partitions:
            return
        if listener.frozen or dialer.frozen or listener.stopped:
            return
        ends = []
        for process in (dialer, listener):
            self._last_conn += 1
            process.session += 1
            ends.append((process, self._last_conn))
        connection = _Connection(tuple(ends))
        hellos = [process.node.hello(process.session) for process, _ in ends]
        for index, (process, conn) in enumerate(ends):
            process.connections[conn] = connection
            event = events.ConnectionOpened(conn, hellos[1 - index])
            self.after(
                self._transit_delay(connection, 1 - index),
                self.feed,
                process,
                event,
            )

    def _transit_delay(self, connection, sender):
        """Return the delay of a message sent now; messages stay in order."""
        source, target = (
            connection.ends[sender][0],
            connection.ends[1 - sender][0],
        )
        arrival = self.now + self.delay(source, target)
        arrival = max(arrival, connection.last_arrivals[sender])
        connection.last_arrivals[sender] = arrival
        return arrival - self.now

    def _deliver(self, connection, receiver, msg):
        process, conn = connection.ends[receiver]
        if connection.open and conn in process.connections:
            self.feed(process, events.Received(conn, msg))

    def _close(self, connection):
        if not connection.open:
            return
        connection.open = False
        for process, conn in connection.ends:
            if not connection.silent:
                self.after(CLOSE_DELAY_S, self._on_disconnected, process, conn)

    def _on_disconnected(self, process, conn):
        if process.connections.pop(conn, None) is not None:
            self.feed(process, events.ConnectionClosed(conn))

    def _send(self, process, effect):
        connection = process.connections.get(effect.conn)
        if connection is None or not connection.open:
            return
        name = type(effect.msg).__name__
        self.sent[name] = self.sent.get(name, 0) + 1
        if self.size_of is not None:
            self.sent_bytes += self.size_of(effect.msg)
        if connection.silent:
            return
        sender = 0 if connection.ends[0][0] is process else 1
        delay_s = self._transit_delay(connection, sender)
        self.after(delay_s, self._deliver, connection, 1 - sender, effect.msg)

    def _dial(self, process, effect):
        self.after(DIAL_DELAY_S, self._connect, process, effect.address)

    def _handle_close(self, process, effect):
        connection = process.connections.pop(effect.conn, None)
        if connection is not None:
            self._close(connection)

    def _abort(self, process, effect):
        """Close a connection; messages in transit to the peer are lost."""
        connection = process.connections.pop(effect.conn, None)
        if connection is not None:
            self._close(connection)

    def _log(self, process, effect):
        if self.log_effects is not None:
            self.log_effects.append((self.now, process.name, effect))

    def _answer(self, process, effect):
        self.answers[(process.name, effect.req)] = (self.now, effect.body)
        if self.on_answer is not None:
            self.on_answer(process, effect.req, effect.body)

    def _run_task(self, process, effect):
        process.tasks[effect.key] = effect.start
        run_s, status, output = process.worker(effect.start, self.now)
        ended = events.TaskEnded(
            effect.key, int(status), output, round(run_s * 1000)
        )
        self.after(run_s, self._task_ended, process, ended)

    def _task_ended(self, process, ended):
        if process.tasks.pop(ended.key, None) is not None:
            self.feed(process, ended)

    def _stop_task(self, process, effect):
        if effect.key in process.tasks:
            ended = events.TaskEnded(
                effect.key, int(kernel.Status.STOPPED), b'', 0
            )
            self.after(0.0, self._task_ended, process, ended)

    def _read_platform(self, process, effect):
        if self.on_platform_read is not None:
            self.on_platform_read(process)

    def _record(self, process, effect):
        if self.records is not None:
            self.records.append((self.now, process.name, effect))

    def _stopped(self, process, effect):
        process.stopped = True
        self.kill(process)


_EFFECTS = {
    effects.Send: Driver._send,
    effects.Dial: Driver._dial,
    effects.Close: Driver._handle_close,
    effects.Abort: Driver._abort,
    effects.Log: Driver._log,
    effects.Answer: Driver._answer,
    effects.RunTask: Driver._run_task,
    effects.StopTask: Driver._stop_task,
    effects.ReadPlatform: Driver._read_platform,
    effects.Record: Driver._record,
    effects.Stopped: Driver._stopped,
}
