"""State of an endpoint process that runs tasks by resources."""

import collections
import enum

import attrs

from azurepier.kernel import Histogram
from azurepier.kernel import Timers


@attrs.frozen
class Options:
    """Settings of an endpoint process.

    Parameters
    ----------
    name, domain : str
    pool : str
        Pool that the worker belongs to, from the settings; its own report
        goes first.
    seeds : tuple of str
        Addresses of entries known from the start.
    generation : int
        Higher than that of the process's earlier runs.
    grace_s : float
        Time from the request to stop to the kill (s).
    """

    name: str
    domain: str
    pool: str
    seeds: tuple
    generation: int
    grace_s: float


@attrs.define(eq=False)
class Pace:
    """Work done and the time that it took, decaying (s).

    `at` is the time of the last measurement.
    """

    work: float = 0.0
    time: float = 0.0
    recent_work: float = 0.0
    recent_time: float = 0.0
    at: float = 0.0


@attrs.define(eq=False)
class Trial:
    """Trials of a suspect worker.

    Attributes
    ----------
    suspected : bool
    link : Link or None
        The entry that may send one task now.
    pause_s : float
        Time to the next trial after this one (s).
    turn : int
        Position of the last entry that was asked.
    used_by : Link or None
        The entry that sent the last trial.
    used_at : float
        When it arrived (s).
    """

    suspected: bool = False
    link: object = None
    pause_s: float = 0.0
    turn: int = 0
    used_by: object = None
    used_at: float = 0.0


class Phase(enum.Enum):
    """Where a run stands."""

    STARTING = 1
    RUNNING = 2
    UNSURE = 3  # the start was not answered
    STOPPING = 4


@attrs.define(eq=False, repr=False)
class Link:
    """One run of an entry.

    Attributes
    ----------
    conn : int or None
    seen : int
        Highest order received.
    stale : bool
        Whether the entry has not heard of the latest change.
    told_at : float
        When it was last told the room (s).
    demand : float
        Cores that it wants of this endpoint.
    parting_at : float or None
        When the connection is closed because others took its place (s).
    ends : deque
        ``(time, RunEnd)`` of recent ends, reported again on a new connection.
    """

    name: str
    incarnation: str
    address: str
    last_heard: float
    conn: int | None = None
    seen: int = 0
    stale: bool = False
    told_at: float = 0.0
    demand: float = 0.0
    parting_at: float | None = None
    runs: dict = attrs.field(factory=dict)
    ends: collections.deque = attrs.field(factory=collections.deque)
    fresh_ends: list = attrs.field(factory=list)


@attrs.define(eq=False)
class Progress:
    """How far a run is.

    Attributes
    ----------
    percent : int
        Done, as last listed.
    changed_at : float
        When `percent` last rose (s).
    listed_at : float
        When it was last listed (s).
    before : tuple of (int, float)
        Percent and time of an earlier list, to tell the present rate.
    standing : bool
        Whether it does not get on.
    """

    percent: int = 0
    changed_at: float = 0.0
    listed_at: float = 0.0
    before: tuple = (0, 0.0)
    standing: bool = False


@attrs.define(eq=False, repr=False)
class Run:
    """A task that was handed to the worker.

    Parameters
    ----------
    order : RunOrder
    spec : str
        What the worker is told to run.
    link : Link
        The entry that asked for it.
    number : int
        Number of the run on the worker.
    asked_at : float
        When the worker was asked (s).
    sure_at : float
        When the worker's answer arrived (s).
    """

    order: object
    spec: str
    link: object
    number: int
    asked_at: float
    phase: Phase = Phase.STARTING
    sure_at: float = 0.0
    retries: int = 0
    reason: str = ''
    progress: object = attrs.field(factory=Progress)


@attrs.define(eq=False, repr=False)
class Endpoint:
    """An endpoint process.

    Attributes
    ----------
    worker : Worker or None
    clock_offset_ms : float or None
        The worker's clock less the process's (ms).
    lease_until : float
        Latest end of a lease that the worker may have (s).
    listing : bool
        Whether the latest request for the list is open.
    list_number : int
        Number of the latest request for the list.
    listed_as_of : float
        When the latest list that was answered had been asked for (s).
    """

    options: Options
    incarnation: str
    rng: object
    alive_at: float
    generation: int
    timers: Timers = attrs.field(factory=Timers)
    links: dict = attrs.field(factory=dict)
    by_conn: dict = attrs.field(factory=dict)
    roster: object = None
    worker: object = None
    born: int | None = None
    clock_offset_ms: float | None = None
    lease_until: float = 0.0
    reachable: bool = False
    listing: bool = False
    list_number: int = 0
    listed_as_of: float = 0.0
    acked: int = 0
    runs: dict = attrs.field(factory=dict)
    strays: dict = attrs.field(factory=dict)
    numbers: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    used_cpu: int = 0
    used_mem_mb: int = 0
    used_gpu: int = 0
    unhealthy_until: float = 0.0
    pace: object = attrs.field(factory=Pace)
    trial: object = attrs.field(factory=Trial)
    failed_jobs: set = attrs.field(factory=set)
    failed_at: float = 0.0
    draining: bool = False
    changed: bool = False
    histograms: dict = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def count(self, name, number=1):
        """Add to a counter that the metrics show."""
        self.counters[name] += number

    def observe(self, name, seconds):
        """Count a latency (s) for the metrics."""
        self.histograms.setdefault(name, Histogram()).observe(seconds)

    def hello(self, session):
        """Return the first message on a new connection."""
        from azurepier.kernel import messages

        return messages.Hello(
            protocol=1,
            role='endpoint',
            name=self.options.name,
            incarnation=self.incarnation,
            session=session,
            domain=self.options.domain,
            address='',
            web_address='',
            config_version=-1,
            worker=self.options.name,
            slots=1,
            kinds=[],
            largest_size=1,
        )
