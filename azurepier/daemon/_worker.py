"""Client of the worker's HTTP interface."""

import json
import urllib.parse

import attrs

from azurepier.daemon import _http
from azurepier.kernel import Status

# Outcomes travel in frames of at most 4 MiB that may hold the outcomes of
# all slots.
MAX_OUTPUT_BYTES = 256 * 1024
# Room for the head of an answer and for its members beside the output.
_ENVELOPE_BYTES = 64 * 1024
MAX_ERROR_CHARS = 2000

# What the answers to ``PUT /tasks/{job}/{task}`` say of the task. Every other
# status leaves open whether it ran.
_STATUS_OF_ANSWER = {
    200: Status.DONE,
    400: Status.FAILED,  # the worker can't run it; no other worker could
    409: Status.LOST,  # it had been started before
    410: Status.LOST,  # it was stopped, or its lease expired
    422: Status.FAILED,
    429: Status.REFUSED,
}


@attrs.frozen
class Client:
    """A worker: where it is and the connections to it."""

    prefix: str
    pool: _http.Pool


def connect(url):
    """Return a client; nothing is sent yet.

    Parameters
    ----------
    url : str
        Base URL of the worker, ``http`` only.
    """
    parts = urllib.parse.urlsplit(url)
    limit = MAX_OUTPUT_BYTES + _ENVELOPE_BYTES
    pool = _http.Pool(parts.hostname, parts.port or 80, limit)
    return Client(parts.path.rstrip('/'), pool)


def _task_path(client, start):
    job_id = urllib.parse.quote(start.job_id, safe='')
    return f'{client.prefix}/tasks/{job_id}/{start.task}'


async def run(client, start, lease_ms):
    """Run a task; the request is made once.

    Parameters
    ----------
    client : Client
    start : Start
    lease_ms : int

    Returns
    -------
    status : Status
        `Status.REFUSED` only if the worker did not run the task.
    output : bytes
        JSON, or the error text if `status` is not `Status.DONE`.

    Raises
    ------
    NotSentError, AnswerError
        As for `azurepier.daemon._http.Pool.call`.
    """
    body = b'{"kind":%b,"payload":%b,"lease_ms":%d}' % (
        _encode(start.kind).encode(),
        start.payload or b'null',
        lease_ms,
    )
    try:
        code, answer = await client.pool.call(
            'PUT', _task_path(client, start), body
        )
    except _http.AnswerTooLongError as exc:
        if exc.status == 200:
            return Status.FAILED, str(exc).encode()
        raise
    status = _STATUS_OF_ANSWER.get(code, Status.LOST)
    if status is Status.DONE:
        return _done(_parse(answer).get('output'))
    return status, _error_text(code, answer)


async def stop(client, start):
    """Stop a task; return whether the worker knows it."""
    code, _ = await client.pool.call('DELETE', _task_path(client, start))
    return code == 200


async def renew(client, start, lease_ms):
    """Renew a task's lease; return whether the worker knows it."""
    path = f'{_task_path(client, start)}/lease'
    body = b'{"lease_ms":%d}' % lease_ms
    code, _ = await client.pool.call('PUT', path, body)
    return code == 200


async def is_healthy(client):
    """Return whether the worker says that it is healthy."""
    code, _ = await client.pool.call('GET', f'{client.prefix}/healthz')
    return code == 200


def _refuse_constant(text):
    raise ValueError(f'{text} is not JSON')


# The module's functions make a new decoder and encoder in each call.
_decode = json.JSONDecoder(parse_constant=_refuse_constant).decode
_encode = json.JSONEncoder(separators=(',', ':')).encode


def _parse(body):
    try:
        value = _decode(body.decode())
    except (ValueError, RecursionError) as exc:
        raise _http.AnswerError(f'the answer is not JSON: {exc}') from exc
    if not isinstance(value, dict):
        raise _http.AnswerError('the answer is not a JSON object')
    return value


def _done(value):
    output = _encode(value).encode()
    if len(output) > MAX_OUTPUT_BYTES:
        text = f'the output is longer than {MAX_OUTPUT_BYTES} bytes'
        return Status.FAILED, text.encode()
    return Status.DONE, output


def _error_text(code, body):
    try:
        text = str(_parse(body)['error'])
    except (KeyError, _http.AnswerError):
        text = f'the worker answered with HTTP status {code}'
    return text[:MAX_ERROR_CHARS].encode(errors='replace')
