"""Connections of one listening port: their number and their deadlines.

Load pattern: callers whose jobs hold most places for as long as they run, and
crowds that open connections and send nothing, or send slowly. Some connections
beyond the places are accepted nevertheless: what needs no place is answered on
them, and what needs one is refused with an answer.
"""

import asyncio
import enum

from azurepier.daemon import _http_refusal
from azurepier.daemon import _limits
from azurepier.daemon import _logs

_log = _logs.EventLog('azurepier')

# Connections of a port without a place: a share of all, and a maximum.
SPARE_SHARE = 0.125
MAX_SPARE = 64
# Time for which a connection stays open after a refusal (s), so that its
# client can read the answer before what it still sends resets the connection.
LINGER_S = 2.0
# Reason to close such a connection, which was counted as it was refused.
REFUSED = 'refused'
# A connection that has been idle for this time gives its place to a request
# (s); one that is new may have sent a request already.
IDLE_GRACE_S = 0.1


# Each request is answered at once, also without a place.
ANSWERS_ALL = _http_refusal.Refusals()


class Place(enum.Enum):
    """Whether a connection counts towards the places of its port."""

    NONE = 0
    REGULAR = 1
    SPARE = 2


class Port:
    """The open connections of one listening port.

    Parameters
    ----------
    limits : azurepier.daemon._limits.Limits
        Limits of the process.
    name : str
        For logs.
    share : float
        Share of the connections of the process that this port may use.
    refusals : azurepier.daemon._http_refusal.Refusals

    Attributes
    ----------
    max_spare, max_regular : int
        Connections without and with a place.
    regular : int
        Connections with a place.
    spare : dict
        Connections without a place, as keys, the oldest first.
    waiting : dict
        Connections that have no request in progress, as keys, in the order in
        which they began to wait; with the time of that (s).
    receiving, receiving_body, unread : dict
        The same of connections that send a header section, of those that send
        a body, and of those that don't read their answers.
    refused : dict
        The same of connections whose request was refused.
    return_times : ReturnTimes
    """

    def __init__(self, limits, name, share=1.0, refusals=ANSWERS_ALL):
        self.limits = limits
        self.name = name
        self.refusals = refusals
        total = max(int(limits.max_connections * share), 2)
        self.max_spare = min(max(int(total * SPARE_SHARE), 1), MAX_SPARE)
        self.max_regular = total - self.max_spare
        self.regular = 0
        self.spare = {}
        self.waiting = {}
        self.receiving = {}
        self.receiving_body = {}
        self.unread = {}
        self.refused = {}
        self.return_times = _http_refusal.ReturnTimes()
        self._loop = asyncio.get_running_loop()
        self._swept_at = self._loop.time()
        self._loop.call_later(_limits.SWEEP_INTERVAL_S, self._sweep)

    def admit(self, conn):
        """Return the place of a new connection.

        Others give way to it in this order: connections that have been idle,
        have been sending a request, or have left answers unread for
        `SLOW_REQUEST_S`, the longest first; connections without a place that
        were refused or have sent no request; then the others without a
        complete request.
        """
        if self.regular >= self.max_regular:
            self._make_room(_limits.SLOW_REQUEST_S, self._slow_ones())
        if self.regular < self.max_regular:
            self.regular += 1
            return Place.REGULAR
        if len(self.spare) >= self.max_spare:
            self._end_idle_spare()
        if len(self.spare) < self.max_spare:
            self.spare[conn] = None
            return Place.SPARE
        self._make_room(
            0.0, (self.waiting, self.receiving, self.receiving_body)
        )
        if self.regular < self.max_regular:
            self.regular += 1
            return Place.REGULAR
        return Place.NONE

    def _slow_ones(self):
        return self.receiving, self.receiving_body, self.unread, self.waiting

    def _make_room(self, min_age_s, candidates):
        """Close the connection with a place that is first in its order."""
        now = self._loop.time()
        for since in candidates:
            for conn, began_at in since.items():
                if now - began_at < min_age_s:
                    break
                if conn not in self.spare:
                    conn.close_for('connections')
                    return

    def _end_idle_spare(self):
        for conn in self.refused:
            conn.close_for(REFUSED)
            return
        for conn in self.spare:
            if conn in self.waiting:
                conn.close_for('connections')
                return

    def release(self, conn, place):
        """Return the place of a connection that has ended."""
        if place is Place.REGULAR:
            self.regular -= 1
        self.spare.pop(conn, None)

    def put(self, conn, since):
        """Put a connection under the deadline of what it does now.

        Parameters
        ----------
        conn : BoundedProtocol
        since : dict or None
            One of this port, but not `unread`; None for no deadline.
        """
        if since is not None and conn in since:
            return
        for other in (
            self.waiting,
            self.receiving,
            self.receiving_body,
            self.refused,
        ):
            other.pop(conn, None)
        if since is not None:
            since[conn] = self._loop.time()

    def record_closed(self, reason, client):
        """Count and log a connection that is closed.

        Parameters
        ----------
        reason : str
        client : tuple of (str, int) or None
        """
        if reason == REFUSED:
            return
        self.limits.count_closed(reason)
        if reason != 'idle_timeout':
            _log.warning(
                'client_closed',
                reason=reason,
                port=self.name,
                client=client and client[0],
            )

    def record_answer(self, place):
        """Note that a request is over, so that its place can be taken."""
        if place is Place.REGULAR:
            self.return_times.record_freed(self._loop.time())

    def promote(self, conn):
        """Give a spare connection with a request a place, if there is one.

        Returns
        -------
        Place
            That of the connection now.
        """
        if self.regular >= self.max_regular:
            self._make_room(IDLE_GRACE_S, (self.waiting,))
        if self.regular >= self.max_regular:
            return Place.SPARE
        del self.spare[conn]
        self.regular += 1
        return Place.REGULAR

    def retry_after_s(self):
        """Return the Retry-After of a client that is refused now (s)."""
        return self.return_times.next_s(self._loop.time())

    def _sweep(self):
        now = self._loop.time()
        # After a pause of the process, what has arrived meanwhile is read
        # before the deadlines count.
        was_paused = now - self._swept_at > 2 * _limits.SWEEP_INTERVAL_S
        self._swept_at = now
        self._loop.call_later(_limits.SWEEP_INTERVAL_S, self._sweep)
        if not was_paused:
            self._close_expired(now)

    def _close_expired(self, now):
        requests = self.limits.requests
        for since, limit_s, reason in (
            (self.waiting, requests.idle_timeout_s, 'idle_timeout'),
            (self.receiving, requests.header_timeout_s, 'header_timeout'),
            (self.receiving_body, _limits.BODY_TIMEOUT_S, 'body_timeout'),
            (self.unread, requests.idle_timeout_s, 'unread_answers'),
            (self.refused, LINGER_S, REFUSED),
        ):
            expired = []
            for conn, began_at in since.items():
                if now - began_at < limit_s:
                    break
                expired.append(conn)
            for conn in expired:
                conn.close_for(reason)
