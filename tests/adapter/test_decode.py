"""Tests of the decoding of the platform's files, requests and answers."""

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

from azurepier.daemon import _limits
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
    def test_fields(self):
        """Guards against a setting that is read from the wrong key."""
        decoded = _settings.decode(SETTINGS)
        assert decoded.name == 'edge-1'
        assert decoded.inner_port == 7000
        assert decoded.seed_hosts == ('127.0.0.1', '127.0.0.2')
        assert decoded.front == '127.0.0.1:8161'
        assert decoded.control is None
        assert decoded.grace_s == 6.0

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
        """Guards against a process that starts with incomplete settings."""
        with pytest.raises(SettingsError):
            _settings.decode(text)

    def test_variable_is_not_set(self, monkeypatch):
        """Guards against a KeyError that does not explain the cause."""
        monkeypatch.delenv(_settings.PATH_VARIABLE, raising=False)
        with pytest.raises(SettingsError, match='not set'):
            _settings.load()


def job_body(**fields):
    step = {'count': 3, 'cpu': 500, 'mem_mb': 64, 'estimate_ms': 40}
    value = {'spec': 's', 'best_effort': True, 'steps': [step]}
    step.update(fields.pop('step', {}))
    value.update(fields)
    return json.dumps(value).encode()


class TestJobs:
    def test_fields(self):
        """Guards against resource requirements that are lost in decoding."""
        body = job_body(step={'requirements': 'b', 'anti_affinity': 2})
        decoded = _jobs.decode_job('id', body)
        assert decoded.count == 3
        assert decoded.declared_ms == 40
        assert decoded.max_per_worker == 2
        assert decoded.resources == dispatch.Resources(500, 64, 0, 'b')

    @pytest.mark.parametrize(
        'body',
        [
            job_body(best_effort=False),
            job_body(perpetual=True),
            job_body(repeat_count=2),
            job_body(steps=[{'count': 1}, {'count': 1, 'after': [0]}]),
            job_body(step={'gang': True}),
            job_body(step={'may_miss': 1}),
            job_body(step={'fills': True}),
        ],
    )
    def test_unsupported(self, body):
        """Guards against a job that runs without a feature that it needs."""
        assert _jobs.decode_job('id', body) is None

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'[]',
            b'{"steps":[]}',
            b'{"spec":1,"steps":[{}]}',
            job_body(steps=['x']),
            job_body(step={'count': 0}),
            job_body(step={'count': 'x'}),
            job_body(step={'cpu': -1}),
            job_body(step={'cpu': True}),
            job_body(step={'count': 10**9}),
            job_body(spec='x' * 5000),
        ],
    )
    def test_malformed(self, body):
        """Guards against an internal error for a malformed job."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_job('id', body)

    @pytest.mark.parametrize(
        'name', ['cpu', 'mem_mb', 'gpu', 'estimate_ms', 'anti_affinity']
    )
    @pytest.mark.parametrize('value', [2**31, 10**12, 1e300])
    def test_number_out_of_range(self, name, value):
        """Guards against orders that can't be encoded.

        The entry closed the connections of all its endpoints when it failed
        to encode a message, so that one job disturbed those of all callers.
        """
        with pytest.raises(InvalidInputError, match=name):
            _jobs.decode_job('id', job_body(step={name: value}))

    @pytest.mark.parametrize('job_id', ['', 'a.0', 'a/b', 'x' * 65, 'ü'])
    def test_job_id(self, job_id):
        """Guards against ids from which no task names can be built."""
        with pytest.raises(InvalidInputError, match='job id'):
            _jobs.decode_job(job_id, job_body())


def config_body(version=1, **fields):
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
        """Guards against a request that is routed to the wrong queue."""
        routing = _jobs.decode_routing(config_body())
        queue, found_prefix = dispatch.find_queue(routing, host, path)
        assert (queue and queue.name) == name
        assert found_prefix == prefix

    @pytest.mark.parametrize(
        'body', [b'', b'{}', b'{"version":1,"routes":[{}]}', b'[1]']
    )
    def test_malformed(self, body):
        """Guards against a malformed configuration that takes effect."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_routing(body)

    @pytest.mark.parametrize(
        'fields',
        [
            {'service': {}},
            {'service': 7},
            {'name': None},
            {'hostname': ['h']},
            {'path_prefix': 1},
            {'priority': 'high'},
            {'max_attempts': [2]},
            {'stretch': -1},
            {'target_latency_ms': '60'},
        ],
    )
    def test_malformed_field(self, fields):
        """Guards against values that raise in each pass over the jobs."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_routing(config_body(**fields))

    @pytest.mark.parametrize('version', [2**63, 1e300, 'new', True])
    def test_malformed_version(self, version):
        """Guards against a version that can't be told to other entries."""
        with pytest.raises(InvalidInputError):
            _jobs.decode_routing(config_body(version=version))


REPORT = {
    'service': 'pool',
    'state': 'ready',
    'address': '10.0.0.1:1',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'cold_left_ms': 0,
    'clock_ms': 5.5,
    'capacity': {'cpu': 8000, 'mem_mb': 10, 'gpu': 0},
    'labels': ['a'],
    'born': 5,
    'sequence': 4,
}


class TestReports:
    def test_ready_and_leaving(self):
        """Guards against tasks for a worker that is leaving."""
        decoded = _workers.decode_report('i', json.dumps(REPORT).encode())
        assert not decoded.leaving
        assert decoded.cpu == 8000
        body = json.dumps({**REPORT, 'state': 'draining'}).encode()
        assert _workers.decode_report('i', body).leaving

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'other'},
            {'state': None},
            {'capacity': 8},
            {'capacity': {'cpu': 'x'}},
            {'capacity': {'cpu': 2**31}},
            {'capacity': {'cpu': 1, 'mem_mb': -1}},
            {'capacity': {'cpu': 1, 'gpu': 10**12}},
            {'sequence': '4'},
            {'sequence': True},
            {'born': 1.5},
            {'labels': 'a'},
            {'service': 3},
        ],
    )
    def test_malformed(self, changes):
        """Guards against a worker that is registered by an invalid report."""
        body = json.dumps({**REPORT, **changes}).encode()
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', body)

    @pytest.mark.parametrize('field', REPORT)
    @pytest.mark.parametrize('state', ['ready', 'draining'])
    def test_missing_field(self, field, state):
        """Guards against the report of another program about the worker."""
        report = {**REPORT, 'state': state}
        del report[field]
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', json.dumps(report).encode())

    @pytest.mark.parametrize('field', REPORT)
    def test_other_type(self, field):
        """Guards against a field that the worker would send otherwise."""
        for value in (None, True, [[]] if field != 'labels' else {}):
            body = json.dumps({**REPORT, field: value}).encode()
            with pytest.raises(InvalidInputError):
                _workers.decode_report('i', body)

    @pytest.mark.parametrize('size', REPORT['capacity'])
    def test_incomplete_capacity(self, size):
        """Guards against a worker that counts as one without memory."""
        capacity = dict(REPORT['capacity'])
        del capacity[size]
        body = json.dumps({**REPORT, 'capacity': capacity}).encode()
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', body)

    def test_not_json(self):
        """Guards against another exception for bytes that are not JSON."""
        with pytest.raises(InvalidInputError):
            _workers.decode_report('i', b'\xff\x00')


class TestLists:
    LIST = {
        'clock_ms': 5,
        'born': 1,
        'running': [['t', 1, '', 50, 0]],
        'ended': [[1, 't', 1, 'done', '']],
    }

    def decode(self, **changes):
        body = json.dumps({**self.LIST, **changes}).encode()
        return _workers._decode_list(200, body, 1.0, 7)

    def test_fields(self):
        """Guards against rows that are read from the wrong columns."""
        decoded = self.decode()
        assert decoded.running == (runner.RunningRow('t', 1, 50),)
        assert decoded.ended == (
            runner.EndedRow(1, 't', 1, runner.RunOutcome.DONE),
        )

    @pytest.mark.parametrize(
        'changes',
        [
            {'clock_ms': None},
            {'clock_ms': 'x'},
            {'born': 'x'},
            {'running': 7},
            {'ended': {'t': 1}},
        ],
    )
    def test_malformed(self, changes):
        """Guards against values that raise when the list is processed."""
        failed = self.decode(**changes)
        assert isinstance(failed, runner.ListFailed)
        assert 'malformed' in failed.reason


class TestLaterPlatform:
    """Guards against a process that stops when others say more than before.

    The operator, workers and callers may send fields and names that this
    build doesn't know.
    """

    def test_configuration(self):
        """Unknown fields don't change what is read from the others."""
        body = config_body(new='x', also=[1])
        later = json.loads(body) | {'services': {'s': 1}, 'limits': None}
        expected = _jobs.decode_routing(config_body())
        decoded = _jobs.decode_routing(json.dumps(later).encode())
        assert decoded.queues == expected.queues

    def test_job(self):
        """A field of a job that is not known is ignored."""
        expected = _jobs.decode_job('id', job_body())
        body = job_body(new=1, step={'also': 'x'})
        assert _jobs.decode_job('id', body) == expected

    def test_report(self):
        """A field of a worker's report that is not known is ignored."""
        body = json.dumps({**REPORT, 'new': {'x': 1}}).encode()
        expected = _workers.decode_report('i', json.dumps(REPORT).encode())
        assert _workers.decode_report('i', body) == expected

    def test_list(self):
        """A run that ended in an unknown way has ended, but is not done."""
        body = {
            **TestLists.LIST,
            'running': [['t', 1, '', 50, 0, 'new']],
            'ended': [[1, 't', 1, 'new', '', 'more']],
            'new': [],
        }
        decoded = _workers._decode_list(200, json.dumps(body), 1.0, 7)
        assert decoded.running == (runner.RunningRow('t', 1, 50),)
        assert decoded.ended == (
            runner.EndedRow(1, 't', 1, runner.RunOutcome.OTHER),
        )


class TestStartAnswers:
    @pytest.mark.parametrize(
        ('status', 'body', 'result'),
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
            # After any other answer the run may exist.
            (500, b'', runner.StartResult.NO_ANSWER),
            (502, b'', runner.StartResult.NO_ANSWER),
        ],
    )
    def test_result_of_answer(self, status, body, result):
        """Guards against a run that is taken as not started but may exist."""
        assert _workers._decode_start_result((status, body), None) is result


class TestPlatformFolder:
    def test_standard_module_is_not_shadowed(self):
        """Guards against an import of this folder as `platform`."""
        assert stdlib_platform.python_version()

    def test_bytecode_cache_is_used(self):
        """Guards against a cache setting that makes each start recompile."""
        source = (
            'import runpy, sys\n'
            "sys.argv = ['run.py', 'none']\n"
            'try:\n'
            "    runpy.run_path('platform/run.py', run_name='__main__')\n"
            'except SystemExit:\n'
            '    print(sys.pycache_prefix)\n'
        )
        result = subprocess.run(
            [sys.executable, '-c', source],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        assert result.stdout.strip() == 'None'

    def test_metrics_address_matches_deploy_file(self):
        """Guards against a deploy file that names another metrics port."""
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            roles = tomllib.load(file)['roles']
        address = f'{_listening.METRICS_PORT}{_front.METRICS_PATH}'
        assert {role['metrics'] for role in roles.values()} == {address}


class TestLimits:
    def test_limits_of_a_version(self):
        """Guards against limits of the operator that aren't in force."""
        limits = {
            'max_header_bytes': 9000,
            'max_body_bytes': 5000,
            'header_timeout_ms': 1500,
            'idle_timeout_ms': 'x',
        }
        body = json.dumps({'version': 1, 'limits': limits}).encode()
        decoded = _jobs.decode_limits(body)
        assert decoded == _limits.Requests(9000, 5000, 1.5)
        for other in (b'{}', b'{"limits": null}', b'{"limits": [1]}'):
            assert _jobs.decode_limits(other) == _limits.Requests()
