"""Tests of reading the platform."""

import random

from azurepier.daemon import _platform
from azurepier.kernel import events


class _Node:
    """Records the configurations that it handles after some failures."""

    def __init__(self, failures):
        self.failures = failures
        self.handled = []

    def feed(self, event):
        if self.failures:
            self.failures -= 1
            return False
        self.handled.append(event)
        return True


class TestConfiguration:
    def test_version_whose_handler_failed(self):
        """Guards against a version that is read and never applied."""
        node = _Node(failures=2)
        reader = _platform.Reader(None, node.feed, random.Random(1))
        for _ in range(5):
            _platform.feed_config(reader, b'v2')
        assert node.handled == [events.ConfigSeen(b'v2')]
