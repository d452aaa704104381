"""Known processes, their liveness and the connections between them."""

from azurepier.membership._directory import choose_entries
from azurepier.membership._directory import Directory
from azurepier.membership._directory import due_dials
from azurepier.membership._directory import entries
from azurepier.membership._directory import ENTRIES_PER_ENDPOINT
from azurepier.membership._directory import evict_stale
from azurepier.membership._directory import find_incarnation
from azurepier.membership._directory import learn
from azurepier.membership._directory import mark_seen
from azurepier.membership._evacuation import changed_domains
from azurepier.membership._evacuation import Evacuations
from azurepier.membership._evacuation import EvacuationsLoaded
from azurepier.membership._evacuation import is_newer
from azurepier.membership._liveness import GIVE_UP_AFTER_S
from azurepier.membership._liveness import HEARTBEAT_INTERVAL_S
from azurepier.membership._liveness import is_silent
from azurepier.membership._liveness import SILENT_AFTER_S
from azurepier.membership._rendezvous import preferred
from azurepier.membership._rendezvous import rank
from azurepier.membership._roster import entries_for_endpoint
from azurepier.membership._roster import EXPIRE_AFTER_S
from azurepier.membership._roster import EXTRA_PEERS
from azurepier.membership._roster import GOSSIP_DELAY_S
from azurepier.membership._roster import GOSSIP_REFRESH_S
from azurepier.membership._roster import LINKS_PER_ENDPOINT
from azurepier.membership._roster import peers_for_entry
from azurepier.membership._roster import Roster

__all__ = [
    'Directory',
    'ENTRIES_PER_ENDPOINT',
    'EXTRA_PEERS',
    'EXPIRE_AFTER_S',
    'Evacuations',
    'EvacuationsLoaded',
    'GIVE_UP_AFTER_S',
    'GOSSIP_DELAY_S',
    'GOSSIP_REFRESH_S',
    'HEARTBEAT_INTERVAL_S',
    'LINKS_PER_ENDPOINT',
    'Roster',
    'SILENT_AFTER_S',
    'changed_domains',
    'choose_entries',
    'due_dials',
    'entries',
    'entries_for_endpoint',
    'evict_stale',
    'find_incarnation',
    'is_newer',
    'is_silent',
    'learn',
    'mark_seen',
    'peers_for_entry',
    'preferred',
    'rank',
]
