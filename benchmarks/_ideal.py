"""Ideal scheduler: central, with complete information and no delays.

It knows the actual run times, the speeds of the workers and the ends of
running tasks, and its messages take no time. Urgent jobs go first, then the
job with the least work that has not started; within a job, the longest task
goes first. Each task is placed on the slot where it ends first. Busy slots are
considered too, so that a task may wait for a faster worker. Tasks are not
preempted.

This is a heuristic and not an optimum, which is infeasible to compute for a
whole trace; another schedule may be faster for single jobs.
"""

import heapq

import attrs
import sortedcontainers


@attrs.define(eq=False)
class _PendingJob:
    """A job with tasks that have not started.

    Parameters
    ----------
    number : int
    arrived_at : float
    urgent : bool
    works_s : list of float
        Work of the tasks that have not started, in ascending order.
    unstarted_s : float
        Sum of `works_s`.
    ended_at : float
        Latest end of the started tasks.
    """

    number: int
    arrived_at: float
    urgent: bool
    works_s: list
    unstarted_s: float
    ended_at: float = 0.0

    def sort_key(self):
        """Return the sort key of the queue."""
        return (not self.urgent, self.unstarted_s, self.number)


def ideal_responses(deployment, jobs):
    """Return the response time of each job under the ideal scheduler.

    Parameters
    ----------
    deployment : Deployment
    jobs : sequence of Job

    Returns
    -------
    dict
        Response time (s) by job number.
    """
    speeds = [worker.speed for worker in deployment.workers]
    free_at = [[0.0] * deployment.slots for _ in speeds]
    queue = sortedcontainers.SortedKeyList(key=_PendingJob.sort_key)
    arrivals = sorted(jobs, key=lambda job: -job.submitted_at)
    event_times = [job.submitted_at for job in jobs]
    heapq.heapify(event_times)
    arrived = []
    while event_times:
        now = heapq.heappop(event_times)
        while event_times and event_times[0] <= now:
            heapq.heappop(event_times)
        while arrivals and arrivals[-1].submitted_at <= now:
            pending = _make_pending(arrivals.pop())
            queue.add(pending)
            arrived.append(pending)
        for end in _start_tasks(free_at, speeds, queue, now):
            heapq.heappush(event_times, end)
    return {
        pending.number: pending.ended_at - pending.arrived_at
        for pending in arrived
    }


def _make_pending(job):
    works_s = sorted(task.work_s for task in job.tasks)
    return _PendingJob(
        job.number, job.submitted_at, job.urgent, works_s, sum(works_s)
    )


def _start_tasks(free_at, speeds, queue, now):
    """Start the tasks that are due; return the times at which they end.

    Notes
    -----
    `free_at` has for each worker a heap of the times at which its slots become
    free. A task that waits for a busy slot reserves it in `reserved_until`,
    which is discarded at the end of the call.
    """
    ends = []
    free_count = sum(
        end <= now for free_times in free_at for end in free_times
    )
    reserved_until = [free_times.copy() for free_times in free_at]
    for pending in list(queue):
        if not free_count:
            break
        started = []
        for index in range(len(pending.works_s) - 1, -1, -1):
            worker, end = _earliest_end(
                reserved_until, speeds, pending.works_s[index], now
            )
            if reserved_until[worker][0] <= now:
                started.append(index)
                heapq.heapreplace(free_at[worker], end)
                ends.append(end)
                pending.ended_at = max(pending.ended_at, end)
                free_count -= 1
            heapq.heapreplace(reserved_until[worker], end)
            if not free_count:
                break
        if started:
            _remove_started(queue, pending, started)
    return ends


def _earliest_end(reserved_until, speeds, work_s, now):
    """Return the worker where a task ends first and the time of its end."""
    best, best_end = 0, float('inf')
    for worker, slot_times in enumerate(reserved_until):
        end = max(slot_times[0], now) + work_s / speeds[worker]
        if end < best_end:
            best, best_end = worker, end
    return best, best_end


def _remove_started(queue, pending, started):
    """Remove started tasks from a job; their indices are descending."""
    queue.remove(pending)
    for index in started:
        pending.unstarted_s -= pending.works_s.pop(index)
    if pending.works_s:
        queue.add(pending)
