"""Simulation of nodes on virtual time, for tests and benchmarks."""

from azurepier.testing._calls import queue
from azurepier.testing._calls import task_names
from azurepier.testing._checks import check_job
from azurepier.testing._checks import check_no_double_start
from azurepier.testing._driver import Driver
from azurepier.testing._driver import Process
from azurepier.testing._fleet import configuration
from azurepier.testing._fleet import Fleet
from azurepier.testing._fleet import make_fleet
from azurepier.testing._fleet import spec
from azurepier.testing._ledger import Ledger
from azurepier.testing._ledger import run_time_factor
from azurepier.testing._load import count_late
from azurepier.testing._load import count_rejected
from azurepier.testing._load import objective_ratio
from azurepier.testing._load import run_load
from azurepier.testing._load import share_in_time
from azurepier.testing._load import slow_down
from azurepier.testing._pool import make_pool
from azurepier.testing._pool import PoolFleet
from azurepier.testing import _return as returns
from azurepier.testing import _scale as scale
from azurepier.testing import _virtual_loop as virtual_loop
from azurepier.testing._worker import PoolWorker

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
    'count_late',
    'count_rejected',
    'make_fleet',
    'make_pool',
    'objective_ratio',
    'queue',
    'returns',
    'run_load',
    'run_time_factor',
    'scale',
    'share_in_time',
    'slow_down',
    'spec',
    'task_names',
    'virtual_loop',
]
