"""Starts of tasks that may have crashed a worker.

Load pattern: a task crashes each worker that starts it. Entries start the
tasks that may be the cause again, several at the same time and each without
knowledge of the others. The endpoint process sees all of them: it starts one
at a time, with no other start shortly before or after.

It remembers the tasks that were lost here and refuses each of them once to
every entry that doesn't know. So a count survives the entry that held it.
"""

from azurepier.dispatch import bounds

# Reason of a refusal; entries act on it.
SUSPECT_THERE = 'suspect_there'


def refusal_reason(node, link, order, now):
    """Return why a task must not be started here, or None."""
    lost = node.lost_tasks.get(order.task)
    if lost is not None and link.incarnation not in lost.told:
        lost.told.add(link.incarnation)
        return lost.reason
    if not has_room_for_others(node, now):
        return SUSPECT_THERE
    last_start_age_s = now - node.last_started_at
    if order.suspicion and (
        last_start_age_s < bounds.SUSPECT_ALONE_S
        or any(run.order.suspicion for run in node.runs.values())
    ):
        return SUSPECT_THERE
    return None


def record_start(node, order, now):
    """Record a start; that of a suspect task delays further ones."""
    node.last_started_at = now
    if order.suspicion:
        node.alone_until = now + bounds.SUSPECT_ALONE_S
        node.timers.set('alone', node.alone_until)


def has_room_for_others(node, now):
    """Return whether no task has to be alone on the worker now."""
    return now >= node.alone_until and not any(
        run.order.suspicion and run.order.suspicion >= bounds.LOSSES_MAX
        for run in node.runs.values()
    )


def on_alone_timer(node, _, now):
    """Report the room of the worker after the start of a suspect task."""
    node.changed = True
    return []
