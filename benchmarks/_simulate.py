"""Runs a trace through real nodes on virtual time."""

import json
import time

import attrs

from azurepier import kernel
from azurepier import testing

from benchmarks import _deployments
from benchmarks import _observe
from benchmarks import _workload

# Connections are up and the entries know all endpoints after this time.
SETTLE_S = 6.0
DRAIN_STEP_S = 1.0
DRAIN_MAX_S = 600.0
COMPLETE = 'complete'
UNANSWERED = 'unanswered'


@attrs.frozen
class Policy:
    """Names of the plug-ins of the entries."""

    placement: str = 'expected_completion'
    queueing: str = 'fair'

    def __str__(self):
        return f'{self.placement}+{self.queueing}'


DEFAULT = Policy()
BASELINES = (
    Policy(placement='random'),
    Policy(placement='round_robin'),
    Policy(queueing='fifo'),
    Policy(placement='random', queueing='fifo'),
)


@attrs.frozen
class Answer:
    """Answer to a job: `complete` or the type of a refusal.

    `response_s` is measured at the client and includes both ways.
    """

    outcome: str
    response_s: float


@attrs.frozen
class Span:
    """One start of a task on a worker; times are those of the trace."""

    job: int
    task: int
    started: float
    ended: float
    speed: float


@attrs.define
class Run:
    """What was observed of a trace.

    `submit_cpu_s` is the processor time of the entry for each submission;
    virtual time doesn't contain it.
    """

    trace: object
    answers: dict = attrs.field(factory=dict)  # by job number
    spans: list = attrs.field(factory=list)
    traffic: object = None
    submit_cpu_s: list = attrs.field(factory=list)


def simulate(trace, policy=DEFAULT, window=None):
    """Run a trace.

    Parameters
    ----------
    trace : Trace
    policy : Policy
    window : (float, float) or None
        Part of the trace (s) in which messages are counted; all of it if
        None.

    Returns
    -------
    Run
    """
    driver = testing.Driver(seed=trace.seed, delay=trace.deployment.delay)
    fleet = testing.Fleet(driver)
    run = Run(trace)
    low, high = window or (0.0, trace.bounds[-1])
    run.traffic = _observe.Traffic((SETTLE_S + low, SETTLE_S + high))
    _add_processes(fleet, run, policy)
    fleet.configure(_workload.configuration_of(trace))
    driver.run_until(SETTLE_S)
    _check_ready(fleet)
    _schedule(fleet, run)
    _drain(driver, run)
    _observe.finish(run.traffic)
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
        process.worker = _recording(run, worker.speed)
        _observe.watch_endpoint(run.traffic, process)


def _recording(run, speed):
    """Return a fake worker that notes what it runs."""

    def work(start, now):
        body = json.loads(start.payload)
        run_s = body['ms'] / 1000 / speed
        at = now - SETTLE_S
        run.spans.append(
            Span(body['job'], body['task'], at, at + run_s, speed)
        )
        return run_s, kernel.Status.DONE, b'null'

    return work


def _check_ready(fleet):
    count = len(fleet.endpoints)
    for process in fleet.entries:
        if len(process.node.by_conn) != count:
            raise RuntimeError(f'{process.name} lacks endpoints')


def _schedule(fleet, run):
    """Let the clients submit the jobs of the trace."""
    driver = fleet.driver
    client_s = run.trace.deployment.client_s
    open_jobs = {}

    def submit(job):
        # An answer may come before `submit` returns.
        open_jobs[fleet.next_req] = job
        spec = _workload.spec_of(job)
        began = time.process_time()
        fleet.submit(job.entry, spec)
        run.submit_cpu_s.append(time.process_time() - began)

    def on_answer(process, req, body):
        job = open_jobs.pop(req)
        response_s = driver.now + client_s - SETTLE_S - job.at
        outcome = getattr(body, 'type', COMPLETE)
        run.answers[job.number] = Answer(outcome, response_s)

    driver.on_answer = on_answer
    for job in run.trace.jobs:
        driver.at(SETTLE_S + job.at + client_s, submit, job)


def _drain(driver, run):
    end = SETTLE_S + run.trace.bounds[-1]
    driver.run_until(end)
    while len(run.answers) < len(run.trace.jobs):
        if driver.now > end + DRAIN_MAX_S:
            break
        driver.run_until(driver.now + DRAIN_STEP_S)
    for job in run.trace.jobs:
        run.answers.setdefault(job.number, Answer(UNANSWERED, float('inf')))
