"""Jobs of callers of a simulated pool."""

import attrs

from azurepier import dispatch


def queue(name='q', max_attempts=3, stretch=1.6, margin_s=0.06, priority=0):
    """Return a queue of the simulated pool."""
    return dispatch.Queue(
        name=name,
        pool='pool',
        priority=priority,
        max_attempts=max_attempts,
        stretch=stretch,
        margin_s=margin_s,
    )


@attrs.define(eq=False)
class Call:
    """Job of a caller, with all its submissions until the final answer.

    Attributes
    ----------
    body : object or None
        The final answer.
    submissions : int
        Number of submissions so far.
    started_before : int
        Number of starts of the job's tasks before the current submission.
    abandoned : bool
        Whether the caller no longer submits the job.
    """

    job: object
    queue: object
    sent_at: float
    entry: str
    req: int = 0
    body: object = None
    answered_at: float | None = None
    submissions: int = 0
    started_before: int = 0
    abandoned: bool = False
    # Time for which the request waited for the configuration (s).
    waited_s: float = 0.0


def task_names(job):
    """Return the names of a job's tasks."""
    return [f'{job.id}.0.0.{index}' for index in range(job.count)]
