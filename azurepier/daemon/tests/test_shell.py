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


@attrs.define(eq=False)
class FakeNode:
    """Records events and answers them from a table."""

    name: str
    replies: dict = attrs.field(factory=dict)
    seen: list = attrs.field(factory=list)
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)

    def hello(self, session):
        """Return the first message of a connection."""
        return messages.Hello(
            protocol=1,
            role='entry',
            name=self.name,
            incarnation=self.name,
            session=session,
            domain='d',
            address='127.0.0.1:1',
            web_address='',
            config_version=0,
        )


def handle(node, event, now):
    """Record an event and return the effects that the test wants."""
    node.seen.append(event)
    reply = node.replies.get(type(event), lambda event: [])
    if isinstance(event, events.Tick):
        list(node.timers.expired(now))
    return reply(event)


FAKE = types.SimpleNamespace(handle=handle)


def make_shell(name, **replies):
    """Return a shell; `replies` are functions by name of event class."""
    table = {getattr(events, key): value for key, value in replies.items()}
    node = FakeNode(name, table)
    return _shell.Shell(FAKE, node, timeline.Ring(10))


async def until(condition):
    """Wait until a condition holds; the test fails if it never does."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError('the condition did not come true')


def fail(event):
    """Fail to handle an event."""
    raise RuntimeError('fault in the node')


class TestAsk:
    def test_answer(self):
        """Guards against answers that reach another request."""

        async def run():
            def answer(event):
                return [effects.Answer(event.req, event.count)]

            shell = make_shell('a', NewIds=answer)
            found = await asyncio.gather(
                *(shell.ask(events.NewIds, count) for count in range(5))
            )
            assert found == [0, 1, 2, 3, 4]
            assert not shell.waiting

        asyncio.run(run())

    def test_caller_that_leaves(self):
        """Guards against work that goes on for a caller that is gone."""

        async def run():
            shell = make_shell('a')
            task = asyncio.create_task(shell.ask(events.NewIds, count=1))
            await asyncio.sleep(0)
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task
            assert shell.node.seen[-1] == events.Abandon(1)
            assert not shell.waiting

        asyncio.run(run())

    def test_handler_that_fails(self):
        """Guards against a request that waits for ever."""

        async def run():
            shell = make_shell('a', NewIds=fail)
            with pytest.raises(kernel.AzurepierError):
                await shell.ask(events.NewIds, 1)
            assert shell.handler_errors == 1

        asyncio.run(run())


class TestAlarm:
    def test_ticks(self):
        """Guards against timers that are lost when a nearer one is set."""

        async def run():
            shell = make_shell('a')
            node, now = shell.node, shell.loop.time()
            for delay_s in (0.03, 0.01, 0.02):
                node.timers.set(delay_s, now + delay_s)
                shell.feed(events.WorkerSeen(True))
            node.timers.cancel(0.01)
            await until(lambda: len(node.timers) == 0)
            ticks = [e for e in node.seen if isinstance(e, events.Tick)]
            assert len(ticks) == 2

        asyncio.run(run())


class TestConnections:
    def test_messages_and_end(self):
        """Guards against events for connections that are not up."""

        async def run():
            a = make_shell(
                'a',
                ConnectionUp=lambda event: [
                    effects.Send(event.conn, messages.Want(count=5)),
                    effects.Send(99, messages.Want(count=6)),
                ],
            )
            b = make_shell(
                'b', Received=lambda event: [effects.Close(event.conn)]
            )
            sock = wire.bind('127.0.0.1:0')
            listener = await wire.listen(sock, b.hooks)
            address = wire.bound_address(sock)
            a.node.replies[events.Tick] = lambda event: [effects.Dial(address)]
            a.node.timers.set('dial', 0.0)
            a.feed(events.WorkerSeen(True))
            await until(
                lambda: (
                    isinstance(a.node.seen[-1], events.ConnectionLost)
                    and isinstance(b.node.seen[-1], events.ConnectionLost)
                )
            )
            assert [type(event).__name__ for event in b.node.seen] == [
                'ConnectionUp',
                'Received',
                'ConnectionLost',
            ]
            assert b.node.seen[1].msg == messages.Want(count=5)
            assert b.node.seen[0].hello.session == 1
            listener.close()

        asyncio.run(run())

    def test_fault_ends_the_connection(self):
        """Guards against going on after a message was half processed."""

        async def run():
            a, b = make_shell('a'), make_shell('b', Received=fail)
            sock = wire.bind('127.0.0.1:0')
            listener = await wire.listen(sock, b.hooks)
            a.dial(wire.bound_address(sock))
            await until(lambda: a.conns and b.conns)
            a.conns[1].send(messages.Want(count=1))
            await until(lambda: not a.conns and not b.conns)
            assert b.handler_errors == 1
            listener.close()

        asyncio.run(run())
