"""Construction of requests to the gateway and parsing of its answers.

The gateway omits fields with default values and encodes 64-bit numbers as
strings.
"""

import time

import attrs

from azurepier import config
from azurepier.etcd import _keys
from azurepier.etcd import _records
from azurepier import kernel

HISTORY_VERSIONS = 50


@attrs.frozen
class KeyValue:
    """A key, its value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


def parse_answer(path, parse, answer):
    """Return ``parse(answer)``; raise PlatformError if it is malformed."""
    try:
        return parse(answer)
    except (
        KeyError,
        TypeError,
        ValueError,
        OverflowError,
        AttributeError,
    ) as exc:
        text = f'{path}: malformed answer: {exc!r}'
        raise kernel.PlatformError(text) from exc


def _parse_kv(kv):
    """Return a key with its value, None if the key is no text.

    This system writes no such keys.
    """
    try:
        key = _keys.decode(kv['key']).decode()
    except UnicodeDecodeError:
        return None
    value = _keys.decode(kv.get('value', ''))
    return KeyValue(key, value, int(kv['mod_revision']))


@attrs.frozen
class RangeResult:
    """Answer to a range request.

    `count` is the number of keys in the range, including those that the
    request's filters excluded. `cluster_id` identifies the store whose
    revisions are counted.
    """

    kvs: list
    count: int
    cluster_id: str
    revision: int


def parse_range(answer):
    """Return the `RangeResult` in an answer to a range request."""
    header = answer['header']
    kvs = map(_parse_kv, answer.get('kvs', ()))
    return RangeResult(
        [kv for kv in kvs if kv is not None],
        int(answer.get('count', 0)),
        str(header.get('cluster_id', '')),
        int(header.get('revision', 0)),
    )


def parse_succeeded(answer):
    """Tell whether the comparisons of a transaction succeeded."""
    return bool(answer.get('succeeded', False))


def parse_lease_id(answer):
    """Return the id of a granted lease."""
    return str(int(answer['ID']))


def parse_ttl_s(answer):
    """Return the remaining time of a lease (s), 0 if it has expired."""
    return int(answer['result'].get('TTL', 0))


def parse_changes(result):
    """Return the changes in a message of a watch.

    Raises
    ------
    PlatformError
        If the message says that the watch was cancelled.
    """
    if result.get('canceled'):
        reason = result.get('cancel_reason', 'no reason given')
        raise kernel.PlatformError(f'/v3/watch: cancelled: {reason}')
    changes = []
    if result.get('created'):
        revision = int(result['header'].get('revision', 0))
        changes.append(_records.Change('', None, revision))
    for event in result.get('events', ()):
        kv = _parse_kv(event['kv'])
        if kv is None:
            continue
        value = None if event.get('type') == 'DELETE' else kv.value
        changes.append(_records.Change(kv.key, value, kv.revision))
    return changes


def put(key, value, lease=None):
    """Return an operation that writes a value."""
    fields = {'key': _keys.encode(key), 'value': _keys.encode(value)}
    if lease is not None:
        fields['lease'] = lease
    return {'requestPut': fields}


def revision_equals(key, revision):
    """Return the comparison that `key` was last written at `revision`."""
    return {
        'key': _keys.encode(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(revision),
    }


def replacement_operations(cfg, body, base):
    """Return the operations that write a version and its history record.

    They also delete the records of all but the latest `HISTORY_VERSIONS`
    versions. `base` is the configuration that was edited, or None.
    """
    entry = _records.HistoryEntry(
        version=cfg.version,
        edit_id=cfg.edit_id,
        author=cfg.author,
        written_at=time.time(),
        changes=tuple(config.differences(base, cfg)),
    )
    record = _records.history_to_json(entry)
    operations = [
        put(_keys.CONFIG_KEY, body),
        put(_keys.history_key(cfg.version), record),
    ]
    oldest = cfg.version - HISTORY_VERSIONS + 1
    if oldest > 0:
        old_records = {
            'key': _keys.encode(_keys.HISTORY_PREFIX),
            'range_end': _keys.encode(_keys.history_key(oldest)),
        }
        operations.append({'requestDeleteRange': old_records})
    return operations


def conflict_text(base, current):
    """Return an error message that lists what another edit changed.

    `base` is the configuration that was edited, or None.
    """
    text = f'{current.author} wrote version {current.version} in the meantime'
    lines = config.differences(base, current) if base else []
    return '\n  '.join([text, *lines])
