"""Watching the keys below a prefix of the store, with retries after faults."""

import asyncio
import collections

import attrs

from azurepier.store import _interface

# Maximum wait of a single watch request (s). A connection can go silent, but a
# change has to take effect within 2 s after the connection has recovered.
WATCH_WAIT_S = 1.5
# Delay before a retry (s); the store bills every call, also a refused one.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# Upper bound of the delay before items are read again that could not be
# applied; it doubles with each attempt (s).
REAPPLY_MAX_S = 5.0
# Changes from this time before an answer are asked for again by the next watch
# (s), since an answer may have left out a change below its revision.
OVERLAP_S = 5.0


@attrs.define
class _Position:
    """Revision from which the next watch continues.

    Attributes
    ----------
    revision : int or None
        None before the first scan and after a loss of history.
    """

    revision: int | None = None
    _answers: collections.deque = attrs.field(factory=collections.deque)

    def advance(self, page, complete, now):
        """Continue after the items of a page.

        A scan shows the state at its revision. An answer to a watch moves
        beyond what it shows only after `OVERLAP_S`.
        """
        if complete:
            self.revision = page.revision
            self._answers.clear()
            return
        self._answers.append((now, page.revision))
        while self._answers and now - self._answers[0][0] >= OVERLAP_S:
            self.revision = max(self.revision, self._answers.popleft()[1])
        # A row without a readable revision would be returned for ever.
        shown = [page.revision] if page.omitted else []
        shown += [item.revision for item in page.items]
        self.revision = max([self.revision, *shown])


async def follow(store, prefix, on_page, on_fault, rng):
    """Report the items below a prefix and all their changes, until cancelled.

    Parameters
    ----------
    store : object
        ``scan(prefix, stale_ok) -> Page``,
        ``watch(prefix, revision, wait_s) -> Page``.
    prefix : str
    on_page : callable
        ``on_page(page, complete)`` is called after each successful request.
        `complete` pages hold all items, the others the changes since the
        previous page. The same item may come more than once. It returns
        whether the items were applied; if not, all are read again.
    on_fault : callable
        Called with the reason of each failure, and with None after each
        successful request.
    rng : random.Random
        Adds jitter to the retries of several processes.
    """
    loop = asyncio.get_running_loop()
    position = _Position()
    history_losses = 0
    reapply_s = RETRY_MIN_S
    while True:
        revision = position.revision
        try:
            if revision is None:
                page = await store.scan(prefix, stale_ok=False)
            else:
                page = await store.watch(prefix, revision, WATCH_WAIT_S)
        except _interface.HistoryLostError as exc:
            position = _Position()
            history_losses += 1
            on_fault(str(exc))
            if history_losses > 1:
                # The watch failed again right after a fresh read, so wait
                # before the retry instead of reading in a tight loop.
                await asyncio.sleep(rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            continue
        except _interface.StoreError as exc:
            on_fault(str(exc))
            # A request without an answer has waited long enough.
            silent = isinstance(exc, _interface.NoAnswerError)
            pause_s = (
                (0.0, RETRY_MIN_S) if silent else (RETRY_MIN_S, RETRY_MAX_S)
            )
            await asyncio.sleep(rng.uniform(*pause_s))
            continue
        if revision is not None:
            history_losses = 0
        on_fault(None)
        if on_page(page, revision is None):
            reapply_s = RETRY_MIN_S
            position.advance(page, revision is None, loop.time())
            continue
        position = _Position()
        await asyncio.sleep(reapply_s * rng.uniform(0.5, 1.0))
        reapply_s = min(2 * reapply_s, REAPPLY_MAX_S)
