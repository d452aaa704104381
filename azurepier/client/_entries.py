"""Selection of entries and a pool of prefetched job ids; no I/O."""

import collections

import attrs

# Time for which an entry that did not respond is avoided.
SUSPECT_DURATION_S = 2.0
INITIAL_BLOCK_SIZE = 64
MAX_BLOCK_SIZE = 1024
# The block size is doubled if the previous block lasted less than this time.
_GROWTH_PERIOD_S = 2.0
# An id is used only within this share of its validity, so that it does not
# expire before a resubmission of its job.
_USABLE_SHARE = 0.5


@attrs.define
class EntrySelector:
    """Selects entries in round-robin order and avoids suspect ones.

    Parameters
    ----------
    urls : tuple of str
        Base URLs of the entries.
    next_index : int
        Index of the entry that is next in order.
    """

    urls: tuple
    next_index: int = 0
    _suspect_until: dict = attrs.field(factory=dict)

    def is_suspect(self, url, now):
        """Tell whether an entry failed recently."""
        return self._suspect_until.get(url, now) > now

    def mark_suspect(self, url, now):
        """Avoid an entry for `SUSPECT_DURATION_S`."""
        self._suspect_until[url] = now + SUSPECT_DURATION_S

    def clear_suspect(self, url):
        """Stop avoiding an entry."""
        self._suspect_until.pop(url, None)

    def pick(self, now, avoid=None):
        """Return the next entry, preferably neither `avoid` nor suspect."""
        count = len(self.urls)
        candidates = [
            self.urls[(self.next_index + i) % count] for i in range(count)
        ]
        self.next_index = (self.next_index + 1) % count
        return min(
            candidates,
            key=lambda url: (url == avoid, self.is_suspect(url, now)),
        )


@attrs.define
class _Block:
    ids: collections.deque
    added_at: float
    usable_until: float


@attrs.define
class IdPool:
    """Pool of unused job ids, by the entry that issued them."""

    _blocks: dict = attrs.field(factory=dict)
    _sizes: dict = attrs.field(factory=dict)

    def take(self, url, now):
        """Remove and return an unused id of an entry, or return None."""
        block = self._blocks.get(url)
        if block is None or not block.ids:
            return None
        if now >= block.usable_until:
            del self._blocks[url]
            return None
        return block.ids.popleft()

    def needs_refill(self, url):
        """Tell whether less than half a block of ids is left."""
        block = self._blocks.get(url)
        remaining = len(block.ids) if block else 0
        return 2 * remaining < self._sizes.get(url, INITIAL_BLOCK_SIZE)

    def next_block_size(self, url, now):
        """Return the number of ids to request from an entry.

        Doubles the block size, up to `MAX_BLOCK_SIZE`, if the last block was
        added a short time ago.
        """
        size = self._sizes.get(url, INITIAL_BLOCK_SIZE)
        block = self._blocks.get(url)
        if block is not None and now - block.added_at < _GROWTH_PERIOD_S:
            size = min(2 * size, MAX_BLOCK_SIZE)
        self._sizes[url] = size
        return size

    def add(self, url, ids, expires_in_s, now):
        """Add a block of ids; those of the previous block are used first."""
        previous = self._blocks.get(url)
        ids = collections.deque(ids)
        usable_s = expires_in_s * _USABLE_SHARE
        usable_until = now + usable_s
        # Merged blocks share the earlier expiry, so a previous block that
        # expires soon is dropped.
        if previous is not None and previous.usable_until > now + usable_s / 2:
            ids.extendleft(reversed(previous.ids))
            usable_until = min(usable_until, previous.usable_until)
        self._blocks[url] = _Block(ids, now, usable_until)

    def clear(self):
        """Discard all ids after the owner of some became unreachable.

        An entry also issues ids of other entries, so a failed request does
        not tell which ids are affected. Discarding unused ids costs nothing,
        whereas submitting under such an id would make another entry search
        for the work of a lost owner.
        """
        self._blocks.clear()
