"""State of the limits at one entry."""

import collections
import math
import typing

import attrs

# How long a lease may be used after it was asked for (s).
LEASE_S = 2.0
# Interval at which the caller calls `on_tick` (s).
TICK_S = 0.25
# How long an entry stays below its minimum after the last message from the
# home (s). Longer than the 5 s after which a silent peer leaves the members,
# so that the home may count on it for as long as it sees the entry.
HOLD_S = 6.0
# Largest relative difference between the clocks of two entries. The side that
# gives waits longer by this factor than the side that uses.
CLOCK_DRIFT = 0.05
# How long the side that gives way stays below its minimum (s).
HELD_S = HOLD_S * (1 + CLOCK_DRIFT)
# Rate limits allow a burst of this much of the limit (s).
BURST_S = 0.1

NEVER = -math.inf
# Messages whose stamps are remembered, so that answers to them are known
# from answers to an earlier run or to another home.
_STAMPS = 64


@attrs.frozen
class Limit:
    """The limits of a plan in the form used for sharing.

    `burst` is the size of the token bucket of the whole limit; a share of
    the rate below `least_rate` could never collect a whole token.
    """

    rate: float
    concurrent: int
    burst: float
    least_rate: float


NO_LIMIT = Limit(0.0, 0, 0.0, math.inf)


@attrs.define
class Lease:
    """A grant that the holder may have in force, as counted by the home.

    `echo` is in the holder's clock, the other times in the home's.
    """

    sent_at: float
    echo: float
    rate: float
    concurrent: int
    until: float


def _stamps():
    return collections.deque(maxlen=_STAMPS)


@attrs.define
class Member:
    """What the home knows of one entry for one customer."""

    kept_rate: float = 0.0
    kept_concurrent: int = 0
    kept_until: float = NEVER
    sent_at: float = 0.0
    received_at: float = NEVER
    polled_at: float = NEVER
    poll_stamp: float = 0.0
    stamps: collections.deque = attrs.field(factory=_stamps)
    turn_at: float = NEVER
    want_rate: float = 0.0
    want_concurrent: int = 0
    running: int = 0
    leases: list = attrs.field(factory=list)
    target_rate: float = 0.0
    target_concurrent: int = 0
    count_rate: float = 0.0
    count_concurrent: int = 0
    left: bool = False


@attrs.define
class Ledger:
    """The home's record of who may use which part of a customer's limit.

    `tokens` is the content of the bucket of the part that is not lent.
    """

    members: dict[str, Member]
    unheard: set[str]
    tokens_at: float
    tokens: float = 0.0
    count_rate: float = 0.0
    count_concurrent: int = 0
    busy_until: float = NEVER
    tick_at: float = NEVER
    counted_until: float = NEVER
    shrinks_at: float = NEVER
    short: bool = False
    polled: set[str] = attrs.field(factory=set)


@attrs.define
class Account:
    """One customer at this entry: its share, its use of it and its home.

    `rate`, `concurrent` and `cap` (size of the token bucket) are the share
    in force until `valid_until`: the kept part of the minimum and the lease.
    """

    customer: str
    limit: Limit = NO_LIMIT
    # Use.
    running: int = 0
    waiting: int = 0
    tokens: float = 0.0
    tokens_at: float = 0.0
    # Share in force.
    rate: float = 0.0
    concurrent: int = 0
    cap: float = 0.0
    valid_until: float = NEVER
    kept_rate: float = 0.0
    kept_concurrent: int = 0
    kept_until: float = NEVER
    lease_rate: float = 0.0
    lease_concurrent: int = 0
    lease_until: float = NEVER
    # Demand.
    starts: int = 0
    peak: int = 0
    mean_running: float = 0.0
    mean_waiting: float = 0.0
    start_rate: float = 0.0
    want_rate: float = 0.0
    want_concurrent: int = 0
    # Exchange with the home. `sent_at` and `seen` are the stamps of the
    # newest report sent and grant seen.
    home: str = ''
    home_score: int = -1
    home_since: float = NEVER
    stamps: collections.deque = attrs.field(factory=_stamps)
    sent_at: float = 0.0
    sent_time: float = NEVER
    seen: float = 0.0
    seen_time: float = NEVER
    answered: bool = True
    due: bool = False
    press_at: float = NEVER
    scarce_until: float = NEVER
    reported_rate: float = 0.0
    reported_concurrent: int = 0
    reported_running: int = 0
    ledger: Ledger | None = None


@attrs.define
class Peer:
    """The run of another entry that messages are accepted from.

    `echo` is the newest stamp of this entry that the run has answered.
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
    wait : bool
        Whether a new home waits until it knows what the others hold. Only
        the benchmark turns it off.
    home_key : str or None
        Name that is hashed instead of a customer's, so that one entry is the
        home of all customers.
    """

    self_name: str
    wait: bool = True
    home_key: str | None = None
    plan_of: typing.Callable = attrs.field(default=lambda customer: None)
    accounts: dict[str, Account] = attrs.field(factory=dict)
    active: set[str] = attrs.field(factory=set)
    homes: set[str] = attrs.field(factory=set)
    outbox: list = attrs.field(factory=list)
    # The minimum of this entry is 0 until `fresh_until` and based on at least
    # `held_count` entries until `held_until`; that of others is perhaps
    # based on only `low_count` until `low_until`.
    members: tuple = ()
    members_since: float = NEVER
    fresh_until: float = NEVER
    held_count: int = 0
    held_until: float = NEVER
    low_count: int = 0
    low_until: float = NEVER
    # This run and those of the peers.
    run: float | None = None
    stamp: float = NEVER
    ticked_at: float | None = None
    stale_at: float = math.inf
    peers: dict[str, Peer] = attrs.field(factory=dict)


def next_stamp(state, now):
    """Return a stamp for a message: about `now`, greater than the last.

    Parameters
    ----------
    state : Limits
    now : float
        This entry's clock (s).

    Returns
    -------
    float
    """
    state.stamp = max(now, state.stamp + 1e-6)
    return state.stamp
