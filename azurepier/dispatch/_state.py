"""State of an entry that dispatches to pools of endpoints."""

import collections
import math

import attrs

from azurepier.dispatch import _arrival
from azurepier.dispatch import _policy
from azurepier.kernel import Histogram
from azurepier.kernel import messages
from azurepier.kernel import Timers


@attrs.frozen
class Options:
    """Settings of an entry.

    Parameters
    ----------
    name, domain : str
    address : str
        Address for connections of endpoints and other entries, "host:port".
    seeds : tuple of str
        Addresses of entries to dial while no other is known.
    bounds : Bounds
        Times of the deployment; its `grace_s` is used.
    policy : Policy
        Optional parts in use.
    max_tasks : float
        Maximum number of tasks and of runs of all jobs together.
    """

    name: str
    domain: str
    address: str
    seeds: tuple
    bounds: object
    policy: object = _policy.Policy()
    max_tasks: float = math.inf


@attrs.define(eq=False, repr=False)
class Task:
    """One task of a job.

    Attributes
    ----------
    starts, failures : int
        Number of runs started, and of those that failed.
    failed_endpoints : tuple of str
        Endpoint of each failed run.
    avoided_endpoints : tuple of str
        Endpoints on which the task stalled or was too slow.
    not_before : float
        Earliest time of the next start (s).
    """

    job: object
    index: int
    name: str
    starts: int = 0
    failures: int = 0
    failed_endpoints: tuple = ()
    avoided_endpoints: tuple = ()
    run: object = None
    done: bool = False
    not_before: float = 0.0
    # Earliest time at which the task is ordered by a forecast again (s).
    forecast_not_before: float = 0.0


@attrs.define(eq=False, repr=False)
class Job:
    """A job that was accepted and has not ended.

    Parameters
    ----------
    reqs : set of int
        Requests of the callers; several may submit the same job id.
    queue : Queue
    request : JobRequest
    received_at : float
        Time of arrival (s).
    work_s : float
        Expected run time of a task on a worker of speed 1.
    objective_at : float
        Time at which the answer is due (s).

    Attributes
    ----------
    waiting : list of Task
        Tasks to start, the next one last.
    running : set of (str, int)
        Incarnation of the endpoint and `Run.seq` of each run.
    remaining : int
        Number of tasks that have not succeeded.
    may_have_run : bool
        Whether a run has ended that the worker may have started.
    started_before : bool
        Whether the job was started for an earlier submission, as far as this
        entry knows.
    start_forgotten : bool
        Whether this entry may have forgotten that.
    """

    reqs: set
    queue: object
    request: object
    received_at: float
    work_s: float
    objective_at: float
    waiting: list = attrs.field(factory=list)
    running: set = attrs.field(factory=set)
    remaining: int = 0
    may_have_run: bool = False
    started_before: bool = False
    start_forgotten: bool = False
    # Times of the first and the latest start (s), and number of starts by
    # endpoint name, for the log.
    first_start_at: float | None = None
    last_start_at: float | None = None
    starts_by_endpoint: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    # Number of orders that were sent to wait at endpoint processes, and the
    # longest wait that was expected (s), for the log.
    orders_to_wait: int = 0
    longest_wait_s: float = 0.0
    # Number of refused orders by reason, for the log.
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    # Whether `work_s` was derived from progress, not from the declared time.
    work_is_measured: bool = False
    # Run time on a worker of speed 1 as derived from progress (s), by task
    # index.
    measured_work_s: dict = attrs.field(factory=dict)

    @property
    def has_started(self):
        """Whether a task is running or may have run."""
        return self.may_have_run or bool(self.running)


@attrs.define(eq=False)
class Run:
    """One run of a task on an endpoint.

    Parameters
    ----------
    seq : int
        Number of the run, used only once by this incarnation of the entry.
    task : Task or None
        None once the job has ended and only the end of the run is pending.
    name : str
        The task's name.
    resources : Resources
    sent_at, expected_end_at : float
        Times of the order and of the expected end (s).
    """

    seq: int
    task: object
    name: str
    resources: object
    sent_at: float
    expected_end_at: float
    stopping: bool = False
    # Whether the task may have crashed a worker.
    is_suspect: bool = False
    # Expected start at the endpoint (s), if the order has to wait there.
    expected_start_at: float | None = None
    # The `Canceling` of a canceled job whose callers wait for its end.
    canceling: object = None


@attrs.define(eq=False, repr=False)
class Endpoint:
    """State of one endpoint process as the entry knows it.

    Attributes
    ----------
    conn : int or None
        None while disconnected.
    runs_expire_at : float or None
        While disconnected: time from which none of the runs can exist any
        more (s).
    free_cpu, free_mem_mb, free_gpu : int
        Reported free capacity less the orders that the report does not
        include yet.
    speed : float
        Ratio of the declared to the actual run time of tasks.
    failures : int
        Number of jobs whose tasks have failed or stalled since the last
        success.
    latest_session : int
        Highest session number reported; 0 from earlier versions.
    reports_received : int
        Number of reports with ends received on the connection.
    runs : dict of int to Run
        By `Run.seq`.
    runs_per_job : collections.Counter
        Number of runs by job id.
    """

    name: str
    incarnation: str
    domain: str
    conn: int | None = None
    pool: str = ''
    labels: frozenset = frozenset()
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    free_cpu: int = 0
    free_mem_mb: int = 0
    free_gpu: int = 0
    accepting: bool = False
    # Whether the operator has evacuated the failure domain.
    evacuated: bool = False
    speed: float = 1.0
    failures: int = 0
    # Demand of the other entries (cores), and number of connected entries.
    others_demand: float = 0.0
    entry_count: int = 1
    # Jobs that arrive at the other entries, None if it never reported them.
    others_arriving: list | None = None
    # Time at which the arrivals here were last sent to it (s).
    arriving_sent_at: float = 0.0
    last_received_at: float = 0.0
    # Times of the last message sent and of the oldest order since the endpoint
    # last had no runs (s).
    last_sent_at: float = 0.0
    busy_since: float = 0.0
    # Version of the roster that was last sent, and the time (s).
    sent_roster_version: int = -1
    roster_sent_at: float = 0.0
    runs_expire_at: float | None = None
    latest_session: int = 0
    reports_received: int = 0
    # Forecast of the free CPU; None if the endpoint process sends none.
    forecast: object = None
    # Number of orders that wait there.
    waiting_orders: int = 0
    runs: dict = attrs.field(factory=dict)
    runs_per_job: collections.Counter = attrs.field(
        factory=collections.Counter
    )


@attrs.define(eq=False, repr=False)
class Entry:
    """State of an entry.

    Attributes
    ----------
    jobs : dict of str to Job
        By job id.
    job_by_req : dict of int to Job
        By the request of a caller.
    recent_outcomes : OrderedDict
        Time and answer of jobs that ended recently, by job id.
    started_jobs : OrderedDict
        Time at which a job that had started was removed without an outcome,
        by job id.
    start_forgotten_at : float
        Latest of these times whose job was forgotten early (s).
    endpoints : dict of str to Endpoint
        By incarnation; includes endpoints that are disconnected.
    by_conn : dict of int to Endpoint
        Connected endpoints, by connection.
    peers : dict of int to Peer
        Connected entries, by connection.
    task_count : int
        Number of tasks of all jobs in `jobs`.
    run_count_by_task : collections.Counter
        Number of runs by task name; includes runs of ended jobs.
    crash_records : OrderedDict of str to Record
        What is known of tasks whose runs have ended with their worker, by
        task name, least recent first.
    last_event_at : float
        Time of the last event (s).
    woke_at : float or None
        Time at which the last pause of the process ended (s).
    dirty : bool
        Whether the waiting jobs have to be dispatched again.
    drain_end_at : float
        During a drain: time at which unfinished jobs are rejected (s).
    next_seq : int
        Number of the next run. Endpoint processes report runs by number, also
        after this entry has dropped its state of them.
    unsent_orders : dict of int to RunOrders
        Orders of the current pass, by connection.
    """

    options: Options
    incarnation: str
    rng: object
    started_at: float
    last_event_at: float
    # Time of the cancel (s) by job id; requests that wait for the last run.
    canceled_jobs: dict = attrs.field(factory=collections.OrderedDict)
    canceled_reqs: set = attrs.field(factory=set)
    # Those of the canceled jobs that this entry had; canceled jobs that the
    # endpoint processes have yet to hear of, by the connections that have.
    stopped_jobs: dict = attrs.field(factory=collections.OrderedDict)
    unsent_cancels: dict = attrs.field(factory=dict)
    cancel_checks: object = None
    woke_at: float | None = None
    timers: Timers = attrs.field(factory=Timers)
    jobs: dict = attrs.field(factory=dict)
    job_by_req: dict = attrs.field(factory=dict)
    task_count: int = 0
    recent_outcomes: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    started_jobs: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    start_forgotten_at: float = -math.inf
    endpoints: dict = attrs.field(factory=dict)
    by_conn: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    roster: object = None
    # Addresses of entries to which connections are being opened.
    dialing: set = attrs.field(factory=set)
    run_count_by_task: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    next_seq: int = 1
    crash_records: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    routing: object = None
    # Routes of earlier versions, ``(host, path prefix)``, the latest last.
    former_routes: dict = attrs.field(factory=collections.OrderedDict)
    # Length of the longest path prefix of these so far.
    longest_former_prefix: int = 0
    # Newest version of the configuration that this entry has heard of, -1 for
    # none, and when (s).
    config_heard: int = -1
    config_heard_at: float = 0.0
    # Transfer of that version from other entries, None if none is wanted.
    transfer: object = None
    # Evacuated failure domains, None before the first update of them, and the
    # time of the latest answer of the store (s).
    evacuations: object = None
    store_seen_at: float = 0.0
    # Time of the latest chunk of a long answer of the store (s).
    store_answering_at: float = -math.inf
    draining_since: float | None = None
    # The job being processed; it is rejected if the handler raises.
    current_job: object = None
    # Whether the drain is complete; new jobs are rejected.
    stopped: bool = False
    dirty: bool = False
    drain_end_at: float = 0.0
    # Time since which a pool has had no open endpoint (s), by pool.
    unavailable_since: dict = attrs.field(factory=dict)
    # Exponentially decayed sum of arrived work (core-seconds), and the time of
    # the last decay (s).
    arrived_work: float = 0.0
    arrivals_updated_at: float = 0.0
    # Time of the latest arrival (s), by pool and priority of the queue.
    last_arrival_at: dict = attrs.field(factory=dict)
    # `Arrivals` by pool and priority, and work started recently by pool and
    # queue, for the reserve that follows the arrivals.
    arrivals: dict = attrs.field(factory=dict)
    started_work: dict = attrs.field(factory=dict)
    # What is kept for urgent jobs, by pool and priority of the jobs that have
    # to leave it, with the time (s).
    reserves: dict = attrs.field(factory=dict)
    # Time at which the first endpoint became available after there was none
    # (s).
    warm_up_since: float = 0.0
    arrival: object = attrs.field(factory=_arrival.Arrival)
    # Returns the number of open caller connections.
    callers_connected: object = lambda: 0
    unsent_orders: dict = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    histograms: dict = attrs.field(factory=dict)

    @property
    def draining(self):
        """Whether the process was asked to stop."""
        return self.draining_since is not None

    def get_run(self, run_key):
        """Return the run with the key ``(incarnation, seq)``."""
        incarnation, seq = run_key
        return self.endpoints[incarnation].runs[seq]

    def count(self, name, number=1):
        """Increase a counter of the metrics."""
        self.counters[name] += number

    def observe(self, name, seconds):
        """Add a latency (s) to a histogram of the metrics."""
        self.histograms.setdefault(name, Histogram()).observe(seconds)

    def hello(self, session):
        """Return the first message on a new connection."""
        return messages.Hello(
            protocol=1,
            role='entry',
            name=self.options.name,
            incarnation=self.incarnation,
            session=session,
            domain=self.options.domain,
            address=self.options.address,
            web_address='',
            config_version=config_version(self),
            config_parts=True,
            relays_cancels=True,
        )


def config_version(node):
    """Return the version of the applied configuration, or -1."""
    return -1 if node.routing is None else node.routing.version
