"""Exchange of configurations between processes without the platform."""

from azurepier.exchange._exchange import ConfigExchange
from azurepier.exchange._exchange import current_version
from azurepier.exchange._exchange import on_request
from azurepier.exchange._exchange import on_update
from azurepier.exchange._exchange import on_version
from azurepier.exchange._exchange import record_current

__all__ = [
    'ConfigExchange',
    'current_version',
    'on_request',
    'on_update',
    'on_version',
    'record_current',
]
