"""Helpers for tests that use an event loop."""

import asyncio
import functools


def in_loop(test):
    """Let a test that is a coroutine function run in a new loop."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(test(*args, **kwargs))

    return run


async def until(condition):
    """Wait until a condition holds; the test fails if it never does."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError('the condition did not come true')
