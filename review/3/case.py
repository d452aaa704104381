"""A heartbeat of another writer, which names a service that doesn't exist."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

TRAFFIC_S = 14.0
JOBS_PER_S = 4
FOREIGN_AT_S = (4.0, 7.0, 10.0)


def foreign_heartbeat(worker):
    """Return a heartbeat whose service no manifest and no page names."""
    return {
        'service': 'zz-not-named',
        'address': f'{worker.ip}:9',
        'zone': worker.zone,
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'capacity': {'cpu': 8000, 'mem_mb': 16384, 'gpu': 0},
        'labels': ['a', 'r1'],
        'clock_ms': 5,
        'born': int(time.time() * 1000),
        'sequence': 1,
    }


async def disturb(fleet, began):
    """Send one heartbeat of another writer to each worker's machine."""
    for at_s, worker in zip(FOREIGN_AT_S, fleet.workers, strict=True):
        await asyncio.sleep(max(began + at_s - time.monotonic(), 0))
        body = foreign_heartbeat(worker)
        fleet.record.note(f'another writer sends {body} to {worker.ip}')
        status, _ = await harness.call(
            worker.ip,
            harness.CONTROL,
            'POST',
            '/Instances.Heartbeat/zz-other',
            body,
            timeout_s=2.0,
        )
        fleet.record.note(f'the other writer gets {status}')


async def play(record):
    """Return the violations of the case."""
    fleet = harness.Fleet(record)
    rng = random.Random(7)
    try:
        await fleet.start()
        began = time.monotonic()
        tasks = []
        if harness.TROUBLE:
            tasks.append(asyncio.create_task(disturb(fleet, began)))
        answers = []

        async def caller():
            job_id = f'{rng.getrandbits(64):016x}'
            body = harness.job_body(4, 800)
            answers.append(await harness.submit(fleet, rng, job_id, body, 20))

        while time.monotonic() - began < TRAFFIC_S:
            tasks.append(asyncio.create_task(caller()))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*tasks)
        if sum(status == 200 for status, _ in answers) < len(answers) / 2:
            raise harness.CouldNotRun(f'hardly any job was served: {answers}')
    finally:
        fleet.close()
    return [
        f'TWICE: {first.task} run {first.number} on {first.worker} and run'
        f' {second.number} on {second.worker} were both at work from'
        f' {begin:.4f} to {end:.4f}'
        for first, second, begin, end in harness.overlaps(record)
    ]


if __name__ == '__main__':
    harness.main(__file__, play)
