"""Ring buffer with the latest events of a process."""

import collections
import itertools
import time

import attrs


@attrs.frozen
class Event:
    """An event in the timeline of a process.

    Parameters
    ----------
    number : int
        Sequence number within the incarnation, from 1.
    at : float
        Time on the monotonic clock of the process (s).
    wall : float
        Wall-clock time (s since 1970).
    process, incarnation : str
        Process that recorded the event.
    name, job_id, task, endpoint, detail
        As in `azurepier.kernel.effects.Record`.
    """

    number: int
    at: float
    wall: float
    process: str
    incarnation: str
    name: str
    job_id: str = ''
    task: int = -1
    endpoint: str = ''
    detail: str = ''


_FIELDS = tuple(field.name for field in attrs.fields(Event))


def to_dict(event):
    """Convert an event to a dict of JSON values."""
    # attrs.asdict also converts nested classes and takes ten times as long.
    return {name: getattr(event, name) for name in _FIELDS}


def from_dict(value):
    """Convert a dict from `to_dict` back to an event."""
    return Event(**value)


@attrs.define
class Ring:
    """Ring buffer of the latest `size` events of a process.

    Parameters
    ----------
    size : int
    process, incarnation : str
        Recorded in each event.
    wall_clock : callable
        Returns the wall-clock time (s since 1970).
    """

    size: int
    process: str = ''
    incarnation: str = ''
    wall_clock: object = time.time
    _last_number: int = 0
    _items: collections.deque = attrs.field(init=False)

    def __attrs_post_init__(self):
        if self.size < 1:
            raise ValueError('size: expected at least 1')
        self._items = collections.deque(maxlen=self.size)

    @property
    def last_number(self):
        """Number of the latest event, 0 if there is none."""
        return self._last_number

    def add(self, record, now):
        """Add a `Record` of the node; `now` is the monotonic time (s)."""
        self._last_number += 1
        # Events are created on request, because most are never read.
        self._items.append((self._last_number, now, self.wall_clock(), record))

    def since(self, number, job_id='', endpoint='', limit=None):
        """Return the buffered events after `number`, oldest first.

        Parameters
        ----------
        number : int
            Only events with a higher number.
        job_id, endpoint : str
            Only events of this job or endpoint, unless empty.
        limit : int, optional
            At most this many events.

        Returns
        -------
        list of Event
        """
        count = min(max(self._last_number - number, 0), len(self._items))
        start = len(self._items) - count
        items = (
            item
            for item in itertools.islice(self._items, start, None)
            if (not job_id or item[3].job_id == job_id)
            and (not endpoint or item[3].endpoint == endpoint)
        )
        return [
            self._make_event(*item) for item in itertools.islice(items, limit)
        ]

    def _make_event(self, number, now, wall, record):
        return Event(
            number=number,
            at=now,
            wall=wall,
            process=self.process,
            incarnation=self.incarnation,
            name=record.name,
            job_id=record.job_id,
            task=record.task,
            endpoint=record.endpoint,
            detail=record.detail,
        )
