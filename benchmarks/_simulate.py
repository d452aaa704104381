"""Simulates a trace with real nodes on virtual time."""

import json
import time

import attrs

from azurepier import kernel
from azurepier import testing

from benchmarks import _deployments
from benchmarks import _observe
from benchmarks import _workload

# Time until the entries are connected to all endpoints.
SETTLE_S = 6.0
ANSWER_POLL_S = 1.0
ANSWER_TIMEOUT_S = 600.0
COMPLETE = 'complete'
UNANSWERED = 'unanswered'


@attrs.frozen
class Policy:
    """Names of the placement and queueing plug-ins of the entries."""

    placement: str = 'expected_completion'
    queueing: str = 'fair'

    def __str__(self):
        return f'{self.placement}+{self.queueing}'


DEFAULT_POLICY = Policy()
BASELINE_POLICIES = (
    Policy(placement='random'),
    Policy(placement='round_robin'),
    Policy(queueing='fifo'),
    Policy(placement='random', queueing='fifo'),
)


@attrs.frozen
class Answer:
    """Answer to a job.

    Parameters
    ----------
    outcome : str
        `COMPLETE`, `UNANSWERED` or the type of an error.
    response_s : float
        Response time at the client, including the network round trip.
    """

    outcome: str
    response_s: float


@attrs.frozen
class TaskRun:
    """A run of a task on a worker; times are relative to the trace."""

    job: int
    task: int
    started_at: float
    ended_at: float
    speed: float


@attrs.define
class Run:
    """Result of a simulated trace.

    Parameters
    ----------
    trace : Trace
    answers : dict
        Answer by job number.
    task_runs : list of TaskRun
    traffic : Traffic
    submit_cpu_s : list of float
        CPU time of the entry for each submission, which is not part of the
        virtual time.
    """

    trace: object
    answers: dict = attrs.field(factory=dict)
    task_runs: list = attrs.field(factory=list)
    traffic: object = None
    submit_cpu_s: list = attrs.field(factory=list)


def simulate(trace, policy=DEFAULT_POLICY, window=None):
    """Simulate a trace.

    Parameters
    ----------
    trace : Trace
    policy : Policy
    window : (float, float) or None
        Interval of the trace in which messages are counted (s), by default
        the whole trace.

    Returns
    -------
    Run
    """
    driver = testing.Driver(seed=trace.seed, delay=trace.deployment.delay)
    fleet = testing.Fleet(driver)
    run = Run(trace)
    start_s, end_s = window or (0.0, trace.phase_bounds_s[-1])
    run.traffic = _observe.Traffic((SETTLE_S + start_s, SETTLE_S + end_s))
    _add_processes(fleet, run, policy)
    fleet.configure(_workload.make_configuration(trace))
    driver.run_until(SETTLE_S)
    _check_connected(fleet)
    _schedule_submissions(fleet, run)
    _run_until_answered(driver, run)
    _observe.close(run.traffic)
    return run


def _add_processes(fleet, run, policy):
    deployment = run.trace.deployment
    for number in range(_workload.ENTRIES):
        process = fleet.add_entry(
            f'entry-{number}',
            _deployments.DOMAINS[number],
            placement=policy.placement,
            queueing=policy.queueing,
        )
        _observe.watch_entry(run.traffic, process)
    for worker in deployment.workers:
        process = fleet.add_endpoint(
            worker.name,
            worker.speed,
            deployment.slots,
            domain=worker.domain,
        )
        process.worker = _make_worker(run, worker.speed)
        _observe.watch_endpoint(run.traffic, process)


def _make_worker(run, speed):
    """Return a simulated worker that records the tasks that it runs."""

    def run_task(start, now):
        body = json.loads(start.payload)
        run_s = body['ms'] / 1000 / speed
        started_at = now - SETTLE_S
        run.task_runs.append(
            TaskRun(
                body['job'],
                body['task'],
                started_at,
                started_at + run_s,
                speed,
            )
        )
        return run_s, kernel.Status.DONE, b'null'

    return run_task


def _check_connected(fleet):
    endpoint_count = len(fleet.endpoints)
    for process in fleet.entries:
        if len(process.node.by_conn) != endpoint_count:
            raise RuntimeError(
                f'{process.name} is connected to'
                f' {len(process.node.by_conn)} of {endpoint_count} endpoints'
            )


def _schedule_submissions(fleet, run):
    """Schedule the submission of the jobs by clients."""
    driver = fleet.driver
    client_delay_s = run.trace.deployment.client_delay_s
    open_jobs = {}

    def submit(job):
        # The job is recorded first: `submit` may answer before it returns.
        open_jobs[fleet.next_req] = job
        spec = _workload.make_spec(job)
        cpu_start_s = time.process_time()
        fleet.submit(job.entry, spec)
        run.submit_cpu_s.append(time.process_time() - cpu_start_s)

    def on_answer(process, req, body):
        job = open_jobs.pop(req)
        response_s = driver.now + client_delay_s - SETTLE_S - job.submitted_at
        outcome = getattr(body, 'type', COMPLETE)
        run.answers[job.number] = Answer(outcome, response_s)

    driver.on_answer = on_answer
    for job in run.trace.jobs:
        driver.at(SETTLE_S + job.submitted_at + client_delay_s, submit, job)


def _run_until_answered(driver, run):
    end_s = SETTLE_S + run.trace.phase_bounds_s[-1]
    driver.run_until(end_s)
    while len(run.answers) < len(run.trace.jobs):
        if driver.now > end_s + ANSWER_TIMEOUT_S:
            break
        driver.run_until(driver.now + ANSWER_POLL_S)
    for job in run.trace.jobs:
        run.answers.setdefault(job.number, Answer(UNANSWERED, float('inf')))
