"""Graceful shutdown of an endpoint process."""

from azurepier.kernel import effects
from azurepier.kernel import messages

# How long a drain waits for entries to acknowledge the last outcomes (s).
ACK_WAIT_S = 3.0


def on_drain(node, event, now):
    """Announce the departure to the entries and admit no more starts."""
    if node.draining:
        return []
    node.draining = True
    node.timers.set('acks', now + ACK_WAIT_S)
    out = [
        effects.Send(link.conn, messages.Leave(reason='drain'))
        for link in node.by_conn.values()
    ]
    out.append(effects.Record('draining', endpoint=node.options.name))
    return out + stop_if_drained(node, now)


def on_acks_timer(node, _, now):
    """Stop without the missing acknowledgements unless a task still runs."""
    if node.running:
        node.timers.set('acks', now + ACK_WAIT_S)
        return []
    return stop(node)


def stop_if_drained(node, now):
    """Stop once all tasks have ended and their outcomes are acknowledged."""
    if not node.draining or node.running:
        return []
    if any(link.unacked for link in node.by_conn.values()):
        return []
    return stop(node)


def stop(node):
    """End the drain; the process exits."""
    if node.stopped:
        return []
    node.stopped = True
    return [effects.Stopped()]
