"""State of an endpoint process."""

import collections
import random
import typing

import attrs

from azurepier import config
from azurepier import exchange
from azurepier import kernel
from azurepier.kernel import messages
from azurepier import membership

PROTOCOL = 1
# Share of an endpoint's slots that long-running tasks may hold.
LONG_SHARE = 0.75
# A task that has run for longer counts as long-running from then on.
LONG_LIMIT_S = 1.0


@attrs.frozen
class Options:
    """What an endpoint process is told by its settings."""

    name: str
    worker: str
    domain: str
    slots: int
    kinds: tuple = ()
    largest_size: int = 1_000_000
    seeds: tuple = ()
    web_address: str = ''


@attrs.define
class Link:
    """What the endpoint process knows of one entry incarnation.

    `granted` and `received` count ordinary starts on the current session;
    their difference is the entry's credit. `highest` is the highest
    sequence number ever received and outlives sessions.
    """

    name: str
    incarnation: str
    address: str
    last_heard: float
    conn: int | None = None
    highest: int = 0
    granted: int = 0
    received: int = 0
    wants: int = 0
    active: bool = False
    unacked: dict = attrs.field(factory=dict)
    outbox: list = attrs.field(factory=list)
    members: tuple = ()
    members_version: int = 0
    lost_at: float = 0.0

    @property
    def credit(self):
        """Ordinary starts that the entry may still send."""
        return self.granted - self.received


@attrs.define
class Running:
    """A task that occupies a slot."""

    start: messages.Start
    link: Link
    started_at: float
    cancelled: bool = False


@attrs.define
class Retained:
    """What is kept of one task of a job for resubmissions."""

    running: bool
    customer: str
    check: int
    status: int = 0
    output: bytes = b''


@attrs.define
class Endpoint:
    """State of the node; see `azurepier.endpoint.handle`."""

    options: Options
    incarnation: str
    rng: random.Random
    directory: membership.Directory
    adoption: config.Adoption
    exchange: exchange.ConfigExchange
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)
    links: dict[str, Link] = attrs.field(factory=dict)
    by_conn: dict[int, Link] = attrs.field(factory=dict)
    running: dict[typing.Any, Running] = attrs.field(factory=dict)
    jobs: dict[str, dict[int, Retained]] = attrs.field(factory=dict)
    retained_bytes: int = 0
    outputs: collections.deque = attrs.field(factory=collections.deque)
    expiries: typing.Any = attrs.field(factory=dict)
    fenced: dict[str, float] = attrs.field(factory=dict)
    healthy: bool = True
    draining: bool = False
    stopped: bool = False
    no_entry_since: float = 0.0
    platform_backoff_s: float = 0.0
    counters: dict[str, int] = attrs.field(factory=dict)

    def hello(self, session):
        """Return the first message of a new connection."""
        opt = self.options
        current = self.adoption.current
        return messages.Hello(
            protocol=PROTOCOL,
            role='endpoint',
            name=opt.name,
            incarnation=self.incarnation,
            session=session,
            domain=opt.domain,
            address='',
            web_address=opt.web_address,
            config_version=current.version if current else 0,
            worker=opt.worker,
            slots=opt.slots,
            kinds=list(opt.kinds),
            largest_size=opt.largest_size,
            nonce=b'',
            proof=b'',
        )

    def count(self, name, amount=1):
        """Add to a counter that the metrics show."""
        self.counters[name] = self.counters.get(name, 0) + amount
