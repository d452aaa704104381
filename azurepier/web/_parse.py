"""Validation of callers' JSON bodies; only valid values leave this module."""

import hashlib
import json

from azurepier import kernel

MAX_TASK_DURATION_MS = 3_600_000
MAX_TASK_SIZE = 1_000_000
MAX_KIND_CHARS = 64
MAX_CUSTOMER_CHARS = 64
MAX_IDS_PER_REQUEST = 10_000
# Enough for real payloads, and low enough that the recursive JSON encoders of
# all processes on the way to the worker stay far below the interpreter's
# recursion limit of 1000.
MAX_PAYLOAD_DEPTH = 64
_MAX_PRINTED_KEY_CHARS = 40


def _reject_constant(name):
    raise ValueError(f'{name} is not a JSON number')


def _object_without_duplicates(pairs):
    value = dict(pairs)
    if len(value) != len(pairs):
        seen = set()
        for key, _ in pairs:
            if key in seen:
                raise ValueError(f'duplicate key {_printable_key(key)}')
            seen.add(key)
    return value


def _printable_key(key):
    """Return a key as short printable text for error messages."""
    if key and key.isprintable() and len(key) <= _MAX_PRINTED_KEY_CHARS:
        return key
    return ascii(key[:_MAX_PRINTED_KEY_CHARS])


_decode_json = json.JSONDecoder(
    object_pairs_hook=_object_without_duplicates,
    parse_constant=_reject_constant,
).decode
# Equal payloads are encoded as equal bytes regardless of the order of their
# keys, so the same bytes serve as the payload and as input of the digest.
_encode_json = json.JSONEncoder(
    separators=(',', ':'),
    sort_keys=True,
    allow_nan=False,
    check_circular=False,
).encode


def _text_check(max_chars):
    def check(value):
        if type(value) is not str:
            return 'expected a string'
        if not 1 <= len(value) <= max_chars:
            return f'expected 1 to {max_chars} characters, found {len(value)}'
        # This also rejects lone surrogates, which UTF-8 can't encode.
        return None if value.isprintable() else 'expected printable text'

    return check


def _integer_check(low, high):
    def check(value):
        if type(value) is int and low <= value <= high:
            return None
        return f'expected an integer from {low} to {high}'

    return check


def _check_duration(value):
    # A number like 1e999 is decoded as infinity, which exceeds the maximum.
    if type(value) in (int, float) and 0 < value <= MAX_TASK_DURATION_MS:
        return None
    return f'expected a number above 0 and at most {MAX_TASK_DURATION_MS}'


def _check_boolean(value):
    return None if type(value) is bool else 'expected true or false'


def _check_task_list(value):
    if type(value) is not list:
        return 'expected an array'
    if 1 <= len(value) <= kernel.MAX_TASKS:
        return None
    return f'expected 1 to {kernel.MAX_TASKS} tasks, found {len(value)}'


def _check_payload(value):
    if _exceeds_depth(value, MAX_PAYLOAD_DEPTH):
        return f'nested deeper than {MAX_PAYLOAD_DEPTH} levels'
    return None


def _exceeds_depth(value, levels):
    if type(value) is dict:
        value = value.values()
    elif type(value) is not list:
        return False
    if not levels:
        return True
    for item in value:
        if type(item) in (dict, list) and _exceeds_depth(item, levels - 1):
            return True
    return False


_JOB_CHECKS = {
    'customer': _text_check(MAX_CUSTOMER_CHARS),
    'deadline_ms': _integer_check(1, kernel.MAX_DEADLINE_MS),
    'tasks': _check_task_list,
    'urgent': _check_boolean,
    'idempotent': _check_boolean,
}
_REQUIRED_JOB_FIELDS = ('customer', 'deadline_ms', 'tasks')
_TASK_CHECKS = {
    'kind': _text_check(MAX_KIND_CHARS),
    'payload': _check_payload,
    'duration_ms': _check_duration,
    'size': _integer_check(1, MAX_TASK_SIZE),
}
_REQUIRED_TASK_FIELDS = ('kind', 'payload')
_IDS_CHECKS = {'count': _integer_check(1, MAX_IDS_PER_REQUEST)}


def _check_object(value, checks, required, prefix):
    """Raise InvalidInputError unless all fields of `value` are valid.

    `checks` maps the name of each known field to its check.
    """
    if type(value) is not dict:
        raise kernel.InvalidInputError(
            prefix or 'body',
            f'expected an object, found {type(value).__name__}',
        )
    path = f'{prefix}.' if prefix else ''
    for key, item in value.items():
        check = checks.get(key)
        reason = check(item) if check else 'unknown field'
        if reason:
            raise kernel.InvalidInputError(path + _printable_key(key), reason)
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
        If it is not UTF-8, not JSON, has duplicate keys or contains NaN.
    """
    try:
        return _decode_json(body.decode())
    except RecursionError:
        reason = f'nested deeper than {MAX_PAYLOAD_DEPTH} levels'
    except ValueError as exc:
        reason = f'not JSON: {exc}'
    raise kernel.InvalidInputError('body', reason)


def _parse_task(value, index):
    prefix = f'tasks[{index}]'
    _check_object(value, _TASK_CHECKS, _REQUIRED_TASK_FIELDS, prefix)
    try:
        payload = _encode_json(value['payload']).encode()
    except ValueError:
        raise kernel.InvalidInputError(
            f'{prefix}.payload',
            'a number is out of range; expected finite numbers',
        ) from None
    if len(payload) > kernel.MAX_PAYLOAD_BYTES:
        limit = kernel.MAX_PAYLOAD_BYTES
        raise kernel.InvalidInputError(
            f'{prefix}.payload',
            f'expected at most {limit} bytes, found {len(payload)}',
        )
    duration_ms = value.get('duration_ms')
    return kernel.TaskSpec(
        value['kind'],
        payload,
        None if duration_ms is None else float(duration_ms),
        value.get('size', 1),
    )


def _job_digest(value, tasks, urgent, idempotent):
    # Names are printable and compact JSON contains no line feeds, so the
    # separators are unambiguous.
    parts = [
        f'{value["customer"]}\t{value["deadline_ms"]}\t{urgent}\t{idempotent}'
    ]
    parts += [f'{t.kind}\t{t.duration_ms}\t{t.size}' for t in tasks]
    head = '\n'.join(parts).encode()
    content = b'\n'.join([head, *(t.payload for t in tasks)])
    return hashlib.sha256(content).hexdigest()


def parse_job(body):
    """Validate and parse the body of a submission.

    Parameters
    ----------
    body : bytes
        JSON in the form described in section 7 of ``docs/design.md``.

    Returns
    -------
    JobSpec
        The payloads are compact JSON with sorted keys. The digest covers
        every field, with defaults filled in.

    Raises
    ------
    InvalidInputError
        Names the first invalid field, such as ``tasks[3].duration_ms``.
    """
    value = decode_body(body)
    _check_object(value, _JOB_CHECKS, _REQUIRED_JOB_FIELDS, '')
    tasks = tuple(
        _parse_task(item, i) for i, item in enumerate(value['tasks'])
    )
    if sum(len(task.payload) for task in tasks) > kernel.MAX_JOB_BYTES:
        limit = kernel.MAX_JOB_BYTES
        reason = f'expected payloads of at most {limit} bytes in total'
        raise kernel.InvalidInputError('tasks', reason)
    urgent = value.get('urgent', False)
    idempotent = value.get('idempotent', False)
    return kernel.JobSpec(
        customer=value['customer'],
        tasks=tasks,
        deadline_ms=value['deadline_ms'],
        urgent=urgent,
        idempotent=idempotent,
        digest=_job_digest(value, tasks, urgent, idempotent),
    )


def parse_ids_request(body):
    """Return the number of job ids that the caller requests.

    Raises
    ------
    InvalidInputError
        If the body is not ``{"count": n}`` with n from 1 to
        `MAX_IDS_PER_REQUEST`.
    """
    value = decode_body(body)
    _check_object(value, _IDS_CHECKS, ('count',), '')
    return value['count']
