"""In-memory key-value store with the revisions, leases and watches of etcd v3.

Requests and responses are the JSON objects of etcd's gateway: keys and values
in base64, 64-bit numbers as strings, fields with default values omitted.
"""

import asyncio
import base64

import attrs

# Status codes of gRPC.
_INVALID_ARGUMENT = 3
_NOT_FOUND = 5


class GatewayError(Exception):
    """An error response of the gateway; `code` is a gRPC status code."""

    def __init__(self, code, message):
        super().__init__(message)
        self.code = code


@attrs.define
class _Item:
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@attrs.define
class _Lease:
    ttl_s: int
    expires_at: float


@attrs.define(eq=False)
class _Watch:
    first_key: bytes
    end_key: bytes
    queue: asyncio.Queue = attrs.field(factory=asyncio.Queue)

    async def get(self):
        """Return the next message of the watch."""
        return await self.queue.get()


@attrs.define
class Store:
    """Contents of the store: keys, leases and open watches."""

    items: dict = attrs.field(factory=dict)
    leases: dict = attrs.field(factory=dict)
    watches: list = attrs.field(factory=list)
    cluster: str = '14841639068965178418'
    revision: int = 1
    last_lease_id: int = 7587848390000000000


def _encode_base64(data):
    return base64.b64encode(data).decode()


def _decode_field(request, name):
    return base64.b64decode(request.get(name, ''), validate=True)


def _response_header(store):
    return {'cluster_id': store.cluster, 'revision': str(store.revision)}


def _encode_item(key, item):
    kv = {
        'key': _encode_base64(key),
        'create_revision': str(item.create_revision),
        'mod_revision': str(item.mod_revision),
        'version': str(item.version),
        'value': _encode_base64(item.value),
    }
    return kv | ({'lease': str(item.lease)} if item.lease else {})


def _select_keys(store, first_key, end_key):
    if not end_key:
        return [first_key] if first_key in store.items else []
    return sorted(
        key
        for key in store.items
        if key >= first_key and (end_key == b'\0' or key < end_key)
    )


def read_range(store, request):
    """Respond to a range request."""
    end_key = _decode_field(request, 'range_end')
    keys = _select_keys(store, _decode_field(request, 'key'), end_key)
    # The default order is ascending by key.
    if request.get('sort_order') == 'DESCEND':
        keys.reverse()
    response = {'header': _response_header(store)}
    if keys:
        # As in etcd, the count ignores the filter by revision.
        response['count'] = str(len(keys))
        limit = int(request.get('limit', 0)) or len(keys)
        min_revision = int(request.get('min_mod_revision', 0))
        items_by_key = [(key, store.items[key]) for key in keys]
        kvs = [
            _encode_item(key, item)
            for key, item in items_by_key
            if item.mod_revision >= min_revision
        ]
        if kvs:
            response['kvs'] = kvs[:limit]
    return response


def _int_field(request, name):
    """Return a number; the gateway accepts snake_case and camelCase names."""
    return int(request.get(name, request.get(_camel_case(name), 0)))


def _camel_case(name):
    head, *rest = name.split('_')
    return head + ''.join(word.title() for word in rest)


_COMPARED_VALUES = {
    'MOD': lambda item, c: (item.mod_revision, _int_field(c, 'mod_revision')),
    'CREATE': lambda item, c: (
        item.create_revision,
        _int_field(c, 'create_revision'),
    ),
    'VERSION': lambda item, c: (item.version, _int_field(c, 'version')),
    'LEASE': lambda item, c: (item.lease, _int_field(c, 'lease')),
    'VALUE': lambda item, c: (item.value, _decode_field(c, 'value')),
}
_COMPARISONS = {
    'EQUAL': lambda actual, expected: actual == expected,
    'NOT_EQUAL': lambda actual, expected: actual != expected,
    'GREATER': lambda actual, expected: actual > expected,
    'LESS': lambda actual, expected: actual < expected,
}


def _compare_succeeds(store, compare):
    item = store.items.get(_decode_field(compare, 'key'))
    target = compare.get('target', 'VERSION')
    if item is None:
        if target == 'VALUE':
            # In etcd, every comparison with the value of a missing key fails.
            return False
        item = _Item(b'', 0, 0, 0)
    actual, expected = _COMPARED_VALUES[target](item, compare)
    return _COMPARISONS[compare.get('result', 'EQUAL')](actual, expected)


def run_transaction(store, request):
    """Respond to a transaction, whose writes all have the same revision."""
    succeeded = all(
        _compare_succeeds(store, item) for item in request.get('compare', ())
    )
    operations = request.get('success' if succeeded else 'failure') or ()
    parsed_operations = [_parse_operation(item) for item in operations]
    _check_puts(store, parsed_operations)
    events = []
    revision = store.revision + 1
    responses = [
        _OPERATIONS[kind](store, body, revision, events)
        for kind, body in parsed_operations
    ]
    if events:
        store.revision = revision
        _notify(store, events)
    response = {'header': _response_header(store), 'responses': responses}
    return response | ({'succeeded': True} if succeeded else {})


def _parse_operation(item):
    [(name, body)] = item.items()
    name = name.replace('_', '').lower()
    if name not in _OPERATIONS:
        raise GatewayError(_INVALID_ARGUMENT, f'unknown operation {name}')
    return name, body


def _check_puts(store, parsed_operations):
    """Reject a transaction with invalid puts before it changes anything."""
    put_requests = [
        body for kind, body in parsed_operations if kind == 'requestput'
    ]
    keys = [_decode_field(body, 'key') for body in put_requests]
    if not all(keys):
        raise GatewayError(
            _INVALID_ARGUMENT, 'etcdserver: key is not provided'
        )
    if len(set(keys)) < len(keys):
        message = 'etcdserver: duplicate key given in txn request'
        raise GatewayError(_INVALID_ARGUMENT, message)
    for body in put_requests:
        lease = int(body.get('lease', 0))
        if lease and lease not in store.leases:
            message = 'etcdserver: requested lease not found'
            raise GatewayError(_NOT_FOUND, message)


def _put_item(store, body, revision, events):
    key = _decode_field(body, 'key')
    old_item = store.items.get(key)
    store.items[key] = _Item(
        _decode_field(body, 'value'),
        old_item.create_revision if old_item else revision,
        revision,
        old_item.version + 1 if old_item else 1,
        int(body.get('lease', 0)),
    )
    events.append({'kv': _encode_item(key, store.items[key])})
    return {'response_put': {}}


def _delete_range(store, body, revision, events):
    keys = _select_keys(
        store, _decode_field(body, 'key'), _decode_field(body, 'range_end')
    )
    _remove_keys(store, keys, revision, events)
    deleted = {'deleted': str(len(keys))} if keys else {}
    return {'response_delete_range': deleted}


def _remove_keys(store, keys, revision, events):
    for key in keys:
        del store.items[key]
        kv = {'key': _encode_base64(key), 'mod_revision': str(revision)}
        events.append({'type': 'DELETE', 'kv': kv})


def _read_in_transaction(store, body, revision, events):
    return {'response_range': read_range(store, body)}


_OPERATIONS = {
    'requestput': _put_item,
    'requestdeleterange': _delete_range,
    'requestrange': _read_in_transaction,
}


def grant_lease(store, request, now):
    """Respond to a request for a lease."""
    ttl_s = int(request.get('TTL', 0))
    if ttl_s <= 0:
        raise GatewayError(
            _INVALID_ARGUMENT, 'etcdserver: too small lease TTL'
        )
    store.last_lease_id += 1
    store.leases[store.last_lease_id] = _Lease(ttl_s, now + ttl_s)
    return {
        'header': _response_header(store),
        'ID': str(store.last_lease_id),
        'TTL': str(ttl_s),
    }


def renew_lease(store, request, now):
    """Renew a lease; the response has no TTL if the lease has expired."""
    lease_id = int(request.get('ID', 0))
    lease = store.leases.get(lease_id)
    response = {'header': _response_header(store), 'ID': str(lease_id)}
    if lease is None:
        return response
    lease.expires_at = now + lease.ttl_s
    return response | {'TTL': str(lease.ttl_s)}


def expire_leases(store, now):
    """Remove the expired leases and their keys."""
    expired_ids = {
        n for n, lease in store.leases.items() if lease.expires_at <= now
    }
    if not expired_ids:
        return
    for lease_id in expired_ids:
        del store.leases[lease_id]
    keys = [
        key for key, item in store.items.items() if item.lease in expired_ids
    ]
    if keys:
        events = []
        store.revision += 1
        _remove_keys(store, keys, store.revision, events)
        _notify(store, events)


def open_watch(store, request):
    """Add a watch; its first message confirms that it was created."""
    watch = _Watch(
        _decode_field(request, 'key'), _decode_field(request, 'range_end')
    )
    watch.queue.put_nowait(
        {'header': _response_header(store), 'created': True}
    )
    store.watches.append(watch)
    return watch


def _notify(store, events):
    for watch in store.watches:
        matching = [event for event in events if _is_watched(watch, event)]
        if matching:
            message = {'header': _response_header(store), 'events': matching}
            watch.queue.put_nowait(message)


def _is_watched(watch, event):
    key = base64.b64decode(event['kv']['key'])
    if not watch.end_key:
        return key == watch.first_key
    return key >= watch.first_key and (
        watch.end_key == b'\0' or key < watch.end_key
    )
