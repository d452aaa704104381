"""Circuit breaker for endpoints whose tasks fail."""

import attrs

# Consecutive failures that open the breaker. A failure counts only while most
# tasks of its kind succeed, so that a faulty job cannot block endpoints.
OPEN_AFTER_FAILURES = 8
# Time until the first probe, doubled by each failed probe up to the maximum.
PROBE_AFTER_S = 1.0
PROBE_AFTER_MAX_S = 30.0
# Above this failure rate of a kind, its failures are attributed to the jobs
# instead of the endpoints.
KIND_FAILURE_RATE_MAX = 0.5
# Weight of the newest outcome in the moving average of a kind's failure rate.
KIND_FAILURE_WEIGHT = 0.05


@attrs.define
class Breaker:
    """State of one endpoint's breaker.

    The breaker is closed while `open_until` is None. It is open until that
    time and half-open afterwards: one task is started as a probe, and
    `probing` is true until its outcome is known.
    """

    failures: int = 0
    open_until: float | None = None
    backoff_s: float = PROBE_AFTER_S
    probing: bool = False


@attrs.define
class KindFailures:
    """Moving average of the failure rate by kind, over all endpoints."""

    rates: dict = attrs.field(factory=dict)


def allows(breaker, now):
    """Return whether a task may be started on the endpoint."""
    if breaker.open_until is None:
        return True
    return now >= breaker.open_until and not breaker.probing


def record_start(breaker):
    """Record a start, which is a probe unless the breaker is closed."""
    if breaker.open_until is not None:
        breaker.probing = True


def record_success(breaker, kind_failures, kind):
    """Record a success and close the breaker."""
    kind_failures.rates[kind] = kind_failures.rates.get(kind, 0.0) * (
        1 - KIND_FAILURE_WEIGHT
    )
    breaker.failures = 0
    breaker.open_until = None
    breaker.backoff_s = PROBE_AFTER_S
    breaker.probing = False


def record_failure(breaker, kind_failures, kind, now):
    """Record a failure, which may open the breaker.

    Returns
    -------
    bool
        Whether this failure opened the breaker.
    """
    rate = kind_failures.rates.get(kind, 0.0)
    kind_failures.rates[kind] = rate + KIND_FAILURE_WEIGHT * (1 - rate)
    was_probe = breaker.probing
    breaker.probing = False
    if rate > KIND_FAILURE_RATE_MAX and not was_probe:
        return False
    breaker.failures += 1
    if was_probe:
        breaker.backoff_s = min(2 * breaker.backoff_s, PROBE_AFTER_MAX_S)
    elif (
        breaker.failures < OPEN_AFTER_FAILURES
        or breaker.open_until is not None
    ):
        return False
    breaker.open_until = now + breaker.backoff_s
    return True
