"""How an endpoint's free slots are divided among its entries."""

import math

from azurepier.endpoint import _state
from azurepier.kernel import effects
from azurepier.kernel import messages


def free_slots(node):
    """Return how many slots are physically free."""
    if not node.healthy or node.draining:
        return 0
    return max(node.options.slots - len(node.running), 0)


def long_free(node, now):
    """Return how many more long-running tasks may start."""
    cap = max(math.floor(node.options.slots * _state.LONG_SHARE), 1)
    held = sum(
        1
        for r in node.running.values()
        if r.start.long_running or now - r.started_at > _state.LONG_LIMIT_S
    )
    return max(cap - held, 0)


def _connected(node):
    return [link for link in node.links.values() if link.conn is not None]


def _receivers(node):
    """Return the entries that credits go to.

    Credits go to the entries that dispatch new jobs. Others need some only
    for jobs that they still own, and ask for them.
    """
    links = _connected(node)
    return [link for link in links if link.active] or links


def _next_receiver(waiting, receivers, owner):
    """Choose the entry that gets the next credit.

    Entries that asked for slots come first. Otherwise the credit goes to
    the entry with the fewest; it stays with `owner` while the difference is
    at most one, so that no message is needed.
    """
    if waiting:
        return max(waiting, key=lambda link: link.wants - link.credit)
    fewest = min(receivers, key=lambda link: link.credit)
    if owner in receivers and owner.credit <= fewest.credit + 1:
        return owner
    return fewest


def distribute(node, owner=None):
    """Hand out credits for free slots that nobody has a credit for.

    Parameters
    ----------
    node : Endpoint
    owner : Link or None
        Entry whose task has just ended.

    Returns
    -------
    set of str
        Incarnations of the waiting entries that got credits and must be
        told.
    """
    links = _connected(node)
    if not links:
        return set()
    spare = free_slots(node) - sum(link.credit for link in links)
    told = set()
    receivers = _receivers(node) if spare > 0 else ()
    for _ in range(spare):
        waiting = [link for link in links if link.wants > 0]
        link = _next_receiver(waiting, receivers, owner)
        link.granted += 1
        if link.wants > 0:
            link.wants -= 1
            told.add(link.incarnation)
    for _ in range(-spare):
        link = max(links, key=lambda link: link.credit)
        if link.credit <= 0:
            break
        link.granted -= 1
    return told


def admit_ordinary(node, link):
    """Account for an ordinary start; tell whether it may run.

    A start without credit takes the credit of the entry that has the most,
    if a slot is free.
    """
    link.received += 1
    if link.credit >= 0 and free_slots(node) > 0:
        return True
    if link.credit < 0:
        link.granted += 1
    if free_slots(node) <= 0:
        # The credit was for a slot that an urgent task has taken since.
        return False
    links = _connected(node)
    if free_slots(node) > sum(other.credit for other in links):
        return True
    donor = max(links, key=lambda other: other.credit)
    donor.granted -= 1
    return True


def grant_message(node, link, now):
    """Return the message that tells an entry its credits."""
    return messages.Grant(
        granted=link.granted,
        free=free_slots(node),
        long_free=long_free(node, now),
        seen=link.highest,
    )


def reassign_idle(node, link):
    """Move unused credits of entries that don't wait to one that does.

    Returns
    -------
    set of str
        Incarnations of the entries that must be told.
    """
    moved = False
    while link.wants > 0:
        donors = [
            other
            for other in _connected(node)
            if other is not link and not other.wants and other.credit > 0
        ]
        if not donors:
            break
        donor = max(donors, key=lambda other: other.credit)
        donor.granted -= 1
        link.granted += 1
        link.wants -= 1
        moved = True
    return {link.incarnation} if moved else set()


def update_role(node, link, active, queued):
    """Take over from a heartbeat whether an entry needs credits.

    An entry that neither dispatches new jobs nor has waiting tasks returns
    its credits; otherwise slots would stay idle with it.

    Returns
    -------
    set of str
        Incarnations of the entries whose credits changed and must be told.
    """
    link.active = active
    receivers = _receivers(node)
    if link not in receivers and not queued:
        link.wants = 0
        link.granted = link.received
    before = {other.incarnation: other.granted for other in receivers}
    distribute(node)
    return {
        other.incarnation
        for other in receivers
        if other.granted != before[other.incarnation]
    }


def share_with(node, link):
    """Give a newly connected entry its part of the existing credits."""
    links = _receivers(node)
    if link not in links:
        return
    fair = free_slots(node) // len(links)
    while link.credit < fair:
        donor = max(links, key=lambda other: other.credit)
        if donor.credit <= link.credit + 1:
            return
        donor.granted -= 1
        link.granted += 1


def tell(node, incarnations, now):
    """Return the effects that send credits to the given entries."""
    return [
        effects.Send(link.conn, grant_message(node, link, now))
        for link in _connected(node)
        if link.incarnation in incarnations
    ]
