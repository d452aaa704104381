"""Tests of the shell with a fake node."""

import asyncio
import types

import attrs
import pytest

from azurepier.daemon import _shell
from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import timeline
from azurepier import wire
from azurepier.wire.tests.support import in_loop
from azurepier.wire.tests.support import until
from azurepier.wire.tests.test_connection import make_hello


@attrs.define(eq=False)
class FakeNode:
    """Node that records events; `replies` are as for `make_shell`."""

    name: str
    replies: dict = attrs.field(factory=dict)
    handled: list = attrs.field(factory=list)
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)

    def hello(self, session):
        """Return the first message of a connection."""
        return make_hello(self.name, session=session)


def handle(node, event, now):
    """Record an event and return the effects that the test defines."""
    name = type(event).__name__
    node.handled.append(event)
    if name == 'Tick':
        list(node.timers.expired(now))
    return node.replies[name](event) if name in node.replies else []


def make_shell(name, **replies):
    """Return a shell; `replies` map names of event classes to functions.

    A function returns the effects of an event.
    """
    module = types.SimpleNamespace(handle=handle)
    return _shell.Shell(module, FakeNode(name, replies), timeline.Ring(10))


def fail(event):
    """Raise an error as a faulty event handler."""
    raise RuntimeError('error in the node')


class TestFailedHandler:
    @in_loop
    async def test_recovery(self):
        """Requests whose answer a failed handler has lost must fail."""
        shell = make_shell('a', Submit=lambda event: [], Tick=fail)
        recovered = []
        shell.module.recover = lambda node, now: recovered.append(1) or []
        shell.module.knows = lambda node, req: req == 2
        first, second = (
            shell.start_request(lambda req: events.Submit(req, None, None))
            for _ in range(2)
        )
        assert not shell.feed(events.Tick())
        assert recovered == [1]
        with pytest.raises(kernel.AzurepierError):
            await first
        assert not second.done()
        second.cancel()

    @in_loop
    async def test_failed_recovery(self):
        """Guards against an error in the recovery that ends the process."""
        shell = make_shell('a', Tick=fail)
        shell.module.recover = lambda node, now: fail(None)
        shell.module.knows = lambda node, req: False
        assert not shell.feed(events.Tick())
        assert shell.handler_errors == 1


class TestAsk:
    @in_loop
    async def test_answer(self):
        """Each answer must be delivered to its own request."""
        shell = make_shell(
            'a', NewIds=lambda e: [effects.Answer(e.req, e.count)]
        )
        answers = [shell.ask(events.NewIds, count) for count in range(5)]
        assert await asyncio.gather(*answers) == [0, 1, 2, 3, 4]
        assert not shell.pending_answers

    @in_loop
    async def test_cancelled_request(self):
        """Guards against work that continues after its caller is gone."""
        shell = make_shell('a')
        task = asyncio.create_task(shell.ask(events.NewIds, count=1))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert shell.node.handled[-1] == events.Abandon(1)
        assert not shell.pending_answers

    @in_loop
    async def test_failed_handler(self):
        """Guards against a request that waits forever after an error."""
        shell = make_shell('a', NewIds=fail)
        with pytest.raises(kernel.AzurepierError):
            await shell.ask(events.NewIds, 1)
        assert shell.handler_errors == 1


class TestWakeup:
    @in_loop
    async def test_ticks(self):
        """Setting an earlier timer must not discard the later ones."""
        shell = make_shell('a')
        node, now = shell.node, shell.loop.time()
        for delay_s in (0.03, 0.01, 0.02):
            node.timers.set(delay_s, now + delay_s)
            shell.feed(events.WorkerHealthChanged(True))
        node.timers.cancel(0.01)
        await until(lambda: len(node.timers) == 0)
        assert sum(isinstance(e, events.Tick) for e in node.handled) == 2


class TestConnections:
    @in_loop
    async def test_messages_and_disconnection(self):
        """Only established connections may produce events.

        The second message is sent on an unknown connection.
        """
        b = make_shell('b', Received=lambda e: [effects.Close(e.conn)])
        sock = wire.bind('127.0.0.1:0')
        listener = await wire.listen(sock, b.hooks)
        address = wire.bound_address(sock)
        sends = [effects.Send(n, messages.Want(count=n)) for n in (1, 99)]
        a = make_shell(
            'a',
            Tick=lambda e: [effects.Dial(address)],
            ConnectionOpened=lambda e: sends,
        )
        a.node.timers.set('dial', 0.0)
        a.feed(events.WorkerHealthChanged(True))
        disconnected = events.ConnectionClosed(1)
        await until(
            lambda: (
                disconnected in a.node.handled
                and disconnected in b.node.handled
            )
        )
        connected, *rest = b.node.handled
        assert rest == [
            events.Received(1, messages.Want(count=1)),
            disconnected,
        ]
        assert connected.hello.name == 'a' and connected.hello.session == 1
        listener.close()

    @in_loop
    async def test_failed_handler_aborts_connection(self):
        """Guards against a connection that stays open after a failed handler.

        The message may have been processed only in part.
        """
        a, b = make_shell('a'), make_shell('b', Received=fail)
        sock = wire.bind('127.0.0.1:0')
        listener = await wire.listen(sock, b.hooks)
        a.dial(wire.bound_address(sock))
        await until(lambda: a.conns and b.conns)
        a.conns[1].send(messages.Want(count=1))
        await until(lambda: not a.conns and not b.conns)
        assert b.handler_errors == 1
        listener.close()
