"""Logging handler that never blocks the event loop."""

import collections
import logging
import os
import time

# Maximum number of lines and of bytes queued for a slow reader; the oldest
# are dropped first.
MAX_QUEUED_LINES = 2000
MAX_QUEUED_BYTES = 1024 * 1024
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
        # Encoded lines, with the number of dropped lines that each reports.
        self._queue = collections.deque()
        self._queued_bytes = 0
        # Rest of the line that is being written.
        self._unwritten = b''

    def emit(self, record):
        """Write or queue a record, or count it as suppressed."""
        now = self._clock()
        tokens = self._tokens + (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens, self._refilled_at = min(tokens, MAX_BURST_LINES), now
        if self._tokens < 1.0:
            self.suppressed += 1
            return
        self._tokens -= 1.0
        reported, self.suppressed = self.suppressed, 0
        if reported:
            record.suppressed = reported
        try:
            line = self.format(record) + '\n'
        except Exception:
            self.handleError(record)
            return
        data = line.encode()
        self._queue.append((data, reported))
        self._queued_bytes += len(data)
        while (
            len(self._queue) > MAX_QUEUED_LINES
            or self._queued_bytes > MAX_QUEUED_BYTES
        ):
            self._drop_oldest()
        self._flush()

    def _drop_oldest(self):
        """Drop a line, and count it and those that it has counted."""
        data, reported = self._queue.popleft()
        self._queued_bytes -= len(data)
        self.suppressed += 1 + reported

    def _flush(self):
        while self._unwritten or self._queue:
            if not self._unwritten:
                # A line that is being written is never dropped.
                self._unwritten, _ = self._queue.popleft()
                self._queued_bytes -= len(self._unwritten)
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; the process continues without a log.
                self._unwritten = b''
                self.suppressed += 1
                while self._queue:
                    self._drop_oldest()
                return
            self._unwritten = self._unwritten[written:]
