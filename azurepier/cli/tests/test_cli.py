"""Tests of the command with stand-in servers in another thread."""

import asyncio
import functools
import json
import threading

import click.testing
import pytest

from azurepier import cli
from azurepier import web
from standins import _server
from standins import platform as standin

PLANS = '[p]\nstarts_per_s = 1\nconcurrent = 1\nqueue = 1\n'
JOB_ID = '1' * 16 + '-ff-1-0123456789'


@pytest.fixture
def serve():
    """Return a function that serves a handler and returns its base URL."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    servers = []

    def call(coro):
        return asyncio.run_coroutine_threadsafe(coro, loop).result()

    def serve(handle):
        servers.append(call(_server.start(handle)))
        return f'http://127.0.0.1:{servers[-1].port}'

    yield serve
    for server in servers:
        call(server.close())
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


@pytest.fixture
def platform(serve):
    """Return a stand-in for the platform and its URL."""
    server = standin.Platform()
    return server, serve(functools.partial(standin.handle, server))


@pytest.fixture
def lists(tmp_path):
    """Return a directory with valid lists."""
    (tmp_path / 'plans.toml').write_text(PLANS)
    (tmp_path / 'customers.toml').write_text('[acme]\nplan = "p"\n')
    return tmp_path


def run(*args, **options):
    """Run the command; return the exit code, stdout and stderr."""
    runner = click.testing.CliRunner(
        env={'AZUREPIER_ENTRIES': None, 'AZUREPIER_TOKEN': None}
    )
    result = runner.invoke(cli.main, [str(arg) for arg in args], **options)
    return result.exit_code, result.stdout, result.stderr


def reply_by_route(routes, seen=None):
    """Return a handler that replies by method and path.

    A route with None closes the connection. Requests are appended to `seen`.
    """

    async def handle(request):
        if seen is not None:
            seen.append((request.method, request.path, request.json()))
        reply = routes[request.method, request.path]
        return _server.Reply(*reply) if reply else None

    return handle


class TestConfig:
    def test_check_reports_file_line_and_field(self, lists):
        # Guards against errors without the position in the file.
        assert run('config', 'check', lists)[0] == 0
        (lists / 'customers.toml').write_text('[acme]\nplan = "q"\n')
        code, _, errors = run('config', 'check', lists)
        assert code == 3
        assert 'customers.toml:2: acme.plan: unknown plan' in errors

    def test_apply_diff_show_and_history(self, lists, platform):
        # Guards against changes that are not recorded in the history, and
        # against wrong exit codes.
        url = ('--platform', platform[1])
        assert run('config', 'diff', lists, *url, '--exit-code')[0] == 9
        assert run('config', 'apply', lists, *url, input='n\n')[0] == 1
        assert run('config', 'show', *url)[1].startswith('no configuration')
        code, out, _ = run('config', 'apply', lists, *url, input='y\n')
        assert (code, 'wrote version 1' in out) == (0, True)
        _, out, _ = run('config', 'apply', lists, *url, '--yes', '--json')
        applied = {'changed': False, 'version': 1, 'lines': []}
        assert json.loads(out) == applied
        assert run('config', 'diff', lists, *url, '--exit-code')[0] == 0
        _, out, _ = run('config', 'history', *url, '--json')
        assert [entry['version'] for entry in json.loads(out)] == [1]
        conflict = run('config', 'apply', lists, *url, '--expect-version', 7)
        assert conflict[0] == 4
        assert 'config diff' in conflict[2]

    def test_token_digests_are_not_printed(self, lists, platform):
        # Guards against printing token digests.
        token = 'a' * 64
        text = f'[acme]\nplan = "p"\ntoken_sha256 = "{token}"\n'
        (lists / 'customers.toml').write_text(text)
        url = ('--platform', platform[1])
        outputs = [run('config', 'apply', lists, *url, '--yes')]
        outputs += [run('config', 'show', *url, form) for form in ('--json',)]
        outputs += [
            run('config', 'history', *url),
            run('config', 'show', *url),
        ]
        assert all(code == 0 for code, _, _ in outputs)
        assert not any(token in out for _, out, _ in outputs)

    def test_unreachable_platform(self, lists, platform):
        # Guards against an error that does not name the platform as its cause.
        platform[0].down = True
        code, _, errors = run(
            'config',
            'apply',
            lists,
            '--platform',
            platform[1],
            '--json',
            '--yes',
        )
        error = json.loads(errors)
        assert (code, error['exit_code']) == (5, 5)
        assert 'AZUREPIER_PLATFORM' in error['advice']


class TestJobs:
    def test_exit_code_by_state_of_the_job(self, serve):
        # Guards against exit code 0 for a failed job or an unusable response.
        path = ('GET', f'/v1/jobs/{JOB_ID}')
        results = [{'task': 0, 'output': [1]}]
        complete = {'id': JOB_ID, 'state': 'complete', 'results': results}
        failed = {'title': 'A task failed', 'verdict': 'ran', 'type': 'x'}
        for reply, code in (
            ((complete,), 0),
            (({'id': JOB_ID, 'state': 'running'}, 202), 0),
            ((failed, 502), 8),
            ((failed | {'verdict': 'not_run'}, 503), 7),
            (({'title': 'no such path'}, 404), 6),
            (([],), 6),
            (None, 6),
        ):
            url = serve(reply_by_route({path: reply}))
            args = ('jobs', 'show', JOB_ID, '--customer', 'a', '--json')
            exit_code, out, errors = run(*args, '--entry', url)
            assert exit_code == code
            assert json.loads(out or errors)

    def test_cancelled_job(self, serve):
        # Guards against reporting a successful cancellation as an error.
        problem = {'type': 'urn:azurepier:error:cancelled', 'verdict': 'x'}
        path = ('DELETE', f'/v1/jobs/{JOB_ID}')
        url = serve(reply_by_route({path: (problem, 410)}))
        args = ('jobs', 'cancel', JOB_ID, '--customer', 'a', '--entry', url)
        assert run(*args)[0] == 0

    @pytest.mark.parametrize(
        'text', ['', '[]', '{"tasks": 1}', '{"task": []}', '{"tasks": []}']
    )
    def test_malformed_job_file(self, text):
        # Guards against a traceback for an invalid job file.
        args = ('jobs', 'submit', '--entry', 'http://127.0.0.1:1')
        code, _, errors = run(*args, '--customer', 'a', input=text)
        assert (code, errors.startswith('error: ')) == (3, True)


class TestOtherServers:
    def test_error_page(self, serve):
        """Guards against a parser's message in place of the HTTP status."""

        async def handle(req):
            return _server.Reply(b'<html>Bad gateway</html>', 502)

        code, _, errors = run('status', '--entry', serve(handle))
        assert code != 0
        assert 'status 502' in errors
        assert 'not JSON' in errors


class TestProcesses:
    @pytest.fixture
    def fleet(self, serve):
        """Return the URL of an entry and the requests to its endpoint.

        The entry also lists a peer that is not reachable.
        """
        seen = []
        endpoint = serve(
            reply_by_route(
                {
                    ('GET', '/v1/status'): (
                        {'role': 'endpoint', 'name': 'w1', 'incarnation': 'x'},
                    ),
                    ('GET', '/v1/events'): ({'events': []},),
                    ('POST', '/v1/drain'): ({},),
                },
                seen,
            )
        )
        status = {
            'role': 'entry',
            'name': 'e1',
            'incarnation': 'y',
            'entries': [{'name': 'e2', 'web_address': '127.0.0.1:1'}],
            'endpoints': [{'name': 'w1', 'web_address': endpoint}],
        }
        event = {'number': 1, 'at': 1.0, 'wall': 2.0, 'process': 'e1'}
        event |= {'incarnation': 'y', 'name': 'submitted', 'job_id': JOB_ID}
        entry = serve(
            reply_by_route(
                {
                    ('GET', '/v1/status'): (status,),
                    ('GET', '/v1/events'): ({'events': [event]},),
                }
            )
        )
        return entry, seen

    def test_status_lists_unreachable_processes(self, fleet):
        # Guards against omitting unreachable processes from the status.
        code, out, _ = run('status', '--entry', fleet[0], '--json')
        listed = [(p['name'], p['status'] is None) for p in json.loads(out)]
        assert code == 0
        assert listed == [('e1', False), ('e2', True), ('w1', False)]
        code, out, _ = run('status', '--entry', fleet[0])
        assert 'no response from entry e2' in out

    def test_events_as_text_and_page(self, fleet, tmp_path):
        # Guards against a page that is not written or lacks events, and
        # against omitting unreachable processes without a warning.
        code, out, errors = run('events', '--entry', fleet[0])
        assert (code, 'submitted' in out) == (0, True)
        assert 'no events from entry e2' in errors
        page = tmp_path / 'events.html'
        assert run('events', '--entry', fleet[0], '--html', page)[0] == 0
        assert JOB_ID in page.read_text()

    def test_drain_reaches_the_named_process_only(self, fleet):
        # Guards against draining a process other than the given one.
        args = ('--entry', fleet[0])
        assert run('drain', 'endpoint', 'w1', *args)[0] == 0
        assert ('POST', '/v1/drain', {}) in fleet[1]
        code, _, errors = run('drain', 'entry', 'w1', *args)
        assert (code, 'known names: e1, e2' in errors) == (3, True)

    def test_drain_with_a_key(self, serve, tmp_path):
        # Guards against a remote process that can't be drained, and against
        # advice that does not mention the missing key.
        key = tmp_path / 'key'
        key.write_text('0123456789abcdef\n')
        seen = []
        status = {'role': 'entry', 'name': 'e1', 'incarnation': 'y'}

        async def handle(request):
            if request.method == 'GET':
                return _server.Reply(status)
            seen.append(request.headers.get('authorization'))
            authorized = seen[-1] == 'HMAC ' + web.drain_proof(
                b'0123456789abcdef', 'e1', 'y'
            )
            return _server.Reply({}, 202 if authorized else 403)

        args = ('drain', 'entry', 'e1', '--entry', serve(handle))
        assert run(*args, '--key-file', key)[0] == 0
        code, _, errors = run(*args)
        assert (code, '--key-file' in errors) == (6, True)
        assert seen[-1] is None
        key.write_text('\n')
        assert run(*args, '--key-file', key)[0] == 2
        assert len(seen) == 2

    def test_status_fails_without_a_reachable_entry(self):
        # Guards against empty output with exit code 0, which would look like
        # an idle system.
        assert run('status')[0] == 6
        assert run('status', '--entry', 'http://127.0.0.1:1')[0] == 6


class TestExplain:
    ANSWER = {
        'entry': 'e1',
        'queue': 'r',
        'priority': 1,
        'tasks': 2,
        'decision': 'wait',
        'starts': {'w1': 1},
        'waiting_tasks': 1,
        'waits_for': 'room',
        'endpoints': [
            {'endpoint': 'w1', 'age_ms': 40, 'ruled_out_by': 'no_room'}
        ],
    }

    def test_text_and_json(self, serve):
        """Guards against an output without the rule and the age."""
        url = serve(reply_by_route({('GET', '/explain'): (self.ANSWER,)}))
        args = ('explain', 'r', '--metrics', url, '--tasks', 2, '--cpu', 6600)
        code, text, _ = run(*args)
        assert code == 0
        assert 'wait for: room' in text
        assert 'w1        -       40' in text
        assert 'no_room' in text
        code, text, _ = run(*args, '--json')
        assert (code, json.loads(text)) == (0, self.ANSWER)
