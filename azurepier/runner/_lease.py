"""Renewal of the lease of a worker's runs.

Load pattern: a worker carries out a share of its calls seconds later, stops
too, while its lists are answered. An entry takes the runs of a lost connection
as ended `RUN_EXPIRY_S` after it, and a caller that has left submits its job
again after 1.3 s; neither can be told that a run goes on. The lease covers all
runs of the worker, so that it must not be renewed beyond what such a run may
last, until its end is known.
"""

import math

from azurepier.dispatch import bounds
from azurepier.kernel import effects

_MS_PER_S = 1000
# Time after the last message of an entry, or after its request to stop a run,
# in which the lease may be renewed although the run has not ended (s). The run
# then ends within `RUN_EXPIRY_S`.
RENEWAL_S = bounds.RUN_EXPIRY_S - bounds.LEASE_S - bounds.LEASE_MARGIN_S
# No runs are started under a lease that isn't renewed and ends within this
# time (s): few tasks would be done by then.
MIN_REMAINING_S = bounds.LEASE_S / 2


def _since_heard(run, now):
    return run.link.last_received_at + RENEWAL_S


def _since_asked(run, now):
    return now + RENEWAL_S


# By the reason of a stop. For other reasons the entry waits for the end of the
# run, however long that takes.
_RENEWAL_ENDS = {
    'asked': _since_asked,
    'entry_lost': _since_heard,
    'entry_restarted': _since_heard,
}


def limit_renewal(run, reason, now):
    """Bound the time in which the lease is renewed for a run to be stopped.

    Parameters
    ----------
    run : Run
    reason : str
        Why the run has to end.
    now : float
    """
    if reason in _RENEWAL_ENDS:
        renewal_end_at = _RENEWAL_ENDS[reason](run, now)
        run.renewal_end_at = min(run.renewal_end_at, renewal_end_at)


def limits_renewal(run):
    """Return whether the lease ends if the run's end doesn't become known."""
    return run.renewal_end_at < math.inf


def _renewal_end_at(node):
    """Return the time after which the lease must not be renewed (s).

    Runs that no entry has ordered were reported as ended before, or were
    started by an earlier process whose connections are lost.
    """
    if node.orphaned_runs:
        return -math.inf
    # The end of a silent connection is noticed with the next heartbeat only.
    return min(
        [
            *(run.renewal_end_at for run in node.runs.values()),
            *(
                link.last_received_at + bounds.SILENCE_S
                for link in node.by_conn.values()
                if link.runs
            ),
        ],
        default=math.inf,
    )


def is_withheld(node, now):
    """Return whether the lease must not be renewed."""
    return now > _renewal_end_at(node)


def is_ending(node, now):
    """Return whether the runs on the worker are about to lose their lease."""
    remaining_s = node.own_lease_end_at - now
    return remaining_s < MIN_REMAINING_S and is_withheld(node, now)


def is_over(node, now):
    """Return whether a list shows what is left after a withheld lease.

    As long as no list is answered, the worker counts as lost instead.
    """
    over_at = node.lease_end_at + bounds.LEASE_MARGIN_S
    return node.last_list_requested_at > over_at and is_withheld(node, now)


def renew(node, now):
    """Return the end of the lease for a start (ms on the worker's clock).

    While the lease must not be renewed, this is the end of the last one that
    this process has granted.

    Returns
    -------
    int or None
        None while the worker's clock is not known.
    """
    if not is_withheld(node, now):
        node.lease_end_at = node.own_lease_end_at = now + bounds.LEASE_S
    if node.clock_offset_ms is None:
        return None
    return round(node.own_lease_end_at * _MS_PER_S + node.clock_offset_ms)


def note_change(node, now):
    """Report and log the time in which the lease is about to end.

    Returns
    -------
    list
        Effects that log its beginning.
    """
    was_ending, node.lease_ending = node.lease_ending, is_ending(node, now)
    if node.lease_ending is was_ending:
        return []
    node.changed = True
    if was_ending or not node.reachable:
        return []
    node.count('leases_withheld')
    late = [
        run.order.task
        for run in node.runs.values()
        if run.renewal_end_at < now
    ]
    fields = {
        'runs': len(node.runs),
        'unconfirmed': [*late, *node.orphaned_runs],
        'lease_ms': round((node.lease_end_at - now) * _MS_PER_S),
    }
    return [effects.Log('lease_withheld', fields)]
