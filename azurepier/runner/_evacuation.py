"""Evacuation of the failure domain in which the worker is.

Load pattern: an operator evacuates a failure domain while some entries, or all
of them, are cut off from the store, and processes are restarted. The entries
pass on what they know; the newest revision counts. The endpoint process is the
last one to check an order, so it starts nothing before it knows which failure
domains are evacuated, and it reads the store itself if none of its entries has
contact to it and sends updates, which builds from before evacuations don't.
Runs that are at work go on.
"""

import attrs

from azurepier.kernel import effects
from azurepier import membership

# Time for which a new process waits for the update of its first entry before
# it reads the store (s).
FIRST_UPDATE_WAIT_S = 0.3
# Interval of checks whether an entry has contact to the store, and of reads
# while none has (s).
CHECK_INTERVAL_S = 1.0
# Maximum relative change of the interval, so that the endpoint processes don't
# read the store at the same time.
CHECK_JITTER = 0.2


@attrs.frozen
class ReadEvacuations:
    """Read the evacuated failure domains from the store."""


def is_evacuated(node):
    """Return whether the worker's failure domain is known to be evacuated."""
    return (
        node.evacuations is not None
        and node.options.domain in node.evacuations.domains
    )


def takes_runs(node):
    """Return whether the failure domain is known not to be evacuated."""
    return node.evacuations is not None and not is_evacuated(node)


def on_evacuations_loaded(node, event, now):
    """Apply what the store has returned."""
    return _apply(node, event.evacuations, 'store')


def on_heartbeat(node, link, msg):
    """Apply the evacuations in the heartbeat of an entry, if any."""
    link.store_silent = msg.store_silent_ms is not None
    if msg.evacuations_revision is None or msg.evacuated is None:
        return []
    link.sends_evacuations = True
    evacuations = membership.Evacuations(
        msg.evacuations_revision, frozenset(msg.evacuated)
    )
    return _apply(node, evacuations, link.name)


def _apply(node, evacuations, source):
    if not membership.is_newer(evacuations, node.evacuations):
        return []
    was_known, was_evacuated = node.evacuations is not None, is_evacuated(node)
    node.evacuations = evacuations
    if was_known and is_evacuated(node) == was_evacuated:
        return []
    node.changed = True
    if is_evacuated(node) == was_evacuated:
        return []
    event = 'domain_evacuated' if is_evacuated(node) else 'domain_restored'
    fields = {
        'domain': node.options.domain,
        'revision': evacuations.revision,
        'source': source,
        'runs': len(node.runs),
    }
    return [effects.Log(event, fields)]


def expect_update(node, now):
    """Make sure that the evacuations become known after a connection."""
    if node.evacuations is None:
        node.timers.set_no_later_than('evacuations', now + FIRST_UPDATE_WAIT_S)


def on_check_timer(node, _, now):
    """Read the store if the updates of the entries may be out of date."""
    jitter = node.rng.uniform(1.0 - CHECK_JITTER, 1.0 + CHECK_JITTER)
    node.timers.set('evacuations', now + CHECK_INTERVAL_S * jitter)
    links = node.by_conn.values()
    if not links:
        # There are no orders without an entry.
        return []
    if node.evacuations is not None and any(
        link.sends_evacuations and not link.store_silent for link in links
    ):
        return []
    node.count('evacuation_reads')
    return [ReadEvacuations()]
