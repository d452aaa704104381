"""Run times, and record of the runs, on simulated workers."""

import random

import attrs

# Number of workers that crash under a task before its starts are limited.
CRASHES_MAX = 3


def run_time_factor(task, uneven):
    """Return the ratio of a task's run time to the mean of its job.

    Parameters
    ----------
    task : str
        Name of the task.
    uneven : float
        Largest relative deviation; 0 if all tasks of a job are equal.
    """
    if not uneven:
        return 1.0
    return 1.0 + random.Random(task).uniform(-uneven, uneven)


@attrs.define(eq=False)
class Ledger:
    """Record of the runs on all workers of a fleet.

    Attributes
    ----------
    running : dict of str to set
        ``(worker, number)`` of the current runs by task.
    overlaps : list of tuple
        ``(time, task, workers)`` where two runs of a task overlapped.
    started, done : dict of str to int
        Numbers of started and of succeeded runs by task.
    starts : list of tuple
        ``(time, worker)`` of each start.
    crashes : dict of str to int
        Number of workers that each task has crashed.
    excess_starts : dict of str to int
        Number of starts of a task after it had crashed `CRASHES_MAX` workers.
    """

    running: dict = attrs.field(factory=dict)
    overlaps: list = attrs.field(factory=list)
    started: dict = attrs.field(factory=dict)
    done: dict = attrs.field(factory=dict)
    starts: list = attrs.field(factory=list)
    crashes: dict = attrs.field(factory=dict)
    excess_starts: dict = attrs.field(factory=dict)

    def begin(self, now, task, worker, number):
        """Record the start of a run."""
        runs = self.running.setdefault(task, set())
        runs.add((worker, number))
        self.starts.append((now, worker))
        self.started[task] = self.started.get(task, 0) + 1
        if self.crashes.get(task, 0) >= CRASHES_MAX:
            self.excess_starts[task] = self.excess_starts.get(task, 0) + 1
        if len(runs) > 1:
            self.overlaps.append((now, task, sorted(runs)))

    def end(self, task, worker, number, done):
        """Record the end of a run."""
        self.running[task].discard((worker, number))
        if done:
            self.done[task] = self.done.get(task, 0) + 1
