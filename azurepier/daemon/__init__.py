"""The daemon: settings, logs, metrics and the shell around a node."""

from azurepier.daemon._endpoint import start_endpoint
from azurepier.daemon._entry import start_entry
from azurepier.daemon._main import main
from azurepier.daemon._process import Process
from azurepier.daemon._settings import EndpointSettings
from azurepier.daemon._settings import EntrySettings
from azurepier.daemon._settings import load as load_settings
from azurepier.daemon._shell import Shell

__all__ = [
    'EndpointSettings',
    'EntrySettings',
    'Process',
    'Shell',
    'load_settings',
    'main',
    'start_endpoint',
    'start_entry',
]
