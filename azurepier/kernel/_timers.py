"""Timers of a node, for which the shell needs only one timer of its own."""

import heapq
import math

import attrs

# Outdated items that the heap may have beyond one for each timer.
MAX_OUTDATED = 64


@attrs.define
class Timers:
    """Pending timers, each identified by a hashable key.

    Setting a timer again replaces its deadline. The heap uses lazy deletion:
    items that do not match the deadline of their key are skipped. Once these
    are the greater part, they are removed: a job that ends within milliseconds
    may have a deadline of an hour.
    """

    _heap: list = attrs.field(factory=list)
    _deadlines: dict = attrs.field(factory=dict)
    _counter: int = 0

    def set(self, key, at):
        """Set the timer `key` to expire at the time `at` (s)."""
        self._deadlines[key] = at
        self._counter += 1
        heapq.heappush(self._heap, (at, self._counter, key))
        if len(self._heap) > 2 * len(self._deadlines) + MAX_OUTDATED:
            self._remove_outdated()

    def _remove_outdated(self):
        current = {}
        for at, counter, key in sorted(self._heap):
            if self._deadlines.get(key) == at:
                current.setdefault(key, (at, counter, key))
        # Sorted items are a heap.
        self._heap = list(current.values())

    def set_no_later_than(self, key, at):
        """Set the timer `key` to `at` (s) unless it expires earlier."""
        if self._deadlines.get(key, math.inf) > at:
            self.set(key, at)

    def cancel(self, key):
        """Remove the timer `key` if it is set."""
        self._deadlines.pop(key, None)

    def next_at(self):
        """Return the earliest deadline (s), or None if no timer is set."""
        heap = self._heap
        while heap:
            at, _, key = heap[0]
            if self._deadlines.get(key) == at:
                return at
            heapq.heappop(heap)
        return None

    def expired(self, now):
        """Remove the timers due at `now` and yield their keys in order."""
        while True:
            at = self.next_at()
            if at is None or at > now:
                return
            _, _, key = heapq.heappop(self._heap)
            del self._deadlines[key]
            yield key

    def __contains__(self, key):
        return key in self._deadlines

    def __len__(self):
        return len(self._deadlines)
