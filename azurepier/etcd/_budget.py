"""How many calls a process may make to the platform."""

import collections
import time

import attrs

CALLS_PER_S = 5.0
BURST_CALLS = 20.0


@attrs.define
class Budget:
    """Token bucket of calls, with counters that the metrics read.

    Parameters
    ----------
    calls_per_s : float
        Rate at which calls are allowed again.
    burst : float
        Calls allowed at once after a pause.
    clock : callable
        Monotonic time in seconds.

    Attributes
    ----------
    calls, failures : collections.Counter
        Calls made and calls without a usable answer, by kind.
    refused : int
        Calls that were not made because the budget was used up.
    """

    calls_per_s: float = CALLS_PER_S
    burst: float = BURST_CALLS
    clock: object = time.monotonic
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    failures: collections.Counter = attrs.field(factory=collections.Counter)
    refused: int = 0
    _tokens: float = attrs.field(init=False)
    _at: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        if not (self.calls_per_s > 0 and self.burst >= 1):
            raise ValueError('expected calls_per_s > 0 and burst >= 1')
        self._tokens = self.burst
        self._at = self.clock()

    def reserve(self, longest_wait_s):
        """Take one call from the budget.

        Parameters
        ----------
        longest_wait_s : float
            The call is not worth making after a longer wait.

        Returns
        -------
        float or None
            Seconds to wait before the call, or None if it is refused.
        """
        now = self.clock()
        earned = max(now - self._at, 0.0) * self.calls_per_s
        self._tokens = min(self._tokens + earned, self.burst)
        self._at = now
        wait_s = max(1.0 - self._tokens, 0.0) / self.calls_per_s
        if wait_s > longest_wait_s:
            self.refused += 1
            return None
        self._tokens -= 1.0
        return wait_s
