"""What the product needs of a key-value store with revisions and leases."""

import attrs

from azurepier.kernel import AzurepierError


class StoreError(AzurepierError):
    """The store did not answer as expected; a write may have happened."""


class HistoryLostError(StoreError):
    """The store no longer has the changes after the revision asked for."""


class LeaseLostError(StoreError):
    """The lease has ended."""


@attrs.frozen
class Item:
    """A key with its value and the revision of its last change.

    `value` is None if the key was removed.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Page:
    """Items as of a revision of the store.

    `malformed` is the number of items that can't be read and are left out.
    """

    items: tuple
    revision: int
    malformed: int = 0
