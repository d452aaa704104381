"""Callers that leave, on real sockets and with the application for callers.

While a test does not await, the process is as good as frozen: the kernel takes
what callers send, and the event loop reads none of it.
"""

import asyncio
import contextlib
import functools
import random
import socket
import time

from adapter import _entry
from adapter import _process
import orjson
import pytest

from azurepier import dispatch
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import wire

TIMEOUT_S = 10.0
# No connection between entries gets this number here.
CONN = 1000
QUEUE = dispatch.Queue('r', 'pool', 0, 3, 1.6, 0.06)


def run_in_loop(function):
    """Run a test in an event loop."""

    @functools.wraps(function)
    def run(*args, **kwargs):
        asyncio.run(function(*args, **kwargs))

    return run


def request(job_id):
    """Return the bytes of a request that submits a job."""
    step = {'count': 2, 'cpu': 1000, 'estimate_ms': 500}
    body = orjson.dumps({'spec': 's', 'best_effort': True, 'steps': [step]})
    head = f'POST /q/{job_id} HTTP/1.1\r\nhost: h\r\n'
    return f'{head}content-length: {len(body)}\r\n\r\n'.encode() + body


def pool_state():
    """Return the report of an idle endpoint process."""
    return messages.PoolState(
        pool='pool',
        labels=[],
        cpu=8000,
        mem_mb=1000,
        gpu=0,
        free_cpu=8000,
        free_mem_mb=1000,
        free_gpu=0,
        accepting=True,
        seen=0,
        speed=1.0,
        failures=0,
        wanted=0.0,
        entries=1,
    )


def endpoint_hello():
    """Return the first message of an endpoint process."""
    return messages.Hello(
        protocol=1,
        role='endpoint',
        name='w0',
        incarnation='w0-1',
        session=1,
        domain='a',
        address='',
        web_address='',
        config_version=1,
        worker='w0',
        slots=1,
        kinds=['pool'],
        largest_size=1,
    )


def runs_known():
    """Return the second message of an endpoint process."""
    return messages.RunsKnown(running=[], ends=[], state=pool_state())


async def dial_entry(entry):
    """Connect to an entry as an endpoint process does; return its messages.

    They go out over a real connection.
    """
    entry.shell.handlers[effects.Send] = entry._send
    received = []
    hooks = wire.Hooks(
        make_hello=endpoint_hello,
        get_keys=tuple,
        on_connected=lambda conn, hello: conn.send(runs_known()),
        on_message=lambda conn, msg: received.append(msg),
        on_disconnected=lambda conn, reason: None,
        on_connect_failed=lambda peer, reason: None,
    )
    await wire.dial(entry.node.options.address, hooks)
    await entry.until(
        lambda: any(each.accepting for each in entry.node.by_conn.values())
    )
    return received


class Entry:
    """An entry with its servers; endpoint processes are played.

    Parameters
    ----------
    name : str
    seeds : sequence of str
        Addresses of other entries.

    Attributes
    ----------
    orders : list of RunOrder
        Orders that the entry has sent.
    stopped : list of int
        Numbers of the runs that it has stopped.
    """

    def __init__(self, name='e0', seeds=()):
        loop = asyncio.get_running_loop()
        self.inner = socket.create_server(('127.0.0.1', 0))
        self.inner.setblocking(False)
        host, port = self.inner.getsockname()
        options = dispatch.Options(
            name=name,
            domain='a',
            address=f'{host}:{port}',
            seeds=tuple(seeds),
            bounds=_entry.TimeLimits(6.0),
        )
        self.node = dispatch.create(options, random.Random(name), loop.time())
        self.shell = _process.make_shell(dispatch, self.node)
        self.orders = []
        self.stopped = []
        self._send = self.shell.handlers[effects.Send]
        self.shell.handlers[effects.Send] = self._on_send
        self.shell.handlers[dispatch.FirstConfigApplied] = lambda *_: None
        routing = dispatch.Routing(1, {('h', '/q/'): QUEUE})
        self.shell.feed(dispatch.RoutingLoaded(routing))
        self.address = None
        self.clients = []

    def _on_send(self, shell, effect):
        if isinstance(effect.msg, messages.RunOrders):
            self.orders += effect.msg.orders
        elif isinstance(effect.msg, messages.RunStops):
            self.stopped += effect.msg.seqs
        else:
            self._send(shell, effect)

    async def serve(self):
        """Accept callers and other entries."""
        await wire.listen(self.inner, self.shell.hooks)
        sock = socket.create_server(('127.0.0.1', 0))
        self.address = sock.getsockname()
        await _entry.serve_callers(self.shell, sock, asyncio.Event())

    def connect_endpoint(self):
        """Play an endpoint process that connects and has room."""
        self.shell.feed(events.ConnectionOpened(CONN, endpoint_hello()))
        self.shell.feed(events.Received(CONN, runs_known()))

    def end_runs(self):
        """Play the ends of all runs that were ordered."""
        ends = [
            messages.RunEnd(seq=order.seq, status=0, run_ms=500, reason='')
            for order in self.orders
        ]
        msg = messages.RunEnds(ends=ends, state=pool_state())
        self.shell.feed(events.Received(CONN, msg))

    def send(self, *job_ids):
        """Submit jobs as a caller does; return its socket."""
        client = socket.create_connection(self.address)
        self.clients.append(client)
        client.sendall(b''.join(map(request, job_ids)))
        return client

    async def until(self, condition):
        """Let the event loop run until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0)

    def cancel(self, job_id):
        """Cancel a job as a caller does; return its socket."""
        client = socket.create_connection(self.address)
        self.clients.append(client)
        head = f'DELETE /q/{job_id} HTTP/1.1\r\nhost: h\r\n\r\n'
        client.sendall(head.encode())
        return client

    async def answer(self, client):
        """Return the next answer."""
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT_S):
            data = await loop.sock_recv(client, 4096)
        return data.decode()


@contextlib.asynccontextmanager
async def running_entry(*args):
    """Yield an entry that accepts callers."""
    entry = Entry(*args)
    await entry.serve()
    try:
        yield entry
    finally:
        for client in entry.clients:
            client.close()
        await entry.shell.close()


def reset(client):
    """Close a socket so that the other end is reset."""
    linger = b'\1\0\0\0\0\0\0\0'
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    client.close()


class TestLeftCaller:
    @pytest.mark.parametrize('leave', [socket.socket.close, reset])
    @run_in_loop
    async def test_request_is_read_after_its_caller_has_left(self, leave):
        """Guards against runs of a job that its caller has sent elsewhere."""
        async with running_entry() as entry:
            entry.connect_endpoint()
            leave(entry.send('a'))
            stays = entry.send('b')
            await entry.until(lambda: len(entry.orders) >= 2)
            await entry.until(lambda: list(entry.node.jobs) == ['b'])
            assert {order.task[0] for order in entry.orders} == {'b'}
            entry.end_runs()
            assert '"succeeded"' in await entry.answer(stays)

    @run_in_loop
    async def test_waiting_job_whose_caller_has_left(self):
        """Guards against runs of a job that waited during a pause."""
        async with running_entry() as entry:
            clients = [entry.send(job_id) for job_id in 'abc']
            await entry.until(lambda: len(entry.node.jobs) == 3)
            clients[0].close()
            clients[2].close()
            entry.connect_endpoint()
            await entry.until(lambda: list(entry.node.jobs) == ['b'])
            await entry.until(lambda: entry.orders)
            assert {order.task[0] for order in entry.orders} == {'b'}

    @run_in_loop
    async def test_unread_request_hides_the_end(self):
        """Guards against runs for a caller with a request behind its end."""
        async with running_entry() as entry:
            client = entry.send('a', 'b', 'c')
            await entry.until(lambda: entry.node.jobs)
            client.sendall(request('d'))
            client.close()
            entry.connect_endpoint()
            await entry.until(lambda: not entry.node.jobs)
            assert entry.orders == []

    @run_in_loop
    async def test_caller_leaves_while_it_is_not_read(self):
        """Guards against a job that waits on for a caller that has left.

        Reading is paused behind a second request, and no pass of the entry
        asks for the callers.
        """
        async with running_entry() as entry:
            entry.shell.handlers[dispatch.ConfirmCallers] = lambda *_: (
                entry.shell.feed(dispatch.CallersConfirmed())
            )
            client = entry.send(*'abcdefgh')
            await entry.until(lambda: entry.node.jobs)
            await asyncio.sleep(0.05)
            client.close()
            await entry.until(lambda: entry.node.counters['jobs_abandoned'])

    @run_in_loop
    async def test_one_of_two_callers_has_left(self):
        """Guards against a job that is dropped while a caller waits."""
        async with running_entry() as entry:
            left, stays = entry.send('a'), entry.send('a')
            await entry.until(lambda: len(entry.node.job_by_req) == 2)
            left.close()
            entry.connect_endpoint()
            await entry.until(lambda: len(entry.orders) >= 2)
            entry.end_runs()
            assert '"succeeded"' in await entry.answer(stays)

    @run_in_loop
    async def test_second_request_on_a_connection(self):
        """Guards against a caller that its earlier answer marks as left."""
        async with running_entry() as entry:
            entry.connect_endpoint()
            client = entry.send('a')
            await entry.until(lambda: len(entry.orders) >= 2)
            entry.end_runs()
            assert '"succeeded"' in await entry.answer(client)
            client.sendall(request('b'))
            await entry.until(lambda: len(entry.orders) == 4)
            client.close()
            await entry.until(lambda: not entry.node.jobs)
            assert entry.node.counters['jobs_abandoned'] == 1


class TestPause:
    @run_in_loop
    async def test_pause_between_the_pass_and_the_write(self):
        """Guards against orders that a paused process sends when it wakes."""
        async with running_entry() as entry:
            received = await dial_entry(entry)
            confirm = entry.shell.handlers[dispatch.ConfirmCallers]

            def pause_after_pass(*args):
                confirm(*args)
                client.close()
                time.sleep(dispatch.bounds.PAUSE_THRESHOLD_S + 0.1)

            entry.shell.handlers[dispatch.ConfirmCallers] = pause_after_pass
            client = entry.send('a')
            await entry.until(lambda: entry.node.counters['jobs_abandoned'])
            await asyncio.sleep(0.05)
            kinds = {type(msg) for msg in received}
            assert messages.RunOrders not in kinds

    @run_in_loop
    async def test_no_pause(self):
        """Guards against orders that are held back."""
        async with running_entry() as entry:
            received = await dial_entry(entry)
            entry.send('a')
            await entry.until(
                lambda: messages.RunOrders in {type(each) for each in received}
            )


class TestCancel:
    @run_in_loop
    async def test_cancel_at_the_entry_of_the_job(self):
        """Guards against tasks that go on after an acknowledged cancel."""
        async with running_entry() as entry:
            entry.connect_endpoint()
            caller = entry.send('a')
            await entry.until(lambda: len(entry.orders) == 2)
            assert ' 200 ' in await entry.answer(entry.cancel('a'))
            assert not entry.node.jobs
            assert entry.stopped == [1, 2]
            entry.end_runs()
            assert '"canceled"' in await entry.answer(caller)

    @run_in_loop
    async def test_cancel_at_another_entry(self):
        """Guards against a cancel that stays at the entry that got it."""
        async with running_entry() as entry:
            seeds = [entry.node.options.address]
            async with running_entry('e1', seeds) as other:
                await entry.until(lambda: entry.node.peers)
                await other.until(lambda: other.node.peers)
                entry.connect_endpoint()
                caller = entry.send('a')
                await entry.until(lambda: len(entry.orders) == 2)
                assert ' 410 ' in await other.answer(other.cancel('a'))
                await entry.until(lambda: entry.stopped == [1, 2])
                entry.end_runs()
                assert '"canceled"' in await entry.answer(caller)

    @run_in_loop
    async def test_canceled_job_is_submitted_again(self):
        """Guards against a repeated request that overtakes the cancel."""
        async with running_entry() as entry:
            entry.connect_endpoint()
            assert ' 410 ' in await entry.answer(entry.cancel('a'))
            assert '"canceled"' in await entry.answer(entry.send('a'))
            assert entry.orders == []

    @run_in_loop
    async def test_cancel_before_entries_are_connected(self):
        """Guards against a cancel that entries miss while they are apart."""
        async with running_entry() as entry:
            assert ' 410 ' in await entry.answer(entry.cancel('a'))
            seeds = [entry.node.options.address]
            async with running_entry('e1', seeds) as other:
                await other.until(lambda: other.node.peers)
                await other.until(lambda: other.node.canceled_jobs)
                assert '"canceled"' in await other.answer(other.send('a'))

    @run_in_loop
    async def test_malformed_id(self):
        """Guards against ids of any length in messages to other entries."""
        async with running_entry() as entry:
            answer = await entry.answer(entry.cancel('a' * 65))
            assert ' 410 ' in answer
            assert not entry.node.canceled_jobs
