"""Simulated pool of entries, endpoint processes and workers."""

import random

import attrs

from azurepier import dispatch
from azurepier.kernel import effects
from azurepier.kernel import events
from azurepier import membership
from azurepier import runner
from azurepier.testing import _calls
from azurepier.testing import _driver
from azurepier.testing import _ledger
from azurepier.testing import _worker

HEARTBEAT_INTERVAL_S = 1.5
# Delay before callers resubmit after they were disconnected (s).
RESUBMIT_DELAY_S = 1.3
GRACE_S = 6.0
# Interval at which entries hear from the store (s).
STORE_WATCH_S = 1.5
# One-way delay on the same machine (s).
LOCAL_DELAY_S = 0.0005
# Time after its start at which a deadly task crashes its worker (s).
CRASH_DELAY_S = 0.01


@attrs.frozen
class Bounds:
    """Time limits of the simulated deployment (s)."""

    grace_s: float = GRACE_S


@attrs.define(eq=False, repr=False)
class PoolFleet:
    """Entries, endpoint processes, workers and callers.

    Attributes
    ----------
    work_by_spec : dict of str to tuple
        ``(work_s, cpu, fails)`` by the specification of a job.
    calls : list of Call
    open_calls : dict of int to Call
        Unanswered submissions by request number.
    wrong_answers : list of Call
        Calls whose answer contradicts what the workers have run.
    incarnation_count : int
        Number of processes started so far, including restarts.
    evacuations : Evacuations
        Evacuated failure domains according to the store.
    store_cut : set of str
        Names of the processes that are cut off from the store.
    deadly : dict of str to float
        Time after its start at which a task crashes its worker (s).
    unread_leaves : list of (Process, int)
        Entry and request of each caller whose disconnection the entry has not
        read yet.
    policy : Policy
        Optional parts in use, for processes that are started from then on.
    unconfigured : dict of str to list
        Time and call of the requests that wait for the first configuration,
        by the name of the entry.
    """

    driver: _driver.Driver
    ledger: _ledger.Ledger
    work_by_spec: dict = attrs.field(factory=dict)
    entries: dict = attrs.field(factory=dict)
    endpoints: dict = attrs.field(factory=dict)
    workers: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    open_calls: dict = attrs.field(factory=dict)
    answer_count: int = 0
    wrong_answers: list = attrs.field(factory=list)
    last_req: int = 0
    incarnation_count: int = 0
    evacuations: object = membership.Evacuations(1, frozenset())
    store_cut: set = attrs.field(factory=set)
    deadly: dict = attrs.field(factory=dict)
    uneven: float = 0.0
    domains: int = 1
    unread_leaves: list = attrs.field(factory=list)
    policy: object = dispatch.Policy()
    unconfigured: dict = attrs.field(factory=dict)

    def run_for(self, seconds):
        """Run the simulation for some time (s)."""
        self.driver.run_until(self.driver.now + seconds)

    def domain(self, name):
        """Return the failure domain of a process, derived from its name."""
        return f'd{int(name[1:]) % self.domains}'

    def start_entry(self, name, configured=True):
        """Start or restart an entry.

        An entry that is not `configured` hears of the store with `configure`.
        """
        self.incarnation_count += 1
        options = dispatch.Options(
            name=name,
            domain=self.domain(name),
            address=f'{name}:1',
            seeds=tuple(f'e{index}:1' for index in range(3)),
            bounds=Bounds(),
            policy=self.policy,
        )
        rng = random.Random(f'{name}-{self.incarnation_count}')
        node = dispatch.create(options, rng, self.driver.now)
        process = _driver.Process(
            name, node, dispatch.handle, address=options.address
        )
        self.entries[name] = process
        self.driver.add(process)
        self.unconfigured[name] = []
        if configured:
            self.configure(name)
        else:
            self.store_cut.add(name)
        return process

    def configure(self, name):
        """Pass the store's contents to an entry, then waiting requests."""
        process = self.entries[name]
        self.read_evacuations(process)
        routing = dispatch.Routing(1, {('h', '/q/'): _calls.queue()})
        self.driver.feed(process, dispatch.RoutingLoaded(routing))
        for arrived_at, call in self.unconfigured.pop(name, ()):
            call.waited_s = self.driver.now - arrived_at
            self._send_to(call, process)

    def read_evacuations(self, process):
        """Pass the evacuations to a process unless it is cut off."""
        if process.name not in self.store_cut:
            event = membership.EvacuationsLoaded(self.evacuations)
            self.driver.feed(process, event)

    def evacuate(self, *domains):
        """Evacuate these failure domains and take back all others."""
        self.evacuations = membership.Evacuations(
            self.evacuations.revision + 1, frozenset(domains)
        )
        for process in self.entries.values():
            self.read_evacuations(process)

    def watch_store(self):
        """Let the entries hear from the store, now and periodically."""
        for process in self.entries.values():
            if not process.frozen:
                self.read_evacuations(process)
        self.driver.after(STORE_WATCH_S, self.watch_store)

    def start_endpoint(self, name):
        """Start or restart an endpoint process."""
        self.incarnation_count += 1
        options = runner.Options(
            name=name,
            domain=self.domain(name),
            pool='pool',
            seeds=tuple(f'e{index}:1' for index in range(3)),
            generation=self.incarnation_count,
            grace_s=GRACE_S,
            policy=self.policy,
        )
        rng = random.Random(f'{name}-{self.incarnation_count}')
        node = runner.create(options, rng, self.driver.now)
        process = _driver.Process(name, node, runner.handle)
        process.worker = self.workers[name]
        self.endpoints[name] = process
        self.driver.add(process)
        return process

    def add_worker(self, name, cpu, speed):
        """Add a worker whose heartbeats go to its endpoint process."""
        worker = _worker.PoolWorker(
            self.driver,
            self.ledger,
            name,
            cpu,
            speed,
            self.work_by_spec.__getitem__,
            rng=random.Random(f'{self.driver.seed}-{name}'),
            uneven=self.uneven,
            deadly=self.deadly,
        )
        self.workers[name] = worker
        self.driver.after(0.05, self._heartbeat, name)
        return worker

    def _heartbeat(self, name):
        worker = self.workers[name]
        process = self.endpoints.get(name)
        silent = worker.unresponsive or worker.down
        if process is not None and process.alive and not silent:
            self.driver.feed(process, runner.WorkerReported(worker.report()))
        self.driver.after(HEARTBEAT_INTERVAL_S, self._heartbeat, name)

    def kill_entry(self, name):
        """Kill an entry; its callers resubmit to another one."""
        process = self.entries[name]
        self.driver.kill(process)
        for req, call in list(self.open_calls.items()):
            if call.entry == name:
                del self.open_calls[req]
                self.driver.after(RESUBMIT_DELAY_S, self._send, call)

    def submit(self, work_s, count=1, cpu=1000, entry=None, **options):
        """Submit a job and return its call.

        Parameters
        ----------
        work_s : float
            Run time of a task on a worker of speed 1 (s).
        count : int
            Number of tasks.
        cpu : int
            Needs of a task (thousandths of a core).
        entry : str, optional
            Entry that receives the job; by default, entries take turns.
        declared_ms : int, optional
            Declared run time of a task (ms); the actual one by default.
        fails : bool, optional
            Whether the tasks fail.
        deadly : sequence of int, optional
            Tasks that crash each worker that starts them.
        label : str, optional
            Label that the worker must have.
        max_per_worker : int, optional
            Tasks that may run on one worker at a time; 0 for no limit.
        queue : Queue, optional
        """
        number = len(self.calls)
        spec = f'job-{number}'
        self.work_by_spec[spec] = (work_s, cpu, options.get('fails', False))
        job = dispatch.JobRequest(
            id=f'{number:016x}',
            spec=spec,
            count=count,
            declared_ms=options.get('declared_ms', round(work_s * 1000)),
            resources=dispatch.Resources(cpu, label=options.get('label', '')),
            max_per_worker=options.get('max_per_worker', 0),
        )
        for index in options.get('deadly', ()):
            self.deadly[_calls.task_names(job)[index]] = CRASH_DELAY_S
        call = _calls.Call(
            job,
            options.get('queue', _calls.queue()),
            self.driver.now,
            entry or '',
        )
        self.calls.append(call)
        self._send(call)
        return call

    def _send(self, call):
        if call.abandoned:
            return
        names = [
            name
            for name, process in self.entries.items()
            if process.alive and not process.node.draining
        ]
        if not names:
            self.driver.after(0.1, self._send, call)
            return
        if call.entry not in names:
            call.entry = names[
                (len(self.calls) + call.submissions) % len(names)
            ]
        call.submissions += 1
        call.waited_s = 0.0
        if call.entry in self.unconfigured:
            waiting = (self.driver.now, call)
            self.unconfigured[call.entry].append(waiting)
            return
        self._send_to(call, self.entries[call.entry])

    def _send_to(self, call, process):
        self.last_req += 1
        call.req = self.last_req
        call.started_before = self._count_starts(call)
        self.open_calls[call.req] = call
        event = dispatch.Submit(call.req, call.queue, call.job, call.waited_s)
        self.driver.feed(process, event)

    def disconnect_caller(self, call, entry='', read_after_s=0.0):
        """Disconnect a caller, which resubmits to this or another entry.

        Its former entry reads of the disconnection after a delay (s).
        """
        if self.open_calls.pop(call.req, None) is None:
            return
        left = (self.entries[call.entry], call.req)
        self.unread_leaves.append(left)
        if read_after_s:
            self.driver.after(read_after_s, self._read_leave, left)
        else:
            self._read_leave(left)
        call.entry = entry
        self.driver.after(RESUBMIT_DELAY_S, self._send, call)

    def _read_leave(self, left):
        if left in self.unread_leaves:
            self.unread_leaves.remove(left)
            self.driver.feed(left[0], events.Abandon(left[1]))

    def confirm_callers(self, _, process, effect):
        """Let an entry look at the connections of its callers."""
        for left in list(self.unread_leaves):
            if left[0] is process:
                self._read_leave(left)
        self.driver.feed(process, dispatch.CallersConfirmed())

    def on_answer(self, process, req, body):
        """Process an answer; it is dropped if the caller has disconnected."""
        call = self.open_calls.pop(req, None)
        if call is None:
            return
        verdict = getattr(body, 'verdict', None)
        if verdict is dispatch.Verdict.MAY_HAVE_RUN:
            call.entry = ''
            self.driver.after(RESUBMIT_DELAY_S, self._send, call)
            return
        call.body = body
        call.answered_at = self.driver.now
        self.answer_count += 1
        if verdict is dispatch.Verdict.NOT_RUN:
            if self._count_starts(call) > call.started_before:
                self.wrong_answers.append(call)
        elif getattr(body, 'succeeded', False):
            if not all(map(self.ledger.done.get, _calls.task_names(call.job))):
                self.wrong_answers.append(call)

    def _count_starts(self, call):
        started = self.ledger.started
        return sum(
            started.get(name, 0) for name in _calls.task_names(call.job)
        )


def make_pool(
    seed=1,
    entries=3,
    speeds=(1.0, 1.0, 1.0),
    cpu=8000,
    domains=1,
    delay_s=LOCAL_DELAY_S,
    uneven=0.0,
    policy=None,
):
    """Return a fleet that has been running for two seconds.

    Parameters
    ----------
    seed, entries, domains : int
    speeds : sequence of float
        Speeds of the workers.
    cpu : int or sequence of int
        Capacity of the workers (thousandths of a core).
    delay_s : float
        One-way delay of messages between processes (s).
    uneven : float
        Largest relative deviation of a task from the mean of its job.
    policy : azurepier.dispatch.Policy, optional
        Optional parts in use; none by default.
    """
    driver = _driver.Driver(
        seed, lambda a, b: LOCAL_DELAY_S if a is b else delay_s
    )
    cpus = [cpu] * len(speeds) if isinstance(cpu, int) else cpu
    fleet = PoolFleet(
        driver,
        _ledger.Ledger(),
        domains=domains,
        uneven=uneven,
        policy=policy or dispatch.Policy(),
    )
    driver.on_answer = fleet.on_answer
    driver.log_effects = []
    driver.effect_handlers[runner.StartRun] = lambda _, process, effect: (
        process.worker.start(process, effect)
    )
    driver.effect_handlers[runner.StopRun] = lambda _, process, effect: (
        process.worker.stop(process, effect)
    )
    driver.effect_handlers[runner.ListRuns] = lambda _, process, effect: (
        process.worker.list(process, effect)
    )
    driver.effect_handlers[runner.ReadEvacuations] = (
        lambda _, process, effect: fleet.read_evacuations(process)
    )
    driver.effect_handlers[dispatch.ConfirmCallers] = fleet.confirm_callers
    for ignored in (dispatch.CloseIdleCallers, dispatch.FirstConfigApplied):
        driver.effect_handlers[ignored] = lambda _, process, effect: None
    driver.effect_handlers[effects.Decode] = lambda _, process, effect: None
    for index in range(entries):
        fleet.start_entry(f'e{index}')
    fleet.watch_store()
    for index, speed in enumerate(speeds):
        fleet.add_worker(f'w{index}', cpus[index], speed)
        fleet.start_endpoint(f'w{index}')
    fleet.run_for(2.0)
    return fleet
