"""Event loop of the daemon."""

import asyncio
import time

# Linux only. Elsewhere the monotonic clock is used, which on macOS counts the
# time of a suspension.
_CLOCK = getattr(time, 'CLOCK_BOOTTIME', time.CLOCK_MONOTONIC)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock advances while the machine is suspended.

    Leases, retention periods and heartbeat timeouts must include that time.
    """

    def time(self):
        """Return the time since the machine was booted (s)."""
        return time.clock_gettime(_CLOCK)
