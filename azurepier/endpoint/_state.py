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

PROTOCOL_VERSION = 1
# Fraction of the slots that long-running tasks may occupy, at least one slot.
LONG_RUNNING_SHARE = 0.75
# A task that has run for longer than this counts as long-running (s).
LONG_RUNNING_S = 1.0


@attrs.frozen
class Options:
    """Settings of an endpoint process.

    `largest_size` is the largest declared size of a task that it takes,
    `seeds` the addresses of the entries to connect to first.
    """

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
    """State of one entry incarnation, across its sessions.

    `granted` and `received` count ordinary starts of the current session;
    their difference is the entry's credit. `highest_seq` is the highest
    sequence number received in any session; -1 says that there may be no
    record of earlier sessions, until a start arrives. `slots_requested` is the
    number of slots that the entry has requested and not received a credit for.
    `active` tells whether the entry dispatches new jobs.
    """

    name: str
    incarnation: str
    address: str
    last_received_at: float
    conn: int | None = None
    highest_seq: int = 0
    granted: int = 0
    received: int = 0
    slots_requested: int = 0
    active: bool = False
    unacked: dict = attrs.field(factory=dict)
    outbox: list = attrs.field(factory=list)
    members: tuple = ()
    members_version: int = 0
    disconnected_at: float = 0.0

    @property
    def credit(self):
        """Number of ordinary starts that the entry may still send."""
        return self.granted - self.received


@attrs.define
class RunningTask:
    """A task that occupies a slot."""

    start: messages.Start
    link: Link
    started_at: float
    cancelled: bool = False


@attrs.define
class RetainedTask:
    """Record of a started task, kept for resubmissions of its job.

    `check` is the CRC-32 of its kind and payload.
    """

    running: bool
    customer: str
    check: int
    status: int = 0
    output: bytes = b''


@attrs.define
class Endpoint:
    """State of an endpoint process; see `azurepier.endpoint.handle`.

    `retained` holds the records of tasks by job id and task number, and
    `expires_at` the times at which those of ended tasks expire.
    `read_platform_after_s` is the time without a connected entry after which
    the platform is read next. `highest_seqs` holds the highest sequence number
    by entry incarnation after its `Link` was removed, the earliest first.
    """

    options: Options
    incarnation: str
    rng: random.Random
    directory: membership.Directory
    adoption: config.Adoption
    exchange: exchange.ConfigExchange
    timers: kernel.Timers = attrs.field(factory=kernel.Timers)
    links: dict[str, Link] = attrs.field(factory=dict)
    by_conn: dict[int, Link] = attrs.field(factory=dict)
    highest_seqs: dict[str, int] = attrs.field(factory=dict)
    highest_seqs_evicted: bool = False
    running: dict[typing.Any, RunningTask] = attrs.field(factory=dict)
    retained: dict[str, dict[int, RetainedTask]] = attrs.field(factory=dict)
    retained_bytes: int = 0
    retained_outputs: collections.deque = attrs.field(
        factory=collections.deque
    )
    expires_at: typing.Any = attrs.field(factory=dict)
    fenced_until: dict[str, float] = attrs.field(factory=dict)
    healthy: bool = True
    draining: bool = False
    stopped: bool = False
    no_entry_since: float = 0.0
    read_platform_after_s: float = 0.0
    counters: dict[str, int] = attrs.field(factory=dict)

    def hello(self, session):
        """Return the first message of a new connection."""
        options = self.options
        current = self.adoption.current
        return messages.Hello(
            protocol=PROTOCOL_VERSION,
            role='endpoint',
            name=options.name,
            incarnation=self.incarnation,
            session=session,
            domain=options.domain,
            address='',
            web_address=options.web_address,
            config_version=current.version if current else 0,
            worker=options.worker,
            slots=options.slots,
            kinds=list(options.kinds),
            largest_size=options.largest_size,
            nonce=b'',
            proof=b'',
        )

    def count(self, name, amount=1):
        """Increase a counter that is exported as a metric."""
        self.counters[name] = self.counters.get(name, 0) + amount
