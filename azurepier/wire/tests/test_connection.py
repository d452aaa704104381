"""Tests of connections on loopback."""

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
    """Return an entry's first message."""
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
class Party:
    """Records what the connections of one process report."""

    name: str
    keys: tuple = ()
    changes: dict = attrs.field(factory=dict)
    ups: list = attrs.field(factory=list)
    messages: list = attrs.field(factory=list)
    lost: list = attrs.field(factory=list)
    failed: list = attrs.field(factory=list)
    hooks: wire.Hooks | None = None

    def __attrs_post_init__(self):
        self.hooks = wire.Hooks(
            hello=lambda: make_hello(**({'name': self.name} | self.changes)),
            keys=lambda: self.keys,
            up=lambda conn, hello: self.ups.append((conn, hello)),
            received=lambda conn, msg: self.messages.append(msg),
            lost=lambda conn, reason: self.lost.append(reason),
            failed=lambda peer, reason: self.failed.append(reason),
        )


@contextlib.asynccontextmanager
async def listening(party, **limits):
    """Listen on a free port; yields listener, host and port."""
    sock = wire.bind('127.0.0.1:0')
    listener = await wire.listen(sock, party.hooks, **limits)
    try:
        yield listener, *sock.getsockname()
    finally:
        listener.close()
        for conn in list(listener.connections):
            conn.abort()
        await until(lambda: not listener.connections)


@contextlib.asynccontextmanager
async def connected(a, b):
    """Connect `a` to `b`; yields both ends once one side has decided."""
    async with listening(b) as (_, host, port):
        conn = await wire.dial(f'{host}:{port}', a.hooks)
        await until(lambda: (a.ups and b.ups) or b.failed)
        yield conn, b.ups[0][0] if b.ups else None


class TestHandshake:
    @pytest.mark.parametrize(
        ('keys_a', 'keys_b'),
        [((), ()), ((KEY,), (KEY,)), ((OTHER_KEY, KEY), (KEY, OTHER_KEY))],
    )
    @in_loop
    async def test_accepted(self, keys_a, keys_b):
        """Guards against a rotation of keys that cuts processes off."""
        a, b = Party('a', keys_a), Party('b', keys_b)
        async with connected(a, b):
            pass
        assert a.ups[0][1].name == 'b'
        assert b.ups[0][1].name == 'a'

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
    async def test_refused(self, keys_a, keys_b, changes, reason):
        """Guards against peers that lack the key or break the protocol."""
        a, b = Party('a', keys_a, changes), Party('b', keys_b)
        async with connected(a, b):
            assert not b.ups
            assert reason in b.failed[0]

    def test_proof_is_bound_to_the_side(self):
        """Guards against a peer that returns the proof it was sent."""
        sides = _handshake.Side
        a = _handshake.prepare(sides.DIALER, make_hello('a'), (KEY,))
        b = make_hello('a', incarnation='other', nonce=a.hello.nonce)
        proof = _handshake.receive(a, b)
        with pytest.raises(WireError):
            _handshake.receive(a, proof)

    @pytest.mark.parametrize('keys', [(), (KEY,)])
    def test_message_before_the_end(self, keys):
        """Guards against starts from a peer that skipped the proof."""
        side = _handshake.Side.LISTENER
        state = _handshake.prepare(side, make_hello('a'), keys)
        for msg in (messages.Want(count=1), messages.Proof(mac=b'')):
            with pytest.raises(WireError):
                _handshake.receive(state, msg)

    @pytest.mark.parametrize(
        ('limits', 'expected'),
        [
            ({'max_connections': 1}, 'too many connections'),
            ({'max_handshakes': 1}, 'too many connections'),
            ({}, 'the handshake took too long'),
        ],
    )
    @in_loop
    async def test_peers_that_say_nothing(self, monkeypatch, limits, expected):
        """Guards against peers that use up the descriptors."""
        limit_s = 60 if limits else 0.02
        monkeypatch.setattr(_connection, 'HANDSHAKE_TIMEOUT_S', limit_s)
        party = Party('a')
        async with listening(party, **limits) as (listener, *place):
            opened = [await asyncio.open_connection(*place) for _ in range(3)]
            await until(lambda: len(party.failed) >= 2)
            assert len(listener.connections) <= 1
            assert set(party.failed) == {expected}
            for _, writer in opened:
                writer.close()


class TestConnection:
    @in_loop
    async def test_sends_of_one_iteration_are_one_write(self):
        """Guards against one packet, or a wait of 40 ms, per message."""
        a, b = Party('a'), Party('b')
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
    async def test_close_delivers_what_was_sent(self):
        """Guards against messages lost in long frames or with the end."""
        a, b = Party('a'), Party('b')
        big = messages.ConfigUpdate(version=1, base=0, body=b'x' * 4_000_000)
        async with connected(a, b) as (conn, _):
            conn.send(big)
            conn.send(messages.Leave(reason='drain'))
            conn.close('done')
            conn.send(messages.Want(count=1))
            await until(lambda: a.lost and b.lost)
        assert b.messages == [big, messages.Leave(reason='drain')]
        assert a.lost == ['done']

    @in_loop
    async def test_peer_that_does_not_read(self, monkeypatch):
        """Guards against unbounded memory for a peer that is stopped."""
        monkeypatch.setattr(_connection, 'MAX_UNSENT_BYTES', 1_000_000)
        a, b = Party('a'), Party('b')
        update = messages.ConfigUpdate(version=1, base=0, body=b'x' * 500_000)
        async with connected(a, b) as (conn, other):
            other._transport.pause_reading()
            for _ in range(100):
                conn.send(update)
                await asyncio.sleep(0)
            await until(lambda: a.lost)
        assert 'unsent' in a.lost[0]

    @in_loop
    async def test_malformed_frame_ends_the_connection(self):
        """Guards against reading on after the framing is lost."""
        a, b = Party('a'), Party('b')
        async with connected(a, b) as (conn, _):
            conn._transport.write(b'\xff' * 8)
            await until(lambda: a.lost and b.lost)
            assert b.ups[0][0].failed and not conn.failed
        assert 'frame of' in b.lost[0]

    @in_loop
    async def test_failed_dial_is_reported(self):
        """Guards against an exception for an address nobody listens on."""
        party = Party('a')
        with contextlib.closing(wire.bind('127.0.0.1:0')) as sock:
            address = wire.bound_address(sock)
        for target in (address, 'no port', 'host:99999'):
            assert await wire.dial(target, party.hooks) is None
        assert len(party.failed) == 3
