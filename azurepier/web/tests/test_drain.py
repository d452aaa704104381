"""Tests of the request that drains a process."""

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
    """Send a drain request from the address `peer` and return the reply.

    Checks that the shell is stopped if and only if the request is accepted.
    """
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
        # Guards against operators who can't drain a process from its host.
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
    def test_other_peers_are_refused(self, peer):
        # Guards against a process that anyone on the network can stop.
        reply = _drain(peer)
        assert reply.status == 403
        assert reply.headers[b'content-type'] == b'application/problem+json'
        assert reply.json()['verdict'] == 'not_run'

    @pytest.mark.parametrize(
        'name', [b'via', b'forwarded', b'x-forwarded-for', b'origin']
    )
    def test_indirect_request_from_loopback_is_refused(self, name):
        # Guards against requests that a proxy on the host forwards or that a
        # page sends from a browser on the host.
        assert _drain('127.0.0.1', headers=[(name, b'x')]).status == 403

    def test_entry_accepts_drain_requests(self):
        shell = fakes.FakeShell(None)
        app = web.create_app(shell)
        reply = fakes.call(app, 'POST', '/v1/drain', {}, peer='127.0.0.1')
        assert (reply.status, shell.stops) == (202, 1)
        assert fakes.call(app, 'GET', '/v1/drain').status in (404, 405)


class TestProof:
    @pytest.mark.parametrize('key', _KEYS)
    def test_every_current_key_is_accepted(self, key):
        # Guards against drain requests that fail during a key rotation.
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
    def test_invalid_proof_is_refused(self, authorization):
        # Guards against a proof that is guessed or was computed for another
        # incarnation or process.
        assert _drain(_REMOTE, authorization).status == 403

    def test_process_without_keys_accepts_no_proof(self):
        # Without keys, a proof made with the empty key must not be accepted.
        authorization = b'HMAC ' + _sign(b'')
        assert _drain(_REMOTE, authorization, keys=()).status == 403
