"""How configurations spread between processes without the platform."""

from azurepier.exchange._exchange import Exchange
from azurepier.exchange._exchange import on_request
from azurepier.exchange._exchange import on_update
from azurepier.exchange._exchange import on_version
from azurepier.exchange._exchange import remember
from azurepier.exchange._exchange import version_in_force

__all__ = [
    'Exchange',
    'on_request',
    'on_update',
    'on_version',
    'remember',
    'version_in_force',
]
