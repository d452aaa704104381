"""Runs of tasks on the worker, and what is remembered of them."""

import enum
import math

import attrs


class Phase(enum.Enum):
    """Phase of a run on the worker."""

    STARTING = 1
    RUNNING = 2
    UNSURE = 3  # it is not known whether the run exists
    STOPPING = 4


@attrs.define(eq=False)
class Progress:
    """Progress of a run as the worker lists it.

    Attributes
    ----------
    percent : int
        Completed share at the last list.
    advanced_at : float
        When `percent` last rose (s).
    listed_at : float
        When the run was last listed (s).
    previous_sample : tuple of (int, float)
        Percent and time of an earlier list, for the current rate.
    stalled : bool
        Whether the run makes no progress.
    """

    percent: int = 0
    advanced_at: float = 0.0
    listed_at: float = 0.0
    previous_sample: tuple = (0, 0.0)
    stalled: bool = False


@attrs.define(eq=False, repr=False)
class Run:
    """A run of a task that was requested from the worker.

    Parameters
    ----------
    order : RunOrder
    spec : str
        Specification of the task, passed to the worker unchanged.
    link : Link
        The entry that ordered the run.
    number : int
        Number of the run on the worker.
    requested_at : float
        When the start was sent to the worker (s).
    call_ended_at : float
        When the last call about the run was answered or given up (s). Only
        lists that were requested later show whether the run exists.
    retries : int
        Starts that were repeated with a higher number.
    repeats : int
        Starts that were repeated with the same number.
    stop_requests : int
        Stop requests that were sent so far.
    reason : str
        Why the run was stopped; empty if it was not.
    worker : str
        Id of the worker to which the starts are addressed.
    born : int
        Start time of the incarnation that is to run it (ms since 1970).
    starts_resolved : bool
        Whether all starts that were sent have been carried out or refused.
    loss : Loss or None
        The loss of the worker on which the run was requested. Its end is
        reported once no start of the run can be carried out any more.
    fenced_from : int or None
        Number of the first list request whose generation is higher than that
        of all starts of the run.
    renewal_end_at : float
        Time after which the lease isn't renewed before the run's end is known
        (s).
    """

    order: object
    spec: str
    link: object
    number: int
    requested_at: float
    phase: Phase = Phase.STARTING
    call_ended_at: float = 0.0
    retries: int = 0
    repeats: int = 0
    stop_requests: int = 0
    reason: str = ''
    renewal_end_at: float = math.inf
    progress: object = attrs.field(factory=Progress)
    worker: str = ''
    born: int = 0
    starts_resolved: bool = False
    loss: object = None
    fenced_from: int | None = None


@attrs.frozen
class Loss:
    """The loss of a worker, as it concerns a run.

    Parameters
    ----------
    reason : str
        Reason of the run's end.
    at : float
        When the worker counted as lost (s).
    age_s : float
        Age of the run when the worker failed (s).
    """

    reason: str
    at: float
    age_s: float


@attrs.define(eq=False)
class LostTask:
    """A task whose run has ended with the worker.

    Attributes
    ----------
    reason : str
        Reason of the refusal that tells an entry of it.
    told : set of str
        Incarnations of the entries that know.
    """

    reason: str
    told: set = attrs.field(factory=set)
