"""Entry process: accepts and owns jobs and dispatches their tasks."""

from azurepier.entry._node import create
from azurepier.entry._node import handle
from azurepier.entry._state import Entry
from azurepier.entry._state import Options
from azurepier.entry._status import status

__all__ = ['Entry', 'Options', 'create', 'handle', 'status']
