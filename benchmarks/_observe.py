"""Counts the messages of nodes and the wasted ones among them."""

import collections

import attrs

from azurepier import kernel
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages

# A `Grant` without a start within this time is wasted.
GRANT_USE_LIMIT_S = 1.0
_NOT_RUN_STATUSES = frozenset((kernel.Status.REFUSED, kernel.Status.LEAVING))


@attrs.define
class _UnusedMessages:
    """Unused messages between an entry and an endpoint.

    Parameters
    ----------
    wanted_at : float or None
        Time of the last `Want` if no start has used it.
    granted_at : deque of float
        Time of each `Grant` that no start has used.
    """

    wanted_at: float | None = None
    granted_at: collections.deque = attrs.field(factory=collections.deque)


@attrs.define
class Traffic:
    """Number of messages in a time window.

    Parameters
    ----------
    window : (float, float)
        Start and end in virtual time (s).
    sent : Counter
        Messages by type.
    wasted : Counter
        Wasted messages by type; see
        `benchmarks._measures.wasted_messages_per_task`.
    starts : int
        Number of tasks started on workers.
    """

    window: tuple
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    wasted: collections.Counter = attrs.field(factory=collections.Counter)
    starts: int = 0
    _unused_messages: dict = attrs.field(factory=dict)

    def in_window(self, at):
        """Return whether a time is in the window."""
        return self.window[0] <= at < self.window[1]

    def unused_messages(self, process, conn):
        """Return the unused messages of a connection of an entry."""
        key = (process.name, conn)
        if key not in self._unused_messages:
            self._unused_messages[key] = _UnusedMessages()
        return self._unused_messages[key]


def watch_entry(traffic, process):
    """Count the messages that an entry sends and the wasted ones."""
    handle_event = process.handle

    def handle(node, event, now):
        if type(event) is events.Received:
            observe = _RECEIVED_HANDLERS.get(type(event.msg))
            if observe is not None:
                observe(traffic, process, event.conn, event.msg, now)
        out_effects = handle_event(node, event, now)
        for effect in out_effects:
            if type(effect) is effects.Send:
                _count_sent(traffic, effect, now)
                observe = _SENT_HANDLERS.get(type(effect.msg))
                if observe is not None:
                    observe(traffic, process, effect.conn, effect.msg, now)
        return out_effects

    process.handle = handle


def watch_endpoint(traffic, process):
    """Count the messages and task starts of an endpoint process."""
    handle_event = process.handle

    def handle(node, event, now):
        out_effects = handle_event(node, event, now)
        for effect in out_effects:
            if type(effect) is effects.Send:
                _count_sent(traffic, effect, now)
            elif type(effect) is effects.RunTask:
                traffic.starts += traffic.in_window(now)
        if type(event) is events.Received:
            if type(event.msg) is messages.CancelTasks:
                _count_useless_cancel(traffic, out_effects, now)
        return out_effects

    process.handle = handle


def _count_sent(traffic, effect, now):
    if traffic.in_window(now):
        traffic.sent[type(effect.msg).__name__] += 1


def _count_useless_cancel(traffic, out_effects, now):
    if traffic.in_window(now):
        stopped = any(
            type(effect) is effects.StopTask for effect in out_effects
        )
        traffic.wasted['CancelTasks'] += not stopped


def _on_want(traffic, process, conn, msg, now):
    unused = traffic.unused_messages(process, conn)
    _drop_want(traffic, unused)
    unused.wanted_at = now


def _drop_want(traffic, unused):
    if unused.wanted_at is not None and traffic.in_window(unused.wanted_at):
        traffic.wasted['Want'] += 1
    unused.wanted_at = None


def _on_grant(traffic, process, conn, msg, now):
    unused = traffic.unused_messages(process, conn)
    _drop_expired_grants(traffic, unused, now)
    unused.granted_at.append(now)


def _drop_expired_grants(traffic, unused, now):
    while unused.granted_at and unused.granted_at[0] < now - GRANT_USE_LIMIT_S:
        if traffic.in_window(unused.granted_at.popleft()):
            traffic.wasted['Grant'] += 1


def _on_start_batch(traffic, process, conn, msg, now):
    """Match starts that aren't urgent with the grants that they use."""
    unused = traffic.unused_messages(process, conn)
    _drop_expired_grants(traffic, unused, now)
    for start in msg.starts:
        if not start.urgent and unused.granted_at:
            unused.granted_at.popleft()
            unused.wanted_at = None


def _on_outcome_batch(traffic, process, conn, msg, now):
    if traffic.in_window(now):
        traffic.wasted['Start'] += sum(
            outcome.status in _NOT_RUN_STATUSES for outcome in msg.outcomes
        )


def close(traffic):
    """Count the messages that are still unused as wasted."""
    for unused in traffic._unused_messages.values():
        _drop_want(traffic, unused)
        _drop_expired_grants(traffic, unused, float('inf'))


_RECEIVED_HANDLERS = {
    messages.Grant: _on_grant,
    messages.OutcomeBatch: _on_outcome_batch,
}

_SENT_HANDLERS = {
    messages.Want: _on_want,
    messages.StartBatch: _on_start_batch,
}
