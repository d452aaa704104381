"""What callers ask for and what they are told."""

import attrs

from azurepier.kernel import Verdict


@attrs.frozen
class Needs:
    """What one task takes of a worker.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    mem_mb, gpu : int
    label : str
        Label that the worker must have; empty: none.
    """

    cpu: int
    mem_mb: int = 0
    gpu: int = 0
    label: str = ''


@attrs.frozen
class JobRequest:
    """A job of independent tasks that all need the same.

    Parameters
    ----------
    id : str
        Chosen by the caller; the same id is the same job.
    spec : str
        Passed to the worker with each task.
    count : int
        Number of tasks.
    declared_ms : int
        The caller's estimate of a task's run time.
    needs : Needs
    max_per_worker : int
        Tasks that may run on one worker at a time; 0: any number.
    """

    id: str
    spec: str
    count: int
    declared_ms: int
    needs: Needs
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
        0 comes first.
    max_attempts : int
        Failed runs of a task after which its job has failed.
    stretch : float
        Objective of the response time, as a multiple of the longest chain
        of work.
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
    """A caller submits a job and waits for its end."""

    req: int
    queue: Queue
    job: JobRequest


@attrs.frozen
class Finished:
    """The job has ended.

    Parameters
    ----------
    succeeded : bool
    """

    succeeded: bool


@attrs.frozen
class Rejected:
    """The job was given up; none of its tasks runs any more.

    Parameters
    ----------
    reason : str
    retry_after_s : int
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
        As the operator wrote it, to pass it on to other entries.
    """

    version: int
    queues: dict
    body: bytes = b''


def find_queue(routing, host, path):
    """Return the queue with the longest prefix of `path`, and the prefix.

    Returns
    -------
    tuple of (Queue or None, str)
    """
    end = len(path)
    while (end := path.rfind('/', 0, end)) >= 0:
        prefix = path[: end + 1]
        queue = routing.queues.get((host, prefix))
        if queue is not None:
            return queue, prefix
    return None, ''
