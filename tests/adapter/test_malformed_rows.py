"""Tests of lists in which another program has left a malformed row."""

import asyncio

from adapter import _entry
from adapter import _json
from adapter import _operator
from adapter import _settings
from adapter import _store
from adapter import _workers
import orjson
import pytest

from azurepier.kernel import InvalidInputError
from azurepier.kernel import SettingsError
from azurepier import runner
from azurepier.testing import virtual_loop
from test_operator import following as following_operator
from test_store import run_in_loop
from test_store import serving_store
from test_store import until

import fakes
import virtual_fleet

DEEP = b'[' * 2000 + b']' * 2000
# Texts in place of a row's field.
MALFORMED_TEXTS = {
    'nested': DEEP,
    'nested objects': b'{"a":' * 2000 + b'1' + b'}' * 2000,
    'number too large': b'1' + b'0' * 400,
    'exponent too large': b'1e400',
    'digits': b'9' * 5000,
    'surrogate': b'"\\ud800"',
    'no text': b'"\xff\xfe"',
    'brackets in a string': b'"\\"]}],[{" , "u": ' + DEEP,
}
malformed_texts = pytest.mark.parametrize(
    'text', list(MALFORMED_TEXTS.values()), ids=list(MALFORMED_TEXTS)
)


class TestLoads:
    @malformed_texts
    def test_neighbours_are_kept(self, text):
        """Guards against a row that takes the others with it."""
        body = b'{"x": "[", "a": [{"n": 1}, {"n": %b}, [2], "3,]"], "b": 7}'
        value = _json.loads(body % text)
        assert value == {'x': '[', 'a': [{'n': 1}, None, [2], '3,]'], 'b': 7}

    @pytest.mark.parametrize(
        'text', [b'', b'{', b'[1', b'{"a": 1e400}', b'{"a": [1}', b'\xff']
    )
    def test_other_texts_are_rejected(self, text):
        """Guards against a value that is made up from a broken text."""
        with pytest.raises(ValueError):
            _json.loads(text)


class MalformedStore(fakes.FakeStore):
    """Store whose lists hold a malformed row before the others.

    `malformed_field` is the JSON text of a field of that row, if set.
    """

    malformed_field = None

    async def handle(self, req):
        """Answer a request."""
        reply = await super().handle(req)
        for key in ('items', 'events'):
            rows = isinstance(reply.value, dict) and reply.value.get(key)
            if self.malformed_field is not None and rows:
                row = b'{"key": "op/other", "rev": 1, "value": %b}'
                body = orjson.dumps({**reply.value, key: [None, *rows]})
                reply.value = body.replace(
                    b'null', row % self.malformed_field, 1
                )
        return reply


class TestStore:
    @malformed_texts
    @run_in_loop
    async def test_change_beside_a_malformed_row(self, text):
        """Guards against a change that is never seen for another row."""
        async with serving_store(MalformedStore) as (fake_store, _, client):
            prefix = _store.EVACUATIONS_PREFIX
            fake_store.malformed_field = text
            fake_store.put(prefix + 'a', b'{}')
            async with following_operator(client) as shell:
                await until(lambda: shell.domains() == {'a'})
                fake_store.put(prefix + 'b', b'{}')
                await until(lambda: shell.domains() == {'a', 'b'})

    @malformed_texts
    @run_in_loop
    async def test_entries_beside_a_malformed_row(self, text):
        """Guards against entries that aren't found for another row."""
        async with serving_store(MalformedStore) as (fake_store, _, client):
            fake_store.malformed_field = text
            fake_store.put('azurepier/entries/e/1', b'10.0.0.1:7000 a')
            entries = await _entry.read_entries(client)
            assert entries == [('10.0.0.1:7000', 'a')]

    @malformed_texts
    @run_in_loop
    async def test_malformed_row_does_not_take_back_a_domain(self, text):
        """Guards against a domain that returns with an unreadable row."""
        async with serving_store(MalformedStore) as (fake_store, _, client):
            fake_store.malformed_field = text
            fake_store.put(_store.EVACUATIONS_PREFIX + 'a', b'{}')
            with pytest.raises(_store.store.StoreError):
                await _operator.read_evacuations(client)


class TestWorkerLists:
    """A worker's list of runs with a malformed row between two others."""

    RUNNING = (runner.RunningRow('a', 1, 50), runner.RunningRow('b', 2, 60))
    ENDED = (
        runner.EndedRow(1, 'c', 3, runner.RunOutcome.DONE),
        runner.EndedRow(3, 'd', 4, runner.RunOutcome.DONE),
    )

    def decode(self, running=b'', ended=b''):
        body = (
            b'{"clock_ms": 5, "born": 1,'
            b' "running": [["a", 1, "", 50, 0], %b ["b", 2, "", 60, 0]],'
            b' "ended": [[1, "c", 3, "done", ""], %b [3, "d", 4, "done", ""]]}'
        )
        return _workers._decode_list(200, body % (running, ended), 1.0, 7)

    @pytest.mark.parametrize(
        'row',
        [
            b'null',
            b'7',
            b'{}',
            b'[]',
            b'["x"]',
            b'[7, 1, "", 50, 0]',
            b'["x", null, "", 50, 0]',
            b'["x", true, "", 50, 0]',
            b'["x", -1, "", 50, 0]',
            b'["x", 18446744073709551616, "", 50, 0]',
            *[
                b'["x", %b, "", 50, 0]' % each
                for each in MALFORMED_TEXTS.values()
            ],
        ],
    )
    def test_malformed_running_row(self, row):
        """Guards against a worker that is lost for one row of its list."""
        decoded = self.decode(running=row + b',')
        assert decoded.running == self.RUNNING
        assert decoded.ended == self.ENDED
        assert decoded.omitted == 1

    @pytest.mark.parametrize(
        'row',
        [
            b'null',
            b'[2, "x"]',
            b'["x", "x", 1, "done", ""]',
            b'[2, "x", 1, ["done"], ""]',
            b'[9007199254740993, "x", 1, "done", ""]',
            *[b'[2, "x", 1, %b, ""]' % each for each in (DEEP, b'1e400')],
        ],
    )
    def test_malformed_ended_row(self, row):
        """Guards against ends that are lost for one row of the list."""
        decoded = self.decode(ended=row + b',')
        assert decoded.running == self.RUNNING
        assert decoded.ended == self.ENDED
        assert decoded.omitted == 1

    @pytest.mark.parametrize(
        'percent', [b'"x"', b'null', b'1e300', b'-5', b'[[]]', b'101']
    )
    def test_malformed_percent(self, percent):
        """Guards against a run that is lost for a figure beside it."""
        decoded = self.decode(running=b'["x", 1, "", %b, 0],' % percent)
        assert decoded.running[1] == runner.RunningRow('x', 1, None)
        assert decoded.omitted == 0


class TestConfiguration:
    @malformed_texts
    @pytest.mark.parametrize('field', [b'stretch', b'hostname', b'unknown'])
    def test_malformed_route(self, text, field):
        """Guards against a version that is in force without one route.

        The configuration is one document, which holds as a whole or not at
        all: without the malformed route, its callers would get 404.
        """

        async def play():
            async with virtual_fleet.running_fleet(seed=1, size=1) as fleet:
                entry = fleet.entries['e0']
                route = b'{"name":"r","hostname":"h","path_prefix":"/a/"'
                body = (
                    b'{"version":90,"routes":[%b,"service":"p"},%b,"%b":%b}]}'
                )
                fleet.store.put(
                    _store.CONFIG_KEY, body % (route, route, field, text)
                )
                await asyncio.sleep(virtual_fleet.APPLY_S)
                assert entry.version == fleet.version
                assert entry.shell.node.counters['configs_rejected'] == 1
                fleet.change()
                await asyncio.sleep(virtual_fleet.APPLY_S)
                assert entry.version == fleet.version

        virtual_loop.run(play)


class TestReports:
    REPORT = (
        b'{"service": "p", "state": "ready", "sequence": 1, "born": 1,'
        b' "address": "10.0.0.1:1", "zone": "z", "version": "v", "slots": 1,'
        b' "cold_left_ms": 0, "clock_ms": 1.5,'
        b' "capacity": {"cpu": 1, "mem_mb": 1, "gpu": 0}, "labels": [%b]}'
    )

    @pytest.mark.parametrize(
        'label', [b'7', b'null', b'{}', b'[' * 900 + b']' * 900]
    )
    def test_malformed_label(self, label):
        """Guards against a worker that is lost for one of its labels."""
        body = self.REPORT % (b'"a", %b, "b"' % label)
        assert _workers.decode_report('i', body).labels == ('a', 'b')

    @pytest.mark.parametrize('text', [DEEP, b'1e400', b'"\\ud800"', b'null'])
    @pytest.mark.parametrize(
        'field', [b'state', b'sequence', b'service', b'capacity', b'born']
    )
    def test_field(self, field, text):
        """Guards against another exception than that of a bad report."""
        extra = b', "%b": %b}' % (field, text)
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', (self.REPORT % b'')[:-1] + extra)

    def test_nested_state(self):
        """Guards against an error while a nested value is described."""
        extra = b', "state": %b}' % (b'[' * 1000 + b']' * 1000)
        with pytest.raises(InvalidInputError, match='state'):
            _workers.decode_report('i', (self.REPORT % b'')[:-1] + extra)


class TestRegistrations:
    @pytest.mark.parametrize(
        'value',
        [
            b'10.0.0.9:70000 a',
            b'10.0.0.9:' + b'9' * 5000 + b' a',
            b'10.0.0.9 a',
            DEEP,
            b'\xff:1 a',
            b'x' * 100_000 + b':7000 a',
            b'10.0.0.9:7000 ' + b'x' * 100_000,
        ],
    )
    @run_in_loop
    async def test_malformed_registration(self, value):
        """Guards against an address that fills the lists of all entries."""
        async with serving_store() as (fake_store, _, client):
            fake_store.put('azurepier/entries/a/1', b'10.0.0.1:7000 a')
            fake_store.put('azurepier/entries/b/1', value)
            fake_store.put('azurepier/entries/c/1', b'10.0.0.3:7000 a')
            entries = await _entry.read_entries(client)
            assert entries == [('10.0.0.1:7000', 'a'), ('10.0.0.3:7000', 'a')]


SETTINGS = """
node_name = "e"
zone = "a"
ip = "10.0.0.1"
port_range = [7000, 7010]
seeds = [%s]
[platform]
address = "10.0.0.9:1"
[bounds]
grace_s = 6
"""


class TestSettings:
    @pytest.mark.parametrize('seed', ['7', '[]', '{}', '"x"', '""', '1e400'])
    def test_malformed_seed(self, seed):
        """Guards against a process that doesn't start for one seed."""
        text = SETTINGS % f'"10.0.0.1:7000", {seed}, "10.0.0.3:7000"'
        decoded = _settings.decode(text)
        assert decoded.seed_hosts == ('10.0.0.1', '10.0.0.3')

    def test_nested_settings(self):
        """Guards against a reload that ends the task that watches the file."""
        with pytest.raises(SettingsError):
            _settings.decode(SETTINGS % ('[' * 5000 + ']' * 5000))

    @pytest.mark.parametrize('port', ['70000', '-1', '"x"', '1e400', '[]'])
    def test_port_out_of_range(self, port):
        """Guards against a port that is found wrong only when it is opened."""
        text = SETTINGS.replace('[7000,', f'[{port},') % ''
        with pytest.raises(SettingsError):
            _settings.decode(text)
