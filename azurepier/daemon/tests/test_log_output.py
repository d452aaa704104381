"""Tests of the handler that never blocks."""

import json
import logging
import os

from azurepier.daemon import _log_output
from azurepier.daemon import _logs


class TestUnreadLog:
    def test_bytes_are_limited(self):
        """Guards against few lines that take much memory."""
        reader, writer = os.pipe()
        handler = _log_output.BoundedHandler(writer, clock=lambda: 0.0)
        handler.setFormatter(_logs._Formatter('%(message)s'))
        for number in range(200):
            fields = {'name': 'x', 'msg': 'm', 'path': 'a' * 20_000}
            handler.emit(logging.makeLogRecord({**fields, 'n': number}))
        queued = sum(len(line) for line, _ in handler._queue)
        assert queued <= _log_output.MAX_QUEUED_BYTES
        assert handler._queued_bytes == queued
        # What was written and what waits is read before the next line.
        os.set_blocking(reader, False)
        text = b''
        while handler._queue or handler._unwritten:
            text += os.read(reader, 1_000_000)
            handler._flush()
        assert handler._queued_bytes == 0
        handler.emit(logging.makeLogRecord({'msg': 'last'}))
        text += os.read(reader, 1_000_000)
        lines = [json.loads(line) for line in text.splitlines()]
        assert len(lines) < 100
        suppressed = sum(line.get('suppressed', 0) for line in lines)
        assert len(lines) - 1 + suppressed == 200
