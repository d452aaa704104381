"""Clients outside the limits, and callers that leave, during a soak.

Crowds come in series and overlap with the faults and with each other. Jobs of
callers that leave are recorded without an answer, so that what the workers do
with them is checked as well.
"""

import asyncio
import contextlib
import json
import time

from mixed_fleet import _fleet
from mixed_fleet import _operator
from mixed_fleet import _record

MEAN_INTERVAL_S = 0.4
# Time for which connections are held (s).
_HELD_S = (0.0, 0.05, 0.5, 2.0)
_CONNECT_TIMEOUT_S = 2.0
_GET = b'GET / HTTP/1.1\r\n\r\n'
_HEAD = b'POST /q/a HTTP/1.1\r\nhost: h\r\n'


async def _offer(address, requests, held_s):
    """Send something on a connection each, read nothing, and reset them."""
    writers = []
    try:
        for data in requests:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
            writers.append(writer)
            writer.write(data)
        await asyncio.sleep(held_s)
    except (OSError, TimeoutError):
        # The process is down or stopped.
        pass
    finally:
        for writer in writers:
            writer.transport.abort()


def _post(record, rng):
    job_id = f'{rng.getrandbits(64):016x}'
    count = rng.randint(1, 6)
    spec = {'ms': rng.randint(10, 2000), 'cpu': 100, 'fails': False}
    step = {'count': count, 'cpu': 100, 'mem_mb': 8, 'estimate_ms': spec['ms']}
    body = json.dumps(
        {'spec': json.dumps(spec), 'best_effort': True, 'steps': [step]}
    ).encode()
    job = _record.Job(job_id, count, record.phase, time.monotonic())
    job.attempts.append('broken')
    record.jobs[job_id] = job
    path = (_operator.COMMON_PREFIX + job_id).encode()
    return b'POST %b HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n%b' % (
        path,
        len(body),
        body,
    )


def _jobs_of_leaving_callers(record, rng):
    return [_post(record, rng) for _ in range(40)]


def _requests_ahead(record, rng):
    return [_GET * 2000 for _ in range(10)]


def _heads_without_end(record, rng):
    return [_HEAD + b'x-a: ' + b'a' * 64_000 for _ in range(10)]


def _empty_lines(record, rng):
    return [b'\r\n' * 30_000 for _ in range(10)]


def _trailers_without_end(record, rng):
    chunked = _HEAD + b'transfer-encoding: chunked\r\n\r\n1\r\n1\r\n0\r\n'
    return [chunked + b'x-a: ' + b'a' * 64_000 for _ in range(10)]


def _idle_connections(record, rng):
    return [b''] * 200


def _cancels_of_unknown_jobs(record, rng):
    return [
        b'DELETE /q/%016x HTTP/1.1\r\nhost: h\r\n\r\n' % rng.getrandbits(64)
        for _ in range(60)
    ]


KINDS = (
    _jobs_of_leaving_callers,
    _jobs_of_leaving_callers,
    _requests_ahead,
    _heads_without_end,
    _empty_lines,
    _trailers_without_end,
    _idle_connections,
    _cancels_of_unknown_jobs,
)


async def press(fleet, rng, seconds, counts):
    """Send crowds to random entries for some time (s); count their kinds."""
    end_at = time.monotonic() + seconds
    crowds = set()
    while time.monotonic() < end_at:
        await asyncio.sleep(rng.expovariate(1 / MEAN_INTERVAL_S))
        make_requests = rng.choice(KINDS)
        counts[make_requests.__name__.lstrip('_')] += 1
        address = rng.choice(fleet.entries).ip, _fleet.FRONT_PORT
        requests = make_requests(fleet.record, rng)
        crowd = asyncio.create_task(
            _offer(address, requests, rng.choice(_HELD_S))
        )
        crowds.add(crowd)
        crowd.add_done_callback(crowds.discard)
    await asyncio.gather(*crowds)


def check_memory(fleet, bound_mb):
    """Record the processes whose resident memory was above a bound."""
    for machine in fleet.machines:
        peak_mb = 0.0
        with contextlib.suppress(OSError):
            peak_mb = _peak_mb(machine.process.pid)
        if peak_mb > bound_mb:
            _record.violate(
                fleet.record, 'memory', f'{machine.name} {peak_mb:.0f} MB'
            )


def _peak_mb(pid):
    with open(f'/proc/{pid}/status') as file:
        line = next(line for line in file if line.startswith('VmHWM:'))
    return int(line.split()[1]) / 1024
