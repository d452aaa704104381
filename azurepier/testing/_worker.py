"""Simulated worker that runs tasks under a lease, with faults."""

import random

import attrs

from azurepier import runner
from azurepier.testing import _ledger

# Range of the delay of requests that are executed late (s).
DELAY_MIN_S = 2.0
DELAY_MAX_S = 12.0
# Time for which a worker is away after a crash (s).
DOWN_S = 3.3


@attrs.define(eq=False)
class _Run:
    task: str
    number: int
    work_s: float
    cpu: int
    done_work_s: float = 0.0
    updated_at: float = 0.0
    version: int = 0


@attrs.define(eq=False, repr=False)
class PoolWorker:
    """Simulated worker on the virtual time of a driver.

    Parameters
    ----------
    driver : Driver
    ledger : _ledger.Ledger
    name : str
    cpu : int
        Capacity in thousandths of a core.
    speed : float
    get_work : callable
        ``get_work(spec) -> (work_s, cpu, fails)``

    Attributes
    ----------
    slowdown : float
        Divisor of the speed; with infinity, the tasks stall.
    failing : bool
        Whether all tasks fail immediately.
    delayed_share, lost_share : float
        Fractions of requests that are executed seconds later and not answered,
        and that are executed at once but whose answer is lost.
    lost_list_share : float
        Fraction of list requests that are executed but not answered.
    reset_share : float
        Fraction of requests whose connection is reset; half of these are
        executed.
    unresponsive : bool
        Whether requests are neither executed nor answered.
    uneven : float
        Largest relative deviation of a task from the mean of its job.
    end_count : int
        Number of ended runs in this incarnation.
    highest_numbers : dict of str to int
        Highest run number by task.
    peak_cpu : int
        Largest capacity in use so far (thousandths of a core).
    pending_requests : list
        Process, time and number of each list request whose answer waits for
        the end of a run.
    lease_expirations : int
        Number of runs that ended because the lease expired.
    deadly : dict of str to float
        Time after its start at which a task crashes the worker (s).
    down : bool
        Whether the worker has crashed and refuses connections.
    keeps_id : bool
        Whether later incarnations have the id of the first one.
    """

    driver: object
    ledger: object
    name: str
    cpu: int
    speed: float
    get_work: object
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    slowdown: float = 1.0
    failing: bool = False
    delayed_share: float = 0.0
    lost_share: float = 0.0
    lost_list_share: float = 0.0
    reset_share: float = 0.0
    unresponsive: bool = False
    uneven: float = 0.0
    born: int = 1
    sequence: int = 0
    leaving: bool = False
    clock_offset_ms: float = 5000.0
    lease_ms: float = 0.0
    generation: int = 0
    runs: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    end_count: int = 0
    highest_numbers: dict = attrs.field(factory=dict)
    peak_cpu: int = 0
    pending_requests: list = attrs.field(factory=list)
    process: object = None
    lease_expirations: int = 0
    deadly: dict = attrs.field(factory=dict)
    down: bool = False
    pool: str = 'pool'
    keeps_id: bool = False
    labels: tuple = ()

    @property
    def id(self):
        """The id of the current incarnation."""
        return f'{self.name}-{1 if self.keeps_id else self.born}'

    def clock(self):
        """Return the time on the worker's clock (ms)."""
        return self.driver.now * 1000 + self.clock_offset_ms

    def report(self):
        """Return the report for the next heartbeat."""
        self.sequence += 1
        return runner.Worker(
            id=self.id,
            born=self.born,
            pool=self.pool,
            labels=self.labels,
            cpu=self.cpu,
            mem_mb=1_000_000,
            gpu=0,
            leaving=self.leaving,
            sequence=self.sequence,
        )

    def crash(self):
        """Lose all runs and start a new incarnation."""
        for run in list(self.runs.values()):
            self._end_run(run, None)
        self.born += 1
        self.sequence = self.generation = self.end_count = 0
        self.lease_ms = 0.0
        self.ended.clear()
        self.highest_numbers.clear()
        self.slowdown, self.failing = 1.0, False

    def go_down(self, down_s=DOWN_S):
        """Crash, and refuse connections for some time (s)."""
        self.crash()
        self.down = True
        self.driver.after(down_s, setattr, self, 'down', False)
        for process, _, number in self.pending_requests:
            self._fail_list(process, number)
        self.pending_requests.clear()

    def _fail_list(self, process, number):
        event = runner.ListFailed('refused', number, refused=True)
        self.driver.after(0.0005, self.driver.feed, process, event)

    def _crash_by(self, run):
        if self.runs.get(run.task) is run:
            crashes = self.ledger.crashes
            crashes[run.task] = crashes.get(run.task, 0) + 1
            self.go_down()

    def start(self, process, effect):
        """Execute a start request, subject to the faults."""
        self._call(process, effect, self._start, self._start_answer)

    def stop(self, process, effect):
        """Execute a stop request, subject to the faults."""
        self._call(process, effect, self._stop, self._stop_answer)

    def _call(self, process, effect, execute, answer):
        transit_s = self.driver.delay(process, process)
        draw = self.rng.random()
        if self.down:
            refused = runner.StartResult.NOT_SENT
            self.driver.after(transit_s, answer, process, effect, refused)
        elif self.unresponsive:
            self.driver.after(0.06, answer, process, effect, None)
        elif draw < self.delayed_share:
            delay_s = self.rng.uniform(DELAY_MIN_S, DELAY_MAX_S)
            self.driver.after(delay_s, execute, effect)
            self.driver.after(0.06, answer, process, effect, None)
        elif draw < self.delayed_share + self.lost_share:
            self.driver.after(transit_s, execute, effect)
            self.driver.after(0.06, answer, process, effect, None)
        elif draw < self.delayed_share + self.lost_share + self.reset_share:
            if self.rng.random() < 0.5:
                self.driver.after(transit_s, execute, effect)
            self.driver.after(2 * transit_s, answer, process, effect, None)
        else:
            self.driver.after(
                transit_s,
                self._execute_and_answer,
                process,
                effect,
                execute,
                answer,
            )

    def _execute_and_answer(self, process, effect, execute, answer):
        answer(process, effect, execute(effect))

    def _start(self, effect):
        if self.down:
            return None
        result = self._check(effect)
        self.lease_ms = max(self.lease_ms, effect.lease_ms)
        if result is not runner.StartResult.STARTED:
            return result
        if effect.task in self.runs:
            return result
        work_s, cpu, fails = self.get_work(effect.spec)
        work_s *= _ledger.run_time_factor(effect.task, self.uneven)
        run = _Run(effect.task, effect.number, work_s, cpu)
        run.updated_at = self.driver.now
        self.runs[effect.task] = run
        self.highest_numbers[effect.task] = effect.number
        self.ledger.begin(
            self.driver.now, effect.task, self.name, effect.number
        )
        used = sum(each.cpu for each in self.runs.values())
        self.peak_cpu = max(self.peak_cpu, used)
        if effect.task in self.deadly:
            delay_s = self.deadly[effect.task]
            self.driver.after(delay_s, self._crash_by, run)
        elif self.failing or fails:
            self.driver.after(0.01, self._fail_run, run)
        else:
            self._schedule_completion(run)
        self.driver.at(
            (self.lease_ms - self.clock_offset_ms) / 1000, self._expire_lease
        )
        return result

    def _check(self, effect):
        if effect.worker not in ('', self.id):
            return runner.StartResult.OTHER_WORKER
        if effect.generation < self.generation:
            return runner.StartResult.OLD_GENERATION
        self.generation = effect.generation
        if effect.lease_ms is None or effect.lease_ms <= self.clock():
            return runner.StartResult.TOO_LATE
        run = self.runs.get(effect.task)
        if run is not None and run.number == effect.number:
            return runner.StartResult.STARTED
        if effect.number <= self.highest_numbers.get(effect.task, 0):
            return runner.StartResult.OLD_NUMBER
        _, cpu, _ = self.get_work(effect.spec)
        used = sum(each.cpu for each in self.runs.values())
        if used + cpu > self.cpu:
            return runner.StartResult.NO_ROOM
        return runner.StartResult.STARTED

    def _start_answer(self, process, effect, result):
        if result is None:
            result = runner.StartResult.NO_ANSWER
        event = runner.StartAnswered(effect.task, effect.number, result)
        self.driver.feed(process, event)

    def _stop(self, effect):
        self.highest_numbers[effect.task] = max(
            self.highest_numbers.get(effect.task, 0), effect.number
        )
        run = self.runs.get(effect.task)
        if run is not None and run.number == effect.number:
            self._end_run(run, runner.RunOutcome.STOPPED)
        return True

    def _stop_answer(self, process, effect, confirmed):
        event = runner.StopAnswered(
            effect.task, effect.number, confirmed is True
        )
        self.driver.feed(process, event)

    def list(self, process, effect):
        """Renew the lease and list the runs, after a wait if requested."""
        if self.down:
            self._fail_list(process, effect.number)
            return
        if self.unresponsive or self.rng.random() < self.delayed_share:
            self.driver.after(
                effect.wait_ms / 1000 + runner.LIST_TIMEOUT_MARGIN_S,
                self.driver.feed,
                process,
                runner.ListFailed('no answer', effect.number),
            )
            return
        if self.rng.random() < self.reset_share:
            self.driver.after(
                0.001,
                self.driver.feed,
                process,
                runner.ListFailed('reset', effect.number),
            )
            return
        if effect.lease_ms is not None:
            self.lease_ms = max(self.lease_ms, effect.lease_ms)
            self.driver.at(
                (self.lease_ms - self.clock_offset_ms) / 1000,
                self._expire_lease,
            )
        self.ended = [row for row in self.ended if row.index > effect.acked]
        if self.lost_list_share and self.rng.random() < self.lost_list_share:
            self.driver.after(
                effect.wait_ms / 1000 + runner.LIST_TIMEOUT_MARGIN_S,
                self.driver.feed,
                process,
                runner.ListFailed('no answer', effect.number),
            )
            return
        requested_at = self.driver.now
        if effect.wait_ms and not self.ended:
            pending_request = [process, requested_at, effect.number]
            self.pending_requests.append(pending_request)
            self.driver.after(
                effect.wait_ms / 1000, self._end_wait, pending_request
            )
            return
        self.driver.after(
            0.001, self._send_list, process, requested_at, effect.number
        )

    def _end_wait(self, pending_request):
        if pending_request in self.pending_requests:
            self.pending_requests.remove(pending_request)
            self.driver.after(0.0005, self._send_list, *pending_request)

    def _send_list(self, process, requested_at, number):
        if self.down:
            self._fail_list(process, number)
            return
        for run in self.runs.values():
            self._update_progress(run)
        event = runner.RunsListed(
            requested_at=requested_at,
            clock_ms=self.clock(),
            born=self.born,
            running=tuple(
                runner.RunningRow(
                    run.task,
                    run.number,
                    min(int(100 * run.done_work_s / run.work_s), 99),
                )
                for run in self.runs.values()
            ),
            ended=tuple(self.ended),
            number=number,
        )
        self.driver.feed(process, event)

    def set_slowdown(self, factor):
        """Set the slowdown, which affects the current runs too."""
        for run in self.runs.values():
            self._update_progress(run)
        self.slowdown = factor
        for run in self.runs.values():
            self._schedule_completion(run)

    def _update_progress(self, run):
        rate = self.speed / self.slowdown
        run.done_work_s += (self.driver.now - run.updated_at) * rate
        run.updated_at = self.driver.now

    def _schedule_completion(self, run):
        run.version += 1
        rate = self.speed / self.slowdown
        if rate > 0:
            remaining_s = max(run.work_s - run.done_work_s, 0.0) / rate
            self.driver.after(
                remaining_s, self._complete_run, run, run.version
            )

    def _complete_run(self, run, version):
        if self.runs.get(run.task) is run and run.version == version:
            self._end_run(run, runner.RunOutcome.DONE)

    def _fail_run(self, run):
        if self.runs.get(run.task) is run:
            self._end_run(run, runner.RunOutcome.FAILED)

    def _expire_lease(self):
        # The tolerance covers rounding errors of the virtual time.
        if self.clock() < self.lease_ms - 1e-6:
            return
        for run in list(self.runs.values()):
            self.lease_expirations += 1
            self._end_run(run, runner.RunOutcome.LAPSED)

    def _end_run(self, run, outcome):
        del self.runs[run.task]
        self.ledger.end(
            run.task, self.name, run.number, outcome is runner.RunOutcome.DONE
        )
        if outcome is None:
            return
        self.end_count += 1
        self.ended.append(
            runner.EndedRow(self.end_count, run.task, run.number, outcome)
        )
        for pending_request in list(self.pending_requests):
            self._end_wait(pending_request)
