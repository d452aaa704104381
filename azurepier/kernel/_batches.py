"""Splitting of lists into batches of limited size."""

from azurepier.kernel import _job

ITEM_OVERHEAD_BYTES = 200  # encoded fields other than the payload or output


def batches(items, size_of, limit=_job.BATCH_BYTES):
    """Yield lists of items whose total size is at most `limit`.

    Parameters
    ----------
    items : iterable
    size_of : callable
        Returns the size of an item's payload or output in bytes.
    limit : int, optional
        Maximum size of a list in bytes. A larger item gets a list of its own.
    """
    batch, total = [], 0
    for item in items:
        size = size_of(item) + ITEM_OVERHEAD_BYTES
        if batch and total + size > limit:
            yield batch
            batch, total = [], 0
        batch.append(item)
        total += size
    if batch:
        yield batch
