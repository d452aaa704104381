"""The ideal: a central scheduler that knows everything and never waits.

It knows all true run times, speeds and ends of running tasks, and its
messages take no time. Urgent jobs go first, then the job with the least work
that has not started; within a job the longest task goes first. Each task goes
to the slot where it ends first, counting the busy slots, so it may wait for a
faster one. Tasks are not interrupted.

The ideal is a strong heuristic and not an optimum, which nobody can compute
for a whole trace: single jobs may be faster elsewhere.
"""

import heapq

import attrs
import sortedcontainers


@attrs.define(eq=False)
class _Pending:
    """A job with tasks that have not started; works[-1] is the longest."""

    number: int
    at: float
    urgent: bool
    works: list
    left_s: float
    end: float = 0.0

    def key(self):
        """Return the place of the job among the others."""
        return (not self.urgent, self.left_s, self.number)


def ideal_responses(deployment, jobs):
    """Return the response time of each job under the ideal scheduler.

    Parameters
    ----------
    deployment : Deployment
    jobs : sequence of Job

    Returns
    -------
    dict
        Seconds by job number.
    """
    speeds = [worker.speed for worker in deployment.workers]
    slots = [[0.0] * deployment.slots for _ in speeds]
    queue = sortedcontainers.SortedKeyList(key=_Pending.key)
    arrivals = sorted(jobs, key=lambda job: -job.at)
    events = [job.at for job in jobs]
    heapq.heapify(events)
    done = []
    while events:
        now = heapq.heappop(events)
        while events and events[0] <= now:
            heapq.heappop(events)
        while arrivals and arrivals[-1].at <= now:
            pending = _pending(arrivals.pop())
            queue.add(pending)
            done.append(pending)
        for end in _start_tasks(slots, speeds, queue, now):
            heapq.heappush(events, end)
    return {pending.number: pending.end - pending.at for pending in done}


def _pending(job):
    works = sorted(task.work_s for task in job.tasks)
    return _Pending(job.number, job.at, job.urgent, works, sum(works))


def _start_tasks(slots, speeds, queue, now):
    """Start what should start now; return when these tasks end.

    Notes
    -----
    `slots` holds, for each worker, a heap of the times at which its slots
    become free. A task that waits for a busy slot reserves it in `plan`,
    which lasts for this call only.
    """
    ends = []
    free = sum(end <= now for heap in slots for end in heap)
    plan = [heap.copy() for heap in slots]
    for pending in list(queue):
        if not free:
            break
        started = []
        for index in range(len(pending.works) - 1, -1, -1):
            worker, end = _earliest(plan, speeds, pending.works[index], now)
            if plan[worker][0] <= now:
                started.append(index)
                heapq.heapreplace(slots[worker], end)
                ends.append(end)
                pending.end = max(pending.end, end)
                free -= 1
            heapq.heapreplace(plan[worker], end)
            if not free:
                break
        if started:
            _take_out(queue, pending, started)
    return ends


def _earliest(plan, speeds, work_s, now):
    """Return the worker where a task ends first, and when."""
    best, best_end = 0, float('inf')
    for worker, heap in enumerate(plan):
        end = max(heap[0], now) + work_s / speeds[worker]
        if end < best_end:
            best, best_end = worker, end
    return best, best_end


def _take_out(queue, pending, started):
    """Remove started tasks, given by falling index, from a job."""
    queue.remove(pending)
    for index in started:
        pending.left_s -= pending.works.pop(index)
    if pending.works:
        queue.add(pending)
