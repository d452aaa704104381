"""Division of an endpoint's free slots among entries, by credits."""

import math

from azurepier.endpoint import _state
from azurepier.kernel import effects
from azurepier.kernel import messages


def free_slots(node):
    """Return the number of free slots, with or without a credit for them.

    0 while no task may start here.
    """
    if not node.healthy or node.draining:
        return 0
    return max(node.options.slots - len(node.running), 0)


def long_free(node, now):
    """Return how many more long-running tasks may start."""
    max_long_running = max(
        math.floor(node.options.slots * _state.LONG_RUNNING_SHARE), 1
    )
    long_running_count = sum(
        1
        for running in node.running.values()
        if running.start.long_running
        or now - running.started_at > _state.LONG_RUNNING_S
    )
    return max(max_long_running - long_running_count, 0)


def _connected_links(node):
    return [link for link in node.links.values() if link.conn is not None]


def _credit_receivers(node):
    """Return the entries that get credits without a request.

    These are the entries that dispatch new jobs. Others need credits only for
    jobs that they still own, and request them.
    """
    links = _connected_links(node)
    return [link for link in links if link.active] or links


def _next_receiver(waiting_links, receivers, owner):
    """Choose the entry that gets the next credit.

    Entries that requested slots come first. Otherwise the credit goes to the
    entry with the fewest credits. It stays with `owner`, which saves a
    message, if `owner` has at most one credit more than that entry.
    """
    if waiting_links:
        return max(
            waiting_links, key=lambda link: link.slots_requested - link.credit
        )
    fewest = min(receivers, key=lambda link: link.credit)
    if owner in receivers and owner.credit <= fewest.credit + 1:
        return owner
    return fewest


def distribute(node, owner=None):
    """Grant credits for free slots that no entry has a credit for.

    Credits without a free slot are taken back.

    Parameters
    ----------
    node : Endpoint
    owner : Link or None
        Entry whose task has just ended.

    Returns
    -------
    set of str
        Incarnations of the waiting entries that got credits and must be
        notified.
    """
    links = _connected_links(node)
    if not links:
        return set()
    spare = free_slots(node) - sum(link.credit for link in links)
    to_notify = set()
    receivers = _credit_receivers(node) if spare > 0 else ()
    for _ in range(spare):
        waiting_links = [link for link in links if link.slots_requested > 0]
        link = _next_receiver(waiting_links, receivers, owner)
        link.granted += 1
        if link.slots_requested > 0:
            link.slots_requested -= 1
            to_notify.add(link.incarnation)
    for _ in range(-spare):
        link = max(links, key=lambda link: link.credit)
        if link.credit <= 0:
            break
        link.granted -= 1
    return to_notify


def admit_ordinary(node, link):
    """Charge an ordinary start to its entry; tell whether it may run.

    If a slot is free, a start without credit uses a credit of the entry that
    has the most.
    """
    link.received += 1
    if link.credit >= 0 and free_slots(node) > 0:
        return True
    if link.credit < 0:
        link.granted += 1
    if free_slots(node) <= 0:
        # An urgent task has occupied the slot since the credit was granted.
        return False
    links = _connected_links(node)
    if free_slots(node) > sum(other.credit for other in links):
        return True
    donor = max(links, key=lambda other: other.credit)
    donor.granted -= 1
    return True


def grant_message(node, link, now):
    """Return the message that notifies an entry of its credits."""
    return messages.Grant(
        granted=link.granted,
        free=free_slots(node),
        long_free=long_free(node, now),
        seen=link.highest_seq,
    )


def reassign_unused(node, link):
    """Move unused credits of other entries to an entry that waits for slots.

    Returns
    -------
    set of str
        Incarnations of the entries that must be notified.
    """
    moved = False
    while link.slots_requested > 0:
        donors = [
            other
            for other in _connected_links(node)
            if other is not link
            and not other.slots_requested
            and other.credit > 0
        ]
        if not donors:
            break
        donor = max(donors, key=lambda other: other.credit)
        donor.granted -= 1
        link.granted += 1
        link.slots_requested -= 1
        moved = True
    return {link.incarnation} if moved else set()


def update_role(node, link, active, queued):
    """Update whether an entry needs credits, as its heartbeat says.

    An entry that neither dispatches new jobs nor has waiting tasks loses its
    credits, since their slots would stay idle.

    Returns
    -------
    set of str
        Incarnations of the entries whose credits changed, to be notified.
    """
    link.active = active
    receivers = _credit_receivers(node)
    if link not in receivers and not queued:
        link.slots_requested = 0
        link.granted = link.received
    old_granted = {other.incarnation: other.granted for other in receivers}
    distribute(node)
    return {
        other.incarnation
        for other in receivers
        if other.granted != old_granted[other.incarnation]
    }


def give_fair_share(node, link):
    """Give a newly connected entry its fair share of the existing credits."""
    links = _credit_receivers(node)
    if link not in links:
        return
    fair_share = free_slots(node) // len(links)
    while link.credit < fair_share:
        donor = max(links, key=lambda other: other.credit)
        if donor.credit <= link.credit + 1:
            return
        donor.granted -= 1
        link.granted += 1


def grant_effects(node, incarnations, now):
    """Return the effects that notify the given entries of their credits."""
    return [
        effects.Send(link.conn, grant_message(node, link, now))
        for link in _connected_links(node)
        if link.incarnation in incarnations
    ]
