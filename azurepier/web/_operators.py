"""Handlers for operators: health, metrics, events, status, configuration."""

import asyncio
import json

from blacksheep import Content
from blacksheep import Response

from azurepier import timeline
from azurepier.web import _answers
from azurepier.web import _jobs
from azurepier.web import _metrics
from azurepier.web import _requests

_MAX_EVENT_NUMBER = 2**53
# Encoding a page takes about 2 ms; encoding the whole ring at once would
# delay all callers.
_EVENTS_PER_PAGE = 200
_TOKEN_HASH_KEY = 'token_sha256'
_REDACTED = 'hidden'


def _text_response(status, text):
    content = Content(b'text/plain; charset=utf-8', text.encode())
    return Response(status, None, content)


def make_healthz():
    """Return the handler of ``GET /healthz``, the liveness check."""

    async def healthz(request):
        return _text_response(200, 'ok\n')

    return healthz


def make_readyz(shell):
    """Return the handler of ``GET /readyz``, the readiness check.

    It succeeds if the process has a configuration and is not draining.
    """

    async def readyz(request):
        if shell.node.draining:
            return _text_response(503, 'draining\n')
        if shell.node.adoption.current is None:
            return _text_response(503, 'no configuration\n')
        return _text_response(200, 'ready\n')

    return readyz


def make_metrics(metrics):
    """Return the handler of ``GET /metrics``."""

    async def expose_metrics(request):
        content = Content(_metrics.CONTENT_TYPE, metrics.exposition())
        return Response(200, None, content)

    return expose_metrics


def make_events(shell):
    """Return the handler of ``GET /v1/events``."""

    async def events(request):
        last_number = _requests.query_integer(
            request, 'since', 0, _MAX_EVENT_NUMBER
        )
        job_id = _requests.query_value(request, 'job')
        endpoint = _requests.query_value(request, 'endpoint')
        pages = []
        end_number = shell.ring.last_number
        while last_number < end_number:
            batch = shell.ring.since(
                last_number, job_id, endpoint, _EVENTS_PER_PAGE
            )
            if not batch:
                break
            last_number = batch[-1].number
            page = [timeline.to_dict(event) for event in batch]
            pages.append(json.dumps(page)[1:-1])
            await asyncio.sleep(0)
        head = {'incarnation': shell.node.incarnation, 'last': last_number}
        text = f'{json.dumps(head)[:-1]}, "events": [{", ".join(pages)}]}}'
        return _answers.json_text_response(text)

    return events


def make_status(shell):
    """Return the handler of ``GET /v1/status``."""

    async def status(request):
        return _answers.json_response(shell.status())

    return status


def _redact_token_hashes(value):
    if isinstance(value, list):
        return [_redact_token_hashes(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        key: _REDACTED
        if key == _TOKEN_HASH_KEY and item
        else _redact_token_hashes(item)
        for key, item in value.items()
    }


def make_config(shell):
    """Return the handler of ``GET /v1/config``, which hides token hashes."""

    async def config(request):
        _jobs.current_config(shell)
        value = json.loads(shell.config_json())
        return _answers.json_response(_redact_token_hashes(value))

    return config
