"""What became of jobs and why, from the logs of the entries of pools."""

from azurepier.report._jobs import Ended
from azurepier.report._jobs import jobs
from azurepier.report._jobs import read
from azurepier.report._tables import by
from azurepier.report._tables import causes
from azurepier.report._tables import OUTCOMES
from azurepier.report._tables import slowest
from azurepier.report._tables import windows

__all__ = [
    'Ended',
    'OUTCOMES',
    'by',
    'causes',
    'jobs',
    'read',
    'slowest',
    'windows',
]
