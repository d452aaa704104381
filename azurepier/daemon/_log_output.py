"""Log lines on standard output that never block the event loop."""

import collections
import logging
import os
import time

# Lines that wait for a reader who is slow; older ones are dropped first.
WAITING_LINES = 2000
# Lines of one process a second on average, and at once.
LINES_PER_S = 400.0
BURST_LINES = 2000.0


class BoundedHandler(logging.Handler):
    """Writes records to a file descriptor without waiting.

    Lines over the rate, or that the reader does not take, are counted; the
    next line that is written has their number as `suppressed`.

    Parameters
    ----------
    fd : int
        Set to non-blocking.
    clock : callable
        Time in seconds.
    """

    def __init__(self, fd, clock=time.monotonic):
        super().__init__()
        os.set_blocking(fd, False)
        self.suppressed = 0
        self._fd = fd
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        self._waiting = collections.deque()

    def emit(self, record):
        """Write a record, or count it as suppressed."""
        now = self._clock()
        tokens = self._tokens + (now - self._at) * LINES_PER_S
        self._tokens, self._at = min(tokens, BURST_LINES), now
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
        self._waiting.append(line.encode())
        while len(self._waiting) > WAITING_LINES:
            self._waiting.popleft()
            self.suppressed += 1
        self._write()

    def _write(self):
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; the process goes on.
                self.suppressed += len(self._waiting)
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()
