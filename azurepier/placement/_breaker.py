"""Circuit breaker for endpoints that fail what they start."""

import attrs

# Failures in a row that open the breaker. Each failure counts only while
# the kind succeeds elsewhere, so that a faulty job doesn't close endpoints.
OPEN_AFTER = 8
PROBE_AFTER_S = 1.0
PROBE_AFTER_MAX_S = 30.0
# A kind that fails in more than this share of cases is blamed on its jobs.
KIND_FAILURE_MAX = 0.5
KIND_WEIGHT = 0.05


@attrs.define
class Breaker:
    """State of one endpoint's breaker.

    While `open_until` is set nothing is started; after it one task is
    tried, and `probing` is true until its outcome is known.
    """

    failures: int = 0
    open_until: float | None = None
    backoff_s: float = PROBE_AFTER_S
    probing: bool = False


@attrs.define
class KindFailures:
    """Share of failures per kind, over all endpoints."""

    share: dict = attrs.field(factory=dict)


def allows(breaker, now):
    """Tell whether a task may be started on the endpoint."""
    if breaker.open_until is None:
        return True
    return now >= breaker.open_until and not breaker.probing


def record_start(breaker):
    """Note a start; the first one after the pause is a probe."""
    if breaker.open_until is not None:
        breaker.probing = True


def record_success(breaker, kinds, kind):
    """Note a success: the breaker closes."""
    kinds.share[kind] = kinds.share.get(kind, 0.0) * (1 - KIND_WEIGHT)
    breaker.failures = 0
    breaker.open_until = None
    breaker.backoff_s = PROBE_AFTER_S
    breaker.probing = False


def record_failure(breaker, kinds, kind, now):
    """Note a failure.

    Returns
    -------
    bool
        Whether the breaker has just opened.
    """
    share = kinds.share.get(kind, 0.0)
    kinds.share[kind] = share + KIND_WEIGHT * (1 - share)
    was_probe = breaker.probing
    breaker.probing = False
    if share > KIND_FAILURE_MAX and not was_probe:
        return False
    breaker.failures += 1
    if was_probe:
        breaker.backoff_s = min(2 * breaker.backoff_s, PROBE_AFTER_MAX_S)
    elif breaker.failures < OPEN_AFTER or breaker.open_until is not None:
        return False
    breaker.open_until = now + breaker.backoff_s
    return True
