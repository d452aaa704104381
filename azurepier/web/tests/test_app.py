"""Tests of the HTTP interface for callers and operators."""

import pytest

from azurepier.client import _decisions
from azurepier.client import _transport
from azurepier import kernel
from azurepier import web
from azurepier.web.tests import fakes

_JOB_PATH = f'/v1/jobs/{fakes.JOB_ID}'
_COMPLETE = kernel.Complete(fakes.JOB_ID, (b'{"x":1}', b'null'))
_ACCEPTED = kernel.Accepted(fakes.JOB_ID)


def _make_app(answer):
    shell = fakes.FakeShell(lambda event: answer)
    return shell, web.create_app(shell)


def _submit(app, value=None, **options):
    return fakes.call(
        app, 'PUT', _JOB_PATH, value or fakes.make_job(), **options
    )


class TestSubmit:
    def test_complete_answer(self):
        shell, app = _make_app(_COMPLETE)
        reply = _submit(app)
        assert reply.status == 200
        assert reply.json() == {
            'id': fakes.JOB_ID,
            'state': 'complete',
            'results': [
                {'task': 0, 'output': {'x': 1}},
                {'task': 1, 'output': None},
            ],
        }
        event = shell.events[0]
        assert (event.job_id, event.detach) == (fakes.JOB_ID, False)
        assert event.spec.customer == 'ash'

    def test_submission_without_id(self):
        shell, app = _make_app(_COMPLETE)
        assert (
            fakes.call(app, 'POST', '/v1/jobs', fakes.make_job()).status == 200
        )
        assert shell.events[0].job_id is None

    def test_detached_submission(self):
        shell, app = _make_app(_ACCEPTED)
        reply = _submit(app, headers=[(b'prefer', b'wait=5, Respond-Async')])
        assert reply.status == 202
        assert reply.headers[b'location'] == _JOB_PATH.encode()
        assert shell.events[0].detach

    def test_refusal_carries_verdict_and_retry_time(self):
        # Guards against a Retry-After that is rounded down, so that the
        # client retries too early.
        url = 'http://127.0.0.1:1'
        reply = _submit(
            _make_app(
                kernel.Refused(
                    fakes.JOB_ID,
                    'overloaded',
                    kernel.Verdict.NOT_RUN,
                    'the queue is long',
                    retry_after_s=1.2,
                    location=url,
                )
            )[1]
        )
        assert reply.headers[b'content-type'] == b'application/problem+json'
        assert reply.headers[b'retry-after'] == b'2'
        assert reply.headers[b'location'] == url.encode()
        assert reply.json() == {
            'type': 'urn:azurepier:error:overloaded',
            'title': kernel.ERROR_TYPES['overloaded'][1],
            'status': reply.status,
            'detail': 'the queue is long',
            'verdict': 'not_run',
            'id': fakes.JOB_ID,
            'state': 'failed',
            'retry_after_ms': 1200,
        }

    def test_node_error_is_reported_as_may_have_run(self):
        # Guards against a false `not_run` and against a response that reveals
        # the exception.
        reply = _submit(_make_app(RuntimeError('secret'))[1])
        assert reply.status == 500
        assert reply.json()['verdict'] == 'may_have_run'
        assert b'secret' not in reply.body
        assert b'Traceback' not in reply.body

    def test_disconnection_abandons_the_request(self):
        # Guards against requests that stay open after the caller disconnected.
        shell, app = _make_app(None)
        _submit(app, disconnect=True)
        assert shell.events[-1] == kernel.events.Abandon(1)


class TestInput:
    def test_invalid_field_is_reported(self):
        shell, app = _make_app(_COMPLETE)
        reply = _submit(app, fakes.make_job(tasks=[{'kind': 'k'}]))
        assert reply.status == 400
        assert reply.json()['field'] == 'tasks[0].payload'
        assert reply.json()['verdict'] == 'not_run'
        assert not shell.events

    @pytest.mark.parametrize('declared', [True, False])
    def test_long_body_is_refused(self, declared):
        # Guards against a body that exhausts the memory of the entry.
        shell, app = _make_app(_COMPLETE)
        chunks = [b' ' * (web.MAX_BODY_BYTES // 8)] * 9
        length = (b'content-length', str(sum(map(len, chunks))).encode())
        reply = _submit(app, chunks, headers=[length] if declared else [])
        assert reply.status == 413
        assert not shell.events

    def test_malformed_job_ids_and_paths_are_not_found(self):
        shell, app = _make_app(_COMPLETE)
        for job_id in ('x', 'a-z-1-m', '%00', '1-2-3-' + 'm' * 90, 'x/y'):
            reply = fakes.call(app, 'GET', f'/v1/jobs/{job_id}')
            assert reply.status == 404
            assert reply.json()['verdict'] == 'not_run'
        assert not shell.events

    def test_wait_time_is_limited(self):
        shell, app = _make_app(_ACCEPTED)
        assert (
            fakes.call(app, 'GET', f'{_JOB_PATH}?wait_ms=1500').status == 202
        )
        assert shell.events[0].wait_s == 1.5
        for text in ('-1', 'x', '600001', '9' * 5000, '%D9%A1'):
            reply = fakes.call(app, 'GET', f'{_JOB_PATH}?wait_ms={text}')
            assert reply.json()['field'] == 'wait_ms'


class TestAuthorization:
    @pytest.mark.parametrize(
        ('customer', 'token', 'status'),
        [
            ('ash', fakes.TOKEN, 200),
            ('ash', 'wrong', 401),
            ('ash', None, 401),
            ('open', None, 200),
            ('open', fakes.TOKEN, 403),
            ('open', 'wrong', 401),
            ('nobody', None, 403),
        ],
    )
    def test_token_and_customer(self, customer, token, status):
        # Guards against a customer that submits jobs as another one.
        shell, app = _make_app(_COMPLETE)
        reply = _submit(app, fakes.make_job(customer=customer), token=token)
        assert reply.status == status
        assert bool(shell.events) == (status == 200)

    @pytest.mark.parametrize('method', ['GET', 'DELETE'])
    def test_access_to_a_job_requires_its_customer(self, method):
        shell, app = _make_app(_COMPLETE)
        path_with_customer = f'{_JOB_PATH}?customer=open'
        for path, token, status in (
            (_JOB_PATH, None, 401),
            (path_with_customer, fakes.TOKEN, 403),
            (path_with_customer, None, 200),
            (_JOB_PATH, fakes.TOKEN, 200),
        ):
            reply = fakes.call(app, method, path, token=token)
            assert reply.status == status
        assert [event.customer for event in shell.events] == ['open', 'ash']

    def test_job_ids_require_a_token(self):
        shell, app = _make_app(kernel.Ids(('a', 'b'), 300))
        path = '/v1/job-ids'
        assert fakes.call(app, 'POST', path, {'count': 2}, None).status == 401
        reply = fakes.call(app, 'POST', path, {'count': 2})
        assert reply.json() == {'ids': ['a', 'b'], 'expires_in_s': 300}
        for count in (0, 10_001, True, None):
            reply = fakes.call(app, 'POST', path, {'count': count})
            assert reply.json()['field'] == 'count'
        assert [event.count for event in shell.events] == [2]


class TestOperators:
    def test_readiness_depends_on_configuration_and_drain(self):
        # Guards against callers that are directed to an entry that would
        # refuse their jobs.
        shell, app = _make_app(_COMPLETE)
        cfg = shell.node.adoption.current
        for draining, current, status in (
            (False, cfg, 200),
            (True, cfg, 503),
            (False, None, 503),
        ):
            shell.node.draining = draining
            shell.node.adoption.current = current
            assert fakes.call(app, 'GET', '/readyz').status == status
            assert fakes.call(app, 'GET', '/healthz').status == 200
        reply = _submit(app)
        assert reply.json()['type'].endswith('not-ready')
        assert reply.headers[b'retry-after'] == b'1'

    @pytest.mark.parametrize(
        ('query', 'numbers'),
        [
            ('since=1', [2, 3]),
            ('job=j1', [1, 3]),
            ('endpoint=e2', [2, 3]),
            ('since=9', []),
        ],
    )
    def test_events_are_filtered(self, query, numbers):
        shell, app = _make_app(None)
        for record in ('j1', 0, 'e1'), ('j2', 0, 'e2'), ('j1', 0, 'e2'):
            shell.ring.add(kernel.effects.Record('start', *record), 1.0)
        events = fakes.call(app, 'GET', f'/v1/events?{query}').json()['events']
        assert [event['number'] for event in events] == numbers

    def test_configuration_hides_token_hashes(self):
        app = _make_app(None)[1]
        reply = fakes.call(app, 'GET', '/v1/config').json()
        assert reply['customers']['ash']['token_sha256'] == 'hidden'
        assert reply['version'] == 7
        status = fakes.call(app, 'GET', '/v1/status').json()
        assert status == {'queued': 3}

    def test_response_times_are_labelled_by_class_and_outcome(self):
        app = _make_app(_COMPLETE)[1]
        _submit(app, fakes.make_job(urgent=True))
        _submit(app, fakes.make_job(customer='nobody'), token=None)
        text = fakes.call(app, 'GET', '/metrics').body.decode()
        name = 'azurepier_job_response_seconds_count'
        counted = f'{name}{{class_="urgent",outcome="complete"}} 1.0'
        assert counted in text
        assert 'outcome="unknown-customer"' in text
        assert fakes.JOB_ID not in text


class TestRefusalWithoutAPlace:
    def test_client_reads_it(self):
        """Guards against a refusal that the client takes for a lost answer."""
        body = web.make_refusal_body('too many connections', 3)
        response = _transport.Response(503, (), body)
        outcome = _transport.read_outcome(response, 1)
        assert outcome.kind is _decisions.Kind.REFUSED
        assert outcome.verdict is kernel.Verdict.NOT_RUN
        assert outcome.retry_after_s == 3
        assert not outcome.binding
