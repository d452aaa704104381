"""The events of one process, kept in memory up to a fixed number."""

import collections
import itertools
import time

import attrs


@attrs.frozen
class Event:
    """One recorded event.

    Parameters
    ----------
    number : int
        Counts the events of an incarnation from 1.
    at : float
        Monotonic time of the process (s).
    wall : float
        Wall-clock time (s since 1970).
    process, incarnation : str
        Who recorded it.
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
    """Return an event as a dict of JSON values."""
    # attrs.asdict looks for nested classes and takes ten times as long.
    return {name: getattr(event, name) for name in _FIELDS}


def from_dict(value):
    """Return the event that `to_dict` described."""
    return Event(**value)


@attrs.define
class Ring:
    """The latest `size` events of a process."""

    size: int
    process: str = ''
    incarnation: str = ''
    wall_clock: object = time.time
    _last: int = 0
    _items: collections.deque = attrs.field(init=False)

    def __attrs_post_init__(self):
        if self.size < 1:
            raise ValueError('size: expected at least 1')
        self._items = collections.deque(maxlen=self.size)

    @property
    def last(self):
        """Number of the latest event, 0 if there is none."""
        return self._last

    def add(self, record, now):
        """Add a `Record` that the node made at the monotonic time `now`."""
        self._last += 1
        # Events are built on request: most are overwritten unread.
        self._items.append((self._last, now, self.wall_clock(), record))

    def since(self, number, job_id='', endpoint='', limit=None):
        """Return kept events with a higher number, oldest first.

        Parameters
        ----------
        number : int
        job_id, endpoint : str
            If not empty, only the events of this job or endpoint.
        limit : int, optional
            At most this many events.

        Returns
        -------
        list of Event
        """
        count = min(max(self._last - number, 0), len(self._items))
        start = len(self._items) - count
        found = (
            item
            for item in itertools.islice(self._items, start, None)
            if (not job_id or item[3].job_id == job_id)
            and (not endpoint or item[3].endpoint == endpoint)
        )
        return [self._event(*item) for item in itertools.islice(found, limit)]

    def _event(self, number, now, wall, record):
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
