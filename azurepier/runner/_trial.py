"""Trials of a worker that fails, stands still or has turned slow.

Load pattern: a worker on which tasks fail or stand still while its status is
good, or which has turned slow, for some seconds. Nothing shows that it has
recovered but a task, and a task that is tried too early makes its job late.
The endpoint process sees the tasks of all entries, so it offers the worker
to one entry at a time, for a single task, at growing intervals. If each
entry tried on its own, the number of late jobs would grow with the entries.
"""

from azurepier.kernel import effects
from azurepier.runner import _progress

# Failed or standing tasks of distinct jobs in a row that make a worker
# suspect: one job may be at fault itself.
FAILURES_MAX = 2
# Time from the suspicion to the first trial, and the longest time between
# two; each pause is twice as long as the one before (s). The longest is
# about half of the time for which workers usually stay at fault.
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 2.0
# An entry that has no task for a trial leaves it to the next one (s).
OFFER_S = 0.25
# More tasks that an entry sends for an offer arrive within this time (s).
USED_S = 0.02


def fails(node):
    """Tell whether the worker fails its tasks or lets them stand still."""
    return len(node.failed_jobs) >= FAILURES_MAX


def is_suspect(node):
    """Tell whether only a trial can show that the worker is sound."""
    return fails(node) or _progress.is_slow(node)


def update(node, now):
    """Begin or end the suspicion after something has changed."""
    trial = node.trial
    suspect = is_suspect(node)
    if suspect == trial.suspected:
        return []
    trial.suspected = suspect
    trial.link = None
    trial.pause_s = PAUSE_MIN_S
    node.timers.cancel('trial')
    if suspect:
        node.timers.set('trial', now + PAUSE_MIN_S)
    fields = {
        'failures': len(node.failed_jobs),
        'speed': round(_progress.speed(node, now), 2),
    }
    event = 'worker_suspect' if suspect else 'worker_sound'
    return [effects.Log(event, fields)]


def on_timer(node, _, now):
    """Offer the worker to the next entry."""
    trial = node.trial
    if not trial.suspected:
        return []
    busy_again = not fails(node) and now - node.pace.at < PAUSE_MIN_S
    if busy_again or not node.by_conn:
        # What runs shows the speed without a trial.
        trial.link = None
        node.timers.set('trial', now + trial.pause_s)
        return []
    links = sorted(node.by_conn.values(), key=lambda link: link.name)
    trial.turn = (trial.turn + 1) % len(links)
    trial.link = links[trial.turn]
    node.timers.set('trial', now + OFFER_S)
    node.changed = True
    return []


def refuses(node, link, now):
    """Tell whether a task has to be refused because of the suspicion."""
    trial = node.trial
    if not trial.suspected:
        return False
    if fails(node):
        return trial.link is not link
    return trial.used_by is link and now - trial.used_at < USED_S


def note_start(node, link, now):
    """Use an offer up."""
    trial = node.trial
    if trial.link is not link:
        return
    trial.link = None
    trial.used_by, trial.used_at = link, now
    node.timers.set('trial', now + trial.pause_s)
    trial.pause_s = min(2 * trial.pause_s, PAUSE_MAX_S)
    node.changed = True


def offered_speed(node, link, now):
    """Return the speed that an entry should count on."""
    trial = node.trial
    if trial.suspected and trial.link is link:
        return _progress.usual_speed(node)
    return _progress.speed(node, now)
