"""Client of the worker's HTTP interface."""

import json
import urllib.parse

import attrs

from azurepier.daemon import _http
from azurepier.kernel import Status

# Outcomes are sent in frames of at most 4 MiB, one of which may hold the
# outcomes of all slots.
MAX_OUTPUT_BYTES = 256 * 1024
# Allowance for the head of a response and its members other than the output.
_RESPONSE_OVERHEAD_BYTES = 64 * 1024
MAX_ERROR_CHARS = 2000

# Status of a task by the HTTP status of ``PUT /tasks/{job}/{task}``. After any
# other HTTP status it is unknown whether the task ran.
_STATUS_BY_HTTP_CODE = {
    200: Status.DONE,
    400: Status.FAILED,  # no worker can run the task
    409: Status.LOST,  # the task was started before
    410: Status.LOST,  # the task was stopped, or its lease expired
    422: Status.FAILED,
    429: Status.REFUSED,
}


@attrs.frozen
class Client:
    """Connection pool and path prefix for requests to a worker."""

    prefix: str
    pool: _http.Pool


def create_client(url):
    """Create a client; it connects with the first request.

    Parameters
    ----------
    url : str
        Base URL of the worker, with the scheme ``http``.
    """
    parts = urllib.parse.urlsplit(url)
    max_response_bytes = MAX_OUTPUT_BYTES + _RESPONSE_OVERHEAD_BYTES
    pool = _http.Pool(parts.hostname, parts.port or 80, max_response_bytes)
    return Client(parts.path.rstrip('/'), pool)


def _task_path(client, start):
    job_id = urllib.parse.quote(start.job_id, safe='')
    return f'{client.prefix}/tasks/{job_id}/{start.task}'


async def run(client, start, lease_ms):
    """Run a task; the request is not retried.

    Parameters
    ----------
    client : Client
    start : Start
    lease_ms : int

    Returns
    -------
    status : Status
        `Status.REFUSED` only if the worker has not run the task.
    output : bytes
        JSON, or the error text if `status` is not `Status.DONE`.

    Raises
    ------
    NotSentError, ResponseError
        As for `azurepier.daemon._http.Pool.call`.
    """
    body = b'{"kind":%b,"payload":%b,"lease_ms":%d}' % (
        _encode(start.kind).encode(),
        start.payload or b'null',
        lease_ms,
    )
    try:
        code, response = await client.pool.call(
            'PUT', _task_path(client, start), body
        )
    except _http.ResponseTooLongError as exc:
        if exc.status == 200:
            return Status.FAILED, str(exc).encode()
        raise
    status = _STATUS_BY_HTTP_CODE.get(code, Status.LOST)
    if status is Status.DONE:
        return _encode_output(_parse_object(response).get('output'))
    return status, _error_text(code, response)


async def stop(client, start):
    """Stop a task; return whether the worker knows it."""
    code, _ = await client.pool.call('DELETE', _task_path(client, start))
    return code == 200


async def renew_lease(client, start, lease_ms):
    """Renew a task's lease; return whether the worker knows it."""
    path = f'{_task_path(client, start)}/lease'
    body = b'{"lease_ms":%d}' % lease_ms
    code, _ = await client.pool.call('PUT', path, body)
    return code == 200


async def is_healthy(client):
    """Return whether the worker reports that it is healthy."""
    code, _ = await client.pool.call('GET', f'{client.prefix}/healthz')
    return code == 200


def _reject_constant(text):
    raise ValueError(f'{text} is not JSON')


# Created once: the functions of `json` create a decoder or encoder in each
# call with these options.
_decode = json.JSONDecoder(parse_constant=_reject_constant).decode
_encode = json.JSONEncoder(separators=(',', ':')).encode


def _parse_object(body):
    try:
        value = _decode(body.decode())
    except (ValueError, RecursionError) as exc:
        raise _http.ResponseError(f'the answer is not JSON: {exc}') from exc
    if not isinstance(value, dict):
        raise _http.ResponseError(
            f'the answer is not a JSON object but {type(value).__name__}'
        )
    return value


def _encode_output(value):
    output = _encode(value).encode()
    if len(output) > MAX_OUTPUT_BYTES:
        text = f'the output is longer than {MAX_OUTPUT_BYTES} bytes'
        return Status.FAILED, text.encode()
    return Status.DONE, output


def _error_text(code, body):
    try:
        text = str(_parse_object(body)['error'])
    except (KeyError, _http.ResponseError):
        text = f'the worker answered with HTTP status {code}'
    return text[:MAX_ERROR_CHARS].encode(errors='replace')
