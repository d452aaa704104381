"""Queue disciplines and admission control for waiting jobs."""

from azurepier.queueing import _admission as admission
from azurepier.queueing._discipline import Discipline
from azurepier.queueing._discipline import DispatchResult
from azurepier.queueing._discipline import WaitingJob
from azurepier.queueing._discipline import WorkAhead
from azurepier.queueing import _fair
from azurepier.queueing import _fifo
from azurepier.queueing._tasks import pop_task
from azurepier.queueing._tasks import return_task
from azurepier.queueing._tasks import set_tasks

__all__ = [
    'Discipline',
    'DispatchResult',
    'WaitingJob',
    'WorkAhead',
    'admission',
    'pop_task',
    'return_task',
    'set_tasks',
]

# Importing the modules registers the disciplines.
_PLUGINS = (_fair, _fifo)
