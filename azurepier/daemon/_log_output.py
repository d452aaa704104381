"""Logging handler that never blocks the event loop."""

import collections
import logging
import os
import time

# Maximum number of lines queued for a slow reader; the oldest are dropped
# first.
MAX_QUEUED_LINES = 2000
# Token bucket for the lines of one process: average rate and burst.
MAX_LINES_PER_S = 400.0
MAX_BURST_LINES = 2000.0


class BoundedHandler(logging.Handler):
    """Writes records to a non-blocking file descriptor.

    Lines above the rate limit, and lines that the reader does not consume,
    are dropped and counted; the next line that is written has their number
    as `suppressed`.

    Parameters
    ----------
    fd : int
        Is switched to non-blocking mode.
    clock : callable
        Returns the time (s).
    """

    def __init__(self, fd, clock=time.monotonic):
        super().__init__()
        os.set_blocking(fd, False)
        self.suppressed = 0
        self._fd = fd
        self._clock = clock
        self._tokens = MAX_BURST_LINES
        self._refilled_at = clock()
        self._queue = collections.deque()

    def emit(self, record):
        """Write or queue a record, or count it as suppressed."""
        now = self._clock()
        tokens = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens, self._refilled_at = min(tokens, MAX_BURST_LINES), now
        if self._tokens < 1.0:
            self.suppressed += 1
            return
        self._tokens -= 1.0
        if self.suppressed:
            record.suppressed = self.suppressed
            self.suppressed = 0
        try:
            line = self.format(record) + '\n'
        except Exception:
            self.handleError(record)
            return
        self._queue.append(line.encode())
        while len(self._queue) > MAX_QUEUED_LINES:
            self._queue.popleft()
            self.suppressed += 1
        self._flush()

    def _flush(self):
        while self._queue:
            line = self._queue[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the process continues without a log.
                self.suppressed += len(self._queue)
                self._queue.clear()
                return
            if written < len(line):
                self._queue[0] = line[written:]
                return
            self._queue.popleft()
