"""Client library for submitting jobs."""

from azurepier.client._async import AsyncClient
from azurepier.client._async import Result
from azurepier.client._async import Task
from azurepier.client._errors import InvalidJobError
from azurepier.client._errors import JobError
from azurepier.client._errors import MayHaveRunError
from azurepier.client._errors import NotAuthorizedError
from azurepier.client._errors import NotRunError
from azurepier.client._errors import OverloadedError
from azurepier.client._errors import RanError
from azurepier.client._sync import Client

__all__ = [
    'AsyncClient',
    'Client',
    'InvalidJobError',
    'JobError',
    'MayHaveRunError',
    'NotAuthorizedError',
    'NotRunError',
    'OverloadedError',
    'RanError',
    'Result',
    'Task',
]
