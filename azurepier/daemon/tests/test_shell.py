"""Tests of the shell around a small fake node."""

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
    """Records events and answers them from a table."""

    name: str
    replies: dict = attrs.field(factory=dict)
    seen: list = attrs.field(factory=list)
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)

    def hello(self, session):
        """Return the first message of a connection."""
        return make_hello(self.name, session=session)


def handle(node, event, now):
    """Record an event and return the effects that the test wants."""
    name = type(event).__name__
    node.seen.append(event)
    if name == 'Tick':
        list(node.timers.expired(now))
    return node.replies[name](event) if name in node.replies else []


def make_shell(name, **replies):
    """Return a shell; `replies` are functions by name of event class."""
    module = types.SimpleNamespace(handle=handle)
    return _shell.Shell(module, FakeNode(name, replies), timeline.Ring(10))


def fail(event):
    """Fail to handle an event."""
    raise RuntimeError('fault in the node')


class TestFailedHandler:
    @in_loop
    async def test_recovery(self):
        """Guards against callers that wait for an answer that was lost."""
        shell = make_shell('a', Submit=lambda event: [], Tick=fail)
        recovered = []
        shell.module.recover = lambda node, now: recovered.append(1) or []
        shell.module.knows = lambda node, req: req == 2
        first, second = (
            shell.begin(lambda req: events.Submit(req, None, None))
            for _ in range(2)
        )
        assert not shell.feed(events.Tick())
        assert recovered == [1]
        with pytest.raises(kernel.AzurepierError):
            await first
        assert not second.done()
        second.cancel()

    @in_loop
    async def test_recovery_that_fails_too(self):
        """Guards against an error that ends the process."""
        shell = make_shell('a', Tick=fail)
        shell.module.recover = lambda node, now: fail(None)
        shell.module.knows = lambda node, req: False
        assert not shell.feed(events.Tick())
        assert shell.handler_errors == 1


class TestAsk:
    @in_loop
    async def test_answer(self):
        """Guards against answers that reach another request."""
        shell = make_shell(
            'a', NewIds=lambda e: [effects.Answer(e.req, e.count)]
        )
        asked = [shell.ask(events.NewIds, count) for count in range(5)]
        assert await asyncio.gather(*asked) == [0, 1, 2, 3, 4]
        assert not shell.waiting

    @in_loop
    async def test_caller_that_leaves(self):
        """Guards against work that goes on for a caller that is gone."""
        shell = make_shell('a')
        task = asyncio.create_task(shell.ask(events.NewIds, count=1))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert shell.node.seen[-1] == events.Abandon(1)
        assert not shell.waiting

    @in_loop
    async def test_handler_that_fails(self):
        """Guards against a request that waits for ever."""
        shell = make_shell('a', NewIds=fail)
        with pytest.raises(kernel.AzurepierError):
            await shell.ask(events.NewIds, 1)
        assert shell.handler_errors == 1


class TestAlarm:
    @in_loop
    async def test_ticks(self):
        """Guards against timers that are lost when a nearer one is set."""
        shell = make_shell('a')
        node, now = shell.node, shell.loop.time()
        for delay_s in (0.03, 0.01, 0.02):
            node.timers.set(delay_s, now + delay_s)
            shell.feed(events.WorkerHealthChanged(True))
        node.timers.cancel(0.01)
        await until(lambda: len(node.timers) == 0)
        assert sum(isinstance(e, events.Tick) for e in node.seen) == 2


class TestConnections:
    @in_loop
    async def test_messages_and_end(self):
        """Guards against events for connections that are not up."""
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
        lost = events.ConnectionClosed(1)
        await until(lambda: lost in a.node.seen and lost in b.node.seen)
        up, *rest = b.node.seen
        assert rest == [events.Received(1, messages.Want(count=1)), lost]
        assert up.hello.name == 'a' and up.hello.session == 1
        listener.close()

    @in_loop
    async def test_fault_ends_the_connection(self):
        """Guards against going on after a message was half processed."""
        a, b = make_shell('a'), make_shell('b', Received=fail)
        sock = wire.bind('127.0.0.1:0')
        listener = await wire.listen(sock, b.hooks)
        a.dial(wire.bound_address(sock))
        await until(lambda: a.conns and b.conns)
        a.conns[1].send(messages.Want(count=1))
        await until(lambda: not a.conns and not b.conns)
        assert b.handler_errors == 1
        listener.close()
