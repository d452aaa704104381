"""Graceful shutdown of an endpoint process."""

from azurepier.kernel import effects
from azurepier.kernel import messages
from azurepier import membership

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
    if any(link.unacked for link in _awaited_links(node, now)):
        return []
    return stop(node)


def _awaited_links(node, now):
    """Return the entries that may still wait for outcomes."""
    return [
        link
        for link in node.links.values()
        if link.conn is not None
        or now - link.disconnected_at < membership.GIVE_UP_AFTER_S
    ]


def on_run_ended(node, now):
    """Stop after the last run once its outcome is acknowledged."""
    if node.draining and not node.running:
        node.timers.set('acks', now + ACK_WAIT_S)
    return stop_if_drained(node, now)


def addresses_to_dial(node, now):
    """Return the addresses of lost entries that wait for runs or outcomes."""
    busy = {task.link.incarnation for task in node.running.values()}
    return [
        link.address
        for link in _awaited_links(node, now)
        if link.conn is None and (link.unacked or link.incarnation in busy)
    ]


def stop(node):
    """End the drain; the process exits."""
    if node.stopped:
        return []
    node.stopped = True
    return [effects.Stopped()]
