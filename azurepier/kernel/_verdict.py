"""Verdicts on requests, and states of tasks."""

import enum


class Verdict(enum.Enum):
    """Whether the work of a request that did not complete may have run."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Status(enum.IntEnum):
    """State of one task as an endpoint process reports it.

    Notes
    -----
    The values are sent in ``Outcome.status`` and ``RunEnd.status`` and must
    not change. A number that this build doesn't know, which a later build may
    send during an upgrade, is `LOST`: the task has ended, and may have run.
    """

    DONE = 0
    FAILED = 1  # the worker ran the task and it failed
    REFUSED = 2  # not started: no free slot
    LEAVING = 3  # not started: the endpoint is draining
    FENCED = 4  # not started: another entry recovers the job
    LOST = 5  # started; the outcome is unknown
    STOPPED = 6  # started, then stopped on request
    CANCELLED = 7  # cancelled before it started

    @classmethod
    def _missing_(cls, value):
        return cls.LOST if isinstance(value, int) else None


VERDICT_OF_STATUS = {
    Status.DONE: Verdict.RAN,
    Status.FAILED: Verdict.RAN,
    Status.REFUSED: Verdict.NOT_RUN,
    Status.LEAVING: Verdict.NOT_RUN,
    Status.FENCED: Verdict.NOT_RUN,
    Status.LOST: Verdict.MAY_HAVE_RUN,
    Status.STOPPED: Verdict.MAY_HAVE_RUN,
    Status.CANCELLED: Verdict.NOT_RUN,
}
