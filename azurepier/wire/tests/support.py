"""Helpers for tests that run an event loop."""

import asyncio
import functools


def in_loop(test):
    """Run a test that is a coroutine function in a new event loop."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        asyncio.run(test(*args, **kwargs))

    return run


async def until(condition):
    """Wait until a condition holds; fail the test after about 10 s."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError('the condition did not hold in time')
