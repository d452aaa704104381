"""The shell: carries events to a node and the node's effects out."""

import asyncio
import functools
import itertools

import attrs

from azurepier.daemon import _logs
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier import wire

_log = _logs.EventLog('azurepier.daemon')


def _no_op(*_):
    """Do nothing."""


@attrs.define(eq=False)
class Shell:
    """Owns the node of a process.

    Parameters
    ----------
    module : module
        `azurepier.entry` or `azurepier.endpoint`: has ``handle(node, event,
        now)`` and ``status(node, now)``.
    node : Entry or Endpoint
    ring : azurepier.timeline.Ring, optional
        Keeps the node's `Record` effects.
    keys : callable
        Returns the shared keys now in force.
    delays : callable
        Called with the delay of each alarm (s), for the metrics.

    Attributes
    ----------
    table : dict
        Function ``(shell, effect)`` by class of effect. The endpoint process
        adds those that run tasks.
    stopping : asyncio.Event
        Set when the process was first asked to stop.
    stopped : asyncio.Event
        Set when the node has finished its drain.
    """

    module: object
    node: object
    ring: object = None
    keys: object = tuple
    delays: object = _no_op
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )
    table: dict = attrs.field(factory=lambda: dict(_EFFECTS))
    hooks: wire.Hooks = attrs.field(init=False)
    conns: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    closing: bool = False
    handler_errors: int = 0
    _numbers: object = attrs.field(factory=lambda: itertools.count(1))
    _sessions: object = attrs.field(factory=lambda: itertools.count(1))
    _requests: object = attrs.field(factory=lambda: itertools.count(1))
    _dialing: dict = attrs.field(factory=dict)
    _alarm: asyncio.TimerHandle | None = None
    # Not every event loop's handles know when they are due.
    _alarm_at: float = 0.0

    def __attrs_post_init__(self):
        self.hooks = wire.Hooks(
            make_hello=lambda: self.node.hello(next(self._sessions)),
            get_keys=self.keys,
            on_connected=self._on_up,
            on_message=self._on_received,
            on_disconnected=self._on_lost,
            on_connect_failed=self._on_failed,
        )
        self._set_alarm()

    # Events --------------------------------------------------------------

    def feed(self, event):
        """Let the node handle an event and carry out the effects.

        Returns
        -------
        bool
            False if the handler failed, which is logged.
        """
        now = self.loop.time()
        try:
            found = self.module.handle(self.node, event, now)
            for effect in found:
                self.table[type(effect)](self, effect)
        except Exception as exc:
            self._on_error(event, exc)
            return False
        finally:
            self._set_alarm()
        return True

    def _on_error(self, event, exc):
        """Bring the node back to a state that its peers agree with."""
        self.handler_errors += 1
        _log.error(
            'handler_failed',
            exc_info=exc,
            event_class=type(event).__name__,
            error=repr(exc),
        )
        if not hasattr(self.module, 'recover'):
            return
        try:
            for effect in self.module.recover(self.node, self.loop.time()):
                self.table[type(effect)](self, effect)
        except Exception as again:
            _log.error('recovery_failed', exc_info=again, error=repr(again))
        for req, answer in list(self.waiting.items()):
            if not answer.done() and not self.module.knows(self.node, req):
                # Its answer was among the effects that were lost.
                answer.set_exception(
                    kernel.AzurepierError('the request was not handled')
                )

    async def ask(self, factory, *args, **kwargs):
        """Put a caller's request to the node and wait for its answer.

        Parameters
        ----------
        factory : callable
            ``factory(req, *args, **kwargs)`` returns the event.

        Returns
        -------
        Ids, Complete, Accepted or Refused
            Body of the node's `Answer`.

        Raises
        ------
        AzurepierError
            If the node failed to handle the event.
        """
        return await self.begin(factory, *args, **kwargs)

    def begin(self, factory, *args, **kwargs):
        """Put a caller's request to the node; return a future.

        Cancelling it abandons the request. The parameters and the result are
        those of `ask`.
        """
        req = next(self._requests)
        answer = self.waiting[req] = self.loop.create_future()
        answer.add_done_callback(functools.partial(self._asked, req))
        if not self.feed(factory(req, *args, **kwargs)) and not answer.done():
            answer.set_exception(
                kernel.AzurepierError('the request was not handled')
            )
        return answer

    def _asked(self, req, answer):
        del self.waiting[req]
        if answer.cancelled():
            self.feed(events.Abandon(req))

    def _set_alarm(self):
        """Keep one alarm that is due no later than the earliest timer."""
        at = self.node.timers.next_at()
        if at is None:
            return
        if self._alarm is not None:
            # An alarm that is early only looks for the next deadline.
            if self._alarm_at <= at:
                return
            self._alarm.cancel()
        self._alarm = self.loop.call_at(at, self._on_alarm)
        self._alarm_at = at

    def _on_alarm(self):
        due = self._alarm_at
        self._alarm = None
        if self.closing:
            return
        now = self.loop.time()
        self.delays(now - due)
        at = self.node.timers.next_at()
        if at is not None and at <= now:
            self.feed(events.Tick())
        else:
            self._set_alarm()

    # Connections ---------------------------------------------------------

    def _on_up(self, conn, hello):
        if self.closing:
            conn.abort('shutting down')
            return
        conn.number = next(self._numbers)
        self.conns[conn.number] = conn
        _log.info(
            'connection_up',
            peer=hello.name,
            role=hello.role,
            incarnation=hello.incarnation,
            address=conn.peer,
        )
        if not self.feed(events.ConnectionOpened(conn.number, hello)):
            conn.abort('the handler failed')

    def _on_received(self, conn, msg):
        if not self.feed(events.Received(conn.number, msg)):
            # The peers agree on a new session what was received.
            conn.abort('the handler failed')

    def _on_lost(self, conn, reason):
        if self.conns.pop(conn.number, None) is None or self.closing:
            return
        if conn.failed:
            _log.warning('connection_failed', address=conn.peer, reason=reason)
        else:
            _log.info('connection_lost', address=conn.peer, reason=reason)
        self.feed(events.ConnectionClosed(conn.number))

    def _on_failed(self, peer, reason):
        if not self.closing:
            _log.warning('connection_failed', address=peer, reason=reason)

    def dial(self, address):
        """Open a connection unless one is being opened."""
        if address not in self._dialing and not self.closing:
            task = self.loop.create_task(wire.dial(address, self.hooks))
            self._dialing[address] = task
            task.add_done_callback(lambda _: self._dialing.pop(address))

    # What others ask for -------------------------------------------------

    def status(self):
        """Return the node's status as plain data for JSON."""
        return self.module.status(self.node, self.loop.time())

    def config_json(self):
        """Return the configuration in force as JSON bytes."""
        # Only the processes with the project's own lists need the package.
        from azurepier import config

        return config.to_json(self.node.adoption.current)

    def stop(self):
        """Begin a graceful stop; a second call has no effect.

        `stopped` is set when all work has ended.
        """
        if not self.stopping.is_set():
            self.stopping.set()
            _log.info('draining', incarnation=self.node.incarnation)
            self.feed(events.Drain())

    async def close(self):
        """Close all connections and stop the alarm."""
        self.closing = True
        if self._alarm is not None:
            self._alarm.cancel()
        for task in self._dialing.values():
            task.cancel()
        for conn in list(self.conns.values()):
            conn.close('shutting down')


# Effects -----------------------------------------------------------------


def _send(shell, effect):
    conn = shell.conns.get(effect.conn)
    if conn is not None:
        conn.send(effect.msg)


def _dial(shell, effect):
    shell.dial(effect.address)


def _close(shell, effect):
    conn = shell.conns.get(effect.conn)
    if conn is not None:
        conn.close('closed by the node')


def _abort(shell, effect):
    conn = shell.conns.pop(effect.conn, None)
    if conn is not None:
        conn.abort('given up by the node')


def _note(shell, effect):
    _log.info(effect.event, **effect.fields)


def _answer(shell, effect):
    answer = shell.waiting.get(effect.req)
    if answer is not None and not answer.done():
        answer.set_result(effect.body)


def _record(shell, effect):
    shell.ring.add(effect, shell.loop.time())


def _stopped(shell, effect):
    shell.stopped.set()


_EFFECTS = {
    effects.Send: _send,
    effects.Dial: _dial,
    effects.Close: _close,
    effects.Abort: _abort,
    effects.Log: _note,
    effects.Answer: _answer,
    effects.Record: _record,
    effects.ReadPlatform: _no_op,
    effects.Stopped: _stopped,
}
