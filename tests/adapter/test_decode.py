"""What the platform writes, and what it must not make of it."""

import json
import pathlib
import platform as stdlib_platform
import subprocess
import sys
import tomllib

from adapter import _front
from adapter import _jobs
from adapter import _listening
from adapter import _settings
from adapter import _workers
import pytest

from azurepier import dispatch
from azurepier.kernel import InvalidInputError
from azurepier.kernel import SettingsError
from azurepier import runner

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = '''
node_name = "edge-1"
ip = "127.0.0.1"
zone = "a"
port_range = [7000, 7010]
seeds = ["127.0.0.1:8166", "127.0.0.2:8166"]
[listen]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
[bounds]
grace_s = 6
[platform]
address = "127.0.0.1:8169"
[new_table]
unknown = 1
'''


class TestSettings:
    def test_what_is_used(self):
        """Guards against a field that is read from the wrong place."""
        found = _settings.decode(SETTINGS)
        assert found.name == 'edge-1'
        assert found.inner_port == 7000
        assert found.seed_hosts == ('127.0.0.1', '127.0.0.2')
        assert found.front == '127.0.0.1:8161'
        assert found.control is None
        assert found.grace_s == 6.0

    @pytest.mark.parametrize(
        'text',
        [
            '',
            'not toml',
            SETTINGS.replace('ip = ', 'address = '),
            SETTINGS.replace('[7000, 7010]', '["a"]'),
            SETTINGS.replace('grace_s = 6', 'grace_s = "x"'),
            SETTINGS.replace('[7000, 7010]', '[]'),
        ],
    )
    def test_malformed(self, text):
        """Guards against a start with settings that are incomplete."""
        with pytest.raises(SettingsError):
            _settings.decode(text)

    def test_no_variable(self, monkeypatch):
        """Guards against a traceback in place of the reason."""
        monkeypatch.delenv(_settings.PATH_VARIABLE, raising=False)
        with pytest.raises(SettingsError, match='not set'):
            _settings.load()


def job(**fields):
    step = {'count': 3, 'cpu': 500, 'mem_mb': 64, 'estimate_ms': 40}
    found = {'spec': 's', 'best_effort': True, 'steps': [step]}
    step.update(fields.pop('step', {}))
    found.update(fields)
    return json.dumps(found).encode()


class TestJobs:
    def test_what_is_run(self):
        """Guards against needs that get lost on the way."""
        body = job(step={'requirements': 'b', 'anti_affinity': 2})
        found = _jobs.decode_job('id', body)
        assert found.count == 3
        assert found.declared_ms == 40
        assert found.max_per_worker == 2
        assert found.resources == dispatch.Resources(500, 64, 0, 'b')

    @pytest.mark.parametrize(
        'body',
        [
            job(best_effort=False),
            job(perpetual=True),
            job(repeat_count=2),
            job(steps=[{'count': 1}, {'count': 1, 'after': [0]}]),
            job(step={'gang': True}),
            job(step={'may_miss': 1}),
            job(step={'fills': True}),
        ],
    )
    def test_unsupported(self, body):
        """Guards against a job that is run as something else."""
        assert _jobs.decode_job('id', body) is None

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'[]',
            b'{"steps":[]}',
            b'{"spec":1,"steps":[{}]}',
            job(steps=['x']),
            job(step={'count': 0}),
            job(step={'count': 'x'}),
            job(step={'cpu': -1}),
            job(step={'cpu': True}),
            job(step={'count': 10**9}),
            job(spec='x' * 5000),
        ],
    )
    def test_malformed(self, body):
        """Guards against a fault of the process for a caller's mistake."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_job('id', body)


def config(version=1, **fields):
    route = {
        'name': 'r',
        'hostname': 'h',
        'path_prefix': '/a/',
        'service': 'pool',
        'max_attempts': 2,
        'stretch': 1.6,
        'target_latency_ms': 60,
    }
    route.update(fields)
    long = {**route, 'name': 'long', 'path_prefix': '/a/b/'}
    return json.dumps({'version': version, 'routes': [route, long]}).encode()


class TestConfig:
    @pytest.mark.parametrize(
        ('host', 'path', 'name', 'prefix'),
        [
            ('h', '/a/x', 'r', '/a/'),
            ('h', '/a/b/x', 'long', '/a/b/'),
            ('h', '/a/b', 'r', '/a/'),
            ('h', '/a/', 'r', '/a/'),
            ('h', '/b/x', None, ''),
            ('other', '/a/x', None, ''),
            ('h', '', None, ''),
        ],
    )
    def test_longest_prefix(self, host, path, name, prefix):
        """Guards against a request that gets another queue's workers."""
        routing = _jobs.decode_routing(config())
        queue, found = dispatch.find_queue(routing, host, path)
        assert (queue and queue.name) == name
        assert found == prefix

    @pytest.mark.parametrize(
        'body', [b'', b'{}', b'{"version":1,"routes":[{}]}', b'[1]']
    )
    def test_malformed(self, body):
        """Guards against an empty configuration that takes effect."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_routing(body)


REPORT = {
    'service': 'pool',
    'state': 'ready',
    'capacity': {'cpu': 8000, 'mem_mb': 10, 'gpu': 0},
    'labels': ['a'],
    'born': 5,
    'sequence': 4,
}


class TestReports:
    def test_ready_and_leaving(self):
        """Guards against work for a worker that leaves."""
        found = _workers.decode_report('i', json.dumps(REPORT).encode())
        assert not found.leaving
        assert found.cpu == 8000
        body = json.dumps({**REPORT, 'state': 'draining'}).encode()
        assert _workers.decode_report('i', body).leaving

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'other'},
            {'state': None},
            {'capacity': 8},
            {'capacity': {'cpu': 'x'}},
            {'sequence': '4'},
            {'sequence': True},
            {'born': 1.5},
            {'labels': 'a'},
            {'service': 3},
        ],
    )
    def test_of_another_writer(self, changes):
        """Guards against a worker made of a report that says nothing."""
        body = json.dumps({**REPORT, **changes}).encode()
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', body)

    def test_not_json(self):
        """Guards against a fault for bytes that can't be read."""
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', b'\xff\x00')


class TestStartAnswers:
    @pytest.mark.parametrize(
        ('code', 'body', 'result'),
        [
            (200, b'{}', runner.StartResult.STARTED),
            (409, b'{"reason":"old"}', runner.StartResult.OLD_NUMBER),
            (409, b'{"reason":"late"}', runner.StartResult.TOO_LATE),
            (409, b'{"reason":"room"}', runner.StartResult.NO_ROOM),
            (409, b'{"reason":"fence"}', runner.StartResult.OLD_GENERATION),
            (409, b'{"reason":"new"}', runner.StartResult.INVALID),
            (409, b'junk', runner.StartResult.INVALID),
            (400, b'', runner.StartResult.INVALID),
            (421, b'', runner.StartResult.OTHER_WORKER),
            (429, b'', runner.StartResult.UNHEALTHY),
            (503, b'', runner.StartResult.UNHEALTHY),
            # Whether it ran is open for every other answer.
            (500, b'', runner.StartResult.NO_ANSWER),
            (502, b'', runner.StartResult.NO_ANSWER),
        ],
    )
    def test_table(self, code, body, result):
        """Guards against a start that is taken as not done without proof."""
        assert _workers._decode_start_result((code, body), None) is result


class TestFolder:
    def test_standard_module_is_not_hidden(self):
        """Guards against this folder in place of the standard library's."""
        assert stdlib_platform.python_version()

    def test_compiled_libraries_are_used(self):
        """Guards against a start that compiles the standard library."""
        code = (
            'import runpy, sys\n'
            "sys.argv = ['run.py', 'none']\n"
            'try:\n'
            "    runpy.run_path('platform/run.py', run_name='__main__')\n"
            'except SystemExit:\n'
            '    print(sys.pycache_prefix)\n'
        )
        found = subprocess.run(
            [sys.executable, '-c', code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert found.stdout.strip() == 'None'

    def test_metrics_address_of_the_deploy_file(self):
        """Guards against metrics that are looked for on another port."""
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        address = f'{_listening.METRICS_PORT}{_front.METRICS_PATH}'
        assert {role['metrics'] for role in roles.values()} == {address}
