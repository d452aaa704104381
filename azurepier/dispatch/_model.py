"""Requests of callers, their answers, and the routing to queues."""

import attrs

from azurepier.kernel import Verdict


@attrs.frozen
class Resources:
    """Resources that one task occupies on a worker.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    mem_mb, gpu : int
    label : str
        Label that the worker must have; empty if any worker will do.
    """

    cpu: int
    mem_mb: int = 0
    gpu: int = 0
    label: str = ''


@attrs.frozen
class JobRequest:
    """A job of independent tasks with equal resource requirements.

    Parameters
    ----------
    id : str
        Chosen by the caller; a repeated id denotes the same job.
    spec : str
        Passed to the worker with each task.
    count : int
        Number of tasks.
    declared_ms : int
        The caller's estimate of a task's run time.
    resources : Resources
        Requirements of each task.
    max_per_worker : int
        Tasks that may run on one worker at a time; 0 for no limit.
    """

    id: str
    spec: str
    count: int
    declared_ms: int
    resources: Resources
    max_per_worker: int = 0


@attrs.frozen
class Queue:
    """A queue of the operator's configuration.

    Parameters
    ----------
    name : str
    pool : str
        Pool of workers that run the queue's tasks.
    priority : int
        Priority class; 0 is the most urgent.
    max_attempts : int
        Failed runs of a task after which its job fails.
    stretch : float
        Objective of the response time, as a multiple of the run time of the
        job's longest task.
    margin_s : float
        Added to the objective (s).
    """

    name: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    margin_s: float


@attrs.frozen
class Submit:
    """A caller submits a job and waits for its answer.

    `waited_s` is the time since the request arrived (s).
    """

    req: int
    queue: Queue
    job: JobRequest
    waited_s: float = 0.0


@attrs.frozen
class FirstConfigApplied:
    """The first configuration of this process is in force."""


@attrs.frozen
class ConfirmCallers:
    """Find out which callers have left, without waiting for the event loop.

    The shell passes `Abandon` for each of their requests to the node and then
    `CallersConfirmed`.
    """


@attrs.frozen
class CallersConfirmed:
    """The callers of all jobs have not left as of now."""


@attrs.frozen
class CloseIdleCallers:
    """Close the connections of callers without a request in progress."""


@attrs.frozen
class Finished:
    """Answer for a job that has ended.

    Parameters
    ----------
    succeeded : bool
        False if a task has failed too often.
    """

    succeeded: bool


@attrs.frozen
class CancelJob:
    """A caller cancels a job, which another entry may have.

    Parameters
    ----------
    job_id : str
    req : int or None
        Request that gets the answer, None if nobody waits for one.
    knows_route : bool
        Whether the path of the request has or had a queue here. If not, the
        answer says whether an entry had the job.
    """

    job_id: str
    req: int | None = None
    knows_route: bool = True


@attrs.frozen
class CancelConfirmed:
    """Answer to a cancel that no entry can miss any more.

    Parameters
    ----------
    had_job : bool
        Whether this entry had the job or, if the route isn't known, another.
    """

    had_job: bool


@attrs.frozen
class CancelUnconfirmed:
    """Answer to a cancel that an entry with the job may have missed."""

    retry_after_s: int


@attrs.frozen
class Canceled:
    """Answer for a job that was canceled, and of which no run is left."""


@attrs.frozen
class Rejected:
    """Answer for a rejected job, whose remaining runs are being stopped.

    Parameters
    ----------
    reason : str
    retry_after_s : int
        Time after which the caller may submit the job again (s).
    verdict : Verdict
        Whether a task of the job may have run.
    """

    reason: str
    retry_after_s: int
    verdict: Verdict = Verdict.NOT_RUN


@attrs.frozen
class Routing:
    """A version of the operator's configuration.

    Parameters
    ----------
    version : int
    queues : dict
        `Queue` by ``(host, path prefix)``.
    body : bytes
        The text as the operator wrote it, forwarded to other entries.

    Attributes
    ----------
    longest_prefix : int
        Length of the longest path prefix.
    """

    version: int
    queues: dict
    body: bytes = b''
    longest_prefix: int = attrs.field(init=False, eq=False)

    @longest_prefix.default
    def _find_longest_prefix(self):
        return max((len(prefix) for _, prefix in self.queues), default=0)


def find_queue(routing, host, path):
    """Return the queue with the longest matching prefix, and the prefix.

    Parameters
    ----------
    routing : Routing
    host, path : str

    Returns
    -------
    tuple of (Queue or None, str)
    """
    route = find_route(routing.queues, host, path, routing.longest_prefix)
    return (None, '') if route is None else (routing.queues[route], route[1])


def find_route(routes, host, path, longest_prefix):
    """Return the route with the longest matching prefix, None if none matches.

    Load pattern: paths of thousands of slashes, each of which may end a
    prefix. Only those are looked up that aren't longer than any route.

    Parameters
    ----------
    routes : container of tuple
        ``(host, path prefix)`` of each route.
    host, path : str
    longest_prefix : int
        Length of the longest prefix in `routes`, or more.
    """
    end = min(len(path), longest_prefix)
    while (end := path.rfind('/', 0, end)) >= 0:
        route = host, path[: end + 1]
        if route in routes:
            return route
    return None
