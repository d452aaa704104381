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
# A page takes about 2 ms; a whole ring at once would delay all callers.
_PAGE_EVENTS = 200
_SECRET_KEY = 'token_sha256'
_HIDDEN = 'hidden'


def _plain(status, text):
    content = Content(b'text/plain; charset=utf-8', text.encode())
    return Response(status, None, content)


def make_healthz():
    """Return the handler that says that the process answers."""

    async def healthz(request):
        return _plain(200, 'ok\n')

    return healthz


def make_readyz(shell):
    """Return the handler that says whether new jobs are welcome."""

    async def readyz(request):
        if shell.node.draining:
            return _plain(503, 'draining\n')
        if shell.node.adoption.current is None:
            return _plain(503, 'no configuration\n')
        return _plain(200, 'ready\n')

    return readyz


def make_metrics(metrics):
    """Return the handler of ``GET /metrics``."""

    async def expose(request):
        content = Content(_metrics.CONTENT_TYPE, metrics.exposition())
        return Response(200, None, content)

    return expose


def make_events(shell):
    """Return the handler of ``GET /v1/events``."""

    async def events(request):
        last = _requests.query_integer(request, 'since', 0, _MAX_EVENT_NUMBER)
        job_id = _requests.query_value(request, 'job')
        endpoint = _requests.query_value(request, 'endpoint')
        pages = []
        end = shell.ring.last
        while last < end:
            found = shell.ring.since(last, job_id, endpoint, _PAGE_EVENTS)
            if not found:
                break
            last = found[-1].number
            page = [timeline.to_dict(event) for event in found]
            pages.append(json.dumps(page)[1:-1])
            await asyncio.sleep(0)
        head = {'incarnation': shell.node.incarnation, 'last': last}
        text = f'{json.dumps(head)[:-1]}, "events": [{", ".join(pages)}]}}'
        return _answers.json_text(text)

    return events


def make_status(shell):
    """Return the handler of ``GET /v1/status``."""

    async def status(request):
        return _answers.json_response(shell.status())

    return status


def _without_secrets(value):
    if isinstance(value, list):
        return [_without_secrets(item) for item in value]
    if not isinstance(value, dict):
        return value
    return {
        key: _HIDDEN if key == _SECRET_KEY and item else _without_secrets(item)
        for key, item in value.items()
    }


def make_config(shell):
    """Return the handler of ``GET /v1/config``, which hides token hashes."""

    async def config(request):
        _jobs.configuration(shell)
        value = json.loads(shell.config_json())
        return _answers.json_response(_without_secrets(value))

    return config
