"""Cost in memory, CPU time and bytes, on nodes that are driven directly."""

import gc
import random
import time

from azurepier import config
from azurepier import endpoint
from azurepier import exchange
from azurepier import jobs
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier.kernel import messages
from azurepier import membership
from azurepier import timeline
from azurepier import wire
from benchmarks import _capacity_rig as rigs

KNOWN_PEERS = 500
JOB_COUNT = 200
RING_EVENTS = 20_000
OUTCOME_COUNT = 1000
CONNECTED_ENTRIES = 100
# Share of busy slots while starts are measured.
BUSY_SHARE = 0.6
POOL_SIZES = (11, 44, 176, 352)
MEASURED_JOBS = 60
CODEC_ROUNDS = 2000


def measure_memory():
    """Return the memory per endpoint, task, job, entry etc. (bytes)."""
    return {
        **_entry_memory(),
        **_job_memory(),
        **_endpoint_memory(),
        **_config_memory(),
    }


def _entry_memory():
    rig = rigs.make_entry()
    encoded_announcements = [
        [wire.encode(msg) for msg in rigs.make_announcement(rig, n)]
        for n in range(KNOWN_PEERS)
    ]

    def connect():
        # Messages are decoded here because the entry retains their strings.
        for number, frames in enumerate(encoded_announcements):
            rigs.connect(rig, number, *map(wire.decode, frames))

    known_bytes, _ = rigs.measure_memory_bytes(connect)
    ring = timeline.Ring(RING_EVENTS, 'entry-0', '0' * 16)

    def fill_ring():
        for number in range(RING_EVENTS):
            event = effects.Record('start', 'job', number, 'endpoint-0')
            ring.add(event, number * 0.1)

    ring_bytes, _ = rigs.measure_memory_bytes(fill_ring)
    return {
        'endpoint_known': known_bytes / KNOWN_PEERS,
        'timeline_event': ring_bytes / RING_EVENTS,
    }


def _job_memory():
    rig = rigs.make_entry(1, offer_slots=False)

    def queue_jobs():
        for _ in range(JOB_COUNT):
            rigs.submit(rig)

    queued_bytes, _ = rigs.measure_memory_bytes(queue_jobs)
    rig = rigs.make_entry(11)

    def finish_jobs():
        for _ in range(JOB_COUNT):
            rigs.submit(rig)
            rigs.end_tasks(rig, [0] * len(rig.open_tasks))
            rig.now += 0.001

    retained_bytes, _ = rigs.measure_memory_bytes(finish_jobs)
    retained_count = len(rig.node.table.ended)

    # The answers were allocated before tracing started, so that freeing them
    # does not count: the difference is the size of the tombstones.
    def expire():
        for job_id in list(rig.node.table.ended):
            rig.node.table.ended[job_id] = rig.now
        jobs.table.expire(rig.node.table, rig.now)

    freed_bytes, _ = rigs.measure_memory_bytes(expire)
    return {
        'queued_task': queued_bytes / JOB_COUNT / rigs.TASKS_PER_JOB,
        'queued_job': queued_bytes / JOB_COUNT,
        'retained_answer': retained_bytes / retained_count,
        'tombstone': freed_bytes / retained_count,
    }


def _endpoint_memory():
    node = rigs.make_endpoint(1)

    def run_tasks():
        for number in range(OUTCOME_COUNT):
            job_id = f'0123456789abcdef-1790000000-{number}-0123456789abcdef'
            # The batch is decoded because the record retains its strings.
            batch = wire.decode(
                wire.encode(
                    messages.StartBatch(
                        starts=[rigs.make_start(number + 1, job_id)],
                        want=-1,
                        acked=[number],
                    )
                )
            )
            _run_task(node, 1, batch, number)

    retained_bytes, _ = rigs.measure_memory_bytes(run_tasks)
    directory = membership.Directory(seeds=())

    def learn_entries():
        for number in range(KNOWN_PEERS):
            membership.learn(directory, _make_entry_info(number), 0.0)

    known_bytes, _ = rigs.measure_memory_bytes(learn_entries)
    connected_bytes, _ = rigs.measure_memory_bytes(
        lambda: rigs.make_endpoint(CONNECTED_ENTRIES)
    )
    unconnected_bytes, _ = rigs.measure_memory_bytes(
        lambda: rigs.make_endpoint(0)
    )
    return {
        'outcome_retained': retained_bytes / OUTCOME_COUNT,
        'entry_known': known_bytes / KNOWN_PEERS,
        'entry_connected': (connected_bytes - unconnected_bytes)
        / CONNECTED_ENTRIES,
    }


def _run_task(node, conn, batch, number):
    now = number * 1e-4
    endpoint.handle(node, events.Received(conn, batch), now)
    (key,) = node.running
    event = events.TaskEnded(key, 0, rigs.OUTPUT[:-1] + b' }', 50)
    endpoint.handle(node, event, now)


def _make_entry_info(number):
    return messages.EntryInfo(
        name=f'entry-{number}',
        incarnation=f'{number:016x}',
        address=f'10.0.{number // 250}.{number % 250}:7000',
        web_address=f'http://10.0.{number // 250}.{number % 250}:8000',
        domain=f'domain-{number % 22}',
        draining=False,
    )


def _config_memory():
    body = config.to_json(rigs.configuration())
    config_bytes, _ = rigs.measure_memory_bytes(lambda: config.from_json(body))
    rig = rigs.make_entry(100, customers=rigs.CUSTOMERS)

    def use_customers():
        for number in range(rigs.CUSTOMERS):
            rigs.submit(rig, 1, f'team-{number}')
            rigs.end_tasks(rig, [0])

    first_bytes, _ = rigs.measure_memory_bytes(use_customers)
    second_bytes, _ = rigs.measure_memory_bytes(use_customers)
    return {
        'customer_configured': config_bytes / rigs.CUSTOMERS,
        # The first call retains jobs and the customers' state, the second only
        # jobs.
        'customer_active': max(first_bytes - second_bytes, 0) / rigs.CUSTOMERS,
    }


def measure_starts(endpoints, batch, seed):
    """Return the CPU time per start and per outcome (us).

    Jobs of 20 tasks are started on a pool with a share of `BUSY_SHARE` of its
    slots in use. The tasks end in random order, `batch` of them in one
    iteration of the event loop.
    """
    rng = random.Random(seed)
    rig = rigs.make_entry(endpoints)
    busy_slots = int(endpoints * rigs.SLOTS * BUSY_SHARE)
    while len(rig.open_tasks) < busy_slots:
        rigs.submit(
            rig, min(rigs.TASKS_PER_JOB, busy_slots - len(rig.open_tasks))
        )
    gc.collect()
    start_s = end_s = 0.0
    start_count = 0
    for _ in range(MEASURED_JOBS):
        rig.now += 0.001
        open_before = len(rig.open_tasks)
        start_s += rigs.submit(rig)
        start_count += len(rig.open_tasks) - open_before
        while len(rig.open_tasks) > busy_slots:
            index = rng.randrange(len(rig.open_tasks) - batch + 1)
            end_s += rigs.end_tasks(rig, [index] * batch)
    return {
        'start_us': start_s / start_count * 1e6,
        'outcome_us': end_s / start_count * 1e6,
        'starts': start_count,
    }


def measure_heartbeats(endpoints):
    """Return the CPU time of an entry per heartbeat (us)."""
    rig = rigs.make_entry(endpoints)
    msgs = [
        (conn, rigs.make_endpoint_heartbeat(rigs.SLOTS))
        for conn in rig.node.by_conn
    ]
    received_s = sent_s = 0.0
    rounds = 10
    for _ in range(rounds):
        cpu_start_s = time.process_time()
        for conn, msg in msgs:
            rigs.step(rig, events.Received(conn, msg))
        received_s += time.process_time() - cpu_start_s
        cpu_start_s = time.process_time()
        rigs.run_timers_until(rig, rig.now + rigs.HEARTBEAT_INTERVAL_S)
        sent_s += time.process_time() - cpu_start_s
    assert len(rig.node.by_conn) == endpoints
    us_per_heartbeat = 1e6 / rounds / endpoints
    return {
        'received': received_s * us_per_heartbeat,
        'sent': sent_s * us_per_heartbeat,
    }


def measure_announcements(endpoints):
    """Return the CPU time of an entry per added endpoint (us).

    The entry is connected to a number of `endpoints` already.
    """
    rig = rigs.make_entry(endpoints)
    announcements = [
        rigs.make_announcement(rig, endpoints + n) for n in range(200)
    ]
    gc.collect()
    return rigs.measure_cpu_us(
        lambda n: rigs.connect(rig, endpoints + n, *announcements[n]),
        len(announcements),
    )


def measure_endpoint_cpu(entries):
    """Return the CPU time of an endpoint node per heartbeat and task (us)."""
    node = rigs.make_endpoint(entries)
    heartbeat = rigs.make_entry_heartbeat(False)
    rounds = 200
    now = received_s = sent_s = 0.0
    for _ in range(rounds):
        now += rigs.HEARTBEAT_INTERVAL_S
        cpu_start_s = time.process_time()
        for conn in list(node.by_conn):
            endpoint.handle(node, events.Received(conn, heartbeat), now)
        received_s += time.process_time() - cpu_start_s
        cpu_start_s = time.process_time()
        endpoint.handle(node, events.Tick(), now)
        sent_s += time.process_time() - cpu_start_s
    active_heartbeat = rigs.make_entry_heartbeat(True)
    endpoint.handle(node, events.Received(1, active_heartbeat), now)

    def run_task(number):
        acked = [number] if number else []
        batch = messages.StartBatch(
            starts=[rigs.make_start(number + 1, f'job-{number}')],
            want=-1,
            acked=acked,
        )
        _run_task(node, 1, batch, now * 1e4)

    return {
        'heartbeat_received': received_s / rounds / entries * 1e6,
        'heartbeat_sent': sent_s / rounds / entries * 1e6,
        'task': rigs.measure_cpu_us(run_task, OUTCOME_COUNT),
    }


def _make_config_update(old, new, known_version):
    """Return the update for a peer at `known_version` and its cost (us)."""
    state = exchange.ConfigExchange()
    adoption = config.Adoption()
    for cfg in (old, new):
        config.adopt(adoption, cfg)
        exchange.record_current(state, adoption)
    msg = messages.ConfigRequest(have=known_version)
    out_effects = exchange.on_request(state, adoption, 1, msg)
    time_us = rigs.measure_cpu_us(
        lambda n: exchange.on_request(state, adoption, 1, msg), 50
    )
    return out_effects[0].msg, time_us


def _measure_adoption(old, update):
    def adopt(_):
        state = exchange.ConfigExchange()
        adoption = config.Adoption()
        if update.base:
            config.adopt(adoption, old)
        if not exchange.on_update(state, adoption, update):
            raise RuntimeError('the configuration update was not adopted')

    return rigs.measure_cpu_us(adopt, 20)


def measure_config_change():
    """Return the size and CPU time of a configuration change."""
    old = rigs.configuration(1)
    new = rigs.configuration(2)
    full, full_us = _make_config_update(old, new, 0)
    delta, delta_us = _make_config_update(old, new, 1)
    rig = rigs.make_entry(100, customers=rigs.CUSTOMERS)
    body = config.to_json(new)
    return {
        'whole_bytes': len(wire.encode(full)),
        'delta_bytes': len(wire.encode(delta)),
        'answer_whole_us': full_us,
        'answer_delta_us': delta_us,
        'adopt_whole_us': _measure_adoption(old, full),
        'adopt_delta_us': _measure_adoption(old, delta),
        'entry_adopts_us': rigs.measure_cpu_us(
            lambda n: rigs.step(rig, events.ConfigSeen(body)), 1
        ),
    }


def measure_timeline():
    """Return the CPU time per timeline event (us)."""
    ring = timeline.Ring(RING_EVENTS, 'entry-0', '0' * 16)
    record = effects.Record('start', 'job', 0, 'endpoint-0')
    return rigs.measure_cpu_us(lambda n: ring.add(record, 0.0), RING_EVENTS)


def measure_frames():
    """Return the encoded size and codec CPU time by message."""
    rig = rigs.make_entry()
    hello, report = rigs.make_announcement(rig, 1)
    batch = messages.OutcomeBatch(
        outcomes=[rigs.make_outcome(1)],
        granted=9,
        free=1,
        long_free=1,
        seen=1,
    )
    examples = {
        'start': messages.StartBatch(
            starts=[rigs.make_start(1)], want=-1, acked=[1]
        ),
        'outcome': batch,
        'heartbeat': rigs.make_entry_heartbeat(True, [1]),
        'hello': hello,
        'resume_report': report,
        'members_6': messages.Members(
            version=1, entries=[_make_entry_info(n) for n in range(6)]
        ),
        'members_200': messages.Members(
            version=1, entries=[_make_entry_info(n) for n in range(200)]
        ),
    }
    result = {}
    for name, msg in examples.items():
        frame = wire.encode(msg)
        result[name] = {
            'bytes': len(frame),
            'encode_us': rigs.measure_cpu_us(
                lambda n, msg=msg: wire.encode(msg), CODEC_ROUNDS
            ),
            'decode_us': rigs.measure_cpu_us(
                lambda n, frame=frame: wire.decode(frame), CODEC_ROUNDS
            ),
        }
    return result
