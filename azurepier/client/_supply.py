"""Entries to choose from and job ids taken ahead of need; no I/O."""

import collections

import attrs

# An entry that did not answer is avoided for this long (s).
SUSPECT_S = 2.0
FIRST_BLOCK = 64
LARGEST_BLOCK = 1024
# A block that lasts less than this is followed by one twice as large (s).
_SHORT_LIFE_S = 2.0
# Used within this share of its validity, an id does not expire before its
# job is submitted again.
_USABLE_SHARE = 0.5


@attrs.define
class Entries:
    """The entries' base URLs in turn."""

    urls: tuple
    position: int = 0
    _suspect_until: dict = attrs.field(factory=dict)

    def is_suspect(self, url, now):
        """Tell whether an entry failed a short time ago."""
        return self._suspect_until.get(url, now) > now

    def suspect(self, url, now):
        """Avoid an entry for `SUSPECT_S`."""
        self._suspect_until[url] = now + SUSPECT_S

    def clear(self, url):
        """Use an entry again."""
        self._suspect_until.pop(url, None)

    def pick(self, now, avoid=None):
        """Return the next entry, if possible neither suspect nor `avoid`."""
        count = len(self.urls)
        turn = [self.urls[(self.position + i) % count] for i in range(count)]
        self.position = (self.position + 1) % count
        return min(
            turn, key=lambda url: (url == avoid, self.is_suspect(url, now))
        )


@attrs.define
class _Block:
    ids: collections.deque
    taken_at: float
    usable_until: float


@attrs.define
class IdPool:
    """Unused job ids by the entry that issued them."""

    _blocks: dict = attrs.field(factory=dict)
    _sizes: dict = attrs.field(factory=dict)

    def take(self, url, now):
        """Return an unused id of an entry, or None."""
        block = self._blocks.get(url)
        if block is None or not block.ids:
            return None
        if now >= block.usable_until:
            del self._blocks[url]
            return None
        return block.ids.popleft()

    def wants_more(self, url):
        """Tell whether less than half a block is left of an entry's ids."""
        block = self._blocks.get(url)
        left = len(block.ids) if block else 0
        return 2 * left < self._sizes.get(url, FIRST_BLOCK)

    def size(self, url, now):
        """Return the number of ids to ask an entry for."""
        size = self._sizes.get(url, FIRST_BLOCK)
        block = self._blocks.get(url)
        if block is not None and now - block.taken_at < _SHORT_LIFE_S:
            size = min(2 * size, LARGEST_BLOCK)
        self._sizes[url] = size
        return size

    def put(self, url, ids, expires_in_s, now):
        """Add a block; ids of an earlier block are used first."""
        old = self._blocks.get(url)
        ids = collections.deque(ids)
        life_s = expires_in_s * _USABLE_SHARE
        usable_until = now + life_s
        # An old block that ends soon would end the new one with it.
        if old is not None and old.usable_until > now + life_s / 2:
            ids.extendleft(reversed(old.ids))
            usable_until = min(usable_until, old.usable_until)
        self._blocks[url] = _Block(ids, now, usable_until)

    def clear(self):
        """Forget all ids, because the owner of some is out of reach.

        An entry issues ids of other entries too, so the failure of one
        request does not tell which ids are affected. An id that was never
        sent costs nothing, while a submission under it would make another
        entry look for the work of a lost owner.
        """
        self._blocks.clear()
