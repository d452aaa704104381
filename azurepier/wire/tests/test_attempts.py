"""Tests of attempts to connect, on virtual time."""

import asyncio

import pytest

from azurepier.testing import virtual_loop
from azurepier import wire

SERVER = 'server', 80
INTERVAL_S = 0.3


async def start_server(accepted):
    """Serve connections and note their protocols."""

    def accept():
        protocol = asyncio.Protocol()
        accepted.append(protocol)
        return protocol

    return await asyncio.get_running_loop().create_server(accept, *SERVER)


class TestConnect:
    @pytest.mark.parametrize('delay_s', [0.0, 0.2, 0.4, 0.7])
    def test_round_trip_longer_than_the_interval(self, delay_s):
        """Guards against attempts that are all given up too early."""

        async def play():
            loop = asyncio.get_running_loop()
            await start_server([])
            loop.links['server'] = virtual_loop.Link(delay_s=delay_s)
            assert await wire.connect(asyncio.Protocol, *SERVER, INTERVAL_S)
            assert loop.time() == pytest.approx(2 * delay_s, abs=0.01)

        virtual_loop.run(play)

    def test_host_returns(self):
        """Guards against a wait for the retransmission of a lost SYN."""

        async def play():
            loop = asyncio.get_running_loop()
            await start_server([])
            cut = frozenset(('', 'server'))
            loop.cuts.add(cut)
            loop.call_later(0.5, loop.cuts.discard, cut)
            assert await wire.connect(asyncio.Protocol, *SERVER, INTERVAL_S)
            assert loop.time() < 0.5 + INTERVAL_S + 0.01

        virtual_loop.run(play)

    def test_other_attempts_end_with_the_first(self):
        """Guards against connections that nobody uses."""

        async def play():
            loop = asyncio.get_running_loop()
            accepted = []
            await start_server(accepted)
            loop.links['server'] = virtual_loop.Link(delay_s=0.4)
            await wire.connect(asyncio.Protocol, *SERVER, INTERVAL_S)
            await asyncio.sleep(3.0)
            assert len(loop.transports) == 2
            assert len(accepted) == 1

        virtual_loop.run(play)

    def test_refused(self):
        """Guards against further attempts at a host that refuses."""

        async def play():
            loop = asyncio.get_running_loop()
            with pytest.raises(ConnectionRefusedError):
                await wire.connect(asyncio.Protocol, *SERVER, INTERVAL_S)
            assert loop.time() < INTERVAL_S

        virtual_loop.run(play)

    def test_protocol_fails(self):
        """Guards against an error that hides the cause."""

        def fail():
            raise ValueError('no protocol')

        async def play():
            await start_server([])
            with pytest.raises(ValueError, match='no protocol'):
                await wire.connect(fail, *SERVER, INTERVAL_S)

        virtual_loop.run(play)

    def test_no_answer(self):
        """Guards against an attempt without an end."""

        async def play():
            loop = asyncio.get_running_loop()
            await start_server([])
            loop.cuts.add(frozenset(('', 'server')))
            with pytest.raises(TimeoutError):
                await wire.connect(asyncio.Protocol, *SERVER, INTERVAL_S)
            assert loop.time() == pytest.approx(wire.CONNECT_TIMEOUT_S)
            await asyncio.sleep(0)
            assert len(asyncio.all_tasks()) == 1

        virtual_loop.run(play)
