"""Model of a worker that runs tasks under a lease, with its faults."""

import random

import attrs

from azurepier import runner

# When orders that are carried out late begin (s).
LATE_MIN_S = 2.0
LATE_MAX_S = 12.0


def task_factor(task, uneven):
    """Return by how much a task takes longer than the mean of its job.

    Parameters
    ----------
    task : str
        Name of the task.
    uneven : float
        Largest deviation; 0: all tasks of a job are alike.
    """
    if not uneven:
        return 1.0
    return 1.0 + random.Random(task).uniform(-uneven, uneven)


@attrs.define(eq=False)
class Ledger:
    """What all workers of a fleet have run.

    Attributes
    ----------
    running : dict of str to set
        ``(worker, number)`` by task.
    overlaps : list of tuple
        ``(time, task, workers)`` where two runs of a task overlapped.
    started, done : dict of str to int
        Runs begun and runs done, by task.
    """

    running: dict = attrs.field(factory=dict)
    overlaps: list = attrs.field(factory=list)
    started: dict = attrs.field(factory=dict)
    done: dict = attrs.field(factory=dict)

    def begin(self, now, task, worker, number):
        """Note that a run has begun."""
        runs = self.running.setdefault(task, set())
        runs.add((worker, number))
        self.started[task] = self.started.get(task, 0) + 1
        if len(runs) > 1:
            self.overlaps.append((now, task, sorted(runs)))

    def end(self, task, worker, number, done):
        """Note that a run has ended."""
        self.running[task].discard((worker, number))
        if done:
            self.done[task] = self.done.get(task, 0) + 1


@attrs.define(eq=False)
class _Run:
    task: str
    number: int
    work_s: float
    cpu: int
    done_s: float = 0.0
    at: float = 0.0
    version: int = 0


@attrs.define(eq=False, repr=False)
class PoolWorker:
    """One worker, on the virtual time of a driver.

    Parameters
    ----------
    driver : Driver
    ledger : Ledger
    name : str
    cpu : int
        Capacity in thousandths of a core.
    speed : float
    work_of : callable
        ``work_of(spec) -> (work_s, cpu, fails)``

    Attributes
    ----------
    factor : float
        Slows the worker down; infinity makes its tasks stand still.
    failing : bool
        Whether all tasks fail at once.
    late_share, lost_share : float
        Shares of the orders that are carried out seconds later without an
        answer, and of those whose answer is lost.
    dark : bool
        Whether nothing is answered.
    uneven : float
        By how much the tasks of a job differ from their mean.
    """

    driver: object
    ledger: Ledger
    name: str
    cpu: int
    speed: float
    work_of: object
    rng: random.Random = attrs.field(factory=lambda: random.Random(1))
    factor: float = 1.0
    failing: bool = False
    late_share: float = 0.0
    lost_share: float = 0.0
    dark: bool = False
    uneven: float = 0.0
    born: int = 1
    sequence: int = 0
    leaving: bool = False
    clock_offset_ms: float = 5000.0
    lease_ms: float = 0.0
    generation: int = 0
    runs: dict = attrs.field(factory=dict)
    ended: list = attrs.field(factory=list)
    count: int = 0
    highest: dict = attrs.field(factory=dict)
    most_used: int = 0
    waiting: list = attrs.field(factory=list)
    process: object = None
    lapses: int = 0

    def clock(self):
        """Return the worker's clock (ms)."""
        return self.driver.now * 1000 + self.clock_offset_ms

    def report(self):
        """Return what the worker says of itself."""
        self.sequence += 1
        return runner.Worker(
            id=f'{self.name}-{self.born}',
            born=self.born,
            pool='pool',
            labels=(),
            cpu=self.cpu,
            mem_mb=1_000_000,
            gpu=0,
            leaving=self.leaving,
            sequence=self.sequence,
        )

    def crash(self):
        """Lose everything and begin a new lifetime."""
        for run in list(self.runs.values()):
            self._end(run, None)
        self.born += 1
        self.sequence = self.generation = self.count = 0
        self.lease_ms = 0.0
        self.ended.clear()
        self.highest.clear()
        self.factor, self.failing = 1.0, False

    # Calls ---------------------------------------------------------------

    def start(self, process, effect):
        """Carry out a start, at once or late."""
        self._order(process, effect, self._start, self._start_answer)

    def stop(self, process, effect):
        """Carry out a stop, at once or late."""
        self._order(process, effect, self._stop, self._stop_answer)

    def _order(self, process, effect, carry_out, answer):
        delay = self.driver.delay(process, process)
        chance = self.rng.random()
        if self.dark:
            self.driver.after(0.06, answer, process, effect, None)
        elif chance < self.late_share:
            late = self.rng.uniform(LATE_MIN_S, LATE_MAX_S)
            self.driver.after(late, carry_out, effect)
            self.driver.after(0.06, answer, process, effect, None)
        elif chance < self.late_share + self.lost_share:
            self.driver.after(delay, carry_out, effect)
            self.driver.after(0.06, answer, process, effect, None)
        else:
            self.driver.after(
                delay, self._answered, process, effect, carry_out, answer
            )

    def _answered(self, process, effect, carry_out, answer):
        answer(process, effect, carry_out(effect))

    def _start(self, effect):
        result = self._check(effect)
        self.lease_ms = max(self.lease_ms, effect.lease_ms)
        if result is not runner.StartResult.STARTED:
            return result
        if effect.task in self.runs:
            return result
        work_s, cpu, fails = self.work_of(effect.spec)
        work_s *= task_factor(effect.task, self.uneven)
        run = _Run(effect.task, effect.number, work_s, cpu)
        run.at = self.driver.now
        self.runs[effect.task] = run
        self.highest[effect.task] = effect.number
        self.ledger.begin(
            self.driver.now, effect.task, self.name, effect.number
        )
        used = sum(each.cpu for each in self.runs.values())
        self.most_used = max(self.most_used, used)
        if self.failing or fails:
            self.driver.after(0.01, self._fail, run)
        else:
            self._schedule(run)
        self.driver.at(
            (self.lease_ms - self.clock_offset_ms) / 1000, self._lapse
        )
        return result

    def _check(self, effect):
        if effect.worker not in ('', f'{self.name}-{self.born}'):
            return runner.StartResult.OTHER_WORKER
        if effect.generation < self.generation:
            return runner.StartResult.OLD_GENERATION
        self.generation = effect.generation
        if effect.lease_ms is None or effect.lease_ms <= self.clock():
            return runner.StartResult.TOO_LATE
        run = self.runs.get(effect.task)
        if run is not None and run.number == effect.number:
            return runner.StartResult.STARTED
        if effect.number <= self.highest.get(effect.task, 0):
            return runner.StartResult.OLD_NUMBER
        _, cpu, _ = self.work_of(effect.spec)
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
        self.highest[effect.task] = max(
            self.highest.get(effect.task, 0), effect.number
        )
        run = self.runs.get(effect.task)
        if run is not None and run.number == effect.number:
            self._end(run, runner.RunOutcome.STOPPED)
        return True

    def _stop_answer(self, process, effect, confirmed):
        event = runner.StopAnswered(
            effect.task, effect.number, bool(confirmed)
        )
        self.driver.feed(process, event)

    def list(self, process, effect):
        """Renew the lease and list the runs, with or without a wait."""
        if self.dark or self.rng.random() < self.late_share:
            self.driver.after(
                effect.wait_ms / 1000 + 0.08,
                self.driver.feed,
                process,
                runner.ListFailed('no answer', effect.number),
            )
            return
        if effect.lease_ms is not None:
            self.lease_ms = max(self.lease_ms, effect.lease_ms)
            self.driver.at(
                (self.lease_ms - self.clock_offset_ms) / 1000, self._lapse
            )
        self.ended = [row for row in self.ended if row.index > effect.acked]
        requested_at = self.driver.now
        if effect.wait_ms and not self.ended:
            token = [process, requested_at, effect.number]
            self.waiting.append(token)
            self.driver.after(effect.wait_ms / 1000, self._wake, token)
            return
        self.driver.after(
            0.001, self._listed, process, requested_at, effect.number
        )

    def _wake(self, token):
        if token in self.waiting:
            self.waiting.remove(token)
            self.driver.after(0.0005, self._listed, *token)

    def _listed(self, process, requested_at, number):
        for run in self.runs.values():
            self._advance(run)
        event = runner.RunsListed(
            requested_at=requested_at,
            clock_ms=self.clock(),
            born=self.born,
            running=tuple(
                runner.RunningRow(
                    run.task,
                    run.number,
                    min(int(100 * run.done_s / run.work_s), 99),
                )
                for run in self.runs.values()
            ),
            ended=tuple(self.ended),
            number=number,
        )
        self.driver.feed(process, event)

    # Runs ----------------------------------------------------------------

    def set_factor(self, factor):
        """Slow down everything that runs, or speed it up again."""
        for run in self.runs.values():
            self._advance(run)
        self.factor = factor
        for run in self.runs.values():
            self._schedule(run)

    def _advance(self, run):
        rate = self.speed / self.factor
        run.done_s += (self.driver.now - run.at) * rate
        run.at = self.driver.now

    def _schedule(self, run):
        run.version += 1
        rate = self.speed / self.factor
        if rate > 0:
            left = max(run.work_s - run.done_s, 0.0) / rate
            self.driver.after(left, self._complete, run, run.version)

    def _complete(self, run, version):
        if self.runs.get(run.task) is run and run.version == version:
            self._end(run, runner.RunOutcome.DONE)

    def _fail(self, run):
        if self.runs.get(run.task) is run:
            self._end(run, runner.RunOutcome.FAILED)

    def _lapse(self):
        # Times of the model are sums of floats.
        if self.clock() < self.lease_ms - 1e-6:
            return
        for run in list(self.runs.values()):
            self.lapses += 1
            self._end(run, runner.RunOutcome.LAPSED)

    def _end(self, run, outcome):
        del self.runs[run.task]
        self.ledger.end(
            run.task, self.name, run.number, outcome is runner.RunOutcome.DONE
        )
        if outcome is None:
            return
        self.count += 1
        self.ended.append(
            runner.EndedRow(self.count, run.task, run.number, outcome)
        )
        for token in list(self.waiting):
            self._wake(token)
