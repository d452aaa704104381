"""Forecast of the times at which busy slots become free."""

import heapq

import attrs

# Expected remaining time of an overdue task, as a multiple of its elapsed run
# time. Run times are skewed, so an overdue task is probably a long one.
OVERDUE_FACTOR = 1.0
OVERDUE_MIN_S = 0.01


@attrs.define(eq=False)
class SlotForecast:
    """Expected free times of busy slots, valid for one dispatch pass.

    A task that is held for a slot reserves it, so that no other task is held
    for the same slot.

    Parameters
    ----------
    views : list of EndpointView
        All endpoints that accept tasks, the fastest first.
    now : float
        Current time (s).
    """

    views: list
    now: float
    _free_times: dict = attrs.field(factory=dict)  # heap by incarnation

    def _free_times_of(self, view):
        free_times = self._free_times.get(view.incarnation)
        if free_times is None:
            free_times = [
                expected_end(task_start, view.speed, self.now)
                for task_start in view.open_starts.values()
            ]
            heapq.heapify(free_times)
            self._free_times[view.incarnation] = free_times
        return free_times

    def earliest_end(self, work_s, min_speed):
        """Find the endpoint on which a task ends first if it waits there.

        Parameters
        ----------
        work_s : float
            Expected work of the task (s at speed 1).
        min_speed : float
            Only endpoints above this speed are considered.

        Returns
        -------
        end_s : float
            Time from now until the end of the task (s), infinite if there is
            no such endpoint.
        view : EndpointView or None
        """
        best_s, best = float('inf'), None
        for view in self.views:
            if view.speed <= min_speed:
                break
            run_s = work_s / view.speed
            if run_s >= best_s:
                break
            free_times = self._free_times_of(view)
            if free_times:
                end_s = free_times[0] - self.now + run_s
                if end_s < best_s:
                    best_s, best = end_s, view
        return best_s, best

    def reserve(self, view, work_s):
        """Reserve the next free slot of an endpoint for a held task."""
        free_times = self._free_times_of(view)
        heapq.heapreplace(free_times, free_times[0] + work_s / view.speed)


def expected_end(task_start, speed, now):
    """Return the time at which a running task is expected to end (s)."""
    end_at = task_start.sent_at + task_start.work_s / speed
    if end_at > now:
        return end_at
    elapsed_s = now - task_start.sent_at
    return now + max(elapsed_s * OVERDUE_FACTOR, OVERDUE_MIN_S)
