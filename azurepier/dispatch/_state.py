"""State of an entry that dispatches to pools of endpoints."""

import collections

import attrs

from azurepier.kernel import Histogram
from azurepier.kernel import Timers


@attrs.frozen
class Options:
    """Settings of an entry.

    Parameters
    ----------
    name, domain : str
    address : str
        Where endpoints and other entries connect, "host:port".
    seeds : tuple of str
        Addresses of entries that may be known from the start.
    bounds : Bounds
    """

    name: str
    domain: str
    address: str
    seeds: tuple
    bounds: object


@attrs.define(eq=False, repr=False)
class Task:
    """One task of a job."""

    job: object
    index: int
    name: str
    starts: int = 0
    failures: int = 0
    failed_at: tuple = ()
    # Endpoints on which the task stood still or was too slow.
    avoid: tuple = ()
    run: object = None
    done: bool = False
    # The task is not started before this time (s).
    not_before: float = 0.0


@attrs.define(eq=False, repr=False)
class Job:
    """A job that was accepted and has not ended.

    Parameters
    ----------
    reqs : set of int
        The callers' requests; the same id may be submitted again.
    queue : Queue
    spec : JobRequest
    received_at : float
        Time of arrival (s).
    work_s : float
        Expected run time of a task on a worker of speed 1.
    objective_at : float
        When the answer is due (s).
    """

    reqs: set
    queue: object
    spec: object
    received_at: float
    work_s: float
    objective_at: float
    waiting: list = attrs.field(factory=list)
    running: set = attrs.field(factory=set)
    remaining: int = 0
    may_have_run: bool = False
    # When the first and the latest start was sent (s), and starts by the
    # endpoint's name, for the log.
    first_start_at: float | None = None
    last_start_at: float | None = None
    placed: collections.Counter = attrs.field(factory=collections.Counter)
    # Refused orders by reason, for the log.
    refused: collections.Counter = attrs.field(factory=collections.Counter)
    # Whether `work_s` comes from progress, not from what was declared.
    measured: bool = False
    # Run time on a worker of speed 1 that the progress shows, by the task's
    # index (s).
    sizes: dict = attrs.field(factory=dict)

    @property
    def begun(self):
        """Whether a task runs or may have run."""
        return self.may_have_run or bool(self.running)


@attrs.define(eq=False)
class Run:
    """One start of a task on an endpoint.

    Parameters
    ----------
    seq : int
        Number on the pair of processes.
    task : Task or None
        None after the job has ended: only the end of the run matters.
    name : str
        The task's name.
    needs : Needs
    sent_at, expected_end : float
        Time (s).
    """

    seq: int
    task: object
    name: str
    needs: object
    sent_at: float
    expected_end: float
    stopping: bool = False


@attrs.define(eq=False, repr=False)
class Endpoint:
    """What an entry knows of one endpoint process.

    Attributes
    ----------
    conn : int or None
    over_at : float or None
        While the connection is lost: when nothing that was started through
        it can be running any more (s).
    free_cpu, free_mem_mb, free_gpu : int
        Reported as free, less what the endpoint has not seen yet.
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
    speed: float = 1.0
    failures: int = 0
    # Cores that other entries want of it, and the entries that it serves.
    wanted: float = 0.0
    entries: int = 1
    last_heard: float = 0.0
    # When something was last sent, and when the first of `runs` was (s).
    told_at: float = 0.0
    busy_since: float = 0.0
    # Which state of the roster it was told, and when (s).
    roster_version: int = -1
    roster_at: float = 0.0
    over_at: float | None = None
    next_seq: int = 1
    runs: dict = attrs.field(factory=dict)
    per_job: collections.Counter = attrs.field(factory=collections.Counter)


@attrs.define(eq=False)
class Peer:
    """Another entry.

    Attributes
    ----------
    dialed : bool
        Whether this entry opened the connection.
    told_at : float
        When something was last sent (s).
    roster_version, roster_at : int, float
        Which state of the roster it was told, and when (s).
    """

    name: str
    incarnation: str
    address: str
    domain: str
    conn: int
    last_heard: float
    dialed: bool = False
    config_version: int = -1
    told_at: float = 0.0
    roster_version: int = -1
    roster_at: float = 0.0


@attrs.define(eq=False, repr=False)
class Entry:
    """An entry.

    Attributes
    ----------
    jobs : dict of str to Job
        By the job's id.
    job_of : dict of int to Job
        By the caller's request.
    recent : OrderedDict
        Outcome and time of ended jobs, by id.
    endpoints : dict of str to Endpoint
        By incarnation.
    running_names : collections.Counter
        Number of runs by the task's name, those of ended jobs included.
    alive_at : float
        When the process last did anything (s).
    """

    options: Options
    incarnation: str
    rng: object
    started_at: float
    alive_at: float
    timers: Timers = attrs.field(factory=Timers)
    jobs: dict = attrs.field(factory=dict)
    job_of: dict = attrs.field(factory=dict)
    recent: collections.OrderedDict = attrs.field(
        factory=collections.OrderedDict
    )
    endpoints: dict = attrs.field(factory=dict)
    by_conn: dict = attrs.field(factory=dict)
    peers: dict = attrs.field(factory=dict)
    roster: object = None
    # Addresses of entries that connections are being opened to.
    dialed: set = attrs.field(factory=set)
    running_names: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    routing: object = None
    draining_since: float | None = None
    # The job that is being handled; it is given up if that fails.
    handling: object = None
    # Whether the process is about to end; nothing can be finished any more.
    stopped: bool = False
    dirty: bool = False
    drain_until: float = 0.0
    # Since when a pool has no open endpoint (s).
    stranded_since: dict = attrs.field(factory=dict)
    # Recently arrived work, decaying (core-seconds), and as of when (s).
    arrived: float = 0.0
    arrived_at: float = 0.0
    # When the latest job came (s), by pool and priority of its queue.
    arrived_of: dict = attrs.field(factory=dict)
    # When the first endpoint could be used again after none could (s).
    opened_at: float = 0.0
    # Returns the number of open connections of callers.
    callers_connected: object = lambda: 0
    orders: dict = attrs.field(factory=dict)
    counters: collections.Counter = attrs.field(factory=collections.Counter)
    histograms: dict = attrs.field(factory=dict)

    @property
    def draining(self):
        """Whether the process was asked to stop."""
        return self.draining_since is not None

    def run_of(self, place):
        """Return the run at an endpoint's incarnation and number."""
        incarnation, seq = place
        return self.endpoints[incarnation].runs[seq]

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
            role='entry',
            name=self.options.name,
            incarnation=self.incarnation,
            session=session,
            domain=self.options.domain,
            address=self.options.address,
            web_address='',
            config_version=config_version(self),
        )


def config_version(node):
    """Return the version of the configuration in force, -1 for none."""
    return -1 if node.routing is None else node.routing.version
