"""The daemon: settings, logging, metrics and the shell that runs a node."""

from azurepier import _lazy

# Names are imported on first use: importing the classes of all messages and
# events takes 0.1 s and 9 MB.
_SOURCES = {
    'EndpointSettings': 'azurepier.daemon._settings:EndpointSettings',
    'EntrySettings': 'azurepier.daemon._settings:EntrySettings',
    'Process': 'azurepier.daemon._process:Process',
    'Shell': 'azurepier.daemon._shell:Shell',
    'load_settings': 'azurepier.daemon._settings:load',
    'main': 'azurepier.daemon._main:main',
    'start_endpoint': 'azurepier.daemon._endpoint:start_endpoint',
    'start_entry': 'azurepier.daemon._entry:start_entry',
}

__getattr__ = _lazy.loader(__name__, _SOURCES)

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
