"""Which processes there are and whether they are alive."""

from azurepier.membership._directory import Directory
from azurepier.membership._directory import due_dials
from azurepier.membership._directory import entries
from azurepier.membership._directory import ENTRIES_PER_ENDPOINT
from azurepier.membership._directory import find_incarnation
from azurepier.membership._directory import forget_stale
from azurepier.membership._directory import keep
from azurepier.membership._directory import learn
from azurepier.membership._directory import subset
from azurepier.membership._liveness import GIVE_UP_AFTER_S
from azurepier.membership._liveness import HEARTBEAT_INTERVAL_S
from azurepier.membership._liveness import is_silent
from azurepier.membership._liveness import SILENT_AFTER_S
from azurepier.membership._rendezvous import first
from azurepier.membership._rendezvous import ranked

__all__ = [
    'Directory',
    'ENTRIES_PER_ENDPOINT',
    'GIVE_UP_AFTER_S',
    'HEARTBEAT_INTERVAL_S',
    'SILENT_AFTER_S',
    'due_dials',
    'entries',
    'find_incarnation',
    'first',
    'forget_stale',
    'is_silent',
    'keep',
    'learn',
    'ranked',
    'subset',
]
