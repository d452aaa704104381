"""Sum of the urgent jobs that arrive at the entries of an endpoint process.

Load pattern: see `azurepier.dispatch._arriving`. The process only adds what
its entries send; an entry that is disconnected no longer counts.
"""

from azurepier.dispatch import arriving


def on_heartbeat(link, msg):
    """Store the arrivals of an entry; heartbeats without them change nothing.

    Heartbeats with an update of the evacuations have none.
    """
    if msg.arriving is not None:
        link.arriving = arriving.decode(msg.arriving)


def others_arriving(node, link):
    """Return the sum of the other entries' arrivals.

    Returns
    -------
    list of Demand or None
        None if no entry sends its arrivals.
    """
    if all(each.arriving is None for each in node.by_conn.values()):
        return None
    return arriving.add(
        other.arriving or ()
        for other in node.by_conn.values()
        if other is not link
    )


def due_update(node, link, now):
    """Return the other entries' arrivals if they have to be sent to an entry.

    The entry goes by the latest ones that it has got.
    """
    if now - link.arriving_sent_at < arriving.SEND_INTERVAL_S:
        return None
    others = others_arriving(node, link)
    if others is not None:
        link.arriving_sent_at = now
    return arriving.encode(others)
