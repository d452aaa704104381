"""Client for the platform's key-value service (etcd v3 JSON gateway)."""

from azurepier.platform._apply import Applied
from azurepier.platform._apply import apply
from azurepier.platform._apply import read_current
from azurepier.platform._budget import Budget
from azurepier.platform._client import Client
from azurepier.platform._keys import CONFIG_KEY
from azurepier.platform._keys import ENTRIES_PREFIX
from azurepier.platform._keys import HISTORY_PREFIX
from azurepier.platform._keys import PREFIX
from azurepier.platform._records import Change
from azurepier.platform._records import HistoryEntry

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
    'read_current',
]
