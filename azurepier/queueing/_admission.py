"""Admission control: refuses jobs that would miss their deadlines."""

import math

import attrs

# Window over which the rate of completed work is measured.
RATE_WINDOW_S = 1.0
# A job is refused if its expected completion time exceeds this fraction of
# its time to the deadline; the rest is a margin for estimation errors.
DEADLINE_SHARE = 0.9
# The overload state is entered when the expected wait exceeds the first value
# and left when it is down to the second (s).
OVERLOAD_ENTER_WAIT_S = 1.5
OVERLOAD_EXIT_WAIT_S = 0.2
# Jobs with longer deadlines are batch jobs: they may wait for a long time, and
# smaller jobs start before them, so they are not shed in an overload.
INTERACTIVE_MAX_S = 300.0
# Limit on a customer's waiting work in an overload, in seconds of its fair
# share of the capacity.
OVERLOAD_QUEUE_S = 0.3
# A customer may exceed that limit while less than this fraction of its fair
# share was accepted within the accounting window.
UNDERUSED_SHARE = 0.8
# Time constant of the accounting of accepted work.
ACCEPTED_WINDOW_S = 10.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0


@attrs.define
class Throughput:
    """Completed work per second while tasks were waiting.

    `done_s` is the work (s at speed 1) completed since the time `since`, which
    `rate` does not include yet.
    """

    rate: float = 0.0
    done_s: float = 0.0
    since: float | None = None


def record_completed(throughput, work_s, backlogged, now):
    """Add completed work (s at speed 1) to the measured rate.

    The measurement restarts when the queue has been empty, because the rate
    of an idle system says nothing about its capacity.
    """
    if not backlogged:
        throughput.since = None
        throughput.done_s = 0.0
        return
    if throughput.since is None:
        throughput.since = now
    throughput.done_s += work_s
    elapsed_s = now - throughput.since
    if elapsed_s >= RATE_WINDOW_S:
        sample = throughput.done_s / elapsed_s
        previous = throughput.rate or sample
        throughput.rate = 0.5 * previous + 0.5 * sample
        throughput.since = now
        throughput.done_s = 0.0


def expected_wait(ahead, work_s, weight, rate):
    """Return the time until the last task of a new job starts (s).

    Parameters
    ----------
    ahead : WorkAhead
        Waiting work that the job competes with.
    work_s : float
        Expected work of the job (s at speed 1).
    weight : float
        Weight of the customer.
    rate : float
        Capacity in work per second (s at speed 1).

    Notes
    -----
    The smaller of two upper bounds: the customer's backlog at its fair share
    of the capacity, and the total backlog at the full capacity.
    """
    if rate <= 0:
        return 0.0
    share = weight / (weight + ahead.other_weights)
    fair_share_wait_s = (ahead.customer_s + work_s) / (rate * share)
    return min(fair_share_wait_s, (ahead.total_s + work_s) / rate)


@attrs.define
class Overload:
    """Overload state of an entry, with the hysteresis of `is_overloaded`."""

    active: bool = False


def is_overloaded(overload, wait_s):
    """Update the overload state and return whether it is active.

    Parameters
    ----------
    overload : Overload
    wait_s : float
        Time needed to work off the backlog (s).

    Notes
    -----
    Bursts at normal load cause waits of up to `OVERLOAD_ENTER_WAIT_S`. A
    longer queue does not raise the throughput and delays all jobs until long
    after the overload.
    """
    threshold_s = (
        OVERLOAD_EXIT_WAIT_S if overload.active else OVERLOAD_ENTER_WAIT_S
    )
    overload.active = wait_s > threshold_s
    return overload.active


def exceeds_share(ahead, weight, rate, accepted_rate):
    """Return whether a customer exceeds its fair share in an overload.

    Parameters
    ----------
    ahead : WorkAhead
    weight : float
        Weight of the customer.
    rate : float
        Capacity in work per second (s at speed 1).
    accepted_rate : float
        Recently accepted work of the customer per second.

    Notes
    -----
    The backlog alone isn't a sufficient criterion: a customer with large,
    infrequent jobs can have a long backlog while it uses less than its fair
    share. The recently accepted work tells these cases apart.
    """
    share_rate = rate * weight / (weight + ahead.other_weights)
    if ahead.customer_s <= share_rate * OVERLOAD_QUEUE_S:
        return False
    return accepted_rate > share_rate * UNDERUSED_SHARE


@attrs.define
class AcceptedWork:
    """Exponentially decaying sum of accepted work (s at speed 1)."""

    sum_s: float = 0.0
    updated_at: float = 0.0


def record_accepted(accepted, work_s, now):
    """Add `work_s` (s at speed 1) to the decayed sum.

    `work_s` is negative when a task took less work than expected.
    """
    decay = math.exp((accepted.updated_at - now) / ACCEPTED_WINDOW_S)
    accepted.sum_s = accepted.sum_s * decay + work_s
    accepted.updated_at = now


def accepted_rate(accepted, now):
    """Return the recently accepted work per second (s at speed 1)."""
    decay = math.exp((accepted.updated_at - now) / ACCEPTED_WINDOW_S)
    return accepted.sum_s * decay / ACCEPTED_WINDOW_S


def misses_deadline(wait_s, longest_s, remaining_s):
    """Return whether a job is expected to end after its deadline.

    Parameters
    ----------
    wait_s : float
        Expected wait before the last task starts (s).
    longest_s : float
        Expected run time of the longest task (s).
    remaining_s : float
        Time until the deadline (s).
    """
    return wait_s + longest_s > remaining_s * DEADLINE_SHARE


def retry_after(wait_s, remaining_s):
    """Return the delay after which a refused client should retry (s)."""
    excess_s = wait_s - remaining_s * DEADLINE_SHARE
    return min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
