"""Admission control: refuse at once what would miss its deadline."""

import attrs

# Window over which the rate of completed work is measured.
WINDOW_S = 1.0
# A job is refused if its expected end is later than this share of the time
# it has; the rest allows for the error of the estimate.
DEADLINE_SHARE = 0.9
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0


@attrs.define
class Throughput:
    """Completed work per second while tasks were waiting."""

    rate: float = 0.0
    done_s: float = 0.0
    since: float | None = None


def completed(throughput, work_s, backlogged, now):
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
    share = weight / (weight + ahead.weights)
    by_share = (ahead.own_s + work_s) / (rate * share)
    return min(by_share, (ahead.all_s + work_s) / rate)


def misses_deadline(wait_s, longest_s, left_s):
    """Tell whether a job would probably end after its deadline."""
    return wait_s + longest_s > left_s * DEADLINE_SHARE


def retry_after(wait_s, left_s):
    """Return when the client should come back, in seconds."""
    excess_s = wait_s - left_s * DEADLINE_SHARE
    return min(max(excess_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
