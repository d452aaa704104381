"""Events that a shell passes to a node."""

import typing

import attrs


@attrs.frozen
class ConnectionOpened:
    """A connection completed its handshake; `hello` is the peer's `Hello`."""

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
    """A timer may be due."""


@attrs.frozen
class Submit:
    """A caller submits a job.

    `job_id` is None if the caller did not obtain an id beforehand. With
    `detach` the caller gets an `Accepted` answer at once.
    """

    req: int
    job_id: str | None
    spec: typing.Any  # JobSpec
    detach: bool = False


@attrs.frozen
class Fetch:
    """A caller waits for the answer of a job for at most `wait_s`."""

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
    """A caller requests `count` job ids."""

    req: int
    count: int


@attrs.frozen
class TaskEnded:
    """The worker finished a task that an endpoint process ran.

    `key` is that of the `RunTask` effect. `output` is JSON as bytes, or the
    error message if the status is not `Status.DONE`.
    """

    key: typing.Any
    status: int
    output: bytes
    run_ms: int


@attrs.frozen
class WorkerHealthChanged:
    """The health of an endpoint process's worker changed."""

    healthy: bool


@attrs.frozen
class MembersSeen:
    """The list of entries was read from the platform.

    `entries` holds `EntryInfo` messages, or pairs of address and failure
    domain if the platform lists only these.
    """

    entries: tuple


@attrs.frozen
class ConfigSeen:
    """A configuration was read from the platform (JSON bytes)."""

    body: bytes


@attrs.frozen
class Drain:
    """Stop gracefully: accept no new work and finish open work."""
