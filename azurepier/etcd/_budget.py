"""Limit of the calls that a process makes to the platform."""

import collections
import time

import attrs

CALLS_PER_S = 5.0
BURST_CALLS = 20.0


@attrs.define
class Budget:
    """Token bucket for calls, with counters for the metrics.

    Parameters
    ----------
    calls_per_s : float
        Rate at which the bucket is refilled.
    burst : float
        Capacity of the bucket: calls allowed at once after a pause.
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    calls, failures : collections.Counter
        Calls made and calls that failed, by kind.
    refused : int
        Calls that were not made because the budget was exhausted.
    """

    calls_per_s: float = CALLS_PER_S
    burst: float = BURST_CALLS
    clock: object = time.monotonic
    calls: collections.Counter = attrs.field(factory=collections.Counter)
    failures: collections.Counter = attrs.field(factory=collections.Counter)
    refused: int = 0
    _tokens: float = attrs.field(init=False)
    _updated_at: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        if not (self.calls_per_s > 0 and self.burst >= 1):
            raise ValueError(
                'expected calls_per_s > 0 and burst >= 1, found '
                f'{self.calls_per_s} and {self.burst}'
            )
        self._tokens = self.burst
        self._updated_at = self.clock()

    def reserve(self, max_wait_s):
        """Reserve one call.

        Parameters
        ----------
        max_wait_s : float
            The call is refused if it would have to wait longer.

        Returns
        -------
        float or None
            Seconds to wait before the call, or None if it is refused.
        """
        now = self.clock()
        refill = max(now - self._updated_at, 0.0) * self.calls_per_s
        self._tokens = min(self._tokens + refill, self.burst)
        self._updated_at = now
        wait_s = max(1.0 - self._tokens, 0.0) / self.calls_per_s
        if wait_s > max_wait_s:
            self.refused += 1
            return None
        self._tokens -= 1.0
        return wait_s
