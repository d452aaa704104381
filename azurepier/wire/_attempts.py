"""Opening a connection with several attempts at the same time."""

import asyncio
from asyncio import staggered
import functools

# Time after which attempts without an answer are given up (s). Round trips
# take up to 0.6 s on a link that is delayed or full.
CONNECT_TIMEOUT_S = 1.5


async def connect(
    factory, host, port, interval_s, timeout_s=CONNECT_TIMEOUT_S
):
    """Open a TCP connection.

    The kernel retransmits a lost SYN only after 1 s. So another attempt is
    made after each interval, which reaches a host sooner that has just
    returned; the earlier ones go on, since an answer may take longer than the
    interval.

    Parameters
    ----------
    factory : callable
        Returns the protocol of a new connection.
    host : str
    port : int
    interval_s : float
        Time between two attempts (s).
    timeout_s : float, optional
        Time after which all attempts are given up (s).

    Returns
    -------
    asyncio.Protocol

    Raises
    ------
    OSError
        If an attempt has failed.
    TimeoutError
        If none was answered in time.
    """
    attempt = functools.partial(_attempt, factory, host, port)
    count = max(round(timeout_s / interval_s), 1)
    async with asyncio.timeout(timeout_s):
        result, _, excs = await staggered.staggered_race(
            [attempt] * count, interval_s
        )
    conn, exc = result or (None, excs[0])
    if exc is not None:
        raise exc
    return conn


async def _attempt(factory, host, port):
    """Return a connection and None, or None and an error.

    A refusal ends the race, since further attempts would be refused too.
    """
    loop = asyncio.get_running_loop()
    try:
        _, conn = await loop.create_connection(factory, host, port)
    except OSError as exc:
        return None, exc
    return conn, None
