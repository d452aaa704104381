"""Submitted jobs and the answers to callers."""

import typing

import attrs

from azurepier.kernel import _verdict

MAX_TASKS = 140
MAX_DEADLINE_MS = 3_600_000
# Messages are limited to 4 MiB. A job with all its payloads, or an answer with
# all its outputs, has to fit into one message between entries. Encoding
# payloads and outputs as JSON strings makes them up to three times as long.
MAX_PAYLOAD_BYTES = 256 * 1024
MAX_JOB_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 1024 * 1024
# Lists of starts and outcomes are split into messages of at most about this
# size.
BATCH_BYTES = 1024 * 1024


@attrs.frozen
class TaskSpec:
    """One task of a job.

    Parameters
    ----------
    kind : str
    payload : bytes
        JSON.
    duration_ms : float, optional
        Run time declared by the caller, None if it declared none.
    size : int, optional
        Size declared by the caller.
    """

    kind: str
    payload: bytes
    duration_ms: float | None = None
    size: int = 1


@attrs.frozen
class JobSpec:
    """A submitted job; `digest` identifies its content."""

    customer: str
    tasks: tuple
    deadline_ms: int
    urgent: bool = False
    idempotent: bool = False
    digest: str = ''


@attrs.frozen
class Ids:
    """Answer to `NewIds`."""

    ids: tuple
    expires_in_s: int


@attrs.frozen
class Complete:
    """All tasks succeeded; `outputs` are JSON as bytes, in task order."""

    job_id: str
    outputs: tuple


@attrs.frozen
class Accepted:
    """The job was accepted and has not ended yet."""

    job_id: str
    state: str = 'running'


@attrs.frozen
class Refused:
    """The request has no result.

    Parameters
    ----------
    job_id : str
        Id of the job, or an empty string if there is none.
    type : str
        Error type, a key of `ERROR_TYPES`.
    verdict : Verdict
        Whether work of the job may have run.
    detail : str
        Description of the cause for humans.
    retry_after_s : float or None
        Time after which the client should retry (s).
    location : str
        Base URL of an entry that accepts the request, or empty.
    """

    job_id: str
    type: str
    verdict: _verdict.Verdict
    detail: str = ''
    retry_after_s: float | None = None
    location: str = ''


# HTTP status and title by error type.
ERROR_TYPES: dict[str, tuple[int, str]] = {
    'invalid-input': (400, 'Invalid input'),
    'unauthorized': (401, 'Missing or wrong token'),
    'forbidden': (403, 'The token belongs to another customer'),
    'unknown-customer': (403, 'Unknown customer'),
    'unknown-job': (404, 'Unknown job'),
    'content-differs': (409, 'Another job was submitted under this id'),
    'expired': (410, 'The job id has expired'),
    'too-large': (413, 'The request is too large'),
    'job-too-large': (422, 'The job exceeds the plan'),
    'impossible': (422, 'No endpoint can run this job'),
    'overloaded': (429, 'The job would miss its deadline'),
    'queue-full': (429, 'The queue of the plan is full'),
    'answer-too-large': (502, 'The outputs are too large'),
    'task-failed': (502, 'A task failed'),
    'task-lost': (502, 'A task was lost with its worker'),
    'owner-lost': (502, 'The entry that owned the job was lost'),
    'owner-unreachable': (502, 'The entry that owns the id is gone'),
    'cancelled': (410, 'The job was cancelled'),
    'draining': (503, 'This entry is shutting down'),
    'not-ready': (503, 'This entry has no configuration yet'),
    'answers-full': (503, 'Too many retained answers'),
    'deadline': (504, 'The deadline has passed'),
    'internal': (500, 'Internal error'),
}

AnyAnswer = typing.Union[Ids, Complete, Accepted, Refused]
