"""State of an entry."""

import random
import typing

import attrs

from azurepier import config
from azurepier import exchange
from azurepier import jobs
from azurepier import kernel
from azurepier.kernel import messages
from azurepier import limits
from azurepier import membership
from azurepier import placement
from azurepier import queueing

PROTOCOL_VERSION = 1


@attrs.frozen
class Options:
    """Settings of an entry.

    `placement` and `queueing` name plug-ins; values other than the defaults
    serve as baselines in benchmarks.
    """

    name: str
    domain: str
    address: str
    web_address: str
    seeds: tuple = ()
    placement: str = 'expected_completion'
    queueing: str = 'fair'


@attrs.define(eq=False)
class EndpointHistory:
    """Measurements of an endpoint, kept across its incarnations."""

    log_speed: placement.estimates.Mean = attrs.field(
        factory=placement.estimates.Mean
    )
    speed: float = 1.0
    breaker: placement.breaker.Breaker = attrs.field(
        factory=placement.breaker.Breaker
    )


@attrs.define(eq=False)
class OpenStart:
    """A start that has no outcome yet."""

    job: jobs.Job
    task: int
    spec: kernel.TaskSpec
    work_s: float
    urgent: bool
    long_running: bool
    sent_at: float
    seq: int
    endpoint: typing.Any


@attrs.define(eq=False)
class EndpointView:
    """One endpoint incarnation as this entry sees it.

    `granted` and `sent` count ordinary starts of the current session. Starts
    up to `settled_seq` belong to earlier sessions: they have arrived or never
    will.
    `free` and `long_free` are the last reported numbers of free slots minus
    the starts sent since.
    """

    name: str
    incarnation: str
    worker: str
    domain: str
    slots: int
    kinds: frozenset
    largest_size: int
    web_address: str
    last_received_at: float
    conn: int | None = None
    ready: bool = False
    leaving: bool = False
    next_seq: int = 1
    settled_seq: int = 0
    open_starts: dict[int, OpenStart] = attrs.field(factory=dict)
    urgent_open_starts: int = 0  # number of urgent ones in `open_starts`
    granted: int = 0
    sent: int = 0
    free: int = 0
    long_free: int = 0
    slots_wanted: int = 0
    slots_requested: int = 0
    pending_acks: list = attrs.field(factory=list)
    outbox: list = attrs.field(factory=list)
    pending_cancels: list = attrs.field(factory=list)
    history: 'EndpointHistory' = attrs.field(factory=lambda: EndpointHistory())
    members_version: int = 0
    config_version: int = 0

    @property
    def speed(self):
        """Measured speed relative to the other endpoints."""
        return self.history.speed

    @property
    def credit(self):
        """Number of ordinary starts that the endpoint will still accept."""
        return self.granted - self.sent

    @property
    def credit_share(self):
        """Credit as a share of the endpoint's slots."""
        return (self.granted - self.sent) / self.slots


@attrs.define(eq=False)
class Peer:
    """A connection to another entry."""

    name: str
    incarnation: str
    conn: int
    address: str
    last_received_at: float
    members_version: int = 0
    config_version: int = 0
    rank: int = 0
    pending_acks: list = attrs.field(factory=list)


@attrs.frozen
class Waiter:
    """Recipient of an answer: a caller of this entry or another entry.

    Exactly one of `req` (request number of the caller) and `conn` (the
    connection to the other entry) is set. `query` is the number that the other
    entry gave to its request.
    """

    req: int | None = None
    conn: int | None = None
    query: int = 0


@attrs.define(eq=False)
class ForwardedRequest:
    """A caller's request that was forwarded to another entry.

    `incarnation` is that of the other entry, and `conn` the connection on
    which the answer is expected, if any. `sent` stays true after the loss of
    that connection: the other entry may have received the request. `repeated`
    tells whether it was sent again on a later connection.
    """

    query: int
    waiter: Waiter
    msg: messages.Forward
    incarnation: str
    give_up_at: float
    conn: int | None = None
    sent: bool = False
    repeated: bool = False


@attrs.define
class Entry:
    """State of an entry; see `azurepier.entry.handle`.

    `endpoints` holds the known endpoints by incarnation, `by_conn` the
    connected ones by connection, and `histories` their measurements by name.
    `forwards` is keyed by query number and `recoveries` by job id.
    """

    options: Options
    incarnation: str
    rng: random.Random
    table: jobs.Table
    directory: membership.Directory
    adoption: config.Adoption
    exchange: exchange.ConfigExchange
    queue: queueing.Discipline
    choose_endpoint: typing.Callable
    limits: limits.Limits
    started_at: float
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)
    estimates: placement.estimates.Estimates = attrs.field(
        factory=placement.estimates.Estimates
    )
    kind_failures: placement.breaker.KindFailures = attrs.field(
        factory=placement.breaker.KindFailures
    )
    throughput: queueing.admission.Throughput = attrs.field(
        factory=queueing.admission.Throughput
    )
    endpoints: dict[str, EndpointView] = attrs.field(factory=dict)
    by_conn: dict[int, EndpointView] = attrs.field(factory=dict)
    peers: dict[int, Peer] = attrs.field(factory=dict)
    forwards: dict[int, ForwardedRequest] = attrs.field(factory=dict)
    recoveries: dict[str, jobs.Recovery] = attrs.field(factory=dict)
    recovery_queries: dict[int, str] = attrs.field(factory=dict)
    # Time at which each former incarnation of an entry was replaced.
    former_incarnations: dict[str, float] = attrs.field(factory=dict)
    waiters_by_req: dict[int, list] = attrs.field(factory=dict)
    histories: dict[str, EndpointHistory] = attrs.field(factory=dict)
    waiting_by_customer: dict[str, int] = attrs.field(factory=dict)
    waiting_tasks: int = 0
    accepted_work: dict = attrs.field(factory=dict)
    overload: queueing.admission.Overload = attrs.field(
        factory=queueing.admission.Overload
    )
    urgent_usage: dict = attrs.field(factory=dict)
    # Decaying sum of accepted urgent work, updated last at `since`.
    urgent_load: queueing.admission.Throughput = attrs.field(
        factory=lambda: queueing.admission.Throughput(since=0.0)
    )
    next_query: int = 1
    leads: bool = False
    leader: str = ''
    dirty: bool = False  # a dispatch pass is due
    draining: bool = False
    stopped: bool = False
    counters: dict[str, int] = attrs.field(factory=dict)

    def hello(self, session):
        """Return the first message of a new connection."""
        options = self.options
        return messages.Hello(
            protocol=PROTOCOL_VERSION,
            role='entry',
            name=options.name,
            incarnation=self.incarnation,
            session=session,
            domain=options.domain,
            address=options.address,
            web_address=options.web_address,
            config_version=exchange.current_version(self.adoption),
            worker='',
            slots=0,
            kinds=[],
            largest_size=0,
            nonce=b'',
            proof=b'',
        )

    def count(self, name, amount=1):
        """Increase a counter that is exported as a metric."""
        self.counters[name] = self.counters.get(name, 0) + amount
