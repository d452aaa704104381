"""Connections of one listening port: their number and their deadlines."""

import asyncio

from azurepier.daemon import _limits


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

    Attributes
    ----------
    waiting : dict
        Connections that have no request in progress, as keys, in the order in
        which they began to wait; with the time of that (s).
    receiving, receiving_body, unread : dict
        The same of connections that send a header section, of those that send
        a body, and of those that don't read their answers.
    """

    def __init__(self, limits, name, share=1.0):
        self.limits = limits
        self.name = name
        self.max_connections = max(int(limits.max_connections * share), 2)
        self.connections = 0
        self.waiting = {}
        self.receiving = {}
        self.receiving_body = {}
        self.unread = {}
        self._loop = asyncio.get_running_loop()
        self._swept_at = self._loop.time()
        self._loop.call_later(_limits.SWEEP_INTERVAL_S, self._sweep)

    def admit(self):
        """Tell whether there is room for another connection.

        One is closed that has been sending a request, or has left answers
        unread, for `SLOW_REQUEST_S`, else the one that has waited longest for
        its next request.
        """
        if self.connections < self.max_connections:
            return True
        now = self._loop.time()
        for since, age_s in (
            (self.receiving, _limits.SLOW_REQUEST_S),
            (self.receiving_body, _limits.SLOW_REQUEST_S),
            (self.unread, _limits.SLOW_REQUEST_S),
            (self.waiting, 0.0),
            (self.receiving, 0.0),
            (self.receiving_body, 0.0),
        ):
            conn, began_at = next(iter(since.items()), (None, now))
            if conn is not None and now - began_at >= age_s:
                conn.close_for('connections')
                return True
        return False

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
        ):
            expired = []
            for conn, began_at in since.items():
                if now - began_at < limit_s:
                    break
                expired.append(conn)
            for conn in expired:
                conn.close_for(reason)
