"""What a worker says, and what is asked of it."""

import enum

import attrs


class StartResult(enum.Enum):
    """How a worker answered the request to start a run."""

    STARTED = 'started'
    OLD_NUMBER = 'old_number'  # the run number was used before
    TOO_LATE = 'too_late'  # the lease that came with it has ended
    NO_ROOM = 'no_room'
    OLD_GENERATION = 'old_generation'
    UNHEALTHY = 'unhealthy'
    OTHER_WORKER = 'other_worker'  # another run of the worker answered
    INVALID = 'invalid'
    NOT_SENT = 'not_sent'
    NO_ANSWER = 'no_answer'  # it may run now or be carried out later


class How(enum.Enum):
    """How a run ended on the worker."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    OTHER = 'other'


@attrs.frozen
class Worker:
    """A worker's report of itself.

    Parameters
    ----------
    id : str
    born : int
        When this run of the worker began (ms since 1970).
    pool : str
    labels : tuple of str
    cpu, mem_mb, gpu : int
        Capacity; `cpu` in thousandths of a core.
    leaving : bool
    sequence : int
        Grows with each report of the same run.
    """

    id: str
    born: int
    pool: str
    labels: tuple
    cpu: int
    mem_mb: int
    gpu: int
    leaving: bool
    sequence: int


@attrs.frozen
class RunningRow:
    """A run that the worker lists as running."""

    task: str
    number: int
    percent: int


@attrs.frozen
class EndedRow:
    """A run that the worker lists as ended; `index` counts the ends."""

    index: int
    task: str
    number: int
    how: How


@attrs.frozen
class WorkerSeen:
    """The worker reported itself."""

    worker: Worker


@attrs.frozen
class WorkerLeft:
    """The worker says that it has ended."""

    id: str


@attrs.frozen
class RunsListed:
    """The worker renewed the lease and listed its runs.

    Parameters
    ----------
    asked_at : float
        When the request was sent (s).
    clock_ms : int
        The worker's clock.
    born : int
    running : tuple of RunningRow
    ended : tuple of EndedRow
    number : int
        Number of the request.
    """

    asked_at: float
    clock_ms: int
    born: int
    running: tuple
    ended: tuple
    number: int


@attrs.frozen
class ListFailed:
    """The worker did not answer a request with its list."""

    reason: str
    number: int
    other_worker: bool = False
    old_generation: bool = False


@attrs.frozen
class StartAnswered:
    """The worker answered a start, or did not."""

    task: str
    number: int
    result: StartResult


@attrs.frozen
class StopAnswered:
    """The worker confirmed a stop, or did not."""

    task: str
    number: int
    confirmed: bool


@attrs.frozen
class StartRun:
    """Ask the worker to start a run.

    Parameters
    ----------
    task : str
    number : int
        Number of the run.
    spec : str
    lease_ms : int
        End of the lease on the worker's clock.
    generation : int
    worker : str
        Id of the worker that is meant; empty if not known.
    """

    task: str
    number: int
    spec: str
    lease_ms: int
    generation: int
    worker: str


@attrs.frozen
class StopRun:
    """Ask the worker to stop a run."""

    task: str
    number: int
    generation: int


@attrs.frozen
class ListRuns:
    """Renew the lease and list the runs.

    Parameters
    ----------
    lease_ms : int or None
        End of the lease on the worker's clock; None if that is not known.
    acked : int
        Ends up to this index may be forgotten.
    wait_ms : int
        How long the worker may wait for an end.
    generation : int
    number : int
        Number of the request, counted by the endpoint process.
    """

    lease_ms: int | None
    acked: int
    wait_ms: int
    generation: int
    number: int
