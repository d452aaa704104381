"""The demo: two entries, three endpoints and stand-ins on loopback.

``run`` submits a batch of jobs and stops everything; ``up`` leaves the
processes running and describes them in build/demo.json; ``down`` stops them.
"""

import asyncio
import pathlib
import random
import statistics
import sys
import time

import attrs
import click
from prometheus_client import parser

from azurepier import client
from standins import _fleet

_SEED = 1
_ARRIVALS_S = 5.0
_MS_PER_S = 1000
_HEARTBEATS = ('Heartbeat',)
_PAGE = _fleet.BUILD / 'timeline.html'


@attrs.frozen
class Kind:
    """A kind of job in the batch; times are those at speed 1."""

    name: str
    customer: str
    jobs: int
    tasks: int
    shortest_ms: int
    longest_ms: int
    urgent: bool = False


KINDS = (
    Kind('urgent', 'prydderch', 24, 4, 50, 150, True),
    Kind('ordinary', 'prydderch', 16, 6, 200, 600),
    Kind('long', 'yastikevi', 10, 4, 2000, 4000),
)


@attrs.frozen
class Job:
    """A job to submit `at_s` after the begin of the batch."""

    kind: Kind
    at_s: float
    task_ms: tuple

    @property
    def ideal_s(self):
        """Time of the longest task on the fastest, idle worker."""
        return max(self.task_ms) / max(_fleet.SPEEDS) / _MS_PER_S


@attrs.define
class Outcome:
    """What became of a job."""

    job: Job
    seconds: float
    job_id: str = ''
    error: str = ''


def make_batch(rng):
    """Return the jobs of the demo in the order of their submission."""
    jobs = [
        Job(
            kind,
            rng.uniform(0, _ARRIVALS_S),
            tuple(
                rng.randint(kind.shortest_ms, kind.longest_ms)
                for _ in range(kind.tasks)
            ),
        )
        for kind in KINDS
        for _ in range(kind.jobs)
    ]
    return sorted(jobs, key=lambda job: job.at_s)


async def _submit(caller, job, begin):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(begin + job.at_s - loop.time())
    tasks = [client.Task('sleep', {'ms': ms}, ms) for ms in job.task_ms]
    sent_at = loop.time()
    try:
        result = await caller.submit(tasks, urgent=job.kind.urgent)
    except client.JobError as exc:
        seconds = loop.time() - sent_at
        return Outcome(job, seconds, exc.job_id, str(exc))
    outcome = Outcome(job, loop.time() - sent_at, result.job_id)
    if result.outputs != [{'slept_ms': ms} for ms in job.task_ms]:
        outcome.error = 'the results are not those of the tasks'
    return outcome


async def submit_batch(jobs, entries):
    """Submit all jobs at their times, each customer through all entries."""
    callers = {
        (customer, url): client.AsyncClient(
            [url], customer, token, rng=random.Random(_SEED)
        )
        for customer, token in _fleet.TOKENS.items()
        for url in entries
    }
    begin = asyncio.get_running_loop().time()
    try:
        return await asyncio.gather(
            *(
                _submit(
                    callers[job.kind.customer, entries[i % len(entries)]],
                    job,
                    begin,
                )
                for i, job in enumerate(jobs)
            )
        )
    finally:
        for caller in callers.values():
            await caller.close()


# Report ------------------------------------------------------------------


def _messages(fleet):
    """Return the messages sent by all processes: all, and heartbeats."""
    total = heartbeats = 0
    for url in fleet.urls('entry') + fleet.urls('endpoint'):
        text = _fleet.get(f'{url}/metrics')
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == 'azurepier_messages_sent_total':
                    total += sample.value
                    if sample.labels['type'] in _HEARTBEATS:
                        heartbeats += sample.value
    return total, heartbeats


def _counter(fleet, name):
    return sum(
        _fleet.get_json(f'{url}/v1/status')['counters'].get(name, 0)
        for url in fleet.urls('entry')
    )


def _print_jobs(outcomes):
    for outcome in outcomes:
        job = outcome.job
        state = outcome.error or 'complete'
        print(
            f'{outcome.job_id}  {job.kind.name:8}  {len(job.task_ms)} tasks'
            f'  {outcome.seconds:6.3f} s  {state}'
        )


def _print_times(outcomes):
    print(
        '\nResponse time / ideal. The ideal is the longest task of the job'
        f' at the fastest\nspeed ({max(_fleet.SPEEDS)}) without any wait, a'
        ' lower bound that no scheduler can beat.'
    )
    for kind in KINDS:
        ratios = sorted(
            outcome.seconds / outcome.job.ideal_s
            for outcome in outcomes
            if outcome.job.kind is kind
        )
        print(
            f'  {kind.name:8}  median {statistics.median(ratios):5.2f}'
            f'  largest {ratios[-1]:5.2f}'
        )


def _print_messages(fleet, before, seconds, tasks):
    total, heartbeats = (
        after - earlier for after, earlier in zip(_messages(fleet), before)
    )
    sent = _counter(fleet, 'starts_sent')
    wasted = _counter(fleet, 'starts_refused') + _counter(fleet, 'wants_sent')
    print(
        f'\nMessages between processes per task: '
        f'{(total - heartbeats) / tasks:.2f}, and {heartbeats / seconds:.1f}'
        f' heartbeats/s.\nStarts sent: {sent} for {tasks} tasks; messages'
        f' that started nothing per task: {wasted / tasks:.3f}.'
    )


def _count_starts(fleet, outcomes):
    """Return faults in the workers' counts of starts."""
    starts = {}
    for url in fleet.urls('worker'):
        for key, count in _fleet.get_json(f'{url}/starts').items():
            starts[key] = starts.get(key, 0) + count
    print('Tasks started by the workers:', sum(starts.values()))
    return [
        f'{key}: started {count} times'
        for key, count in starts.items()
        if count > 1
    ] + [
        f'{outcome.job_id}/{task}: complete but never started'
        for outcome in outcomes
        if not outcome.error
        for task in range(len(outcome.job.task_ms))
        if f'{outcome.job_id}/{task}' not in starts
    ]


def _print_time_line(fleet, outcomes):
    job_id = next(o.job_id for o in outcomes if o.job.kind.urgent)
    print(f'\nTime line of the job {job_id} (ms):')
    print(_fleet.command(fleet, 'events', '--job', job_id), end='')
    _fleet.command(fleet, 'events', '--html', _PAGE)
    print(f'All events are drawn in {_PAGE}.\n')


def load_of(jobs):
    """Return the share of the workers' capacity that the batch asks for."""
    work_s = sum(ms for job in jobs for ms in job.task_ms) / _MS_PER_S
    return work_s / (sum(_fleet.SPEEDS) * _fleet.SLOTS * _ARRIVALS_S)


def _run_batch(fleet):
    """Submit the batch, print the report and return the faults."""
    jobs = make_batch(random.Random(_SEED))
    print(
        f'\n{len(jobs)} jobs arrive in {_ARRIVALS_S:g} s and ask for'
        f' {load_of(jobs):.0%} of the workers\' capacity.'
    )
    before = _messages(fleet)
    began = time.monotonic()
    outcomes = asyncio.run(submit_batch(jobs, fleet.urls('entry')))
    seconds = time.monotonic() - began
    _print_jobs(outcomes)
    _print_times(outcomes)
    tasks = sum(len(job.task_ms) for job in jobs)
    _print_messages(fleet, before, seconds, tasks)
    faults = _count_starts(fleet, outcomes)
    _print_time_line(fleet, outcomes)
    complete = sum(not outcome.error for outcome in outcomes)
    print(f'{complete} of {len(jobs)} jobs are complete ({seconds:.1f} s).')
    return faults + [
        f'{outcome.job_id}: {outcome.error}'
        for outcome in outcomes
        if outcome.error
    ]


# Commands ----------------------------------------------------------------


def _finish(faults):
    for fault in faults:
        click.echo(f'fault: {fault}', err=True)
    sys.exit(1 if faults else 0)


@click.group()
def main():
    """Try azurepier on this machine."""
    if not pathlib.Path('pyproject.toml').exists():
        raise click.UsageError('run it at the root of the repository')


@main.command()
def run():
    """Start everything, run a batch of jobs and stop everything."""
    fleet = _start()
    faults = ['the batch was interrupted']
    try:
        faults = _run_batch(fleet)
    finally:
        faults += _fleet.stop(fleet)
        _fleet.forget()
        print('All processes have stopped.')
    _finish(faults)


@main.command()
def up():
    """Start everything and leave it running."""
    fleet = _start()
    print(f'Entries: {" ".join(fleet.urls("entry"))}')
    print(f'{_fleet.STATE} describes all processes; "make down" stops them.')


def _start():
    try:
        return _fleet.start()
    except _fleet.FleetError as exc:
        raise click.ClickException(str(exc)) from exc


@main.command()
def down():
    """Stop what ``up`` has started."""
    fleet = _fleet.load()
    if fleet is None:
        print('Nothing is running.')
        return
    faults = _fleet.stop(fleet)
    _fleet.forget()
    _finish(faults)


if __name__ == '__main__':
    main()
