"""First-in, first-out queue without priorities, a baseline for comparison."""

import collections

from azurepier.kernel import registry
from azurepier.queueing import _discipline


@registry.register('queueing', 'fifo')
def fifo():
    """Return a new queue that serves jobs in the order of arrival."""
    jobs = collections.OrderedDict()

    def push(waiting, now):
        if waiting.tasks and not waiting.queued:
            waiting.queued = True
            jobs[waiting.job_id] = waiting

    def remove(waiting):
        if waiting.queued:
            waiting.queued = False
            del jobs[waiting.job_id]

    def candidates():
        for waiting in list(jobs.values()):
            while waiting.queued and waiting.tasks:
                result = yield waiting
                if result is not _discipline.DispatchResult.STARTED:
                    break
            if not waiting.tasks:
                remove(waiting)

    def work_ahead(customer, urgent):
        total_s = sum(waiting.work_s for waiting in jobs.values())
        return _discipline.WorkAhead(total_s, total_s, 0.0)

    return _discipline.Discipline(push, remove, candidates, work_ahead)
