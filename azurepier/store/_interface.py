"""Types of the interface to a key-value store with revisions and leases."""

import attrs

from azurepier.kernel import AzurepierError


class StoreError(AzurepierError):
    """A store request failed; a write may have been executed."""


class NoAnswerError(StoreError):
    """The store did not answer in time."""


class HistoryLostError(StoreError):
    """The store has discarded changes after the requested revision."""


class LeaseLostError(StoreError):
    """The lease has expired or was revoked."""


@attrs.frozen
class Item:
    """Key with its value and the revision of its last change.

    `value` is None if the key was removed, and empty if the value can't be
    decoded.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Page:
    """Items at a revision of the store.

    `malformed` is the number of items that can't be decoded, and `omitted` the
    number of those whose key or revision is invalid, which are left out.
    """

    items: tuple
    revision: int
    malformed: int = 0
    omitted: int = 0
