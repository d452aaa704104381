"""Slopes of memory, processor time and bytes, on nodes driven directly."""

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
from benchmarks import _capacity_rig as rig_of

KNOWN = 500
JOBS = 200
RING_EVENTS = 20_000
OUTCOMES = 1000
PEERS = 100
# Share of the slots that stay busy while starts are measured.
BUSY = 0.6
POOLS = (11, 44, 176, 352)
MEASURED_JOBS = 60
CODEC_ROUNDS = 2000


# Memory ------------------------------------------------------------------


def memory():
    """Return the memory slopes (bytes)."""
    return {
        **_entry_memory(),
        **_job_memory(),
        **_endpoint_memory(),
        **_config_memory(),
    }


def _entry_memory():
    rig = rig_of.make_entry()
    frames = [
        [wire.encode(msg) for msg in rig_of.announcement(rig, n)]
        for n in range(KNOWN)
    ]

    def connect():
        # Decoded here, because the view keeps the strings of the message.
        for number, pair in enumerate(frames):
            rig_of.connect(rig, number, *map(wire.decode, pair))

    size, _ = rig_of.memory(connect)
    ring = timeline.Ring(RING_EVENTS, 'entry-0', '0' * 16)

    def fill():
        for number in range(RING_EVENTS):
            record = effects.Record('start', 'job', number, 'endpoint-0')
            ring.add(record, number * 0.1)

    ring_size, _ = rig_of.memory(fill)
    return {
        'endpoint_known': size / KNOWN,
        'timeline_event': ring_size / RING_EVENTS,
    }


def _job_memory():
    rig = rig_of.make_entry(1, free=False)

    def queue():
        for _ in range(JOBS):
            rig_of.submit(rig)

    queued, _ = rig_of.memory(queue)
    rig = rig_of.make_entry(11)

    def finish():
        for _ in range(JOBS):
            rig_of.submit(rig)
            rig_of.end_tasks(rig, [0] * len(rig.open))
            rig.now += 0.001

    retained, _ = rig_of.memory(finish)
    kept = len(rig.node.table.ended)

    # What this frees was allocated before memory was traced, so that the
    # change is what the records take.
    def expire():
        for job_id in list(rig.node.table.ended):
            rig.node.table.ended[job_id] = rig.now
        jobs.table.expire(rig.node.table, rig.now)

    gone, _ = rig_of.memory(expire)
    return {
        'queued_task': queued / JOBS / rig_of.TASKS,
        'queued_job': queued / JOBS,
        'retained_answer': retained / kept,
        'tombstone': gone / kept,
    }


def _endpoint_memory():
    node = rig_of.make_endpoint(1)

    def run_tasks():
        for number in range(OUTCOMES):
            job = f'0123456789abcdef-1790000000-{number}-0123456789abcdef'
            # Decoded, because the record keeps the strings of the message.
            item = wire.decode(
                wire.encode(
                    messages.StartBatch(
                        starts=[rig_of.start(number + 1, job)],
                        want=-1,
                        acked=[number],
                    )
                )
            )
            _run_task(node, 1, item, number)

    retained, _ = rig_of.memory(run_tasks)
    directory = membership.Directory(seeds=())

    def learn():
        for number in range(KNOWN):
            membership.learn(directory, _info(number), 0.0)

    known, _ = rig_of.memory(learn)
    linked, _ = rig_of.memory(lambda: rig_of.make_endpoint(PEERS))
    single, _ = rig_of.memory(lambda: rig_of.make_endpoint(0))
    return {
        'outcome_retained': retained / OUTCOMES,
        'entry_known': known / KNOWN,
        'entry_connected': (linked - single) / PEERS,
    }


def _run_task(node, conn, batch, number):
    now = number * 1e-4
    endpoint.handle(node, events.Received(conn, batch), now)
    (key,) = node.running
    ended = events.TaskEnded(key, 0, rig_of.OUTPUT[:-1] + b' }', 50)
    endpoint.handle(node, ended, now)


def _info(number):
    return messages.EntryInfo(
        name=f'entry-{number}',
        incarnation=f'{number:016x}',
        address=f'10.0.{number // 250}.{number % 250}:7000',
        web_address=f'http://10.0.{number // 250}.{number % 250}:8000',
        domain=f'domain-{number % 22}',
        draining=False,
    )


def _config_memory():
    body = config.to_json(rig_of.configuration())
    size, _ = rig_of.memory(lambda: config.from_json(body))
    rig = rig_of.make_entry(100, customers=rig_of.CUSTOMERS)

    def use():
        for number in range(rig_of.CUSTOMERS):
            rig_of.submit(rig, 1, f'team-{number}')
            rig_of.end_tasks(rig, [0])

    used, _ = rig_of.memory(use)
    again, _ = rig_of.memory(use)
    return {
        'customer_configured': size / rig_of.CUSTOMERS,
        # The second round leaves only its jobs behind.
        'customer_active': max(used - again, 0) / rig_of.CUSTOMERS,
    }


# Processor time ----------------------------------------------------------


def starts(endpoints, batch, seed):
    """Return the processor time per start and per outcome (us).

    Jobs of 20 tasks are started on a pool with `BUSY` of its slots in use,
    and the tasks end in random order, `batch` in one iteration of the event
    loop.
    """
    rng = random.Random(seed)
    rig = rig_of.make_entry(endpoints)
    busy = int(endpoints * rig_of.SLOTS * BUSY)
    while len(rig.open) < busy:
        rig_of.submit(rig, min(rig_of.TASKS, busy - len(rig.open)))
    gc.collect()
    start_s = end_s = 0.0
    count = 0
    for _ in range(MEASURED_JOBS):
        rig.now += 0.001
        before = len(rig.open)
        start_s += rig_of.submit(rig)
        count += len(rig.open) - before
        while len(rig.open) > busy:
            first = rng.randrange(len(rig.open) - batch + 1)
            end_s += rig_of.end_tasks(rig, [first] * batch)
    return {
        'start_us': start_s / count * 1e6,
        'outcome_us': end_s / count * 1e6,
        'starts': count,
    }


def heartbeats(endpoints):
    """Return the entry's processor time per heartbeat (us)."""
    rig = rig_of.make_entry(endpoints)
    msgs = [
        (conn, rig_of.endpoint_heartbeat(rig_of.SLOTS))
        for conn in rig.node.by_conn
    ]
    received = sent = 0.0
    rounds = 10
    for _ in range(rounds):
        began = time.process_time()
        for conn, msg in msgs:
            rig_of.step(rig, events.Received(conn, msg))
        received += time.process_time() - began
        began = time.process_time()
        rig_of.run_timers(rig, rig.now + rig_of.HEARTBEAT_S)
        sent += time.process_time() - began
    assert len(rig.node.by_conn) == endpoints
    scale = 1e6 / rounds / endpoints
    return {'received': received * scale, 'sent': sent * scale}


def announcements(known):
    """Return the entry's processor time for one more endpoint (us)."""
    rig = rig_of.make_entry(known)
    said = [rig_of.announcement(rig, known + n) for n in range(200)]
    gc.collect()
    return rig_of.cpu_us(
        lambda n: rig_of.connect(rig, known + n, *said[n]), len(said)
    )


def endpoint_cpu(entries):
    """Return the endpoint node's processor time (us)."""
    node = rig_of.make_endpoint(entries)
    beat = rig_of.entry_heartbeat(False)
    rounds = 200
    now = received = sent = 0.0
    for _ in range(rounds):
        now += rig_of.HEARTBEAT_S
        began = time.process_time()
        for conn in list(node.by_conn):
            endpoint.handle(node, events.Received(conn, beat), now)
        received += time.process_time() - began
        began = time.process_time()
        endpoint.handle(node, events.Tick(), now)
        sent += time.process_time() - began
    lead = rig_of.entry_heartbeat(True)
    endpoint.handle(node, events.Received(1, lead), now)

    def run(number):
        acked = [number] if number else []
        batch = messages.StartBatch(
            starts=[rig_of.start(number + 1, f'job-{number}')],
            want=-1,
            acked=acked,
        )
        _run_task(node, 1, batch, now * 1e4)

    return {
        'heartbeat_received': received / rounds / entries * 1e6,
        'heartbeat_sent': sent / rounds / entries * 1e6,
        'task': rig_of.cpu_us(run, OUTCOMES),
    }


def _update(old, new, have):
    state = exchange.ConfigExchange()
    adoption = config.Adoption()
    for cfg in (old, new):
        config.adopt(adoption, cfg)
        exchange.record_current(state, adoption)
    msg = messages.ConfigRequest(have=have)
    found = exchange.on_request(state, adoption, 1, msg)
    time_us = rig_of.cpu_us(
        lambda n: exchange.on_request(state, adoption, 1, msg), 50
    )
    return found[0].msg, time_us


def _adopt_us(old, update):
    def adopt(_):
        state = exchange.ConfigExchange()
        adoption = config.Adoption()
        if update.base:
            config.adopt(adoption, old)
        if not exchange.on_update(state, adoption, update):
            raise RuntimeError('the update was not adopted')

    return rig_of.cpu_us(adopt, 20)


def configurations():
    """Return bytes and processor time of a configuration change."""
    old = rig_of.configuration(1)
    new = rig_of.configuration(2)
    whole, whole_us = _update(old, new, 0)
    delta, delta_us = _update(old, new, 1)
    rig = rig_of.make_entry(100, customers=rig_of.CUSTOMERS)
    body = config.to_json(new)
    return {
        'whole_bytes': len(wire.encode(whole)),
        'delta_bytes': len(wire.encode(delta)),
        'answer_whole_us': whole_us,
        'answer_delta_us': delta_us,
        'adopt_whole_us': _adopt_us(old, whole),
        'adopt_delta_us': _adopt_us(old, delta),
        'entry_adopts_us': rig_of.cpu_us(
            lambda n: rig_of.step(rig, events.ConfigSeen(body)), 1
        ),
    }


def timeline_us():
    """Return the processor time per event of the time line (us)."""
    ring = timeline.Ring(RING_EVENTS, 'entry-0', '0' * 16)
    record = effects.Record('start', 'job', 0, 'endpoint-0')
    return rig_of.cpu_us(lambda n: ring.add(record, 0.0), RING_EVENTS)


# Wire --------------------------------------------------------------------


def frames():
    """Return bytes and processor time of the codec by message."""
    rig = rig_of.make_entry()
    hello, report = rig_of.announcement(rig, 1)
    batch = messages.OutcomeBatch(
        outcomes=[rig_of.outcome(1)], granted=9, free=1, long_free=1, seen=1
    )
    examples = {
        'start': messages.StartBatch(
            starts=[rig_of.start(1)], want=-1, acked=[1]
        ),
        'outcome': batch,
        'heartbeat': rig_of.entry_heartbeat(True, [1]),
        'hello': hello,
        'resume_report': report,
        'members_6': messages.Members(
            version=1, entries=[_info(n) for n in range(6)]
        ),
        'members_200': messages.Members(
            version=1, entries=[_info(n) for n in range(200)]
        ),
    }
    found = {}
    for name, msg in examples.items():
        frame = wire.encode(msg)
        found[name] = {
            'bytes': len(frame),
            'encode_us': rig_of.cpu_us(
                lambda n, msg=msg: wire.encode(msg), CODEC_ROUNDS
            ),
            'decode_us': rig_of.cpu_us(
                lambda n, frame=frame: wire.decode(frame), CODEC_ROUNDS
            ),
        }
    return found
