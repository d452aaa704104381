"""Requests to the gateway and what its answers contain.

The gateway leaves out fields with default values and writes 64-bit numbers
as strings.
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


def understood(path, read, answer):
    """Return ``read(answer)`` or raise PlatformError."""
    try:
        return read(answer)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        text = f'{path}: not understood: {exc!r}'
        raise kernel.PlatformError(text) from exc


def _read_kv(kv):
    return KeyValue(
        _keys.decode(kv['key']).decode(),
        _keys.decode(kv.get('value', '')),
        int(kv['mod_revision']),
    )


@attrs.frozen
class Found:
    """Answer to a range request.

    `count` is the number of keys in the range, also of those that the
    request's filters left out. `store` names the store's history.
    """

    kvs: list
    count: int
    store: str
    revision: int


def read_found(answer):
    """Return the `Found` of an answer to a range request."""
    header = answer['header']
    return Found(
        [_read_kv(kv) for kv in answer.get('kvs', ())],
        int(answer.get('count', 0)),
        str(header.get('cluster_id', '')),
        int(header.get('revision', 0)),
    )


def read_succeeded(answer):
    """Tell whether a transaction's comparisons held."""
    return bool(answer.get('succeeded', False))


def read_lease(answer):
    """Return the id of a granted lease."""
    return str(int(answer['ID']))


def read_ttl(answer):
    """Return the remaining life of a lease (s), 0 if it has expired."""
    return int(answer['result'].get('TTL', 0))


def read_changes(result):
    """Return the changes in one message of a watch."""
    if result.get('canceled'):
        reason = result.get('cancel_reason', 'no reason given')
        raise kernel.PlatformError(f'/v3/watch: cancelled: {reason}')
    changes = []
    if result.get('created'):
        revision = int(result['header'].get('revision', 0))
        changes.append(_records.Change('', None, revision))
    for event in result.get('events', ()):
        kv = _read_kv(event['kv'])
        value = None if event.get('type') == 'DELETE' else kv.value
        changes.append(_records.Change(kv.key, value, kv.revision))
    return changes


def put(key, value, lease=None):
    """Return the operation that writes a value."""
    fields = {'key': _keys.encode(key), 'value': _keys.encode(value)}
    if lease is not None:
        fields['lease'] = lease
    return {'requestPut': fields}


def unchanged(key, revision):
    """Return the comparison with the revision of the last write."""
    return {
        'key': _keys.encode(key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(revision),
    }


def replacement(cfg, body, base):
    """Return the operations that write a version and its history."""
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
        stale = {
            'key': _keys.encode(_keys.HISTORY_PREFIX),
            'range_end': _keys.encode(_keys.history_key(oldest)),
        }
        operations.append({'requestDeleteRange': stale})
    return operations


def conflict(base, current):
    """Return the text that says what another edit changed."""
    text = f'{current.author} has written version {current.version} meanwhile'
    lines = config.differences(base, current) if base else []
    return '\n  '.join([text, *lines])
