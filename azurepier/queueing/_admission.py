"""Admission control: refuse at once what would miss its deadline."""

import math

import attrs

# Window over which the rate of completed work is measured.
WINDOW_S = 1.0
# A job is refused if its expected end is later than this share of the time
# it has; the rest allows for the error of the estimate.
DEADLINE_SHARE = 0.9
# Wait that starts an overload, and wait at which it is over.
OVERLOADED_S = 1.5
RELIEVED_S = 0.2
# Jobs with more time are batches: they may wait for long, and smaller jobs
# pass them.
INTERACTIVE_S = 300.0
# Waiting work that each customer may have in an overload, in seconds of its
# share of the capacity.
OVERLOAD_QUEUE_S = 0.3
# A customer from which less than this part of its share was accepted lately
# may exceed its queue.
LIGHT_SHARE = 0.8
ACCEPTED_WINDOW_S = 10.0
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0


@attrs.define
class Throughput:
    """Completed work per second while tasks were waiting."""

    rate: float = 0.0
    done_s: float = 0.0
    since: float | None = None


def record_completed(throughput, work_s, backlogged, now):
    """Note completed work (s at speed 1)."""
    if not backlogged:
        throughput.since = None
        throughput.done_s = 0.0
        return
    if throughput.since is None:
        throughput.since = now
    throughput.done_s += work_s
    elapsed = now - throughput.since
    if elapsed >= WINDOW_S:
        sample = throughput.done_s / elapsed
        old = throughput.rate or sample
        throughput.rate = 0.5 * old + 0.5 * sample
        throughput.since = now
        throughput.done_s = 0.0


def expected_wait(ahead, work_s, weight, rate):
    """Return when the last task of a job would start, in seconds.

    Notes
    -----
    A customer gets at least its share by weight, and never waits longer
    than for everything that is queued.
    """
    if rate <= 0:
        return 0.0
    share = weight / (weight + ahead.other_weights)
    by_share = (ahead.customer_s + work_s) / (rate * share)
    return min(by_share, (ahead.total_s + work_s) / rate)


@attrs.define
class Overload:
    """Whether more is asked for than can be done."""

    active: bool = False


def is_overloaded(overload, wait_s):
    """Update and return whether the entry is overloaded.

    Parameters
    ----------
    overload : Overload
    wait_s : float
        Time that all waiting work would take (s).

    Notes
    -----
    Bursts at normal load build up waits of up to `OVERLOADED_S`. Beyond it
    a longer queue doesn't raise the throughput, but everybody would wait
    until long after the overload.
    """
    limit = RELIEVED_S if overload.active else OVERLOADED_S
    overload.active = wait_s > limit
    return overload.active


def exceeds_share(ahead, weight, rate, accepted_rate):
    """Tell whether a customer has its share in an overload.

    Parameters
    ----------
    ahead : WorkAhead
    weight : float
        Weight of the customer.
    rate : float
        Work per second that can be done (s at speed 1).
    accepted_rate : float
        Work per second that was accepted from the customer lately.

    Notes
    -----
    A customer whose jobs are large and rare has more waiting work at times
    than its share allows, though it is served less than it is owed. What
    was accepted from it lately shows that.
    """
    share_rate = rate * weight / (weight + ahead.other_weights)
    if ahead.customer_s <= share_rate * OVERLOAD_QUEUE_S:
        return False
    return accepted_rate > share_rate * LIGHT_SHARE


@attrs.define
class AcceptedWork:
    """Decaying sum of accepted work (s at speed 1)."""

    sum_s: float = 0.0
    updated_at: float = 0.0


def record_accepted(accepted, work_s, now):
    """Add accepted work."""
    decay = math.exp((accepted.updated_at - now) / ACCEPTED_WINDOW_S)
    accepted.sum_s = accepted.sum_s * decay + work_s
    accepted.updated_at = now


def accepted_rate(accepted, now):
    """Return the accepted work per second of the last while."""
    decay = math.exp((accepted.updated_at - now) / ACCEPTED_WINDOW_S)
    return accepted.sum_s * decay / ACCEPTED_WINDOW_S


def misses_deadline(wait_s, longest_s, left_s):
    """Tell whether a job would probably end after its deadline."""
    return wait_s + longest_s > left_s * DEADLINE_SHARE


def retry_after(wait_s, left_s):
    """Return when the client should come back, in seconds."""
    excess_s = wait_s - left_s * DEADLINE_SHARE
    return min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
