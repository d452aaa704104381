"""Client for the platform's key-value service (etcd v3 JSON gateway)."""

from azurepier.etcd._apply import Applied
from azurepier.etcd._apply import apply
from azurepier.etcd._apply import read_current_config
from azurepier.etcd._budget import Budget
from azurepier.etcd._client import Client
from azurepier.etcd._keys import CONFIG_KEY
from azurepier.etcd._keys import ENTRIES_PREFIX
from azurepier.etcd._keys import HISTORY_PREFIX
from azurepier.etcd._keys import PREFIX
from azurepier.etcd._records import Change
from azurepier.etcd._records import HistoryEntry

__all__ = [
    'Applied',
    'Budget',
    'CONFIG_KEY',
    'Change',
    'Client',
    'ENTRIES_PREFIX',
    'HISTORY_PREFIX',
    'HistoryEntry',
    'PREFIX',
    'apply',
    'read_current_config',
]
