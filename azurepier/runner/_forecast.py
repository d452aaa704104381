"""Forecast of a worker's free capacity.

Load pattern: large tasks wait beside small ones on a busy worker. What will be
free and when follows from the progress of the runs where the worker has listed
it, else from the declared run time and the learned speed.
"""

from azurepier.runner import _progress
from azurepier.runner import _runs

# Times of the forecast that entries get (s).
OFFSETS_S = (0.025, 0.05, 0.1, 0.2, 0.4)
# A run whose expected end has passed is expected to take this share of its
# time so far in addition: declared run times are off by about 40 %.
OVERDUE_SHARE = 0.2
# Progress below this is too small for an estimate (percent).
MIN_PERCENT = 8
# Expected time until a run that is being stopped has ended (s).
STOP_S = 0.02
# Expected remaining time of a stalled run (s): beyond each wait.
STALLED_S = 3600.0
_MS_PER_S = 1000


def remaining_s(node, run, speed, now):
    """Return the expected time until a run ends (s).

    Parameters
    ----------
    node : Endpoint
    run : Run
    speed : float
        Ratio of declared to actual run time.
    now : float
    """
    if run.phase is _runs.Phase.STOPPING:
        return STOP_S
    progress = run.progress
    if progress.stalled:
        return STALLED_S
    elapsed_s = now - run.requested_at
    if progress.percent >= MIN_PERCENT:
        left_s = _progress.listed_remaining_s(run)
        left_s -= now - progress.listed_at
    else:
        left_s = duration_s(run.order, speed) - elapsed_s
    return left_s if left_s > 0 else OVERDUE_SHARE * elapsed_s


def duration_s(order, speed):
    """Return the expected run time of an order (s)."""
    return order.expected_ms / _MS_PER_S / max(speed, 0.01)


class Profile:
    """Free CPU of a worker over time, as a step function.

    Attributes
    ----------
    times : list of float
        Times at which the free CPU changes (s from now), beginning with 0.
    free : list of int
        Free CPU from each of these times on (thousandths of a core).
    """

    def __init__(self, free_cpu, ends):
        """Create a profile.

        Parameters
        ----------
        free_cpu : int
            Free CPU now (thousandths of a core).
        ends : iterable of (float, int)
            Remaining time (s) and CPU of each run.
        """
        self.times, self.free = [0.0], [free_cpu]
        for at, cpu in sorted(ends):
            if at > self.times[-1]:
                self.times.append(at)
                self.free.append(self.free[-1])
            self.free[-1] += cpu

    def find_start(self, cpu, duration):
        """Return the earliest start (s from now) of a run, or None.

        Parameters
        ----------
        cpu : int
        duration : float
            Expected run time (s).
        """
        start = 0
        for index, free in enumerate(self.free):
            if self.times[index] >= self.times[start] + duration:
                break
            if free < cpu:
                start = index + 1
                if start == len(self.times):
                    return None
        return self.times[start]

    def occupy(self, start, cpu, duration):
        """Subtract the CPU of a run that starts at `start` (s from now)."""
        end = start + duration
        first = self._split(start)
        for index in range(first, self._split(end)):
            self.free[index] -= cpu

    def _split(self, at):
        """Return the index of the step that begins at `at`; add it."""
        for index, time in enumerate(self.times):
            if time == at:
                return index
            if time > at:
                self.times.insert(index, at)
                self.free.insert(index, self.free[index - 1])
                return index
        self.times.append(at)
        self.free.append(self.free[-1])
        return len(self.times) - 1

    def sample(self, offsets):
        """Return the free CPU at ascending times (s from now)."""
        out, index = [], 0
        for offset in offsets:
            while (
                index + 1 < len(self.times) and self.times[index + 1] <= offset
            ):
                index += 1
            out.append(self.free[index])
        return out

    def lowest(self, until):
        """Return the least free CPU from now until a time (s from now)."""
        return min(
            free
            for time, free in zip(self.times, self.free, strict=True)
            if time <= until
        )


def make_profile(node, now):
    """Return the profile of the worker with its current runs only."""
    speed = _progress.speed(node, now)
    ends = [
        (max(remaining_s(node, run, speed, now), 0.0), run.order.cpu)
        for run in node.runs.values()
    ]
    return Profile(node.worker.cpu - node.used_cpu, ends)
