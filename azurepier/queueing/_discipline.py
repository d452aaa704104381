"""What every queue discipline offers."""

import enum

import attrs


class DispatchResult(enum.Enum):
    """What became of a job that a discipline proposed."""

    STARTED = 1  # one of its tasks was started
    BLOCKED = 2  # its next task can't start now
    CUSTOMER_BLOCKED = 3  # nothing of its customer may start now


@attrs.define
class WaitingJob:
    """A job with tasks that wait to be started.

    `work_s` is the expected work of all its waiting tasks; the discipline
    that holds the job keeps its sums up to date through `pop_task` and
    `return_task` of `azurepier.queueing`.
    """

    job_id: str
    customer: str
    urgent: bool
    weight: float
    queued_at: float
    deadline_at: float
    tasks: list  # task numbers, the next one last
    work: list  # expected work by task number (s at speed 1)
    work_s: float = 0.0
    key: float = 0.0
    queued: bool = False


@attrs.frozen
class WorkAhead:
    """Waiting work that a new job competes with.

    Parameters
    ----------
    own_s, all_s : float
        Expected work (s at speed 1) of its customer and of all customers.
    weights : float
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
        `push(waiting, now)` adds a job, or adds it again after
        one of its tasks was returned.
    remove : callable
        `remove(waiting)` takes a job out.
    candidates : callable
        `candidates()` is a generator that yields jobs in the order in which
        they should start; it is sent a `Placed` after each.
    ahead : callable
        `ahead(customer, urgent)` returns an `Ahead`: the waiting work that
        a new job competes with.
    """

    push: object
    remove: object
    candidates: object
    work_ahead: object
