"""Splitting lists of messages by size."""

from azurepier.kernel import _job

ITEM_BYTES = 200  # fields besides the payload or output


def batches(items, size_of, limit=_job.BATCH_BYTES):
    """Yield lists of items whose sizes add up to about `limit`.

    Parameters
    ----------
    items : iterable
    size_of : callable
        Returns the bytes of an item's payload or output.
    limit : int
        Size in bytes beyond which a list ends; one item may exceed it.
    """
    batch, total = [], 0
    for item in items:
        size = size_of(item) + ITEM_BYTES
        if batch and total + size > limit:
            yield batch
            batch, total = [], 0
        batch.append(item)
        total += size
    if batch:
        yield batch
