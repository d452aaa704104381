"""Demo with two entries, three endpoint processes and stand-ins on loopback.

``run`` starts the processes, submits a batch of jobs and stops them; ``up``
leaves the processes running and describes them in build/demo.json; ``down``
stops them.
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
_ARRIVAL_PERIOD_S = 5.0
_MS_PER_S = 1000
_HEARTBEAT_TYPES = ('Heartbeat',)
_TIMELINE_FILE = _fleet.BUILD_DIR / 'timeline.html'


@attrs.frozen
class Kind:
    """A kind of job in the batch.

    Attributes
    ----------
    name, customer : str
    jobs : int
        Number of jobs in the batch.
    tasks : int
        Number of tasks of each job.
    shortest_ms, longest_ms : int
        Range of the tasks' run times at speed 1.
    urgent : bool
    """

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
    """A job to submit `at_s` after the start of the batch."""

    kind: Kind
    at_s: float
    task_ms: tuple

    @property
    def min_response_s(self):
        """Run time of the longest task at the fastest worker's speed."""
        return max(self.task_ms) / max(_fleet.SPEEDS) / _MS_PER_S


@attrs.define
class Outcome:
    """Outcome of a job; `error` is empty if it completed."""

    job: Job
    response_s: float
    job_id: str = ''
    error: str = ''


def make_batch(rng):
    """Return the jobs of the demo in the order of their submission."""
    jobs = [
        Job(
            kind,
            rng.uniform(0, _ARRIVAL_PERIOD_S),
            tuple(
                rng.randint(kind.shortest_ms, kind.longest_ms)
                for _ in range(kind.tasks)
            ),
        )
        for kind in KINDS
        for _ in range(kind.jobs)
    ]
    return sorted(jobs, key=lambda job: job.at_s)


async def _submit(job_client, job, started_at):
    loop = asyncio.get_running_loop()
    await asyncio.sleep(started_at + job.at_s - loop.time())
    tasks = [client.Task('sleep', {'ms': ms}, ms) for ms in job.task_ms]
    sent_at = loop.time()
    try:
        result = await job_client.submit(tasks, urgent=job.kind.urgent)
    except client.JobError as exc:
        response_s = loop.time() - sent_at
        return Outcome(job, response_s, exc.job_id, str(exc))
    outcome = Outcome(job, loop.time() - sent_at, result.job_id)
    if result.outputs != [{'slept_ms': ms} for ms in job.task_ms]:
        outcome.error = 'the outputs do not match the tasks'
    return outcome


async def submit_batch(jobs, entries):
    """Submit each job at its time, through the entries in turn."""
    job_clients = {
        (customer, url): client.AsyncClient(
            [url], customer, token, rng=random.Random(_SEED)
        )
        for customer, token in _fleet.TOKENS.items()
        for url in entries
    }
    started_at = asyncio.get_running_loop().time()
    try:
        return await asyncio.gather(
            *(
                _submit(
                    job_clients[job.kind.customer, entries[i % len(entries)]],
                    job,
                    started_at,
                )
                for i, job in enumerate(jobs)
            )
        )
    finally:
        for job_client in job_clients.values():
            await job_client.close()


def _count_messages(fleet):
    """Return the numbers of messages and heartbeats that were sent."""
    total = heartbeats = 0
    for url in fleet.urls('entry') + fleet.urls('endpoint'):
        text = _fleet.get(f'{url}/metrics')
        for family in parser.text_string_to_metric_families(text):
            for sample in family.samples:
                if sample.name == 'azurepier_messages_sent_total':
                    total += sample.value
                    if sample.labels['type'] in _HEARTBEAT_TYPES:
                        heartbeats += sample.value
    return total, heartbeats


def _sum_counter(fleet, name):
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
            f'  {outcome.response_s:6.3f} s  {state}'
        )


def _print_response_times(outcomes):
    print(
        '\nResponse time relative to its lower bound, the run time of the'
        ' longest task of the\njob at the fastest worker\'s speed'
        f' ({max(_fleet.SPEEDS)}).'
    )
    for kind in KINDS:
        ratios = sorted(
            outcome.response_s / outcome.job.min_response_s
            for outcome in outcomes
            if outcome.job.kind is kind
        )
        print(
            f'  {kind.name:8}  median {statistics.median(ratios):5.2f}'
            f'  largest {ratios[-1]:5.2f}'
        )


def _print_messages(fleet, messages_before, duration_s, task_count):
    total, heartbeats = (
        after - earlier
        for after, earlier in zip(_count_messages(fleet), messages_before)
    )
    starts_sent = _sum_counter(fleet, 'starts_sent')
    ineffective = _sum_counter(fleet, 'starts_refused') + _sum_counter(
        fleet, 'wants_sent'
    )
    print(
        f'\nMessages between processes per task: '
        f'{(total - heartbeats) / task_count:.2f}, plus '
        f'{heartbeats / duration_s:.1f} heartbeats/s.\n'
        f'Starts sent: {starts_sent} for {task_count} tasks; messages that'
        f' started no task, per task: {ineffective / task_count:.3f}.'
    )


def _check_starts(fleet, outcomes):
    """Return errors in the numbers of starts, one line each.

    No task may start twice, and every task of a complete job has started.
    """
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


def _print_timeline(fleet, outcomes):
    job_id = next(o.job_id for o in outcomes if o.job.kind.urgent)
    print(f'\nTimeline of job {job_id} (ms):')
    print(_fleet.run_command(fleet, 'events', '--job', job_id), end='')
    _fleet.run_command(fleet, 'events', '--html', _TIMELINE_FILE)
    print(f'{_TIMELINE_FILE} shows the events of all jobs.\n')


def offered_load(jobs):
    """Return the load of the batch as a share of the workers' capacity."""
    work_s = sum(ms for job in jobs for ms in job.task_ms) / _MS_PER_S
    return work_s / (sum(_fleet.SPEEDS) * _fleet.SLOTS * _ARRIVAL_PERIOD_S)


def _run_batch(fleet):
    """Submit the batch, print the report and return the errors found."""
    jobs = make_batch(random.Random(_SEED))
    print(
        f'\n{len(jobs)} jobs arrive in {_ARRIVAL_PERIOD_S:g} s, a load of'
        f' {offered_load(jobs):.0%} of the workers\' capacity.'
    )
    messages_before = _count_messages(fleet)
    batch_started_at = time.monotonic()
    outcomes = asyncio.run(submit_batch(jobs, fleet.urls('entry')))
    duration_s = time.monotonic() - batch_started_at
    _print_jobs(outcomes)
    _print_response_times(outcomes)
    task_count = sum(len(job.task_ms) for job in jobs)
    _print_messages(fleet, messages_before, duration_s, task_count)
    problems = _check_starts(fleet, outcomes)
    _print_timeline(fleet, outcomes)
    completed = sum(not outcome.error for outcome in outcomes)
    print(
        f'{completed} of {len(jobs)} jobs are complete ({duration_s:.1f} s).'
    )
    return problems + [
        f'{outcome.job_id}: {outcome.error}'
        for outcome in outcomes
        if outcome.error
    ]


def _finish(problems):
    for problem in problems:
        click.echo(f'error: {problem}', err=True)
    sys.exit(1 if problems else 0)


@click.group()
def main():
    """Try azurepier on this machine."""
    if not pathlib.Path('pyproject.toml').exists():
        raise click.UsageError(
            'run this command in the root directory of the repository'
        )


@main.command()
def run():
    """Start all processes, run a batch of jobs and stop them."""
    fleet = _start()
    problems = ['the batch was interrupted']
    try:
        problems = _run_batch(fleet)
    finally:
        problems += _fleet.stop(fleet)
        _fleet.remove_state_file()
        print('All processes have stopped.')
    _finish(problems)


@main.command()
def up():
    """Start all processes and leave them running."""
    fleet = _start()
    print(f'Entries: {" ".join(fleet.urls("entry"))}')
    print(
        f'{_fleet.STATE_FILE} describes all processes; "make down" stops them.'
    )


def _start():
    try:
        return _fleet.start()
    except _fleet.FleetError as exc:
        raise click.ClickException(str(exc)) from exc


@main.command()
def down():
    """Stop the processes that ``up`` has started."""
    fleet = _fleet.load_state()
    if fleet is None:
        print('Nothing is running.')
        return
    problems = _fleet.stop(fleet)
    _fleet.remove_state_file()
    _finish(problems)


if __name__ == '__main__':
    main()
