"""Tests of connections over the loopback interface."""

import asyncio
import contextlib
import socket

import attrs
import pytest

from azurepier.kernel import messages
from azurepier.kernel import WireError
from azurepier import wire
from azurepier.wire import _connection
from azurepier.wire import _handshake
from azurepier.wire.tests.support import in_loop
from azurepier.wire.tests.support import until

KEY = b'first shared key'
OTHER_KEY = b'second shared key'


def make_hello(name, **changes):
    """Return the first message of an entry."""
    fields = {
        'protocol': 1,
        'role': 'entry',
        'name': name,
        'incarnation': f'run of {name}',
        'session': 1,
        'domain': 'd1',
        'address': '127.0.0.1:1',
        'web_address': '',
        'config_version': 0,
    }
    return messages.Hello(**(fields | changes))


@attrs.define(eq=False)
class RecordingProcess:
    """Records the callbacks from the connections of one process.

    `connected` holds (connection, hello); `disconnected` and `failed` hold
    reasons.
    """

    name: str
    keys: tuple = ()
    hello_changes: dict = attrs.field(factory=dict)
    connected: list = attrs.field(factory=list)
    messages: list = attrs.field(factory=list)
    disconnected: list = attrs.field(factory=list)
    failed: list = attrs.field(factory=list)
    hooks: wire.Hooks | None = None

    def __attrs_post_init__(self):
        self.hooks = wire.Hooks(
            make_hello=lambda: make_hello(
                **({'name': self.name} | self.hello_changes)
            ),
            get_keys=lambda: self.keys,
            on_connected=lambda conn, hello: self.connected.append(
                (conn, hello)
            ),
            on_message=lambda conn, msg: self.messages.append(msg),
            on_disconnected=lambda conn, reason: self.disconnected.append(
                reason
            ),
            on_connect_failed=lambda peer, reason: self.failed.append(reason),
        )


@contextlib.asynccontextmanager
async def listening(process, **limits):
    """Listen on a free port; yield listener, host and port."""
    sock = wire.bind('127.0.0.1:0')
    listener = await wire.listen(sock, process.hooks, **limits)
    try:
        yield listener, *sock.getsockname()
    finally:
        listener.close()
        for conn in list(listener.connections):
            conn.abort()
        await until(lambda: not listener.connections)


@contextlib.asynccontextmanager
async def connected(a, b):
    """Connect `a` to `b`; yield both ends after the handshake or a failure."""
    async with listening(b) as (_, host, port):
        conn = await wire.dial(f'{host}:{port}', a.hooks)
        await until(lambda: (a.connected and b.connected) or b.failed)
        yield conn, b.connected[0][0] if b.connected else None


class TestHandshake:
    @pytest.mark.parametrize(
        ('keys_a', 'keys_b'),
        [((), ()), ((KEY,), (KEY,)), ((OTHER_KEY, KEY), (KEY, OTHER_KEY))],
    )
    @in_loop
    async def test_accepted(self, keys_a, keys_b):
        """Guards against a key rotation that disconnects processes."""
        a, b = RecordingProcess('a', keys_a), RecordingProcess('b', keys_b)
        async with connected(a, b):
            pass
        assert a.connected[0][1].name == 'b'
        assert b.connected[0][1].name == 'a'

    @pytest.mark.parametrize(
        ('keys_a', 'keys_b', 'changes', 'reason'),
        [
            ((KEY,), (OTHER_KEY,), {}, 'proof'),
            ((), (KEY,), {}, 'shared key'),
            ((KEY,), (), {}, 'shared key'),
            ((), (), {'protocol': 2}, 'protocol'),
            ((), (), {'role': 'worker'}, 'role'),
            ((), (), {'role': 'endpoint'}, 'invalid worker'),
            ((), (), {'name': 'x' * 70_000}, 'frame of'),
            ((), (), {'incarnation': 'run of b'}, 'itself'),
        ],
    )
    @in_loop
    async def test_rejected(self, keys_a, keys_b, changes, reason):
        """Guards against peers without the key or with an invalid `Hello`."""
        a, b = (
            RecordingProcess('a', keys_a, changes),
            RecordingProcess('b', keys_b),
        )
        async with connected(a, b):
            assert not b.connected
            assert reason in b.failed[0]

    def test_reflected_proof_is_rejected(self):
        """Guards against a peer that sends back the proof it received."""
        Side = _handshake.Side
        a = _handshake.prepare(Side.DIALER, make_hello('a'), (KEY,))
        b = make_hello('a', incarnation='other', nonce=a.hello.nonce)
        proof = _handshake.receive(a, b)
        with pytest.raises(WireError):
            _handshake.receive(a, proof)

    @pytest.mark.parametrize('keys', [(), (KEY,)])
    def test_message_before_the_proof(self, keys):
        """Guards against messages from a peer that skips the proof."""
        side = _handshake.Side.LISTENER
        handshake = _handshake.prepare(side, make_hello('a'), keys)
        for msg in (messages.Want(count=1), messages.Proof(mac=b'')):
            with pytest.raises(WireError):
                _handshake.receive(handshake, msg)

    @pytest.mark.parametrize(
        ('limits', 'expected'),
        [
            ({'max_connections': 1}, 'too many connections'),
            ({'max_handshakes': 1}, 'too many connections'),
            ({}, 'the handshake timed out'),
        ],
    )
    @in_loop
    async def test_silent_peers(self, monkeypatch, limits, expected):
        """Guards against idle peers that exhaust the file descriptors."""
        timeout_s = 60 if limits else 0.02
        monkeypatch.setattr(_connection, 'HANDSHAKE_TIMEOUT_S', timeout_s)
        process = RecordingProcess('a')
        async with listening(process, **limits) as (listener, *address):
            opened = [
                await asyncio.open_connection(*address) for _ in range(3)
            ]
            await until(lambda: len(process.failed) >= 2)
            assert len(listener.connections) <= 1
            assert set(process.failed) == {expected}
            for _, writer in opened:
                writer.close()


class TestConnection:
    @in_loop
    async def test_sends_of_one_iteration_are_one_write(self):
        """Messages sent in one loop iteration must share one write.

        Without TCP_NODELAY a message can be delayed by 40 ms.
        """
        a, b = RecordingProcess('a'), RecordingProcess('b')
        async with connected(a, b) as ends:
            for end in ends:
                sock = end._transport.get_extra_info('socket')
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writes = a.hooks.traffic.writes
            for count in range(100):
                ends[0].send(messages.Want(count=count))
            await until(lambda: len(b.messages) == 100)
            assert a.hooks.traffic.writes == writes + 1
        assert [msg.count for msg in b.messages] == list(range(100))
        assert b.hooks.traffic.received == {messages.Want: 100}

    @in_loop
    async def test_close_delivers_sent_messages(self):
        """Messages sent before `close` must be delivered, also long ones."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        large_update = messages.ConfigUpdate(
            version=1, base=0, body=b'x' * 4_000_000
        )
        async with connected(a, b) as (conn, _):
            conn.send(large_update)
            conn.send(messages.Leave(reason='drain'))
            conn.close('done')
            conn.send(messages.Want(count=1))
            await until(lambda: a.disconnected and b.disconnected)
        assert b.messages == [large_update, messages.Leave(reason='drain')]
        assert a.disconnected == ['done']

    @in_loop
    async def test_peer_that_does_not_read(self, monkeypatch):
        """Guards against unbounded memory for a peer that stopped reading."""
        monkeypatch.setattr(_connection, 'MAX_UNSENT_BYTES', 1_000_000)
        a, b = RecordingProcess('a'), RecordingProcess('b')
        update = messages.ConfigUpdate(version=1, base=0, body=b'x' * 500_000)
        async with connected(a, b) as (conn, other_end):
            other_end._transport.pause_reading()
            for _ in range(100):
                conn.send(update)
                await asyncio.sleep(0)
            await until(lambda: a.disconnected)
        assert 'unsent' in a.disconnected[0]

    @in_loop
    async def test_incomplete_messages_of_all_connections(self):
        """Guards against peers whose messages together take all memory."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        taken = [0]

        def take_memory(count):
            if taken[0] + count > 1_000_000:
                return False
            taken[0] += count
            return True

        b.hooks = attrs.evolve(b.hooks, take_memory=take_memory)
        update = messages.ConfigUpdate(version=1, base=0, body=b'x' * 900_000)
        async with connected(a, b) as (conn, _):
            conn.send(update)
            await until(lambda: b.messages == [update] and not taken[0])
            conn._transport.write(wire.encode(update)[:-1])
            await until(lambda: taken[0] > 800_000)
            other = RecordingProcess('c')
            address = '%s:%d' % conn._transport.get_extra_info('peername')
            second = await wire.dial(address, other.hooks)
            await until(lambda: other.connected)
            second._transport.write(wire.encode(update)[:-1])
            await until(lambda: b.disconnected)
            assert len(a.disconnected) == 0
        assert 'no memory' in b.disconnected[0]
        assert taken == [0]

    @in_loop
    async def test_unsent_messages_of_all_connections(self):
        """Guards against peers that read nothing and together take all."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        taken = [0]

        def take_memory(count):
            if taken[0] + count > 4_000_000:
                return False
            taken[0] += count
            return True

        b.hooks = attrs.evolve(b.hooks, take_memory=take_memory)
        update = messages.ConfigUpdate(version=1, base=0, body=b'x' * 500_000)
        async with connected(a, b) as (conn, _):
            address = '%s:%d' % conn._transport.get_extra_info('peername')
            await wire.dial(address, a.hooks)
            await until(lambda: len(a.connected) == len(b.connected) == 2)
            for own_end, _ in a.connected:
                own_end._transport.pause_reading()
            for _ in range(100):
                for other_end, _ in b.connected:
                    other_end.send(update)
                await asyncio.sleep(0)
            await until(lambda: len(b.disconnected) == 2)
        assert all('no memory' in reason for reason in b.disconnected)
        assert taken == [0]

    @in_loop
    async def test_memory_of_sent_messages_is_returned(self):
        """Guards against connections that are closed for no reason."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        taken = [0]

        def take_memory(count):
            taken[0] += count
            return True

        a.hooks = attrs.evolve(a.hooks, take_memory=take_memory)
        update = messages.ConfigUpdate(version=1, base=0, body=b'x' * 500_000)
        async with connected(a, b) as (conn, other_end):
            other_end._transport.pause_reading()
            for _ in range(20):
                conn.send(update)
                await asyncio.sleep(0)
            assert taken[0] > 1_000_000
            other_end._transport.resume_reading()
            await until(lambda: len(b.messages) == 20 and not taken[0])
        assert not a.connected[0][0].failed

    @in_loop
    async def test_malformed_frame_ends_the_connection(self):
        """After a malformed frame, no further data may be interpreted."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        async with connected(a, b) as (conn, _):
            conn._transport.write(b'\xff' * 8)
            await until(lambda: a.disconnected and b.disconnected)
            assert b.connected[0][0].failed and not conn.failed
        assert 'frame of' in b.disconnected[0]

    @in_loop
    async def test_message_of_a_later_build(self):
        """Guards against an upgrade in which no connection stays open."""
        a, b = RecordingProcess('a'), RecordingProcess('b')
        async with connected(a, b) as (conn, _):
            conn.send(messages.Want(count=1))
            conn._flush()
            conn._transport.write(b'\0\0\0\4\xfe\x08\0\1' + b'\0\0\0\1\xfe')
            conn.send(messages.Want(count=2))
            await until(lambda: len(b.messages) == 2 or b.disconnected)
            assert not a.disconnected and not b.disconnected
        assert [msg.count for msg in b.messages] == [1, 2]
        assert b.hooks.traffic.ignored == 2

    @in_loop
    async def test_unknown_message_before_the_handshake(self):
        """Guards against a peer that is kept without a `Hello`."""
        process = RecordingProcess('a')
        async with listening(process) as (_, *address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b'\0\0\0\2\xfe\0')
            await until(lambda: process.failed)
            writer.close()
        assert 'unknown message type' in process.failed[0]

    @in_loop
    async def test_failed_dial_is_reported(self):
        """Guards against exceptions for invalid or unused addresses."""
        process = RecordingProcess('a')
        with contextlib.closing(wire.bind('127.0.0.1:0')) as sock:
            address = wire.bound_address(sock)
        for target in (address, 'no port', 'host:99999'):
            assert await wire.dial(target, process.hooks) is None
        assert len(process.failed) == 3
