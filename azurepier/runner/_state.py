"""State of an endpoint process that places tasks by their resources."""

import collections
import math

import attrs

from azurepier import dispatch
from azurepier.kernel import Histogram
from azurepier.kernel import Timers


@attrs.frozen
class Options:
    """Settings of an endpoint process.

    Parameters
    ----------
    name, domain : str
    pool : str
        Pool of the worker according to the settings; the worker's own report
        takes precedence.
    seeds : tuple of str
        Entry addresses that are known at the start.
    generation : int
        Has to exceed that of all earlier runs of the process.
    grace_s : float
        Time between the request to stop and the kill (s).
    policy : azurepier.dispatch.Policy
        Optional parts in use.
    """

    name: str
    domain: str
    pool: str
    seeds: tuple
    generation: int
    grace_s: float
    policy: object = dispatch.Policy()


@attrs.define(eq=False)
class SpeedEstimate:
    """Exponentially decaying sums of declared work and actual run time.

    Attributes
    ----------
    work_s, run_time_s : float
        Sums over the long window (s).
    recent_work_s, recent_run_time_s : float
        Sums over the short window, which shows sudden changes (s).
    updated_at : float
        Time of the last measurement (s).
    """

    work_s: float = 0.0
    run_time_s: float = 0.0
    recent_work_s: float = 0.0
    recent_run_time_s: float = 0.0
    updated_at: float = 0.0


@attrs.define(eq=False)
class Trial:
    """State of the trials of a suspect worker.

    Attributes
    ----------
    suspected : bool
    offered_to : Link or None
        The entry that may send one task now.
    backoff_s : float
        Delay between the current trial and the next one (s).
    last_offer_index : int
        Index of the entry that got the last offer.
    used_by : Link or None
        The entry that sent the last trial task.
    used_at : float
        Arrival time of the last trial task (s).
    """

    suspected: bool = False
    offered_to: object = None
    backoff_s: float = 0.0
    last_offer_index: int = 0
    used_by: object = None
    used_at: float = 0.0


@attrs.define(eq=False, repr=False)
class Link:
    """Connection state and runs of one incarnation of an entry.

    Attributes
    ----------
    last_received_at : float
        Time of the last message from the entry (s).
    conn : int or None
        None while the entry is disconnected.
    highest_seq : int
        Highest sequence number of the orders received.
    report_due : bool
        Whether the latest change still has to be reported to the entry.
    last_sent_at : float
        Time of the last report of the free capacity (s).
    demand : float
        Demand of the entry for this endpoint (cores).
    arriving : list of Demand or None
        Share of this endpoint in the jobs that arrive at the entry; None if
        the entry doesn't send it.
    store_silent : bool
        Whether the entry has lost contact to the store.
    sends_evacuations : bool
        Whether the entry has sent an update of the evacuations. Builds from
        before these send none, and don't report a silent store either.
    relays_cancels : bool
        Whether the entry applies the cancels that this process sends.
    close_at : float or None
        Earliest time at which a surplus connection is closed (s).
    runs : dict of int to Run
        By the sequence number of the order.
    waiting : dict of int to WaitingOrder
        By the sequence number of the order.
    reports_sent : int
        Number of reports with ends sent on the connection.
    acknowledges : bool
        Whether the entry has acknowledged a report. Entries of earlier
        versions don't.
    reported_ends : deque
        ``(report, time, RunEnd)`` of ends that are reported again on a new
        connection: those not acknowledged, or recent ones.
    unreported_ends : list of RunEnd
    """

    name: str
    incarnation: str
    address: str
    last_received_at: float
    conn: int | None = None
    highest_seq: int = 0
    report_due: bool = False
    last_sent_at: float = 0.0
    demand: float = 0.0
    arriving: list | None = None
    # Time at which the arrivals at other entries were last sent to it (s).
    arriving_sent_at: float = -math.inf
    store_silent: bool = False
    sends_evacuations: bool = False
    relays_cancels: bool = False
    close_at: float | None = None
    runs: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    reports_sent: int = 0
    acknowledges: bool = False
    reported_ends: collections.deque = attrs.field(factory=collections.deque)
    unreported_ends: list = attrs.field(factory=list)

    @property
    def is_busy(self):
        """Whether runs or orders are lost if the connection is silent."""
        return bool(self.runs or self.waiting)


@attrs.define(eq=False, repr=False)
class Endpoint:
    """State of an endpoint process.

    Attributes
    ----------
    last_event_at : float
        When the last event was processed (s); a gap shows a pause.
    links : dict of str to Link
        By the incarnation of the entry.
    by_conn : dict of int to Link
        Links that are connected.
    worker : Worker or None
        Latest report of the worker's current incarnation.
    born : int or None
        Start time of that incarnation according to the worker's list (ms since
        1970).
    heartbeats : Heartbeats or None
        Reports of that incarnation, from which `worker` follows.
    unconfirmed_reports : dict of int to Heartbeats
        Reports with another start time, by that time.
    clock_offset_ms : float or None
        The worker's clock minus the clock of this process (ms).
    lease_end_at : float
        Latest possible end of a lease that the worker holds (s); an earlier
        process may have granted it.
    own_lease_end_at : float
        Latest end of a lease that this process has granted (s).
    lease_ending : bool
        Whether the lease wasn't renewed and was about to end at the latest
        list request.
    list_pending : bool
        Whether the latest list request is unanswered.
    list_number : int
        Number of the latest list request.
    last_list_requested_at : float
        Request time of the latest list that was received (s).
    acked : int
        Index of the last end that was processed.
    runs : dict of str to Run
        By task.
    waiting : dict of str to WaitingOrder
        Orders that wait for enough free capacity, by task.
    forecast : tuple or None
        State for which the forecast was last computed, and its result.
    orphaned_runs : dict of str to int
        Run numbers, by task, of runs that no entry ordered.
    last_run_numbers : OrderedDict of str to int
        Highest run number by task, least recently used first.
    failing_since : float or None
        When the first call failed since the worker's last answer (s).
    refuses_connections : bool
        Whether a connection to the worker was refused since its last answer.
    lost_tasks : OrderedDict of str to LostTask
        Tasks whose runs have ended with the worker, least recent first.
    silent_tasks : list of str
        Tasks whose runs ended with the lease since the worker's last answer.
    last_started_at, alone_until : float
        When a run was last started, and until when no further one is, since
        a suspect task is being started (s).
    unhealthy_until : float
        Earliest time of new runs after the worker refused one because it is
        unhealthy (s).
    evacuations : Evacuations or None
        None until they are known.
    canceled_jobs : OrderedDict of str to float
        Time of the cancel (s) by job id.
    unsent_cancels : dict of str to set of str
        Canceled jobs that are to be passed on, with the incarnations of the
        entries that know of them.
    failed_jobs : set of str
        Jobs whose tasks failed or stalled since the last success.
    failed_at : float
        When a task last failed or stalled (s).
    session_count : int
        Number of connections to entries so far.
    changed : bool
        Whether a change has to be reported to the entries.
    """

    options: Options
    incarnation: str
    rng: object
    last_event_at: float
    generation: int
    timers: Timers = attrs.field(factory=Timers)
    links: dict = attrs.field(factory=dict)
    by_conn: dict = attrs.field(factory=dict)
    roster: object = None
    evacuations: object = None
    canceled_jobs: dict = attrs.field(factory=collections.OrderedDict)
    unsent_cancels: dict = attrs.field(factory=dict)
    worker: object = None
    born: int | None = None
    heartbeats: object = None
    unconfirmed_reports: dict = attrs.field(factory=dict)
    clock_offset_ms: float | None = None
    lease_end_at: float = attrs.field(
        default=attrs.Factory(
            lambda node: node.last_event_at + dispatch.bounds.LEASE_S,
            takes_self=True,
        )
    )
    own_lease_end_at: float = 0.0
    lease_ending: bool = False
    reachable: bool = False
    list_pending: bool = False
    list_number: int = 0
    last_list_requested_at: float = 0.0
    acked: int = 0
    runs: dict = attrs.field(factory=dict)
    waiting: dict = attrs.field(factory=dict)
    forecast: tuple | None = None
    orphaned_runs: dict = attrs.field(factory=dict)
    last_run_numbers: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    used_cpu: int = 0
    used_mem_mb: int = 0
    used_gpu: int = 0
    failing_since: float | None = None
    refuses_connections: bool = False
    lost_tasks: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    silent_tasks: list = attrs.field(factory=list)
    last_started_at: float = 0.0
    alone_until: float = 0.0
    unhealthy_until: float = 0.0
    speed_estimate: object = attrs.field(factory=SpeedEstimate)
    trial: object = attrs.field(factory=Trial)
    failed_jobs: set = attrs.field(factory=set)
    failed_at: float = 0.0
    draining: bool = False
    session_count: int = 0
    changed: bool = False
    histograms: dict = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)

    def count(self, name, number=1):
        """Increase a counter of the metrics."""
        self.counters[name] += number

    def observe(self, name, seconds):
        """Add a duration (s) to a histogram of the metrics."""
        self.histograms.setdefault(name, Histogram()).observe(seconds)

    def hello(self, session):
        """Return the handshake message for a new connection."""
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
            relays_cancels=True,
        )
