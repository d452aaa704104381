"""HTTP responses for the answers of a node."""

import json
import math

from blacksheep import Content
from blacksheep import Response

from azurepier import kernel

_JSON_CONTENT_TYPE = b'application/json'
_PROBLEM_CONTENT_TYPE = b'application/problem+json'
_TYPE_PREFIX = 'urn:azurepier:error:'
_MS_PER_S = 1000


class RefusedError(Exception):
    """Carries the `Refused` with which a request is answered."""

    def __init__(self, refused, field=''):
        super().__init__(refused.type)
        self.refused = refused
        self.field = field


def refused_error(type_, detail, **fields):
    """Return a `RefusedError` for a request that did not reach a node."""
    fields.setdefault('job_id', '')
    fields.setdefault('verdict', kernel.Verdict.NOT_RUN)
    return RefusedError(kernel.Refused(type=type_, detail=detail, **fields))


def json_response(value, status=200):
    """Return `value` as a JSON response."""
    return json_text_response(json.dumps(value, default=str), status)


def json_text_response(text, status=200):
    """Return a response with JSON that is encoded already."""
    return Response(status, None, Content(_JSON_CONTENT_TYPE, text.encode()))


def _complete_response(answer, _):
    results = b','.join(
        b'{"task":%d,"output":%b}' % (i, output)
        for i, output in enumerate(answer.outputs)
    )
    body = b'{"id":%b,"state":"complete","results":[%b]}' % (
        json.dumps(answer.job_id).encode(),
        results,
    )
    return Response(200, None, Content(_JSON_CONTENT_TYPE, body))


def _accepted_response(answer, _):
    response = json_response(
        {'id': answer.job_id, 'state': answer.state}, status=202
    )
    location = f'/v1/jobs/{answer.job_id}'
    response.add_header(b'location', location.encode())
    return response


def _ids_response(answer, _):
    return json_response(
        {'ids': answer.ids, 'expires_in_s': answer.expires_in_s}
    )


def _refused_response(answer, field):
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
    return Response(status, headers, Content(_PROBLEM_CONTENT_TYPE, body))


def make_refusal_body(detail, retry_after_s):
    """Return the problem document for a job that reached no node.

    Parameters
    ----------
    detail : str
    retry_after_s : float

    Returns
    -------
    bytes
    """
    answer = kernel.Refused(
        job_id='',
        type='not-ready',
        verdict=kernel.Verdict.NOT_RUN,
        detail=detail,
        retry_after_s=retry_after_s,
    )
    return _refused_response(answer, '').content.body


_RESPONSE_BUILDERS = {
    kernel.Complete: _complete_response,
    kernel.Accepted: _accepted_response,
    kernel.Ids: _ids_response,
    kernel.Refused: _refused_response,
}


def to_response(answer, field=''):
    """Return the HTTP response for an answer of a node.

    Parameters
    ----------
    answer : Ids, Complete, Accepted or Refused
        The outputs of `Complete` are copied as JSON without being parsed.
    field : str
        Path of the invalid input field if `answer` is a `Refused`, or
        empty.
    """
    return _RESPONSE_BUILDERS[type(answer)](answer, field)


def problem_response(status, title, detail):
    """Return a problem document for a request that does not concern a job."""
    document = {
        'type': 'about:blank',
        'title': title,
        'status': status,
        'detail': detail,
        'verdict': kernel.Verdict.NOT_RUN.value,
    }
    body = json.dumps(document).encode()
    return Response(status, None, Content(_PROBLEM_CONTENT_TYPE, body))
