"""A worker that is silent for a moment and returns under the same id."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

TRAFFIC_S = 24.0
JOBS_PER_S = 12
FIRST_CRASH_S = 3.0
CRASH_INTERVAL_S = 3.0
DOWN_S = 0.25


async def disturb(fleet, began):
    """Crash one worker after the other."""
    at_s, turn = FIRST_CRASH_S, 0
    while at_s < TRAFFIC_S - 1.0:
        await asyncio.sleep(max(began + at_s - time.monotonic(), 0))
        await fleet.workers[turn % 3].crash(DOWN_S, silent=True)
        at_s, turn = at_s + CRASH_INTERVAL_S, turn + 1


async def play(record):
    """Return the violations of the case."""
    fleet = harness.Fleet(record)
    rng = random.Random(5)
    try:
        await fleet.start()
        began = time.monotonic()
        tasks = []
        if harness.TROUBLE:
            tasks.append(asyncio.create_task(disturb(fleet, began)))
        answers = []

        async def caller():
            job_id = f'{rng.getrandbits(64):016x}'
            body = harness.job_body(24, 150, 250)
            answers.append(await harness.submit(fleet, rng, job_id, body, 15))

        while time.monotonic() - began < TRAFFIC_S:
            tasks.append(asyncio.create_task(caller()))
            await asyncio.sleep(rng.expovariate(JOBS_PER_S))
        await asyncio.gather(*tasks)
        served = sum(status == 200 for status, _ in answers)
        record.note(f'{served} of {len(answers)} jobs were served')
        if served < len(answers) / 2:
            raise harness.CouldNotRun('hardly any job was served')
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
