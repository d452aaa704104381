"""Callers' JSON bodies become jobs; nothing else gets past this module."""

import hashlib
import json

from azurepier import kernel

MAX_DURATION_MS = 3_600_000
MAX_SIZE = 1_000_000
MAX_KIND_CHARS = 64
MAX_CUSTOMER_CHARS = 64
MAX_IDS = 10_000
# Deep enough for real payloads; the recursive encoders of all processes on
# the way to the worker stay far from the interpreter's limit of 1000.
MAX_DEPTH = 64
_MAX_SHOWN_CHARS = 40


def _no_constant(name):
    raise ValueError(f'{name} is not a JSON number')


def _unique(pairs):
    value = dict(pairs)
    if len(value) != len(pairs):
        seen = set()
        for key, _ in pairs:
            if key in seen:
                raise ValueError(f'the key {_shown(key)} appears twice')
            seen.add(key)
    return value


def _shown(key):
    """Return a key as short printable text for messages."""
    if key and key.isprintable() and len(key) <= _MAX_SHOWN_CHARS:
        return key
    return ascii(key[:_MAX_SHOWN_CHARS])


_decode = json.JSONDecoder(
    object_pairs_hook=_unique, parse_constant=_no_constant
).decode
# Equal payloads give equal bytes whatever the order of their keys, so the
# same bytes serve as payload and as input of the digest.
_encode = json.JSONEncoder(
    separators=(',', ':'),
    sort_keys=True,
    allow_nan=False,
    check_circular=False,
).encode


def _text(limit):
    def check(value):
        if type(value) is not str:
            return 'expected a string'
        if not 1 <= len(value) <= limit:
            return f'expected 1 to {limit} characters, found {len(value)}'
        # This also refuses lone surrogates, which have no UTF-8 form.
        return None if value.isprintable() else 'expected printable text'

    return check


def _integer(low, high):
    def check(value):
        if type(value) is int and low <= value <= high:
            return None
        return f'expected an integer from {low} to {high}'

    return check


def _duration(value):
    # Infinity from an overlong exponent fails the second comparison.
    if type(value) in (int, float) and 0 < value <= MAX_DURATION_MS:
        return None
    return f'expected a number above 0, at most {MAX_DURATION_MS}'


def _boolean(value):
    return None if type(value) is bool else 'expected true or false'


def _task_list(value):
    if type(value) is not list:
        return 'expected an array'
    if 1 <= len(value) <= kernel.MAX_TASKS:
        return None
    return f'expected 1 to {kernel.MAX_TASKS} tasks, found {len(value)}'


def _payload(value):
    if _is_deeper(value, MAX_DEPTH):
        return f'nested deeper than {MAX_DEPTH} levels'
    return None


def _is_deeper(value, levels):
    if type(value) is dict:
        value = value.values()
    elif type(value) is not list:
        return False
    if not levels:
        return True
    for item in value:
        if type(item) in (dict, list) and _is_deeper(item, levels - 1):
            return True
    return False


_JOB_CHECKS = {
    'customer': _text(MAX_CUSTOMER_CHARS),
    'deadline_ms': _integer(1, kernel.MAX_DEADLINE_MS),
    'tasks': _task_list,
    'urgent': _boolean,
    'idempotent': _boolean,
}
_JOB_REQUIRED = ('customer', 'deadline_ms', 'tasks')
_TASK_CHECKS = {
    'kind': _text(MAX_KIND_CHARS),
    'payload': _payload,
    'duration_ms': _duration,
    'size': _integer(1, MAX_SIZE),
}
_TASK_REQUIRED = ('kind', 'payload')
_IDS_CHECKS = {'count': _integer(1, MAX_IDS)}


def _check_object(value, checks, required, prefix):
    """Raise InvalidInputError unless `value` passes the table `checks`."""
    if type(value) is not dict:
        raise kernel.InvalidInputError(prefix or 'body', 'expected an object')
    path = f'{prefix}.' if prefix else ''
    for key, item in value.items():
        check = checks.get(key)
        reason = check(item) if check else 'unknown field'
        if reason:
            raise kernel.InvalidInputError(path + _shown(key), reason)
    for key in required:
        if key not in value:
            raise kernel.InvalidInputError(path + key, 'missing')


def decode_body(body):
    """Return the JSON value in a request body.

    Parameters
    ----------
    body : bytes

    Raises
    ------
    InvalidInputError
        If it is not UTF-8, not JSON, names a key twice or holds NaN.
    """
    try:
        return _decode(body.decode())
    except RecursionError:
        reason = f'nested deeper than {MAX_DEPTH} levels'
    except ValueError as exc:
        reason = f'not JSON: {exc}'
    raise kernel.InvalidInputError('body', reason)


def _task(value, index):
    prefix = f'tasks[{index}]'
    _check_object(value, _TASK_CHECKS, _TASK_REQUIRED, prefix)
    try:
        payload = _encode(value['payload']).encode()
    except ValueError:
        raise kernel.InvalidInputError(
            f'{prefix}.payload', 'a number is out of range'
        ) from None
    if len(payload) > kernel.MAX_PAYLOAD_BYTES:
        limit = kernel.MAX_PAYLOAD_BYTES
        raise kernel.InvalidInputError(
            f'{prefix}.payload', f'longer than {limit} bytes'
        )
    duration_ms = value.get('duration_ms')
    return kernel.TaskSpec(
        value['kind'],
        payload,
        None if duration_ms is None else float(duration_ms),
        value.get('size', 1),
    )


def _digest(value, tasks, urgent, idempotent):
    # Names are printable and compact JSON has no raw line feed, so neither
    # the fields nor the parts can run together.
    parts = [
        f'{value["customer"]}\t{value["deadline_ms"]}\t{urgent}\t{idempotent}'
    ]
    parts += [f'{t.kind}\t{t.duration_ms}\t{t.size}' for t in tasks]
    head = '\n'.join(parts).encode()
    content = b'\n'.join([head, *(t.payload for t in tasks)])
    return hashlib.sha256(content).hexdigest()


def parse_job(body):
    """Check a submission.

    Parameters
    ----------
    body : bytes
        JSON as section 7 of the design page describes it.

    Returns
    -------
    JobSpec
        Its payloads are compact JSON with sorted keys. Its digest covers
        every field, with defaults filled in.

    Raises
    ------
    InvalidInputError
        Names the first wrong field, such as ``tasks[3].duration_ms``.
    """
    value = decode_body(body)
    _check_object(value, _JOB_CHECKS, _JOB_REQUIRED, '')
    tasks = tuple(_task(item, i) for i, item in enumerate(value['tasks']))
    if sum(len(task.payload) for task in tasks) > kernel.MAX_JOB_BYTES:
        limit = kernel.MAX_JOB_BYTES
        reason = f'the payloads are longer than {limit} bytes'
        raise kernel.InvalidInputError('tasks', reason)
    urgent = value.get('urgent', False)
    idempotent = value.get('idempotent', False)
    return kernel.JobSpec(
        customer=value['customer'],
        tasks=tasks,
        deadline_ms=value['deadline_ms'],
        urgent=urgent,
        idempotent=idempotent,
        digest=_digest(value, tasks, urgent, idempotent),
    )


def parse_ids_request(body):
    """Return the number of job ids that a caller asks for.

    Raises
    ------
    InvalidInputError
        If the body is not ``{"count": n}`` with n from 1 to `MAX_IDS`.
    """
    value = decode_body(body)
    _check_object(value, _IDS_CHECKS, ('count',), '')
    return value['count']
