"""Interface of the queue disciplines."""

import enum

import attrs


class DispatchResult(enum.Enum):
    """Outcome of the attempt to start a task of a candidate job."""

    STARTED = 1  # one of its tasks was started
    BLOCKED = 2  # none of its tasks can start now
    CUSTOMER_BLOCKED = 3  # the customer's quota is used up for now


@attrs.define
class WaitingJob:
    """A job with tasks that have not been started.

    `work_s` is the expected work of all its waiting tasks (s at speed 1). It
    is updated by `pop_task` and `return_task` of `azurepier.queueing`, which
    have to be used for every change of `tasks`. `key` and `queued` belong to
    the discipline that holds the job.
    """

    job_id: str
    customer: str
    urgent: bool
    weight: float
    queued_at: float
    deadline_at: float
    tasks: list  # task numbers; the next task to start is the last
    work: list  # expected work by task number (s at speed 1)
    work_s: float = 0.0
    key: float = 0.0
    queued: bool = False


@attrs.frozen
class WorkAhead:
    """Waiting work that a new job competes with.

    Parameters
    ----------
    customer_s : float
        Expected work of the job's customer (s at speed 1).
    total_s : float
        Expected work of all customers (s at speed 1).
    other_weights : float
        Sum of the weights of the other customers with waiting work.
    """

    customer_s: float
    total_s: float
    other_weights: float


@attrs.frozen
class Discipline:
    """Functions of a queue discipline.

    Parameters
    ----------
    push : callable
        `push(waiting, now)` enqueues a job. It does nothing if the job is
        queued already or has no waiting tasks.
    remove : callable
        `remove(waiting)` dequeues a job. It does nothing if the job is not
        queued.
    candidates : callable
        `candidates()` is a generator that yields jobs in the order in which
        they should start; the caller sends a `DispatchResult` for each.
    work_ahead : callable
        `work_ahead(customer, urgent)` returns the `WorkAhead` of a new job.
    """

    push: object
    remove: object
    candidates: object
    work_ahead: object
