"""Tests of refused requests and of the times at which callers return."""

import asyncio
import collections
import random

from azurepier.daemon import _http_port
from azurepier.daemon import _http_refusal
from azurepier.daemon import _limits
from azurepier.daemon.tests import test_http_server as server

_SLOW = server.GET.replace(b'/%d', b'/slow')


async def _read(client):
    """Return the answer on a connection that is closed after it."""
    reader, writer = client
    answer = await reader.read()
    writer.close()
    return answer


def _post(body=b'1'):
    return server.HEAD + b'content-length: %d\r\n\r\n' % len(body) + body


async def _hold_all_places(connect, count):
    clients = [await connect() for _ in range(count)]
    for _, writer in clients:
        writer.write(_SLOW)
    await asyncio.sleep(0.1)
    return clients


def _close(clients):
    for _, writer in clients:
        writer.close()


class TestRequestsWithoutAPlace:
    @server.run_in_loop
    async def test_job_is_refused_with_an_answer(self):
        """Guards against callers that don't know whether their job has run."""
        limits = server._limits_of(max_connections=16)
        connect = await server._start(limits)
        held = await _hold_all_places(connect, 14)
        answers = []
        for body in (b'1', b'a' * 200_000):
            client = await connect()
            client[1].write(_post(body))
            answers.append(await _read(client))
        for answer in answers:
            assert answer.startswith(b'HTTP/1.1 503')
            assert b'\r\nretry-after: ' in answer
            assert b'\r\nconnection: close' in answer
        for reader, writer in held:
            assert (await reader.readline()).split()[1] == b'200'
            writer.close()
        assert limits.closed == {'no_place': 2}
        assert limits.shared.used_bytes == 0

    @server.run_in_loop
    async def test_other_requests_are_answered(self):
        """Guards against checks that fail since callers hold all places."""
        connect = await server._start(server._limits_of(max_connections=16))
        held = await _hold_all_places(connect, 14)
        client = await connect()
        client[1].write(server.GET % 3)
        assert (await _read(client)).startswith(b'HTTP/1.1 200')
        _close(held)

    @server.run_in_loop
    async def test_job_on_a_connection_that_waited_for_a_place(self):
        """Guards against refusals although a place has become free."""
        connect = await server._start(server._limits_of(max_connections=16))
        held = await _hold_all_places(connect, 14)
        client = await connect()
        for reader, writer in held:
            await reader.readline()
            writer.close()
        await asyncio.sleep(0.1)
        client[1].write(_post())
        assert (await client[0].readline()).split()[1] == b'200'

    @server.run_in_loop
    async def test_more_connections_than_all(self):
        """Guards against a connection that is closed without an answer."""
        connect = await server._start(server._limits_of(max_connections=16))
        held = await _hold_all_places(connect, 14)
        spare = [await connect() for _ in range(2)]
        for _, writer in spare:
            writer.write(_SLOW)
        await asyncio.sleep(0.1)
        answer = await _read(await connect())
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'\r\nretry-after: ' in answer
        for client in spare:
            assert (await _read(client)).startswith(b'HTTP/1.1 200')
        _close(held)

    @server.run_in_loop
    async def test_unfinished_bodies_give_way(self):
        """Guards against bodies without end that keep callers out."""
        connect = await server._start(server._limits_of(max_connections=8))
        unended = _post()[:-1]
        clients = [await connect() for _ in range(8)]
        for _, writer in clients[:7]:
            writer.write(unended)
        clients[7][1].write(_SLOW)
        await asyncio.sleep(0.1)
        client = await connect()
        client[1].write(server.GET % 3)
        assert (await client[0].readline()).startswith(b'HTTP/1.1 200')
        assert (await _read(clients[0])).startswith(b'HTTP/1.1 503')
        _close([client, *clients])

    @server.run_in_loop
    async def test_idle_connections_without_a_place_give_way(self):
        """Guards against silent connections that keep callers out."""
        connect = await server._start(server._limits_of(max_connections=16))
        held = await _hold_all_places(connect, 14)
        idle = [await connect() for _ in range(2)]
        client = await connect()
        client[1].write(server.GET % 3)
        assert (await _read(client)).startswith(b'HTTP/1.1 200')
        assert (await _read(idle[0])).startswith(b'HTTP/1.1 503')
        _close(held)

    @server.run_in_loop
    async def test_job_instead_of_idle_connections(self):
        """Guards against silent connections that make an entry refuse jobs."""
        connect = await server._start(server._limits_of(max_connections=16))
        idle = [await connect() for _ in range(14)]
        await asyncio.sleep(2 * _http_port.IDLE_GRACE_S)
        client = await connect()
        client[1].write(_post())
        assert (await client[0].readline()).split()[1] == b'200'
        assert (await _read(idle[0])).startswith(b'HTTP/1.1 503')
        _close([client, *idle])

    @server.run_in_loop
    async def test_used_connection_that_is_idle(self):
        """Guards against an answer that seems to be that to the next job."""
        connect = await server._start(server._limits_of(max_connections=16))
        used = [await connect() for _ in range(14)]
        for reader, writer in used:
            writer.write(server.GET % 1)
            await reader.readuntil(b'\r\n\r\n/1')
        await asyncio.sleep(2 * _http_port.IDLE_GRACE_S)
        client = await connect()
        client[1].write(_post())
        assert (await client[0].readline()).split()[1] == b'200'
        assert await _read(used[0]) == b''
        _close([client, *used])

    def test_each_port_has_a_place_and_a_spare_connection(self):
        """Guards against a small machine that refuses everything."""

        async def make(count):
            limits = server._limits_of(max_connections=count)
            return _http_port.Port(limits, 'test')

        for count in (1, 2, 8, 800):
            port = asyncio.run(make(count))
            assert port.max_regular >= 1 and port.max_spare >= 1
            assert port.max_regular + port.max_spare == max(count, 2)


class TestRequestsSentAhead:
    """A client that sends requests ahead while there is no memory for them."""

    @server.run_in_loop
    async def test_answer_under_way_is_the_last(self):
        """Guards against a job that is cut off by what follows it."""
        limits = server._limits_of(shared_bytes=1000)
        connect = await server._start(limits)
        client = await connect()
        unended = server.HEAD + b'content-length: 100000\r\n\r\n1'
        client[1].write(_SLOW + server.GET % 2 + _post() + unended)
        await asyncio.sleep(0.1)
        client[1].write(bytes(200_000))
        answer = await _read(client)
        assert answer.startswith(b'HTTP/1.1 200')
        assert b'\r\nconnection: close' in answer
        assert answer.endswith(b'\r\n\r\n/slow')
        assert limits.closed == {'memory': 1}
        assert limits.shared.used_bytes == 0

    @server.run_in_loop
    async def test_memory_of_paused_connections(self):
        """Guards against received bytes that no limit counts."""
        limits = server._limits_of()
        connect = await server._start(limits)
        client = await connect()
        client[1].write(_SLOW + server.GET % 2)
        await asyncio.sleep(0.1)
        assert limits.shared.used_bytes == _limits.PAUSED_BYTES
        for path in (b'/slow', b'/2'):
            head = await client[0].readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200')
            assert await client[0].readexactly(len(path)) == path
        assert limits.shared.used_bytes == 0
        client[1].close()


class TestReturnTimes:
    """Callers that are refused while jobs end at a steady rate."""

    @staticmethod
    def _refuse(rate, count, seed=1):
        times = _http_refusal.ReturnTimes(random.Random(seed))
        now = 0.0
        for number in range(int(rate * 20)):
            now = number / rate
            times.record_freed(now)
        return [times.next_s(now) for _ in range(count)]

    def test_turns_follow_the_free_places(self):
        """Guards against callers that return together and are refused."""
        turns = collections.Counter(self._refuse(rate=10.0, count=60))
        assert min(turns) == _http_refusal.RETRY_MIN_S
        # One second of places is given to the callers of each second.
        assert all(turns[second] <= 16 for second in turns)

    def test_many_places(self):
        """Guards against callers that wait although places are free soon."""
        assert set(self._refuse(rate=1000.0, count=60)) == {1}

    def test_no_place_becomes_free(self):
        """Guards against returns of all callers at a time."""
        turns = collections.Counter(self._refuse(rate=0.0, count=800))
        assert set(turns) == set(range(1, 9))
        assert max(turns.values()) < 150

    def test_more_callers_than_turns(self):
        """Guards against returns that are put off ever further."""
        turns = self._refuse(rate=10.0, count=500)
        assert max(turns) <= _http_refusal.RETRY_MAX_S
