"""Nodes that are driven directly, to measure the cost of single steps.

CPU time and memory are those of the node alone, without sockets, HTTP and the
event loop.
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
TASKS_PER_JOB = 20
OUTPUT = b'{"ok":true,"value":42}'
# Time until a new entry has been granted its share of the customers' limits
# (s). It starts no tasks before.
QUOTA_SETTLE_S = 8.0
TASK_MS = 50
DEADLINE_MS = 600_000
RUN_MS = 50
HEARTBEAT_INTERVAL_S = 0.5


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
    """An entry with connected endpoints.

    Parameters
    ----------
    node : Entry
    now : float
        Virtual time (s).
    starts_sent, running : Counter
        Tasks that were started and that are running, by connection.
    open_tasks : list of (int, int)
        Connection and sequence number of each running task.
    request_count : int
        Number of submitted jobs, also the id of the last request.
    """

    node: entry.Entry
    now: float
    starts_sent: collections.Counter = attrs.field(factory=collections.Counter)
    running: collections.Counter = attrs.field(factory=collections.Counter)
    open_tasks: list = attrs.field(factory=list)
    request_count: int = 0


def make_entry(endpoints=0, slots=SLOTS, customers=1, offer_slots=True):
    """Return an entry with connected endpoints and a configuration.

    Parameters
    ----------
    endpoints, slots, customers : int
    offer_slots : bool
        Whether the endpoints grant their slots.
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
    run_timers_until(rig, QUOTA_SETTLE_S)
    for number in range(endpoints):
        hello, report = make_announcement(rig, number, slots)
        if not offer_slots:
            report.granted = report.free = report.long_free = 0
        connect(rig, number, hello, report)
    return rig


def step(rig, event):
    """Handle an event at the entry; return the effects.

    This includes the timers that are due immediately, such as the one that
    starts waiting tasks once per iteration of the event loop.
    """
    return entry.handle(rig.node, event, rig.now) + run_due_timers(rig)


def run_due_timers(rig):
    """Run the timers that are due; return the effects."""
    out_effects = []
    while rig.node.timers.next_at() <= rig.now:
        out_effects += entry.handle(rig.node, events.Tick(), rig.now)
    return out_effects


def run_timers_until(rig, until):
    """Advance the time (s) and run the timers that expire until then."""
    while rig.node.timers.next_at() <= until:
        rig.now = max(rig.node.timers.next_at(), rig.now)
        run_due_timers(rig)
    rig.now = until


def make_announcement(rig, number, slots=SLOTS):
    """Return the first messages of a new endpoint process.

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
    opened = events.ConnectionOpened(1, rig.node.hello(1))
    report = next(
        effect.msg
        for effect in endpoint.handle(node, opened, 0.0)
        if isinstance(effect, effects.Send)
        and isinstance(effect.msg, messages.ResumeReport)
    )
    return node.hello(1), report


def connect(rig, number, hello, report):
    """Connect an endpoint process to the entry."""
    conn = number + 1
    step(rig, events.ConnectionOpened(conn, hello))
    step(rig, events.Received(conn, report))


def make_endpoint_heartbeat(granted, free=SLOTS):
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


def submit(rig, tasks=TASKS_PER_JOB, customer='team-0'):
    """Submit a job; return the CPU time used (s)."""
    spec = testing.spec((TASK_MS,) * tasks, customer, deadline_ms=DEADLINE_MS)
    rig.request_count += 1
    cpu_start_s = time.process_time()
    out_effects = step(
        rig, events.Submit(rig.request_count, None, spec, False)
    )
    cpu_used_s = time.process_time() - cpu_start_s
    _record_starts(rig, out_effects)
    return cpu_used_s


def _record_starts(rig, out_effects):
    for effect in out_effects:
        if not isinstance(effect, effects.Send):
            continue
        if isinstance(effect.msg, messages.StartBatch):
            for started in effect.msg.starts:
                rig.starts_sent[effect.conn] += 1
                rig.running[effect.conn] += 1
                rig.open_tasks.append((effect.conn, started.seq))


def end_tasks(rig, indices):
    """Report the ends of tasks within one iteration of the event loop.

    Each outcome is sent in a separate message.

    Parameters
    ----------
    rig : EntryRig
    indices : sequence of int
        Indices of the tasks in `rig.open_tasks`. Each task is replaced by the
        last one before the next index is used.

    Returns
    -------
    float
        CPU time used (s).
    """
    msgs = [_end_task(rig, index) for index in indices]
    cpu_start_s = time.process_time()
    out_effects = []
    for conn, msg in msgs:
        event = events.Received(conn, msg)
        out_effects += entry.handle(rig.node, event, rig.now)
    out_effects += run_due_timers(rig)
    cpu_used_s = time.process_time() - cpu_start_s
    _record_starts(rig, out_effects)
    return cpu_used_s


def _end_task(rig, index):
    conn, seq = rig.open_tasks[index]
    rig.open_tasks[index] = rig.open_tasks[-1]
    rig.open_tasks.pop()
    rig.running[conn] -= 1
    free = SLOTS - rig.running[conn]
    msg = messages.OutcomeBatch(
        outcomes=[make_outcome(seq)],
        granted=rig.starts_sent[conn] + free,
        free=free,
        long_free=min(free, SLOTS * 3 // 4),
        seen=rig.starts_sent[conn],
    )
    return conn, msg


def make_outcome(seq):
    """Return the outcome of a completed task."""
    return messages.Outcome(seq=seq, status=0, output=OUTPUT, run_ms=RUN_MS)


def make_endpoint(entries, slots=SLOTS):
    """Return an endpoint node with connected entries."""
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
        entry_node = entry.create(opts, random.Random(number), 0.0)
        opened = events.ConnectionOpened(number + 1, entry_node.hello(1))
        endpoint.handle(node, opened, 0.0)
    return node


def make_entry_heartbeat(active, acked=()):
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


def make_start(
    seq, job_id='0123456789abcdef-1790000000-42-0123456789abcdef', task=0
):
    """Return the start of a task with a small payload."""
    return messages.Start(
        seq=seq,
        job_id=job_id,
        task=task,
        customer='team-0',
        kind='sleep',
        payload=b'{"ms": 50, "n": 1}',
        urgent=False,
        long_running=False,
        idempotent=False,
        limit_ms=10_000,
    )


def measure_cpu_us(function, count):
    """Return the mean CPU time of `count` calls of `function(n)` (us)."""
    cpu_start_s = time.process_time()
    for number in range(count):
        function(number)
    return (time.process_time() - cpu_start_s) / count * 1e6


def measure_memory_bytes(function):
    """Return the memory that a call retains (bytes), and its result.

    Notes
    -----
    The result of the call is kept alive until the memory has been measured.
    """
    gc.collect()
    tracemalloc.start()
    try:
        bytes_before = tracemalloc.get_traced_memory()[0]
        result = function()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - bytes_before, result
    finally:
        tracemalloc.stop()
