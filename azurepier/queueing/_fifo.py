"""First in, first out, with no classes: the baseline discipline."""

import collections

from azurepier.kernel import registry
from azurepier.queueing import _discipline


@registry.register('queueing', 'fifo')
def fifo():
    """Return a new queue in the order of arrival."""
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
                placed = yield waiting
                if placed is not _discipline.Placed.STARTED:
                    break
            if not waiting.tasks:
                remove(waiting)

    def ahead(customer, urgent):
        all_s = sum(waiting.work_s for waiting in jobs.values())
        return _discipline.Ahead(all_s, all_s, 0.0)

    return _discipline.Discipline(push, remove, candidates, ahead)
