"""Tests of the request that stops a process."""

import hashlib
import hmac

import prometheus_client
import pytest

from azurepier import web
from azurepier.web.tests import fakes

_KEYS = (b'first-key-0123456', b'second-key-012345')
_REMOTE = '192.0.2.7'


def _sign(key, text='drain\nentry-1\n00000000000000aa'):
    return hmac.new(key, text.encode(), hashlib.sha256).hexdigest().encode()


def _drain(peer, authorization=None, keys=_KEYS, headers=()):
    """Return the reply and whether the process was told to stop."""
    shell = fakes.FakeShell(None, keys=lambda: keys)
    registry = prometheus_client.CollectorRegistry()
    app = web.create_operators_app(shell, registry)
    headers = list(headers)
    if authorization is not None:
        headers.append((b'authorization', authorization))
    reply = fakes.call(
        app, 'POST', '/v1/drain', token=None, headers=headers, peer=peer
    )
    assert shell.stops == (reply.status == 202)
    return reply


class TestPeer:
    @pytest.mark.parametrize('peer', ['127.0.0.1', '::1', '::ffff:127.0.0.1'])
    def test_loopback_needs_no_proof(self, peer):
        # Guards against a machine whose own operator can't drain it.
        reply = _drain(peer)
        assert reply.status == 202
        assert reply.json() == {
            'name': 'entry-1',
            'incarnation': '00000000000000aa',
            'draining': True,
        }

    @pytest.mark.parametrize(
        'peer', [_REMOTE, '::ffff:192.0.2.7', '2001:db8::1', 'unix', None]
    )
    def test_others_are_refused(self, peer):
        # Guards against anyone on the network who stops a process.
        reply = _drain(peer)
        assert reply.status == 403
        assert reply.headers[b'content-type'] == b'application/problem+json'
        assert reply.json()['verdict'] == 'not_run'

    @pytest.mark.parametrize(
        'name', [b'via', b'forwarded', b'x-forwarded-for', b'origin']
    )
    def test_loopback_address_of_a_proxy(self, name):
        # Guards against strangers behind a proxy or a web page that runs in
        # a browser on the machine.
        assert _drain('127.0.0.1', headers=[(name, b'x')]).status == 403

    def test_entry_serves_it_too(self):
        shell = fakes.FakeShell(None)
        app = web.create_app(shell)
        reply = fakes.call(app, 'POST', '/v1/drain', {}, peer='127.0.0.1')
        assert (reply.status, shell.stops) == (202, 1)
        assert fakes.call(app, 'GET', '/v1/drain').status in (404, 405)


class TestProof:
    @pytest.mark.parametrize('key', _KEYS)
    def test_every_key_in_force_is_accepted(self, key):
        # Guards against a drain that fails while keys are replaced.
        assert _drain(_REMOTE, b'HMAC ' + _sign(key)).status == 202
        assert _drain(_REMOTE, b'hmac ' + _sign(key).upper()).status == 202
        proof = web.drain_proof(key, 'entry-1', '00000000000000aa')
        assert proof.encode() == _sign(key)

    @pytest.mark.parametrize(
        'authorization',
        [
            b'',
            b'HMAC',
            b'HMAC \xff\xfe',
            b'HMAC ' + _sign(b'another-key-01234'),
            b'HMAC ' + _sign(_KEYS[0])[:-1],
            b'HMAC ' + _sign(_KEYS[0], 'drain\nentry-1\nbb'),
            b'HMAC ' + _sign(_KEYS[0], 'drain\nentry-2\n00000000000000aa'),
            b'Bearer ' + _sign(_KEYS[0]),
            _sign(_KEYS[0]),
        ],
    )
    def test_wrong_proof(self, authorization):
        # Guards against a proof that is guessed or made for another run or
        # process.
        assert _drain(_REMOTE, authorization).status == 403

    def test_process_without_keys(self):
        # Guards against an empty key that everyone knows.
        authorization = b'HMAC ' + _sign(b'')
        assert _drain(_REMOTE, authorization, keys=()).status == 403
