"""When busy slots are expected to become free, within one dispatch pass."""

import heapq

import attrs

# A task that runs longer than expected is taken to run for this share of its
# run time so far again: run times are skewed, so one that is late is
# probably one of the few long ones.
OVERDUE_SHARE = 1.0
OVERDUE_MIN_S = 0.01


@attrs.define(eq=False)
class SlotForecast:
    """Expected free times of the slots of faster endpoints.

    Tasks that are held for a slot reserve it, so that the next one doesn't
    count on the same slot.

    Parameters
    ----------
    views : list of EndpointView
        All endpoints that take work, the fastest first.
    now : float
        Time in seconds.
    """

    views: list
    now: float
    _free_times: dict = attrs.field(factory=dict)  # by view

    def _heap_of(self, view):
        heap = self._free_times.get(view.incarnation)
        if heap is None:
            heap = [
                expected_end(task_start, view.speed, self.now)
                for task_start in view.open.values()
            ]
            heapq.heapify(heap)
            self._free_times[view.incarnation] = heap
        return heap

    def earliest(self, work_s, least_speed):
        """Return the endpoint where a task that waits would end first.

        Parameters
        ----------
        work_s : float
            Work of the task (s at speed 1).
        least_speed : float
            Only endpoints that are faster count.

        Returns
        -------
        tuple of (float, EndpointView or None)
            Time from now until the task's end (s), infinite if there is no
            such endpoint.
        """
        best_s, best = float('inf'), None
        for view in self.views:
            if view.speed <= least_speed:
                break
            run_s = work_s / view.speed
            if run_s >= best_s:
                break
            heap = self._heap_of(view)
            if heap:
                end_s = heap[0] - self.now + run_s
                if end_s < best_s:
                    best_s, best = end_s, view
        return best_s, best

    def reserve(self, view, work_s):
        """Count on the next slot of an endpoint for a held task."""
        heap = self._heap_of(view)
        heapq.heapreplace(heap, heap[0] + work_s / view.speed)


def expected_end(task_start, speed, now):
    """Return when a running task is expected to end."""
    end = task_start.sent_at + task_start.work_s / speed
    if end > now:
        return end
    elapsed = now - task_start.sent_at
    return now + max(elapsed * OVERDUE_SHARE, OVERDUE_MIN_S)
