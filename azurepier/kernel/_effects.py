"""Effects that a node returns for its shell to carry out."""

import typing

import attrs


@attrs.frozen
class Send:
    """Send a message on a connection; dropped if it is closed."""

    conn: int
    msg: typing.Any


@attrs.frozen
class Dial:
    """Open a connection to `address` ("host:port")."""

    address: str


@attrs.frozen
class Close:
    """Close a connection."""

    conn: int


@attrs.frozen
class Answer:
    """Answer the caller's request `req`.

    `body` is one of the answer classes of `azurepier.kernel`.
    """

    req: int
    body: typing.Any


@attrs.frozen
class RunTask:
    """Start a task on the worker (endpoint process only).

    `start` is the `Start` message that requested it.
    """

    key: typing.Any
    start: typing.Any


@attrs.frozen
class StopTask:
    """Stop a running task; a `TaskEnded` event still follows."""

    key: typing.Any


@attrs.frozen
class ReadPlatform:
    """Read the list of entries and the configuration from the platform."""


@attrs.frozen
class Record:
    """Add an event to the timeline."""

    name: str
    job_id: str = ''
    task: int = -1
    endpoint: str = ''
    detail: str = ''


@attrs.frozen
class Stopped:
    """The drain has finished; the process may exit."""


@attrs.frozen
class Abort:
    """Close a connection at once and drop undelivered messages."""

    conn: int


@attrs.frozen
class Log:
    """Write a log line; `fields` hold the inputs of the decision."""

    event: str
    fields: dict


@attrs.frozen
class Decode:
    """Decode a configuration that another entry sent.

    `source` is the name of that entry, for the log.
    """

    body: bytes
    source: str
