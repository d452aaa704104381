"""Client for the platform's key-value service."""

import asyncio

from azurepier import config
from azurepier.etcd import _budget
from azurepier.etcd import _gateway
from azurepier.etcd import _keys
from azurepier.etcd import _messages
from azurepier.etcd import _records
from azurepier import kernel

CALL_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1_000_000
# If the answer to a write is lost, the value is read back; the write is sent
# again only if it is certain that it did not take effect.
_WRITE_ATTEMPTS = 3
_LEASE_NOT_FOUND = 'lease not found'


class Client:
    """Reads and writes azurepier's keys in the platform.

    Each call counts towards the platform's limits, and a pending watch
    counts as one. An entry has a budget of 5 calls/s with a burst of 20. A
    call that exceeds it waits, and fails if the wait would be longer than the
    timeout.

    Parameters
    ----------
    base_url : str
        URL of the gateway, such as ``http://10.0.0.5:2379``.
    rng : random.Random
        Generates the edit ids.
    timeout_s : float
        Timeout of each call.
    budget : Budget, optional
        Call budget, which also counts the calls by kind.

    Raises
    ------
    InvalidInputError
        If `base_url` is not an HTTP URL.

    Notes
    -----
    All methods raise `PlatformError` for every failure of the platform. They
    do not retry a call unless their documentation says so.
    """

    def __init__(self, base_url, rng, timeout_s=CALL_TIMEOUT_S, budget=None):
        self.rng = rng
        self.timeout_s = timeout_s
        self.budget = budget or _budget.Budget()
        self.invalid_entries = 0
        self._gateway = _gateway.create(base_url)
        self._entry_info = None
        self._lease_ttl_s = 0
        self._lease_id = None
        # The last configuration seen, and the cluster that it was read from.
        self._cached_config = None
        self._cached_cluster_id = ''

    async def close(self):
        """Close all connections; an active watch ends with an error."""
        await _gateway.close(self._gateway)

    def new_edit_id(self):
        """Return a random edit id."""
        return f'{self.rng.getrandbits(64):016x}'

    async def _reserve_call(self, kind):
        wait_s = self.budget.reserve(self.timeout_s)
        if wait_s is None:
            raise kernel.PlatformError(
                f'{kind}: the call budget is exhausted for the next '
                f'{self.timeout_s:g} s'
            )
        if wait_s:
            await asyncio.sleep(wait_s)
        self.budget.calls[kind] += 1

    async def _call(self, kind, path, value, parse):
        """Make a call and return ``parse(answer)``."""
        await self._reserve_call(kind)
        try:
            answer = await _gateway.call(
                self._gateway, path, value, self.timeout_s
            )
            return _messages.parse_answer(path, parse, answer)
        except kernel.PlatformError:
            self.budget.failures[kind] += 1
            raise

    async def _range(self, fields):
        return await self._call(
            'range', '/v3/kv/range', fields, _messages.parse_range
        )

    async def _txn(self, compare, success):
        value = {'compare': compare, 'success': success}
        return await self._call(
            'txn', '/v3/kv/txn', value, _messages.parse_succeeded
        )

    async def read_config(self):
        """Return the configuration and the revision of its last write.

        Returns
        -------
        body : bytes or None
            JSON of the configuration, not validated; None if there is none.
        revision : int
            0 if there is none.

        Notes
        -----
        A value that this client has seen already is not transferred again,
        because an entry reads every 2 s and an answer with 780 customers
        takes 109 kB.
        """
        fields = {'key': _keys.encode(_keys.CONFIG_KEY)}
        cached = self._cached_config
        if cached is not None:
            fields['min_mod_revision'] = str(cached.revision + 1)
        result = await self._range(fields)
        if cached is not None and not result.kvs and result.count:
            # A store that was recreated numbers its revisions from 1 again.
            if (
                result.cluster_id == self._cached_cluster_id
                and result.revision >= cached.revision
            ):
                return cached.value, cached.revision
            del fields['min_mod_revision']
            result = await self._range(fields)
        self._cached_cluster_id = result.cluster_id
        self._cached_config = result.kvs[0] if result.kvs else None
        return (
            (self._cached_config.value, self._cached_config.revision)
            if result.kvs
            else (None, 0)
        )

    async def replace_config(self, body, expected_revision, base=None):
        """Write a configuration unless another one was written in between.

        Parameters
        ----------
        body : bytes
            JSON of the new configuration.
        expected_revision : int
            Revision that `read_config` returned with the version edited.
        base : Configuration, optional
            The version edited; the history and the error message describe
            the differences from it.

        Raises
        ------
        InvalidInputError
            If `body` is not a valid configuration.
        ConflictError
            If another edit was written; the message lists the differences.
        PlatformError
            If the platform fails. If the answer was lost and the value could
            not be read back either, the configuration may have been written.

        Notes
        -----
        The history record is written in the same transaction, which also
        deletes all but the latest 50 records. If the answer is lost, the
        value is read back and its edit id compared.
        """
        cfg = config.from_json(body)
        if len(body) > MAX_VALUE_BYTES:
            reason = (
                f'expected at most {MAX_VALUE_BYTES} bytes, found {len(body)}'
            )
            raise kernel.InvalidInputError('(body)', reason)
        success = _messages.replacement_operations(cfg, body, base)
        compare = [
            _messages.revision_equals(_keys.CONFIG_KEY, expected_revision)
        ]
        error = kernel.PlatformError(
            'the write was rejected although the revision is unchanged'
        )
        for _ in range(_WRITE_ATTEMPTS):
            try:
                if await self._txn(compare, success):
                    return
            except kernel.PlatformError as exc:
                error = exc
            if await self._is_written(cfg, expected_revision, base):
                return
        raise error

    async def _is_written(self, cfg, expected_revision, base):
        """Tell whether `cfg` was written.

        Raises
        ------
        ConflictError
            If another edit was written instead.
        """
        body, revision = await self.read_config()
        if revision == expected_revision:
            return False
        try:
            current = config.from_json(body or b'')
        except kernel.InvalidInputError as exc:
            text = (
                f'an invalid configuration was written in the meantime: {exc}'
            )
            raise kernel.ConflictError(text) from exc
        if current.edit_id == cfg.edit_id:
            return True
        # This edit may have been written and then replaced by a later one.
        for entry in await self.history():
            if entry.edit_id == cfg.edit_id:
                return True
        raise kernel.ConflictError(_messages.conflict_text(base, current))

    async def history(self):
        """Return the latest versions as `HistoryEntry`, newest first."""
        fields = _keys.prefix_range(_keys.HISTORY_PREFIX)
        result = await self._range(
            fields
            | {
                'limit': str(_messages.HISTORY_VERSIONS),
                'sort_order': 'DESCEND',
                'sort_target': 'KEY',
            }
        )
        entries = [_records.history_from_json(kv.value) for kv in result.kvs]
        return [entry for entry in entries if entry is not None]

    async def list_entries(self):
        """Return the registered entries as a list of `EntryInfo`.

        Malformed records are skipped and counted in `invalid_entries`.
        """
        result = await self._range(_keys.prefix_range(_keys.ENTRIES_PREFIX))
        infos = [_records.entry_info_from_json(kv.value) for kv in result.kvs]
        self.invalid_entries += infos.count(None)
        return [info for info in infos if info is not None]

    async def register(self, info, ttl_s):
        """Write the record of an entry under a lease.

        Parameters
        ----------
        info : EntryInfo
            May change between calls; the lease is kept.
        ttl_s : int
            Time after the last `keep_alive` at which the record expires.
        """
        self._entry_info = info
        self._lease_ttl_s = ttl_s
        if self._lease_id is None:
            self._lease_id = await self._grant_lease()
        try:
            await self._write_record()
        except kernel.PlatformError as exc:
            if _LEASE_NOT_FOUND not in str(exc):
                raise
            self._lease_id = await self._grant_lease()
            await self._write_record()

    async def keep_alive(self):
        """Renew the lease, and register again if it had expired.

        Returns
        -------
        bool
            False if the record had expired and was written again.
        """
        if self._entry_info is None:
            raise kernel.PlatformError(
                'keep_alive: no entry is registered; register one first'
            )
        if self._lease_id is not None:
            ttl_s = await self._call(
                'lease_keepalive',
                '/v3/lease/keepalive',
                {'ID': self._lease_id},
                _messages.parse_ttl_s,
            )
            if ttl_s > 0:
                return True
            self._lease_id = None
        await self.register(self._entry_info, self._lease_ttl_s)
        return False

    async def unregister(self):
        """Delete the record unless another process has replaced it."""
        if self._entry_info is None:
            return
        key = _keys.entry_key(self._entry_info.name)
        value = _keys.encode(_records.entry_info_to_json(self._entry_info))
        compare = {
            'key': _keys.encode(key),
            'target': 'VALUE',
            'result': 'EQUAL',
            'value': value,
        }
        delete = {'requestDeleteRange': {'key': _keys.encode(key)}}
        await self._txn([compare], [delete])
        self._entry_info = None

    async def _grant_lease(self):
        value = {'TTL': str(self._lease_ttl_s)}
        return await self._call(
            'lease_grant', '/v3/lease/grant', value, _messages.parse_lease_id
        )

    async def _write_record(self):
        key = _keys.entry_key(self._entry_info.name)
        body = _records.entry_info_to_json(self._entry_info)
        await self._txn([], [_messages.put(key, body, self._lease_id)])

    async def watch(self):
        """Yield a `Change` for each change below ``/azurepier/``.

        The first change has an empty key and reports that the watch is
        established. No change is missed from then on, so the consumer should
        read the current values at that point.

        Raises
        ------
        PlatformError
            When the watch ends. A connection that goes silent is not
            detected, so the consumer should also read at intervals.
        """
        await self._reserve_call('watch')
        request = {'create_request': _keys.prefix_range(_keys.PREFIX)}
        results = _gateway.stream(
            self._gateway, '/v3/watch', request, self.timeout_s
        )
        try:
            async for result in results:
                for change in _messages.parse_answer(
                    '/v3/watch', _messages.parse_changes, result
                ):
                    self._update_cache(change)
                    yield change
        except kernel.PlatformError:
            self.budget.failures['watch'] += 1
            raise
        finally:
            await results.aclose()

    def _update_cache(self, change):
        """Cache a configuration that the watch delivered."""
        cached = self._cached_config
        if cached is None or change.value is None:
            return
        if change.key == cached.key and change.revision > cached.revision:
            self._cached_config = _messages.KeyValue(
                change.key, change.value, change.revision
            )
