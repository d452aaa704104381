"""Outcomes of jobs and their causes, from the logs of entries of pools."""

from azurepier.report._jobs import classify_jobs
from azurepier.report._jobs import EndedJob
from azurepier.report._jobs import read_log
from azurepier.report._tables import count_by
from azurepier.report._tables import count_by_window
from azurepier.report._tables import count_causes
from azurepier.report._tables import OUTCOMES
from azurepier.report._tables import slowest_jobs

__all__ = [
    'EndedJob',
    'OUTCOMES',
    'classify_jobs',
    'count_by',
    'count_by_window',
    'count_causes',
    'read_log',
    'slowest_jobs',
]
