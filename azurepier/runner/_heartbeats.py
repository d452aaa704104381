"""What the heartbeats of a worker's incarnation say together.

Load pattern: a worker reports every 1.5 s, and another writer that knows its
id and start time reports in its name, once or again and again, with sequence
numbers of its own. Nothing in a report tells the writers apart, and a report
with a high sequence number must not hide those of the worker. So a report
counts as a writer's next one only if its sequence number is a little higher
than the last. The worker is used only as far as the latest reports of all
recent writers agree: the smallest capacity, the labels in all of them, and no
new runs while one of them says that the worker drains or serves another pool.

A report that continues the worker's numbers can't be told from its own; what
it adds to the capacity lasts until the worker's next report. It can't hide a
drain (`DRAIN_HOLD_S`).
"""

import attrs

# Steps of the sequence number between two reports of a writer. A worker
# numbers each attempt to report; 19 lost ones take 30 s.
_NEXT_STEPS = range(1, 21)
# A writer that hasn't reported for this time no longer counts (s), unless it
# is the latest one. Several lost reports must not leave the use of the worker
# to another writer.
WRITER_LIFETIME_S = 10.0
# A worker counts as draining for this time after a report that said so (s), or
# another writer with similar sequence numbers would hide it between two
# reports.
DRAIN_HOLD_S = 4.0
# Maximum number of writers that are kept apart.
WRITERS_MAX = 4


@attrs.define(eq=False)
class _Writer:
    latest: object
    heard_at: float


@attrs.define(eq=False)
class Heartbeats:
    """Latest reports on one incarnation of a worker.

    Parameters
    ----------
    worker_id : str
    """

    worker_id: str
    _writers: list = attrs.field(factory=list)
    _drained_at: float = float('-inf')

    def add(self, report, now):
        """Take in a report; return whether it is from a new writer."""
        if report.leaving:
            self._drained_at = now
        writer = self._find_writer(report)
        is_new = writer is None
        if is_new:
            writer = _Writer(report, now)
            self._writers.append(writer)
        elif report.sequence - writer.latest.sequence in _NEXT_STEPS:
            writer.latest = report
        writer.heard_at = now
        self._writers = [
            each
            for each in self._writers
            if each is writer or now - each.heard_at < WRITER_LIFETIME_S
        ]
        if len(self._writers) > WRITERS_MAX:
            # The earliest is the worker's own, if it reports at all.
            del self._writers[1]
        return is_new and len(self._writers) > 1

    def _find_writer(self, report):
        """Return the writer of a report, None if it is a new one."""
        for writer in self._writers:
            if report.sequence - writer.latest.sequence in _NEXT_STEPS:
                return writer
        for writer in self._writers:
            # Writers that say the same need no distinction.
            sequence = writer.latest.sequence
            if attrs.evolve(report, sequence=sequence) == writer.latest:
                return writer
        return None

    def agreed(self, now):
        """Return the worker as far as all recent writers agree on it."""
        first, *others = [each.latest for each in self._writers]
        reports = [first, *others]
        return attrs.evolve(
            first,
            labels=tuple(
                label
                for label in first.labels
                if all(label in each.labels for each in others)
            ),
            cpu=min(each.cpu for each in reports),
            mem_mb=min(each.mem_mb for each in reports),
            gpu=min(each.gpu for each in reports),
            leaving=any(each.leaving for each in reports)
            or any(each.pool != first.pool for each in others)
            or now - self._drained_at < DRAIN_HOLD_S,
        )
