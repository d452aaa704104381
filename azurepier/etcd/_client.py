"""Client for the platform's key-value service."""

import asyncio

from azurepier import config
from azurepier.etcd import _budget
from azurepier.etcd import _gateway
from azurepier.etcd import _keys
from azurepier.etcd import _messages
from azurepier.etcd import _records
from azurepier import kernel

CALL_LIMIT_S = 2.0
MAX_VALUE_BYTES = 1_000_000
# After a lost answer the write is settled by reading; it is sent again only
# if the reading proves that it did not take effect.
_WRITE_ATTEMPTS = 3
_NO_LEASE = 'lease not found'


class Client:
    """Reads and writes azurepier's keys in the platform.

    Each call counts towards the platform's limits, and a pending watch
    counts as one. An entry has a budget of 5 calls/s with a burst of 20; a
    call that exceeds it waits, and fails if it would wait longer than its
    time-out.

    Parameters
    ----------
    base_url : str
        URL of the gateway, such as ``http://10.0.0.5:2379``.
    rng : random.Random
        Makes the edit ids.
    limit_s : float
        Time-out of each call.
    budget : Budget, optional
        Call budget with the counters of calls by kind.

    Raises
    ------
    InvalidInputError
        If `base_url` is not an HTTP URL.

    Notes
    -----
    All methods raise `PlatformError` for every fault of the platform. They
    never repeat a call by themselves except where they say so.
    """

    def __init__(self, base_url, rng, limit_s=CALL_LIMIT_S, budget=None):
        self.rng = rng
        self.limit_s = limit_s
        self.budget = budget or _budget.Budget()
        self.invalid_entries = 0
        self._gateway = _gateway.connect(base_url)
        self._info = None
        self._ttl_s = 0
        self._lease = None
        # The configuration that was last seen, and in which store.
        self._seen = None
        self._store = ''

    async def close(self):
        """Close all connections; a running watch ends with an error."""
        await _gateway.close(self._gateway)

    def new_edit_id(self):
        """Return a random edit id."""
        return f'{self.rng.getrandbits(64):016x}'

    # Calls

    async def _take(self, kind):
        wait_s = self.budget.reserve(self.limit_s)
        if wait_s is None:
            raise kernel.PlatformError(f'{kind}: the call budget is used up')
        if wait_s:
            await asyncio.sleep(wait_s)
        self.budget.calls[kind] += 1

    async def _call(self, kind, path, value, read):
        """Make a call and return ``read(answer)``."""
        await self._take(kind)
        try:
            answer = await _gateway.call(
                self._gateway, path, value, self.limit_s
            )
            return _messages.understood(path, read, answer)
        except kernel.PlatformError:
            self.budget.failures[kind] += 1
            raise

    async def _range(self, fields):
        return await self._call(
            'range', '/v3/kv/range', fields, _messages.read_found
        )

    async def _txn(self, compare, success):
        value = {'compare': compare, 'success': success}
        return await self._call(
            'txn', '/v3/kv/txn', value, _messages.read_succeeded
        )

    # Configuration

    async def read_config(self):
        """Return the configuration and the revision of its last write.

        Returns
        -------
        body : bytes or None
            JSON of a configuration, unchecked; None if there is none.
        revision : int
            0 if there is none.

        Notes
        -----
        A value that this client has seen is not sent again: an entry reads
        every 2 s, and 780 customers are 109 kB in an answer.
        """
        fields = {'key': _keys.encode(_keys.CONFIG_KEY)}
        seen = self._seen
        if seen is not None:
            fields['min_mod_revision'] = str(seen.revision + 1)
        found = await self._range(fields)
        if seen is not None and not found.kvs and found.count:
            # A store that was set up anew counts its revisions from 1.
            if found.store == self._store and found.revision >= seen.revision:
                return seen.value, seen.revision
            del fields['min_mod_revision']
            found = await self._range(fields)
        self._store = found.store
        self._seen = found.kvs[0] if found.kvs else None
        return (
            (self._seen.value, self._seen.revision) if found.kvs else (None, 0)
        )

    async def replace_config(self, body, expected_revision, base=None):
        """Write a configuration if nobody has written meanwhile.

        Parameters
        ----------
        body : bytes
            JSON of the new configuration.
        expected_revision : int
            As returned by `read_config` with the version that was edited.
        base : Configuration, optional
            The version that was edited; the history and the error message
            describe changes against it.

        Raises
        ------
        InvalidInputError
            If `body` is not a valid configuration.
        ConflictError
            If another edit was written; it says what differs.
        PlatformError
            If the platform fails. If the answer was lost and reading back
            failed too, the configuration may have been written.

        Notes
        -----
        The history record is written in the same transaction, which also
        deletes the records before the latest 50. After a lost answer the
        value is read back and its edit id compared.
        """
        cfg = config.from_json(body)
        if len(body) > MAX_VALUE_BYTES:
            reason = f'larger than {MAX_VALUE_BYTES} bytes'
            raise kernel.InvalidInputError('(body)', reason)
        success = _messages.replacement(cfg, body, base)
        compare = [_messages.unchanged(_keys.CONFIG_KEY, expected_revision)]
        fault = kernel.PlatformError('the comparison failed without a cause')
        for _ in range(_WRITE_ATTEMPTS):
            try:
                if await self._txn(compare, success):
                    return
            except kernel.PlatformError as exc:
                fault = exc
            if await self._is_written(cfg, expected_revision, base):
                return
        raise fault

    async def _is_written(self, cfg, expected_revision, base):
        """Tell whether `cfg` was written; raise if another edit was."""
        body, revision = await self.read_config()
        if revision == expected_revision:
            return False
        try:
            current = config.from_json(body or b'')
        except kernel.InvalidInputError as exc:
            text = f'an invalid value was written meanwhile: {exc}'
            raise kernel.ConflictError(text) from exc
        if current.edit_id == cfg.edit_id:
            return True
        # The own edit may have been written and replaced since.
        for entry in await self.history():
            if entry.edit_id == cfg.edit_id:
                return True
        raise kernel.ConflictError(_messages.conflict(base, current))

    async def history(self):
        """Return the latest versions, newest first, as `HistoryEntry`."""
        fields = _keys.below(_keys.HISTORY_PREFIX)
        found = await self._range(
            fields
            | {
                'limit': str(_messages.HISTORY_VERSIONS),
                'sort_order': 'DESCEND',
                'sort_target': 'KEY',
            }
        )
        entries = [_records.history_from_json(kv.value) for kv in found.kvs]
        return [entry for entry in entries if entry is not None]

    # Entries

    async def list_entries(self):
        """Return the registered entries as a list of `EntryInfo`.

        Malformed records are left out and counted in `invalid_entries`.
        """
        found = await self._range(_keys.below(_keys.ENTRIES_PREFIX))
        infos = [_records.info_from_json(kv.value) for kv in found.kvs]
        self.invalid_entries += infos.count(None)
        return [info for info in infos if info is not None]

    async def register(self, info, ttl_s):
        """Announce an entry until its lease expires.

        Parameters
        ----------
        info : EntryInfo
            May change from call to call; the lease is kept.
        ttl_s : int
            The record disappears this long after the last `keep_alive`.
        """
        self._info = info
        self._ttl_s = ttl_s
        if self._lease is None:
            self._lease = await self._grant()
        try:
            await self._put_info()
        except kernel.PlatformError as exc:
            if _NO_LEASE not in str(exc):
                raise
            self._lease = await self._grant()
            await self._put_info()

    async def keep_alive(self):
        """Renew the lease, and register again if it had expired.

        Returns
        -------
        bool
            False if the record had disappeared and was written again.
        """
        if self._info is None:
            raise kernel.PlatformError('keep_alive: nothing is registered')
        if self._lease is not None:
            ttl_s = await self._call(
                'lease_keepalive',
                '/v3/lease/keepalive',
                {'ID': self._lease},
                _messages.read_ttl,
            )
            if ttl_s > 0:
                return True
            self._lease = None
        await self.register(self._info, self._ttl_s)
        return False

    async def unregister(self):
        """Delete the record unless another process has replaced it."""
        if self._info is None:
            return
        key = _keys.entry_key(self._info.name)
        value = _keys.encode(_records.info_to_json(self._info))
        compare = {
            'key': _keys.encode(key),
            'target': 'VALUE',
            'result': 'EQUAL',
            'value': value,
        }
        delete = {'requestDeleteRange': {'key': _keys.encode(key)}}
        await self._txn([compare], [delete])
        self._info = None

    async def _grant(self):
        value = {'TTL': str(self._ttl_s)}
        return await self._call(
            'lease_grant', '/v3/lease/grant', value, _messages.read_lease
        )

    async def _put_info(self):
        key = _keys.entry_key(self._info.name)
        body = _records.info_to_json(self._info)
        await self._txn([], [_messages.put(key, body, self._lease)])

    # Watch

    async def watch(self):
        """Yield a `Change` for each change below ``/azurepier/``.

        The first change has an empty key: from then on no change is missed,
        so the consumer should read what it needs.

        Raises
        ------
        PlatformError
            When the watch ends. A connection that goes silent is not
            noticed; the consumer should read now and then.
        """
        await self._take('watch')
        request = {'create_request': _keys.below(_keys.PREFIX)}
        results = _gateway.stream(
            self._gateway, '/v3/watch', request, self.limit_s
        )
        try:
            async for result in results:
                for change in _messages.understood(
                    '/v3/watch', _messages.read_changes, result
                ):
                    self._note(change)
                    yield change
        except kernel.PlatformError:
            self.budget.failures['watch'] += 1
            raise
        finally:
            await results.aclose()

    def _note(self, change):
        """Remember a configuration that the watch has brought."""
        seen = self._seen
        if seen is None or change.value is None:
            return
        if change.key == seen.key and change.revision > seen.revision:
            self._seen = _messages.KeyValue(
                change.key, change.value, change.revision
            )
