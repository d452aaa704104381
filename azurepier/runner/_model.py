"""Requests to a worker and the events that follow from its answers."""

import enum

import attrs


class StartResult(enum.Enum):
    """Result of a request to start a run."""

    STARTED = 'started'
    OLD_NUMBER = 'old_number'  # the run number was already used
    TOO_LATE = 'too_late'  # the lease in the request has expired
    NO_ROOM = 'no_room'
    OLD_GENERATION = 'old_generation'
    UNHEALTHY = 'unhealthy'
    OTHER_WORKER = 'other_worker'  # a worker with another id answered
    OTHER_INCARNATION = 'other_incarnation'  # not sent to a restarted worker
    UNIDENTIFIED = 'unidentified'  # not sent, the list before had no answer
    INVALID = 'invalid'
    NOT_SENT = 'not_sent'
    WITHDRAWN = 'evacuated'  # not sent, since the domain was evacuated
    NO_ANSWER = 'no_answer'  # the run may exist or start later


class RunOutcome(enum.Enum):
    """How a run on the worker ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'  # stopped by the worker when the lease expired
    OTHER = 'other'


@attrs.frozen
class Worker:
    """Report of a worker on itself.

    Parameters
    ----------
    id : str
    born : int
        Start of the worker's incarnation (ms since 1970).
    pool : str
    labels : tuple of str
    cpu, mem_mb, gpu : int
        Capacity; `cpu` in thousandths of a core.
    leaving : bool
    sequence : int
        Increases with each report of the same incarnation.
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
    """A run that the worker lists as ended.

    `index` numbers the ends in their order, for acknowledgement.
    """

    index: int
    task: str
    number: int
    outcome: RunOutcome


@attrs.frozen
class WorkerReported:
    """The worker has sent a heartbeat with a report on itself."""

    worker: Worker


@attrs.frozen
class WorkerLeft:
    """The worker has announced that it is shutting down."""

    id: str


@attrs.frozen
class RunsListed:
    """The worker has renewed the lease and listed its runs.

    Parameters
    ----------
    requested_at : float
        When the request was sent (s).
    clock_ms : int
        The worker's clock at the time of the list.
    born : int
    running : tuple of RunningRow
    ended : tuple of EndedRow
    number : int
        Number of the request.
    omitted : int
        Number of rows that could not be read; each may be any run.
    """

    requested_at: float
    clock_ms: int
    born: int
    running: tuple
    ended: tuple
    number: int
    omitted: int = 0


@attrs.frozen
class ListFailed:
    """A request for the worker's list has failed.

    `refused` tells that the worker's machine refused the connection, so that
    nothing listens at its address.
    """

    reason: str
    number: int
    other_worker: bool = False
    old_generation: bool = False
    refused: bool = False


@attrs.frozen
class StartAnswered:
    """A start request was answered or has failed."""

    task: str
    number: int
    result: StartResult


@attrs.frozen
class StopAnswered:
    """A stop request was confirmed or has failed."""

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
        Id of the intended worker; empty if it is not known.
    born : int
        Start time of the intended incarnation (ms since 1970). The start is
        sent only on a connection that this incarnation has accepted, so that
        a worker that has restarted under its id doesn't receive it.
    """

    task: str
    number: int
    spec: str
    lease_ms: int
    generation: int
    worker: str
    born: int


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
        The worker may discard ends up to this index.
    wait_ms : int
        How long the worker may delay its answer until a run ends.
    generation : int
    number : int
        Number of the request, counted by the endpoint process.
    """

    lease_ms: int | None
    acked: int
    wait_ms: int
    generation: int
    number: int
