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
from azurepier.membership._roster import LINKS_PER_ENDPOINT
from azurepier.membership._roster import PEERS
from azurepier.membership._roster import peers
from azurepier.membership._roster import REFRESH_S
from azurepier.membership._roster import Roster
from azurepier.membership._roster import serving
from azurepier.membership._roster import TELL_PAUSE_S

__all__ = [
    'Directory',
    'ENTRIES_PER_ENDPOINT',
    'GIVE_UP_AFTER_S',
    'HEARTBEAT_INTERVAL_S',
    'LINKS_PER_ENDPOINT',
    'PEERS',
    'REFRESH_S',
    'Roster',
    'SILENT_AFTER_S',
    'TELL_PAUSE_S',
    'due_dials',
    'entries',
    'find_incarnation',
    'first',
    'forget_stale',
    'is_silent',
    'keep',
    'learn',
    'peers',
    'ranked',
    'serving',
    'subset',
]
