"""The endpoint process: admits starts and retains outcomes of tasks."""

from azurepier.endpoint._node import create
from azurepier.endpoint._node import handle
from azurepier.endpoint._state import Endpoint
from azurepier.endpoint._state import Options
from azurepier.endpoint._status import status

__all__ = ['Endpoint', 'Options', 'create', 'handle', 'status']
