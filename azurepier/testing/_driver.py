"""Runs nodes on virtual time with faults at their connections.

The driver takes the place of the daemons' shells: it carries out effects,
delivers messages after a delay and counts what the workers start. The nodes
are the ones that the daemons run.
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
    """One process: a node, its connections and its faults."""

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
    # ``recover(node, now)`` if the node outlives a failed handler.
    recover: typing.Callable | None = None
    failures: int = 0
    tasks: dict = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class _Connection:
    """Both ends of a connection; `silent` drops all that is sent."""

    ends: tuple  # ((process, conn), (process, conn))
    silent: bool = False
    open: bool = True
    last: list = attrs.field(factory=lambda: [0.0, 0.0])


@attrs.define(eq=False, repr=False)
class Driver:
    """Event loop on virtual time.

    Parameters
    ----------
    seed : int
        Seed of all random numbers.
    delay : callable
        `delay(sender, receiver)` returns the one-way delay in seconds.
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
    # Returns the size of a message, for `sent_bytes`; costs time.
    size_of: typing.Callable | None = None
    sent_bytes: int = 0
    records: list | None = None
    notes: list | None = None
    cuts: set = attrs.field(factory=set)
    table: dict = attrs.field(factory=lambda: dict(_EFFECTS))
    _heap: list = attrs.field(factory=list)
    _counter: int = 0
    _conns: int = 0

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)

    # Time ----------------------------------------------------------------

    def at(self, when, function, *args):
        """Call `function(*args)` at the time `when` (s)."""
        self._counter += 1
        heapq.heappush(self._heap, (when, self._counter, function, args))

    def after(self, delay_s, function, *args):
        """Call `function(*args)` after `delay_s`."""
        self.at(self.now + delay_s, function, *args)

    def run_until(self, when):
        """Run all events up to the time `when` (s)."""
        while self._heap and self._heap[0][0] <= when:
            self.now, _, function, args = heapq.heappop(self._heap)
            function(*args)
        self.now = when

    # Processes -----------------------------------------------------------

    def add(self, process):
        """Start a process."""
        self.processes[process.name] = process
        if process.address:
            self.by_address[process.address] = process
        self._arm(process)
        return process

    def feed(self, process, event):
        """Pass an event to a process, or keep it while it is frozen."""
        if not process.alive:
            return
        if process.frozen:
            process.inbox.append(event)
            return
        try:
            found = process.handle(process.node, event, self.now)
        except Exception:
            if process.recover is None:
                raise
            process.failures += 1
            found = process.recover(process.node, self.now)
        for effect in found:
            self.table[type(effect)](self, process, effect)
        self._arm(process)

    def _arm(self, process):
        at = process.node.timers.next_at()
        if at is not None and (
            process.wake_at is None or at < process.wake_at
        ):
            process.wake_at = at
            self.at(max(at, self.now), self._wake, process, at)

    def _wake(self, process, at):
        if process.wake_at == at:
            process.wake_at = None
            self.feed(process, events.Tick())

    def kill(self, process):
        """End a process at once; its peers see the connections close."""
        process.alive = False
        for link in list(process.connections.values()):
            self._close(link)
        for key in list(process.tasks):
            # The worker stops a task when its lease lapses.
            process.tasks.pop(key)

    def freeze(self, process):
        """Stop a process without closing its connections."""
        process.frozen = True

    def thaw(self, process):
        """Continue a frozen process with all that arrived meanwhile."""
        process.frozen = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self.feed(process, event)

    # Connections ---------------------------------------------------------

    def silence(self, a, b):
        """Let the open connections between two processes go silent."""
        for link in list(a.connections.values()):
            if any(process is b for process, _ in link.ends):
                link.silent = True

    def cut(self, a, b):
        """Lose all traffic between two processes until `heal`."""
        self.cuts.add(frozenset((a.name, b.name)))
        self.silence(a, b)

    def heal(self, a, b):
        """Let two processes open connections again."""
        self.cuts.discard(frozenset((a.name, b.name)))

    def _connect(self, caller, address):
        callee = self.by_address.get(address)
        if callee is None or not callee.alive or not caller.alive:
            return
        if frozenset((caller.name, callee.name)) in self.cuts:
            return
        if callee.frozen or caller.frozen or callee.stopped:
            return
        ends = []
        for process in (caller, callee):
            self._conns += 1
            process.session += 1
            ends.append((process, self._conns))
        link = _Connection(tuple(ends))
        hellos = [process.node.hello(process.session) for process, _ in ends]
        for index, (process, conn) in enumerate(ends):
            process.connections[conn] = link
            event = events.ConnectionOpened(conn, hellos[1 - index])
            self.after(
                self._transit(link, 1 - index), self.feed, process, event
            )

    def _transit(self, link, sender):
        """Return the delay of a message that `sender` sends now, in order."""
        source, target = link.ends[sender][0], link.ends[1 - sender][0]
        arrival = self.now + self.delay(source, target)
        arrival = max(arrival, link.last[sender])
        link.last[sender] = arrival
        return arrival - self.now

    def _deliver(self, link, receiver, msg):
        process, conn = link.ends[receiver]
        if link.open and conn in process.connections:
            self.feed(process, events.Received(conn, msg))

    def _close(self, link):
        if not link.open:
            return
        link.open = False
        for process, conn in link.ends:
            if not link.silent:
                self.after(CLOSE_DELAY_S, self._lost, process, conn)

    def _lost(self, process, conn):
        if process.connections.pop(conn, None) is not None:
            self.feed(process, events.ConnectionClosed(conn))

    # Effects -------------------------------------------------------------

    def _send(self, process, effect):
        link = process.connections.get(effect.conn)
        if link is None or not link.open:
            return
        name = type(effect.msg).__name__
        self.sent[name] = self.sent.get(name, 0) + 1
        if self.size_of is not None:
            self.sent_bytes += self.size_of(effect.msg)
        if link.silent:
            return
        sender = 0 if link.ends[0][0] is process else 1
        delay_s = self._transit(link, sender)
        self.after(delay_s, self._deliver, link, 1 - sender, effect.msg)

    def _dial(self, process, effect):
        self.after(DIAL_DELAY_S, self._connect, process, effect.address)

    def _close_effect(self, process, effect):
        link = process.connections.pop(effect.conn, None)
        if link is not None:
            self._close(link)

    def _abort(self, process, effect):
        """Close a connection; what is on its way to the peer is lost."""
        link = process.connections.pop(effect.conn, None)
        if link is not None:
            self._close(link)

    def _note(self, process, effect):
        if self.notes is not None:
            self.notes.append((self.now, process.name, effect))

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
    effects.Close: Driver._close_effect,
    effects.Abort: Driver._abort,
    effects.Log: Driver._note,
    effects.Answer: Driver._answer,
    effects.RunTask: Driver._run_task,
    effects.StopTask: Driver._stop_task,
    effects.ReadPlatform: Driver._read_platform,
    effects.Record: Driver._record,
    effects.Stopped: Driver._stopped,
}
