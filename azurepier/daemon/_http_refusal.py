"""Refusal of requests that find no place, and the times of their return.

Load pattern: more callers than there are places, each of which holds its
place until its job has ended, be it milliseconds or half a minute. A caller
that is cut off doesn't know whether its job has run. All that are refused at a
time would return together if they were told the same time.
"""

import math
import random

import attrs

from azurepier.daemon import _logs

_log = _logs.EventLog('azurepier')
RETRY_MIN_S = 1
RETRY_MAX_S = 8
# Time constant of the rate at which places become free (s).
RATE_WINDOW_S = 2.0
MAX_LOGGED_PATH = 256
_ANSWER = b'HTTP/1.1 %b\r\ncontent-length: %d\r\n%bconnection: close\r\n\r\n%b'
_UNAVAILABLE = b'503 Service Unavailable'
_MAY_HAVE_RUN = b'502 Bad Gateway'
_STATUS_BY_REASON = {
    'header_bytes': b'431 Request Header Fields Too Large',
    'body_bytes': b'413 Content Too Large',
    'framing_bytes': b'400 Bad Request',
    'malformed': b'400 Bad Request',
    'header_timeout': b'408 Request Timeout',
    'body_timeout': b'408 Request Timeout',
    'memory': _UNAVAILABLE,
    'connections': _UNAVAILABLE,
}


def _holds_nothing(method, path):
    return False


def _make_empty_body(retry_after_s):
    return b''


def _has_not_run(path):
    return False


@attrs.frozen
class Refusals:
    """How a port refuses requests.

    Parameters
    ----------
    holds : callable
        ``holds(method, path)`` tells whether a request may hold its place
        until a job has ended. All others are answered without a place.
    make_body : callable
        ``make_body(retry_after_s)`` returns the body of the refusal of such a
        request.
    content_type : bytes
    may_have_run : callable
        ``may_have_run(path)`` tells whether the job was submitted before and
        may have run, so that it gets a 502 instead.
    """

    holds: object = _holds_nothing
    make_body: object = _make_empty_body
    content_type: bytes = b'application/json'
    may_have_run: object = _has_not_run


@attrs.define(eq=False)
class ReturnTimes:
    """Gives refused callers turns at the rate at which places become free.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    freed : float
        Exponentially decaying number of places that became free.
    freed_at : float
        Time of its last update (s).
    last_turn_at : float
        Latest turn that was given (s).
    """

    rng: random.Random = attrs.field(factory=random.Random)
    freed: float = 0.0
    freed_at: float = 0.0
    last_turn_at: float = 0.0

    def record_freed(self, now):
        """Note that a place has become free."""
        self.freed = self._decayed(now) + 1.0
        self.freed_at = now

    def _decayed(self, now):
        return self.freed * math.exp((self.freed_at - now) / RATE_WINDOW_S)

    def next_s(self, now):
        """Return the Retry-After of a caller that is refused now (s).

        Callers without a turn up to `RETRY_MAX_S` return at random times,
        since the rate may rise meanwhile.
        """
        rate = self._decayed(now) / RATE_WINDOW_S
        turn_at = max(self.last_turn_at, now + RETRY_MIN_S)
        if rate * RETRY_MAX_S >= 1.0:
            turn_at += 1.0 / rate
        else:
            turn_at = math.inf
        if turn_at - now > RETRY_MAX_S:
            return self.rng.randint(RETRY_MIN_S, RETRY_MAX_S)
        self.last_turn_at = turn_at
        return max(round(turn_at - now), RETRY_MIN_S)


def make_answer(port, reason):
    """Return the answer to a client that has exceeded a limit.

    Parameters
    ----------
    port : azurepier.daemon._http_port.Port
    reason : str
        The limit.

    Returns
    -------
    bytes
        Empty if the client gets none.
    """
    status = _STATUS_BY_REASON.get(reason)
    if status is None:
        return b''
    headers = b''
    if status is _UNAVAILABLE:
        headers = b'retry-after: %d\r\n' % port.retry_after_s()
    return _ANSWER % (status, 0, headers, b'')


def refuse(port, path):
    """Count and log a request without a place; return its answer.

    Parameters
    ----------
    port : azurepier.daemon._http_port.Port
    path : str

    Returns
    -------
    bytes
    """
    port.limits.count_closed('no_place')
    _log.info(
        'request_refused',
        reason='no_place',
        port=port.name,
        path=path[:MAX_LOGGED_PATH],
    )
    retry_after_s = port.retry_after_s()
    body = port.refusals.make_body(retry_after_s)
    headers = b'content-type: %b\r\n' % port.refusals.content_type
    if port.refusals.may_have_run(path):
        return _ANSWER % (_MAY_HAVE_RUN, len(body), headers, body)
    headers += b'retry-after: %d\r\n' % retry_after_s
    return _ANSWER % (_UNAVAILABLE, len(body), headers, body)
