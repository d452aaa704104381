"""Virtual-time driver for the nodes, used by tests and benchmarks."""

from azurepier.testing._checks import check_job
from azurepier.testing._checks import check_no_double_start
from azurepier.testing._driver import Driver
from azurepier.testing._driver import Process
from azurepier.testing._fleet import configuration
from azurepier.testing._fleet import Fleet
from azurepier.testing._fleet import make_fleet
from azurepier.testing._fleet import spec
from azurepier.testing._load import in_time
from azurepier.testing._load import late
from azurepier.testing._load import lateness
from azurepier.testing._load import play
from azurepier.testing._load import refused
from azurepier.testing._load import slow_down
from azurepier.testing._pool import make_pool
from azurepier.testing._pool import PoolFleet
from azurepier.testing._pool import queue
from azurepier.testing._pool import task_names
from azurepier.testing import _scale as scale
from azurepier.testing._worker import Ledger
from azurepier.testing._worker import PoolWorker
from azurepier.testing._worker import task_factor

__all__ = [
    'Driver',
    'Fleet',
    'Ledger',
    'PoolFleet',
    'PoolWorker',
    'Process',
    'check_job',
    'check_no_double_start',
    'configuration',
    'in_time',
    'late',
    'lateness',
    'make_fleet',
    'make_pool',
    'play',
    'queue',
    'refused',
    'scale',
    'slow_down',
    'spec',
    'task_factor',
    'task_names',
]
