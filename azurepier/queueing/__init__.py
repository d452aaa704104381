"""Order in which waiting tasks start."""

from azurepier.queueing import _admission as admission
from azurepier.queueing._discipline import Ahead
from azurepier.queueing._discipline import Discipline
from azurepier.queueing._discipline import Placed
from azurepier.queueing._discipline import Waiting
from azurepier.queueing import _fair
from azurepier.queueing import _fifo
from azurepier.queueing._tasks import fill
from azurepier.queueing._tasks import pop_task
from azurepier.queueing._tasks import return_task

__all__ = [
    'Ahead',
    'Discipline',
    'Placed',
    'Waiting',
    'admission',
    'fill',
    'pop_task',
    'return_task',
]

# Importing the modules registers the disciplines.
_PLUGINS = (_fair, _fifo)
