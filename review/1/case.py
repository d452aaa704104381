"""An entry that is frozen while callers give jobs up and send them again.

Callers of a frozen entry wait until their time limit, close their channel and
hand the job in again at another entry, as after any request without an answer.
"""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness  # noqa: E402

ROUNDS = 4
FREEZE_S = 4.0
CALLERS = 6
TIME_LIMIT_S = 1.5
TASK_MS = 1500


async def submit_twice(fleet, rng, frozen_ip, at_s, answers):
    """Hand a job in at one entry and, without an answer, at another one."""
    record = fleet.record
    await asyncio.sleep(at_s)
    job_id = f'{rng.getrandbits(64):016x}'
    body = harness.job_body(3, TASK_MS, 500)
    others = [ip for ip in fleet.entry_ips if ip != frozen_ip]
    for ip, limit_s in ((frozen_ip, TIME_LIMIT_S), (rng.choice(others), 20)):
        record.note(f'caller sends {job_id} to {ip}')
        try:
            status, answer = await harness.call(
                ip,
                harness.FRONT,
                'POST',
                harness.PREFIX + job_id,
                body,
                limit_s,
            )
        except (OSError, EOFError, TimeoutError) as exc:
            record.note(f'caller of {job_id} leaves {ip}: {exc!r}')
            await asyncio.sleep(harness.RESEND_S)
            continue
        record.note(f'caller of {job_id}: {status} {answer} from {ip}')
        answers.append(status)
        return


async def play(record):
    """Return the violations of the case."""
    fleet = harness.Fleet(record)
    rng = random.Random(17)
    answers = []
    try:
        await fleet.start()
        for turn in range(ROUNDS):
            ip = fleet.entry_ips[turn % len(fleet.entry_ips)]
            process = fleet.processes[ip]
            began = time.monotonic()
            if harness.TROUBLE:
                process.send_signal(signal.SIGSTOP)
                record.note(f'{ip} is frozen')
            callers = [
                asyncio.create_task(
                    submit_twice(fleet, rng, ip, 0.1 + 0.2 * each, answers)
                )
                for each in range(CALLERS)
            ]
            await asyncio.sleep(began + FREEZE_S - time.monotonic())
            if harness.TROUBLE:
                process.send_signal(signal.SIGCONT)
                record.note(f'{ip} wakes')
            await asyncio.gather(*callers)
            await asyncio.sleep(1.0)
        if answers.count(200) < len(answers) / 2:
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
