"""Trials of a worker that fails its tasks, stalls or has turned slow.

Load pattern: for some seconds, tasks fail, stall or run slowly on a worker
that reports itself healthy. Only a task can show that the worker has
recovered, and a task that is sent too early makes its job late. As with a
half-open circuit breaker, the endpoint process therefore offers the worker to
one entry at a time, for a single task and with exponential backoff. It sees
the tasks of all entries; if each entry tried the worker on its own, the number
of late jobs would grow with the number of entries.
"""

from azurepier.kernel import effects
from azurepier.runner import _evacuation
from azurepier.runner import _progress

# A worker is suspect after tasks of this many distinct jobs have failed or
# stalled without a success in between. A single job may be faulty itself.
FAILURES_MAX = 2
# Delay before the first trial, doubled after each trial up to the maximum (s).
# The maximum is about half of the usual duration of a worker's fault.
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 2.0
# An offer that is not used for this time passes to the next entry (s).
OFFER_TIMEOUT_S = 0.25
# Time after the first task of an offer within which further tasks of the same
# entry count as sent for that offer (s).
USED_OFFER_WINDOW_S = 0.02


def is_failing(node):
    """Return whether the tasks on the worker fail or stall."""
    return len(node.failed_jobs) >= FAILURES_MAX


def is_suspect(node):
    """Return whether the worker fails or is slow and needs a passed trial."""
    return is_failing(node) or _progress.is_slow(node)


def update_suspicion(node, now):
    """Start or end the trials after a change of the worker's state."""
    trial = node.trial
    suspect = is_suspect(node)
    if suspect == trial.suspected:
        return []
    trial.suspected = suspect
    trial.offered_to = None
    trial.backoff_s = BACKOFF_MIN_S
    node.timers.cancel('trial')
    if suspect:
        node.timers.set('trial', now + BACKOFF_MIN_S)
    fields = {
        'failures': len(node.failed_jobs),
        'speed': round(_progress.speed(node, now), 2),
    }
    event = 'worker_suspect' if suspect else 'worker_recovered'
    return [effects.Log(event, fields)]


def on_trial_timer(node, _, now):
    """Offer the worker to the next entry, unless its runs show its speed."""
    trial = node.trial
    if not trial.suspected:
        return []
    recently_measured = (
        not is_failing(node)
        and now - node.speed_estimate.updated_at < BACKOFF_MIN_S
    )
    if recently_measured or not node.by_conn:
        # The running tasks show the speed without a trial.
        trial.offered_to = None
        node.timers.set('trial', now + trial.backoff_s)
        return []
    if _evacuation.is_evacuated(node):
        # No entry could use the offer.
        trial.offered_to = None
        node.timers.set('trial', now + trial.backoff_s)
        return []
    links = sorted(node.by_conn.values(), key=lambda link: link.name)
    trial.last_offer_index = (trial.last_offer_index + 1) % len(links)
    trial.offered_to = links[trial.last_offer_index]
    node.timers.set('trial', now + OFFER_TIMEOUT_S)
    node.changed = True
    return []


def must_refuse(node, link, now):
    """Return whether a task is refused because its entry has no offer.

    A worker whose tasks fail or stall accepts only the trial task. A slow one
    refuses only further tasks that an entry sent for the same offer.
    """
    trial = node.trial
    if not trial.suspected:
        return False
    if is_failing(node):
        return trial.offered_to is not link
    return trial.used_by is link and now - trial.used_at < USED_OFFER_WINDOW_S


def consume_offer(node, link, now):
    """Mark the offer to an entry as used and schedule the next trial."""
    trial = node.trial
    if trial.offered_to is not link:
        return
    trial.offered_to = None
    trial.used_by, trial.used_at = link, now
    node.timers.set('trial', now + trial.backoff_s)
    trial.backoff_s = min(2 * trial.backoff_s, BACKOFF_MAX_S)
    node.changed = True


def reported_speed(node, link, now):
    """Return the speed to report to an entry.

    An entry with an offer gets the average speed, so that it uses the offer.
    """
    trial = node.trial
    if trial.suspected and trial.offered_to is link:
        return _progress.average_speed(node)
    return _progress.speed(node, now)
