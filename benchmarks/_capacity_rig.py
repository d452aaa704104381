"""Nodes that are driven directly, to measure what one step costs.

Nothing runs between two steps, so processor time and memory are those of
the node alone: without sockets, HTTP and the event loop.
"""

import collections
import gc
import hashlib
import random
import time
import tracemalloc

import attrs

from azurepier import config
from azurepier import endpoint
from azurepier import entry
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import testing

CUSTOMERS = 780
PLANS = 20
SLOTS = 8
TASKS = 20
OUTPUT = b'{"ok":true,"value":42}'
# An entry starts no tasks before its shares of the limits are certain.
READY_S = 8.0
TASK_MS = 50
DEADLINE_MS = 600_000
OUTCOME_MS = 50
HEARTBEAT_S = 0.5


def configuration(version=1, customers=CUSTOMERS):
    """Return a configuration of the design size."""
    plans = {
        f'plan-{n}': config.Plan(
            name=f'plan-{n}',
            starts_per_s=1e6,
            concurrent=1_000_000,
            queue=1_000_000,
            urgent_share=1.0,
        )
        for n in range(PLANS)
    }
    return config.Configuration(
        version=version,
        edit_id=f'{version:016x}',
        author='operator',
        customers={
            f'team-{n}': config.Customer(
                f'team-{n}',
                f'plan-{(n + version * (n == 0)) % PLANS}',
                hashlib.sha256(b'%d' % n).hexdigest(),
            )
            for n in range(customers)
        },
        plans=plans,
    )


@attrs.define(eq=False)
class EntryRig:
    """An entry with connected endpoints whose slots are tracked."""

    node: entry.Entry
    now: float
    sent: collections.Counter = attrs.field(factory=collections.Counter)
    running: collections.Counter = attrs.field(factory=collections.Counter)
    open: list = attrs.field(factory=list)
    requests: int = 0


def make_entry(endpoints=0, slots=SLOTS, customers=1, free=True):
    """Return an entry with connected endpoints and a configuration.

    Parameters
    ----------
    endpoints, slots, customers : int
    free : bool
        Whether the endpoints offer slots.
    """
    opts = entry.Options(
        name='entry-0',
        domain='a',
        address='10.0.0.1:7000',
        web_address='http://10.0.0.1:8000',
    )
    rig = EntryRig(entry.create(opts, random.Random(1), 0.0), 0.0)
    body = config.to_json(configuration(customers=customers))
    step(rig, events.ConfigSeen(body))
    run_timers(rig, READY_S)
    for number in range(endpoints):
        hello, report = announcement(rig, number, slots)
        if not free:
            report.granted = report.free = report.long_free = 0
        connect(rig, number, hello, report)
    return rig


def step(rig, event):
    """Let the entry handle an event now; return the effects.

    Timers that are due at once belong to the event: the pass that starts
    waiting tasks comes once for all events of a loop iteration.
    """
    return entry.handle(rig.node, event, rig.now) + settle(rig)


def settle(rig):
    """Run the timers that are due now; return the effects."""
    out = []
    while rig.node.timers.next_at() <= rig.now:
        out += entry.handle(rig.node, events.Tick(), rig.now)
    return out


def run_timers(rig, until):
    """Let all timers of the entry expire up to a time (s)."""
    while rig.node.timers.next_at() <= until:
        rig.now = max(rig.node.timers.next_at(), rig.now)
        settle(rig)
    rig.now = until


def announcement(rig, number, slots=SLOTS):
    """Return what a new endpoint process says first.

    Returns
    -------
    tuple of (Hello, ResumeReport)
    """
    opts = endpoint.Options(
        name=f'endpoint-{number}',
        worker=f'worker-{number}',
        domain=f'domain-{number % 22}',
        slots=slots,
        web_address=f'http://10.1.{number // 250}.{number % 250}:8000',
    )
    node = endpoint.create(opts, random.Random(number), 0.0)
    up = events.ConnectionOpened(1, rig.node.hello(1))
    report = next(
        effect.msg
        for effect in endpoint.handle(node, up, 0.0)
        if isinstance(effect, effects.Send)
        and isinstance(effect.msg, messages.ResumeReport)
    )
    return node.hello(1), report


def connect(rig, number, hello, report):
    """Connect an endpoint process to the entry."""
    conn = number + 1
    step(rig, events.ConnectionOpened(conn, hello))
    step(rig, events.Received(conn, report))


def endpoint_heartbeat(granted, free=SLOTS):
    """Return the heartbeat of an endpoint process."""
    return messages.Heartbeat(
        config_version=1,
        members_version=1,
        queued=0,
        granted=granted,
        free=free,
        long_free=min(free, SLOTS * 3 // 4),
        seen=0,
        acked=[],
        active=False,
        rank=0,
    )


def submit(rig, tasks=TASKS, customer='team-0'):
    """Submit a job; return the processor time taken (s)."""
    spec = testing.spec((TASK_MS,) * tasks, customer, deadline_ms=DEADLINE_MS)
    rig.requests += 1
    began = time.process_time()
    found = step(rig, events.Submit(rig.requests, None, spec, False))
    used = time.process_time() - began
    _take_starts(rig, found)
    return used


def _take_starts(rig, found):
    for effect in found:
        if not isinstance(effect, effects.Send):
            continue
        if isinstance(effect.msg, messages.StartBatch):
            for item in effect.msg.starts:
                rig.sent[effect.conn] += 1
                rig.running[effect.conn] += 1
                rig.open.append((effect.conn, item.seq))


def end_tasks(rig, indices):
    """Report the ends of open tasks in one iteration of the event loop.

    Each outcome comes in a message of its own.

    Returns
    -------
    float
        Processor time (s).
    """
    msgs = [_ended(rig, index) for index in indices]
    began = time.process_time()
    found = []
    for conn, msg in msgs:
        event = events.Received(conn, msg)
        found += entry.handle(rig.node, event, rig.now)
    found += settle(rig)
    used = time.process_time() - began
    _take_starts(rig, found)
    return used


def _ended(rig, index):
    conn, seq = rig.open[index]
    rig.open[index] = rig.open[-1]
    rig.open.pop()
    rig.running[conn] -= 1
    free = SLOTS - rig.running[conn]
    msg = messages.OutcomeBatch(
        outcomes=[outcome(seq)],
        granted=rig.sent[conn] + free,
        free=free,
        long_free=min(free, SLOTS * 3 // 4),
        seen=rig.sent[conn],
    )
    return conn, msg


def outcome(seq):
    """Return the outcome of a task that is done."""
    return messages.Outcome(
        seq=seq, status=0, output=OUTPUT, run_ms=OUTCOME_MS
    )


# Endpoint process --------------------------------------------------------


def make_endpoint(entries, slots=SLOTS):
    """Return an endpoint node with connected entries, and their names."""
    opts = endpoint.Options(
        name='endpoint-0', worker='worker-0', domain='a', slots=slots
    )
    node = endpoint.create(opts, random.Random(1), 0.0)
    for number in range(entries):
        opts = entry.Options(
            name=f'entry-{number}',
            domain='a',
            address=f'10.0.0.{number}:7000',
            web_address=f'http://10.0.0.{number}:8000',
        )
        peer = entry.create(opts, random.Random(number), 0.0)
        up = events.ConnectionOpened(number + 1, peer.hello(1))
        endpoint.handle(node, up, 0.0)
    return node


def entry_heartbeat(active, acked=()):
    """Return the heartbeat of an entry."""
    return messages.Heartbeat(
        config_version=0,
        members_version=1,
        queued=0,
        granted=0,
        free=0,
        long_free=0,
        seen=0,
        acked=list(acked),
        active=active,
        rank=2,
    )


def start(seq, job='0123456789abcdef-1790000000-42-0123456789abcdef', task=0):
    """Return a small start."""
    return messages.Start(
        seq=seq,
        job_id=job,
        task=task,
        customer='team-0',
        kind='sleep',
        payload=b'{"ms": 50, "n": 1}',
        urgent=False,
        long_running=False,
        idempotent=False,
        limit_ms=10_000,
    )


# Measuring ---------------------------------------------------------------


def cpu_us(function, count):
    """Return the processor time of `function(n)` (us), mean of `count`."""
    began = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - began) / count * 1e6


def memory(function):
    """Return the memory that a call leaves behind (bytes).

    Notes
    -----
    The result of the call is kept alive until the memory was measured.
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = function()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, kept
    finally:
        tracemalloc.stop()
