"""The shell: passes events to a node and carries out its effects."""

import asyncio
import functools
import itertools
import math

import attrs

from azurepier.daemon import _limits
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
    """Runs the node of a process in an event loop.

    Parameters
    ----------
    module : module
        Logic of the node, such as `azurepier.entry`: has ``handle(node,
        event, now)`` and ``status(node, now)``; optionally ``recover(node,
        now)`` and ``knows(node, req)``.
    node : Entry or Endpoint
    ring : azurepier.timeline.Ring, optional
        Stores the node's `Record` effects.
    keys : callable
        Returns the active shared keys.
    observe_delay : callable
        Called with the delay of each wake-up (s), for the metrics.
    max_unsent_age_s : float
        That of `azurepier.wire.Hooks`.
    limits : azurepier.daemon._limits.Limits
        Limits on what clients can make the process keep.

    Attributes
    ----------
    handlers : dict
        Function ``(shell, effect)`` by class of effect. The endpoint process
        adds those that run tasks.
    conns : dict of int to azurepier.wire.Connection
        Connections after their handshake, by number.
    pending_answers : dict of int to asyncio.Future
        Futures of the callers' open requests, by request number.
    stopping : asyncio.Event
        Set when the process is asked to stop.
    stopped : asyncio.Event
        Set when the node has finished its drain.
    closing : bool
        Whether `close` was called.
    handler_errors : int
        Number of events that the node failed to handle.
    """

    module: object
    node: object
    ring: object = None
    keys: object = tuple
    observe_delay: object = _no_op
    max_unsent_age_s: float = math.inf
    limits: object = attrs.field(factory=_limits.create)
    loop: asyncio.AbstractEventLoop = attrs.field(
        factory=asyncio.get_running_loop
    )
    handlers: dict = attrs.field(factory=lambda: dict(_EFFECT_HANDLERS))
    hooks: wire.Hooks = attrs.field(init=False)
    conns: dict = attrs.field(factory=dict)
    pending_answers: dict = attrs.field(factory=dict)
    stopping: asyncio.Event = attrs.field(factory=asyncio.Event)
    stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    closing: bool = False
    handler_errors: int = 0
    _conn_numbers: object = attrs.field(factory=lambda: itertools.count(1))
    _session_numbers: object = attrs.field(factory=lambda: itertools.count(1))
    _req_numbers: object = attrs.field(factory=lambda: itertools.count(1))
    _dialing: dict = attrs.field(factory=dict)
    _wakeup: asyncio.TimerHandle | None = None
    # The timer handles of some event loops do not have `when()`.
    _wakeup_at: float = 0.0

    def __attrs_post_init__(self):
        self.hooks = wire.Hooks(
            make_hello=lambda: self.node.hello(next(self._session_numbers)),
            get_keys=self.keys,
            on_connected=self._on_connected,
            on_message=self._on_message,
            on_disconnected=self._on_disconnected,
            on_connect_failed=self._on_connect_failed,
            max_unsent_age_s=self.max_unsent_age_s,
            take_memory=lambda count: self.limits.peers.take(count),
        )
        self._schedule_wakeup()

    def feed(self, event):
        """Pass an event to the node and carry out the resulting effects.

        Returns
        -------
        bool
            False if the handler raised an exception, which is logged.
        """
        now = self.loop.time()
        try:
            produced = self.module.handle(self.node, event, now)
            for effect in produced:
                self.handlers[type(effect)](self, effect)
        except Exception as exc:
            self._recover(event, exc)
            return False
        finally:
            self._schedule_wakeup()
        return True

    def _recover(self, event, exc):
        """Log the error, let the node recover and fail lost requests.

        The module's `recover` brings the node back to a state that is
        consistent with its peers.
        """
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
                self.handlers[type(effect)](self, effect)
        except Exception as recovery_exc:
            _log.error(
                'recovery_failed',
                exc_info=recovery_exc,
                error=repr(recovery_exc),
            )
        for req, answer in list(self.pending_answers.items()):
            if not answer.done() and not self.module.knows(self.node, req):
                # The failed handler's effects, which held the answer, are
                # lost.
                answer.set_exception(
                    kernel.AzurepierError('the request was not handled')
                )

    async def ask(self, make_event, *args, **kwargs):
        """Pass a caller's request to the node and wait for the answer.

        Parameters
        ----------
        make_event : callable
            ``make_event(req, *args, **kwargs)`` returns the event.

        Returns
        -------
        Ids, Complete, Accepted or Refused
            Body of the node's `Answer`.

        Raises
        ------
        AzurepierError
            If the node failed to handle the event.
        """
        return await self.start_request(make_event, *args, **kwargs)

    def start_request(self, make_event, *args, **kwargs):
        """Pass a caller's request to the node; return a future of the answer.

        Cancelling the future abandons the request. The parameters and the
        result are those of `ask`.
        """
        req = next(self._req_numbers)
        answer = self.pending_answers[req] = self.loop.create_future()
        answer.add_done_callback(functools.partial(self._on_request_done, req))
        if (
            not self.feed(make_event(req, *args, **kwargs))
            and not answer.done()
        ):
            answer.set_exception(
                kernel.AzurepierError('the request was not handled')
            )
        return answer

    def abandon(self, req):
        """Abandon a request before this function returns.

        A cancelled future abandons its request only in the next iteration of
        the event loop; meanwhile the node would go on acting on it.
        """
        answer = self.pending_answers.get(req)
        if answer is not None and answer.cancel():
            del self.pending_answers[req]
            self.feed(events.Abandon(req))

    def _on_request_done(self, req, answer):
        pending = self.pending_answers.pop(req, None)
        if pending is not None and answer.cancelled():
            self.feed(events.Abandon(req))

    def _schedule_wakeup(self):
        """Schedule one wake-up no later than the node's earliest timer."""
        at = self.node.timers.next_at()
        if at is None:
            return
        if self._wakeup is not None:
            # A wake-up that comes too early schedules the next one.
            if self._wakeup_at <= at:
                return
            self._wakeup.cancel()
        self._wakeup = self.loop.call_at(at, self._on_wakeup)
        self._wakeup_at = at

    def _on_wakeup(self):
        due_at = self._wakeup_at
        self._wakeup = None
        if self.closing:
            return
        now = self.loop.time()
        self.observe_delay(now - due_at)
        at = self.node.timers.next_at()
        if at is not None and at <= now:
            self.feed(events.Tick())
        else:
            self._schedule_wakeup()

    def _on_connected(self, conn, hello):
        if self.closing:
            conn.abort('shutting down')
            return
        conn.number = next(self._conn_numbers)
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

    def _on_message(self, conn, msg):
        if not self.feed(events.Received(conn.number, msg)):
            # In a new session the peers agree again on what was received.
            conn.abort('the handler failed')

    def _on_disconnected(self, conn, reason):
        if self.conns.pop(conn.number, None) is None or self.closing:
            return
        if conn.failed:
            _log.warning('connection_failed', address=conn.peer, reason=reason)
        else:
            _log.info('connection_lost', address=conn.peer, reason=reason)
        self.feed(events.ConnectionClosed(conn.number))

    def _on_connect_failed(self, peer, reason):
        if not self.closing:
            _log.warning('connection_failed', address=peer, reason=reason)

    def dial(self, address):
        """Connect to an address unless an attempt is in progress."""
        if address not in self._dialing and not self.closing:
            task = self.loop.create_task(wire.dial(address, self.hooks))
            self._dialing[address] = task
            task.add_done_callback(lambda _: self._dialing.pop(address))

    def status(self):
        """Return the node's status as plain data for JSON."""
        return self.module.status(self.node, self.loop.time())

    def config_json(self):
        """Return the active configuration as JSON bytes."""
        # Imported here because the processes that serve pools do not use this
        # package.
        from azurepier import config

        return config.to_json(self.node.adoption.current)

    def stop(self):
        """Start a graceful stop; a second call has no effect.

        `stopped` is set when all work has ended.
        """
        if not self.stopping.is_set():
            self.stopping.set()
            _log.info('draining', incarnation=self.node.incarnation)
            self.feed(events.Drain())

    async def close(self):
        """Close all connections and cancel the wake-up."""
        self.closing = True
        if self._wakeup is not None:
            self._wakeup.cancel()
        for task in self._dialing.values():
            task.cancel()
        for conn in list(self.conns.values()):
            conn.close('shutting down')


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
        _log.info(
            'connection_aborted',
            address=conn.peer,
            incomplete_bytes=conn.incomplete_bytes,
        )
        conn.abort('aborted by the node')


def _write_log(shell, effect):
    _log.info(effect.event, **effect.fields)


def _deliver_answer(shell, effect):
    answer = shell.pending_answers.get(effect.req)
    if answer is not None and not answer.done():
        answer.set_result(effect.body)


def _add_to_timeline(shell, effect):
    shell.ring.add(effect, shell.loop.time())


def _set_stopped(shell, effect):
    shell.stopped.set()


_EFFECT_HANDLERS = {
    effects.Send: _send,
    effects.Dial: _dial,
    effects.Close: _close,
    effects.Abort: _abort,
    effects.Log: _write_log,
    effects.Answer: _deliver_answer,
    effects.Record: _add_to_timeline,
    effects.ReadPlatform: _no_op,
    effects.Stopped: _set_stopped,
}
