"""Callers, who submit jobs all the time, and submit them again."""

import asyncio
import json
import random
import time

import attrs

from azurepier.daemon import _http
from mixed_fleet import _fleet
from mixed_fleet import _record

# Their jobs need about 28 cores if all are at work. The workers have 24, and
# 16 during the evacuation, so that some jobs are refused.
CALLERS = 12
# Time after which a job without an answer is submitted again (s).
RESUBMIT_AFTER_S = 1.3
# Time for which a caller waits for the answer to one attempt (s).
ATTEMPT_LIMIT_S = 8.0
# Time in which each job has to be answered (s).
JOB_LIMIT_S = 20.0
# Most refusals after which a caller gives up, and the time between them (s).
REFUSALS_MAX = 3
REFUSED_PAUSE_S = 0.2
# Time after a signal in which broken attempts count as its effect (s): the
# process drains, ends, and the next one starts.
SIGNAL_EFFECT_S = _fleet.GRACE_S + 2.0
MEAN_PAUSE_S = 0.05
# Share of the jobs whose first task fails once.
FAILING_SHARE = 0.05
# Range of the run time (ms) and share of the jobs.
_RUN_TIMES = (((10, 80), 0.55), ((100, 350), 0.35), ((800, 1500), 0.1))
TRANSIENT = (TimeoutError, _http.NotSentError, _http.ResponseError)


@attrs.define(eq=False)
class Traffic:
    """What the callers share.

    Attributes
    ----------
    prefixes : list of str
        Path prefixes of the queues that may be used.
    labels : list of str
        Labels that jobs may require; '' for none.
    ended : bool
        Whether no new jobs are submitted.
    """

    fleet: _fleet.Fleet
    seed: int
    prefixes: list
    labels: list = attrs.field(factory=lambda: [''])
    ended: bool = False


async def run_caller(traffic, number):
    """Submit one job after the other until the traffic ends."""
    rng = random.Random(f'{traffic.seed}/{number}')
    record = traffic.fleet.record
    while not traffic.ended:
        await asyncio.sleep(rng.expovariate(1 / MEAN_PAUSE_S))
        job_id = f'{rng.getrandbits(64):016x}'
        (low, high), _ = rng.choices(
            _RUN_TIMES, [share for _, share in _RUN_TIMES]
        )[0]
        count, run_ms = rng.randint(2, 6), rng.randint(low, high)
        cpu = rng.choice((250, 500, 1000))
        spec = {
            'ms': run_ms,
            'cpu': cpu,
            'fails': rng.random() < FAILING_SHARE,
        }
        step = {
            'count': count,
            'cpu': cpu,
            'mem_mb': 8,
            'estimate_ms': run_ms,
        }
        label = rng.choice(traffic.labels)
        if label:
            spec['label'] = step['requirements'] = label
        body = json.dumps(
            {'spec': json.dumps(spec), 'best_effort': True, 'steps': [step]}
        ).encode()
        job = _record.Job(job_id, count, record.phase, time.monotonic())
        record.jobs[job_id] = job
        path = rng.choice(traffic.prefixes) + job_id
        outcome = await _submit(traffic, rng, job, path, body)
        if outcome:
            _record.on_answer(record, job, outcome)


async def _submit(traffic, rng, job, path, body):
    """Submit a job until it is answered; return the outcome."""
    fleet = traffic.fleet
    refusals_left = rng.randint(1, REFUSALS_MAX)
    while time.monotonic() - job.sent_at < JOB_LIMIT_S:
        entry = _pick_entry(fleet, rng)
        try:
            async with asyncio.timeout(ATTEMPT_LIMIT_S):
                status, answer = await _fleet.call(
                    fleet, entry, _fleet.FRONT_PORT, 'POST', path, body
                )
        except TRANSIENT:
            job.attempts.append('broken')
            fleet.record.broken[_cause(entry)] += 1
            await asyncio.sleep(RESUBMIT_AFTER_S)
            continue
        job.attempts.append(str(status))
        if status in (502, 504):
            await asyncio.sleep(RESUBMIT_AFTER_S)
        elif status in (429, 503):
            refusals_left -= 1
            if not refusals_left:
                return 'refused'
            await asyncio.sleep(REFUSED_PAUSE_S)
        elif status == 200:
            return json.loads(answer)['state']
        else:
            return f'status_{status}'
    return ''


def _cause(entry):
    """Return the signal that an attempt at an entry has met, or 'none'."""
    if time.monotonic() - entry.stopped_at < SIGNAL_EFFECT_S:
        return entry.stopped_by
    return 'none'


def _pick_entry(fleet, rng):
    ready = [m for m in fleet.entries if m.in_rotation]
    return rng.choice(ready or fleet.entries)
