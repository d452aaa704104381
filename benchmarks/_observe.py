"""Counts messages of the nodes, and those that led to nothing."""

import collections

import attrs

from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages

# A `Grant` that is followed by no start within this time led to none.
USE_WITHIN_S = 1.0
_NOT_RUN = frozenset((kernel.Status.REFUSED, kernel.Status.LEAVING))


@attrs.define
class _Pair:
    """Messages between one entry and one endpoint that may be wasted.

    `grants` holds the time of each `Grant` that no start has followed yet.
    """

    wanted_at: float | None = None
    grants: collections.deque = attrs.field(factory=collections.deque)


@attrs.define
class Traffic:
    """Numbers of messages inside a window of time.

    Parameters
    ----------
    window : (float, float)
        Times of the driver (s).
    sent : Counter
        Messages by type.
    wasted : Counter
        By type; see `waste_per_task` of `benchmarks._measures`.
    starts : int
        Tasks that were started on workers.
    """

    window: tuple
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    wasted: collections.Counter = attrs.field(factory=collections.Counter)
    starts: int = 0
    _pairs: dict = attrs.field(factory=dict)

    def covers(self, at):
        """Tell whether a time lies in the window."""
        return self.window[0] <= at < self.window[1]

    def pair(self, process, conn):
        """Return what is open on a connection of an entry."""
        key = (process.name, conn)
        if key not in self._pairs:
            self._pairs[key] = _Pair()
        return self._pairs[key]


def watch_entry(traffic, process):
    """Count what an entry sends and receives."""
    inner = process.handle

    def handle(node, event, now):
        if type(event) is events.Received:
            react = _RECEIVED.get(type(event.msg))
            if react is not None:
                react(traffic, process, event.conn, event.msg, now)
        out = inner(node, event, now)
        for effect in out:
            if type(effect) is effects.Send:
                _count_sent(traffic, effect, now)
                react = _SENT.get(type(effect.msg))
                if react is not None:
                    react(traffic, process, effect.conn, effect.msg, now)
        return out

    process.handle = handle


def watch_endpoint(traffic, process):
    """Count what an endpoint process sends and starts."""
    inner = process.handle

    def handle(node, event, now):
        out = inner(node, event, now)
        for effect in out:
            if type(effect) is effects.Send:
                _count_sent(traffic, effect, now)
            elif type(effect) is effects.RunTask:
                traffic.starts += traffic.covers(now)
        if type(event) is events.Received:
            if type(event.msg) is messages.CancelTasks:
                _check_cancel(traffic, out, now)
        return out

    process.handle = handle


def _count_sent(traffic, effect, now):
    if traffic.covers(now):
        traffic.sent[type(effect.msg).__name__] += 1


def _check_cancel(traffic, out, now):
    if traffic.covers(now):
        stopped = any(type(effect) is effects.StopTask for effect in out)
        traffic.wasted['CancelTasks'] += not stopped


def _on_want(traffic, process, conn, msg, now):
    pair = traffic.pair(process, conn)
    _waste_want(traffic, pair)
    pair.wanted_at = now


def _waste_want(traffic, pair):
    if pair.wanted_at is not None and traffic.covers(pair.wanted_at):
        traffic.wasted['Want'] += 1
    pair.wanted_at = None


def _on_grant(traffic, process, conn, msg, now):
    pair = traffic.pair(process, conn)
    _waste_old_grants(traffic, pair, now)
    pair.grants.append(now)


def _waste_old_grants(traffic, pair, now):
    while pair.grants and pair.grants[0] < now - USE_WITHIN_S:
        if traffic.covers(pair.grants.popleft()):
            traffic.wasted['Grant'] += 1


def _on_start_batch(traffic, process, conn, msg, now):
    """Match ordinary starts with the `Grant`s that they follow."""
    pair = traffic.pair(process, conn)
    _waste_old_grants(traffic, pair, now)
    for start in msg.starts:
        if not start.urgent and pair.grants:
            pair.grants.popleft()
            pair.wanted_at = None


def _on_outcome_batch(traffic, process, conn, msg, now):
    if traffic.covers(now):
        traffic.wasted['Start'] += sum(
            outcome.status in _NOT_RUN for outcome in msg.outcomes
        )


def finish(traffic):
    """Count what is still open as wasted."""
    for pair in traffic._pairs.values():
        _waste_want(traffic, pair)
        _waste_old_grants(traffic, pair, float('inf'))


_RECEIVED = {
    messages.Grant: _on_grant,
    messages.OutcomeBatch: _on_outcome_batch,
}

_SENT = {
    messages.Want: _on_want,
    messages.StartBatch: _on_start_batch,
}
