"""Events that a shell passes to a node."""

import typing

import attrs


@attrs.frozen
class ConnectionOpened:
    """A connection finished its handshake; `hello` is the peer's."""

    conn: int
    hello: typing.Any


@attrs.frozen
class ConnectionClosed:
    """A connection was closed by either side or failed."""

    conn: int


@attrs.frozen
class Received:
    """A message arrived on a connection."""

    conn: int
    msg: typing.Any


@attrs.frozen
class Tick:
    """At least one timer may be due."""


@attrs.frozen
class Submit:
    """A caller submits a job.

    `job_id` is None for the one-step form. With `detach` the caller wants
    an `Accepted` answer at once.
    """

    req: int
    job_id: str | None
    spec: typing.Any  # JobSpec
    detach: bool = False


@attrs.frozen
class Fetch:
    """A caller waits for a job's answer for at most `wait_s`."""

    req: int
    job_id: str
    customer: str
    wait_s: float


@attrs.frozen
class CancelJob:
    """A caller cancels a job."""

    req: int
    job_id: str
    customer: str


@attrs.frozen
class Abandon:
    """The caller of request `req` disconnected; no answer is needed."""

    req: int


@attrs.frozen
class NewIds:
    """A caller asks for a block of `count` job ids."""

    req: int
    count: int


@attrs.frozen
class TaskEnded:
    """The worker finished a task that an endpoint process ran.

    `key` is the one given in `RunTask`; `output` is JSON as bytes, or the
    error text for a status other than `Status.DONE`.
    """

    key: typing.Any
    status: int
    output: bytes
    run_ms: int


@attrs.frozen
class WorkerHealthChanged:
    """Health of the worker beside an endpoint process changed."""

    healthy: bool


@attrs.frozen
class MembersSeen:
    """The platform's list of entries was read (list of EntryInfo)."""

    entries: tuple


@attrs.frozen
class ConfigSeen:
    """A configuration was read from the platform (JSON bytes)."""

    body: bytes


@attrs.frozen
class Drain:
    """Stop gracefully: take no new work and finish what is open."""
