"""State of the quotas at one entry."""

import collections
import math
import typing

import attrs

# How long a lease may be used after the request for it was sent (s).
LEASE_S = 2.0
# Interval at which the caller calls `on_tick` (s).
TICK_S = 0.25
# How long the home relies on the reduced minimum that an entry has reported,
# counted from the home's message that the report answers (s). Longer than the
# 5 s after which a silent peer is removed from the members, so that the home
# can rely on it for as long as the entry is a member.
REDUCED_MINIMUM_S = 6.0
# Largest relative difference between the clock rates of two entries. The entry
# that gives up a part of the limit waits longer by this factor than the entry
# that uses it.
CLOCK_DRIFT = 0.05
# How long an entry keeps to the reduced minimum that it has reported (s).
REDUCED_MINIMUM_MEMBER_S = REDUCED_MINIMUM_S * (1 + CLOCK_DRIFT)
# A rate limit allows bursts of at least the starts of this many seconds.
BURST_S = 0.1

NEVER = -math.inf
# Number of sent messages whose timestamps are remembered to tell answers to
# them from answers to an earlier run or to another home.
_TIMESTAMP_HISTORY_LEN = 64


@attrs.frozen
class Limit:
    """The limits of a plan in the form used for sharing.

    `rate` is in starts per second, `concurrent` in running tasks. `burst` is
    the size of the token bucket of the whole limit; the bucket of a share
    below `min_usable_rate` is too small to hold a whole token.
    """

    rate: float
    concurrent: int
    burst: float
    min_usable_rate: float


NO_LIMIT = Limit(0.0, 0, 0.0, math.inf)


@attrs.define
class Lease:
    """A lease that a member may have in force, as recorded by the home.

    `echo` is the timestamp of the report that it answers, in the member's
    clock; the other times are in the home's.
    """

    sent_at: float
    echo: float
    rate: float
    concurrent: int
    until: float


def _timestamp_history():
    return collections.deque(maxlen=_TIMESTAMP_HISTORY_LEN)


@attrs.define
class Member:
    """What the home knows of one entry for one customer.

    `report_timestamp` is the timestamp of the newest report in the member's
    clock. `reserved_rate` and `reserved_concurrent` are the most that the
    member may use until its next report.
    """

    kept_rate: float = 0.0
    kept_concurrent: int = 0
    kept_until: float = NEVER
    report_timestamp: float = 0.0
    received_at: float = NEVER
    polled_at: float = NEVER
    poll_timestamp: float = 0.0
    sent_timestamps: collections.deque = attrs.field(
        factory=_timestamp_history
    )
    turn_started_at: float = NEVER
    demand_rate: float = 0.0
    demand_concurrent: int = 0
    running: int = 0
    leases: list = attrs.field(factory=list)
    target_rate: float = 0.0
    target_concurrent: int = 0
    reserved_rate: float = 0.0
    reserved_concurrent: int = 0
    has_left: bool = False


@attrs.define
class Ledger:
    """The home's record of which entry may use which part of the limit.

    `tokens` is the content of the bucket of the part that is not reserved for
    any member. `missing_reports` names the members whose first report the home
    waits for before it grants leases, and `pending_polls` those that have not
    answered the last polls. Ticks skip the ledger before `next_tick_at` and
    from `busy_until` on.
    """

    members: dict[str, Member]
    missing_reports: set[str]
    refilled_at: float
    tokens: float = 0.0
    reserved_rate: float = 0.0
    reserved_concurrent: int = 0
    busy_until: float = NEVER
    next_tick_at: float = NEVER
    reserved_grows_at: float = NEVER
    reserved_shrinks_at: float = NEVER
    oversubscribed: bool = False
    pending_polls: set[str] = attrs.field(factory=set)


@attrs.define
class Account:
    """State of one customer at this entry: share, usage, demand and home.

    `rate`, `concurrent` and `bucket_size` are the share in force until
    `valid_until`: the kept part of the minimum and the lease.
    """

    customer: str
    limit: Limit = NO_LIMIT
    # Use.
    running: int = 0
    waiting: int = 0
    tokens: float = 0.0
    refilled_at: float = 0.0
    # Share in force.
    rate: float = 0.0
    concurrent: int = 0
    bucket_size: float = 0.0
    valid_until: float = NEVER
    kept_rate: float = 0.0
    kept_concurrent: int = 0
    kept_until: float = NEVER
    lease_rate: float = 0.0
    lease_concurrent: int = 0
    lease_until: float = NEVER
    # Demand.
    starts: int = 0
    peak_load: int = 0
    mean_running: float = 0.0
    mean_waiting: float = 0.0
    start_rate: float = 0.0
    demand_rate: float = 0.0
    demand_concurrent: int = 0
    # Exchange with the home. `report_timestamp` is that of the newest report
    # sent, `grant_timestamp` that of the newest grant received.
    home: str = ''
    home_score: int = -1
    home_since: float = NEVER
    sent_timestamps: collections.deque = attrs.field(
        factory=_timestamp_history
    )
    report_timestamp: float = 0.0
    reported_at: float = NEVER
    grant_timestamp: float = 0.0
    grant_received_at: float = NEVER
    report_answered: bool = True
    report_due: bool = False
    next_early_report_at: float = NEVER
    scarce_until: float = NEVER
    reported_rate: float = 0.0
    reported_concurrent: int = 0
    reported_running: int = 0
    ledger: Ledger | None = None


@attrs.define
class Peer:
    """The process of another entry that messages are accepted from.

    `run` is the identifier of the process in its messages, `echo` the newest
    timestamp of this entry that it has answered.
    """

    run: float
    echo: float


@attrs.define
class Limits:
    """Quotas of all customers at one entry.

    Parameters
    ----------
    self_name : str
        Name of this entry among the members.
    wait_for_reports : bool
        Whether a new home waits until it knows what the other entries hold.
        Only the benchmark turns it off.
    home_key : str or None
        Name that is hashed instead of a customer's, so that one entry is the
        home of all customers.
    """

    self_name: str
    wait_for_reports: bool = True
    home_key: str | None = None
    plan_of: typing.Callable = attrs.field(default=lambda customer: None)
    accounts: dict[str, Account] = attrs.field(factory=dict)
    # Customers that each tick considers, and those whose home is this entry.
    active_customers: set[str] = attrs.field(factory=set)
    homed_customers: set[str] = attrs.field(factory=set)
    outbox: list = attrs.field(factory=list)
    # The minimum of this entry is 0 until `no_minimum_until` and based on at
    # least `high_count` entries until `high_count_until`. The minimum of other
    # entries may be based on only `low_count` until `low_count_until`.
    members: tuple = ()
    members_since: float = NEVER
    no_minimum_until: float = NEVER
    high_count: int = 0
    high_count_until: float = NEVER
    low_count: int = 0
    low_count_until: float = NEVER
    # `run` is the start time of this process, which identifies it in messages.
    # If it has no tick until `stale_at`, it was frozen and drops its shares.
    run: float | None = None
    last_timestamp: float = NEVER
    last_tick_at: float | None = None
    stale_at: float = math.inf
    peers: dict[str, Peer] = attrs.field(factory=dict)


def next_timestamp(state, now):
    """Return a timestamp for a message: about `now`, above the previous one.

    Parameters
    ----------
    state : Limits
    now : float
        This entry's clock (s).

    Returns
    -------
    float
    """
    state.last_timestamp = max(now, state.last_timestamp + 1e-6)
    return state.last_timestamp
