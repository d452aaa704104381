"""HTTP responses for the answers of a node."""

import json
import math

from blacksheep import Content
from blacksheep import Response

from azurepier import kernel

_JSON = b'application/json'
_PROBLEM = b'application/problem+json'
_TYPE_PREFIX = 'urn:azurepier:error:'
_MS_PER_S = 1000


class Refusal(Exception):
    """Ends a request with the `Refused` that it carries."""

    def __init__(self, refused, field=''):
        super().__init__(refused.type)
        self.refused = refused
        self.field = field


def refuse(type_, detail, **fields):
    """Return a `Refusal` for a request that reached no node."""
    fields.setdefault('job_id', '')
    fields.setdefault('verdict', kernel.Verdict.NOT_RUN)
    return Refusal(kernel.Refused(type=type_, detail=detail, **fields))


def json_response(value, status=200):
    """Return `value` as a JSON response."""
    return json_text(json.dumps(value, default=str), status)


def json_text(text, status=200):
    """Return JSON text as a response."""
    return Response(status, None, Content(_JSON, text.encode()))


def _complete(answer, _):
    results = b','.join(
        b'{"task":%d,"output":%b}' % (i, output)
        for i, output in enumerate(answer.outputs)
    )
    body = b'{"id":%b,"state":"complete","results":[%b]}' % (
        json.dumps(answer.job_id).encode(),
        results,
    )
    return Response(200, None, Content(_JSON, body))


def _accepted(answer, _):
    response = json_response(
        {'id': answer.job_id, 'state': answer.state}, status=202
    )
    location = f'/v1/jobs/{answer.job_id}'
    response.add_header(b'location', location.encode())
    return response


def _ids(answer, _):
    return json_response(
        {'ids': answer.ids, 'expires_in_s': answer.expires_in_s}
    )


def _refused(answer, field):
    status, title = kernel.ERROR_TYPES.get(
        answer.type, kernel.ERROR_TYPES['internal']
    )
    document = {
        'type': _TYPE_PREFIX + answer.type,
        'title': title,
        'status': status,
        'detail': answer.detail,
        'verdict': answer.verdict.value,
    }
    if answer.job_id:
        document |= {'id': answer.job_id, 'state': 'failed'}
    if field:
        document['field'] = field
    headers = []
    if answer.retry_after_s is not None:
        delay_s = max(answer.retry_after_s, 0.0)
        document['retry_after_ms'] = math.ceil(delay_s * _MS_PER_S)
        headers.append((b'retry-after', b'%d' % math.ceil(delay_s)))
    if answer.location:
        headers.append((b'location', answer.location.encode()))
    if answer.type == 'unauthorized':
        headers.append((b'www-authenticate', b'Bearer'))
    body = json.dumps(document).encode()
    return Response(status, headers, Content(_PROBLEM, body))


_BUILDERS = {
    kernel.Complete: _complete,
    kernel.Accepted: _accepted,
    kernel.Ids: _ids,
    kernel.Refused: _refused,
}


def to_response(answer, field=''):
    """Return the HTTP response for an answer class of `azurepier.kernel`.

    Parameters
    ----------
    answer : Ids, Complete, Accepted or Refused
        The outputs of `Complete` are JSON already and are not parsed.
    field : str
        Path of the input field that a `Refused` is about, or empty.
    """
    return _BUILDERS[type(answer)](answer, field)


def problem(status, title, detail):
    """Return the problem document for a request that is not about a job."""
    document = {
        'type': 'about:blank',
        'title': title,
        'status': status,
        'detail': detail,
        'verdict': kernel.Verdict.NOT_RUN.value,
    }
    body = json.dumps(document).encode()
    return Response(status, None, Content(_PROBLEM, body))
