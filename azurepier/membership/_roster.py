"""Known entries and the choice of those that a process connects to.

With hundreds of processes, a full mesh would need a number of connections and
messages that grows with the product of entries and endpoint processes.
Instead, an endpoint process serves `LINKS_PER_ENDPOINT` entries and an entry
connects to a few others. Both are chosen by rendezvous hashing, which needs no
coordination, gives all entries about the same number of endpoints and
reassigns few of them when an entry is lost. Entries gossip the addresses that
they know together with the age of the information, so that an entry that has
left is not passed on for ever.
"""

import attrs

from azurepier.membership import _rendezvous

# Number of entries that an endpoint process serves. With n entries and E
# endpoints, an entry reaches E * 6 / n endpoints. In the model of
# benchmarks/bench_scale.py, no jobs are rejected for lack of capacity from 3
# on; with 6, a third of the entries may be lost at once.
LINKS_PER_ENDPOINT = 6
# Number of entries that an entry connects to in addition to its successor on
# the ring of addresses. The ring alone keeps all entries connected.
EXTRA_PEERS = 2
# An entry expires after this time without information about it (s); longer
# than a restart or an outage of the platform's store.
EXPIRE_AFTER_S = 30.0
# Interval of gossip without changes (s), short enough that information reaches
# all processes before it expires.
GOSSIP_REFRESH_S = 10.0
# Changes within this time are sent in one message (s).
GOSSIP_DELAY_S = 0.25
# After more consecutive failed attempts than this, an entry counts as
# unreachable and another one replaces it until it can be reached again.
FAILED_DIALS_MAX = 1
DIAL_BACKOFF_MIN_S = 0.25
# Upper bound of the time until a restarted entry is dialled again (s).
DIAL_BACKOFF_MAX_S = 2.0


@attrs.define
class _KnownEntry:
    domain: str
    seen_at: float


@attrs.define
class _DialState:
    failures: int = 0
    next_at: float = 0.0


@attrs.define
class Roster:
    """Known entries by address.

    Parameters
    ----------
    name : str
        Key of the rendezvous hash; does not change at a restart.
    domain : str
        Failure domain of the process.
    seeds : tuple of str
        Addresses to dial while no entry is connected.
    own_address : str, optional
        Address of this process, which is never dialled.

    Attributes
    ----------
    version : int
        Incremented when an address is added or removed.
    """

    name: str
    domain: str
    seeds: tuple
    own_address: str = ''
    version: int = 0
    known: dict = attrs.field(factory=dict)
    _dial_states: dict = attrs.field(factory=dict)
    _ranked: tuple = (-1, ())  # version, addresses

    def ranked_addresses(self):
        """Return the known addresses, the most preferred first."""
        if self._ranked[0] != self.version:
            ranked = _rendezvous.rank(self.name, self.known)
            self._ranked = self.version, ranked
        return self._ranked[1]

    def learn(self, address, domain, seen_at):
        """Record that an entry was seen at the time `seen_at` (s).

        Information older than `EXPIRE_AFTER_S` is accepted too; `expire`
        removes it.
        """
        if not address or address == self.own_address:
            return
        known = self.known.get(address)
        if known is None:
            self.known[address] = _KnownEntry(domain, seen_at)
            self.version += 1
            return
        known.domain = domain or known.domain
        known.seen_at = max(known.seen_at, seen_at)

    def expire(self, now):
        """Remove the entries that were not seen for `EXPIRE_AFTER_S`."""
        for address, known in list(self.known.items()):
            if now - known.seen_at > EXPIRE_AFTER_S:
                del self.known[address]
                self._dial_states.pop(address, None)
                self.version += 1

    def ages(self, now):
        """Return ``(address, domain, age in s)`` of all known entries."""
        return [
            (address, known.domain, max(now - known.seen_at, 0.0))
            for address, known in self.known.items()
        ]

    def mark_connected(self, address):
        """Record that a connection to an address was established."""
        self._dial_states.pop(address, None)

    def is_unreachable(self, address):
        """Return whether the last attempts to connect have failed."""
        state = self._dial_states.get(address)
        return state is not None and state.failures > FAILED_DIALS_MAX

    def due_dials(self, targets, connected, now, rng):
        """Return the targets to dial now and schedule the next attempts.

        Parameters
        ----------
        targets : sequence of str
            Addresses that should be connected.
        connected : set of str
            Addresses that are connected.
        now : float
            Current time (s).
        rng : random.Random
            Source of the jitter of the backoff.
        """
        due = []
        for address in targets:
            if address in connected or address == self.own_address:
                continue
            state = self._dial_states.setdefault(address, _DialState())
            if now < state.next_at:
                continue
            due.append(address)
            backoff_s = DIAL_BACKOFF_MIN_S * 2 ** max(
                state.failures - FAILED_DIALS_MAX, 0
            )
            state.failures = min(state.failures + 1, 16)
            state.next_at = now + min(
                backoff_s, DIAL_BACKOFF_MAX_S
            ) * rng.uniform(0.6, 1.0)
        return due


def entries_for_endpoint(roster, connected, size=LINKS_PER_ENDPOINT):
    """Return the entries that an endpoint process should connect to.

    Parameters
    ----------
    roster : Roster
    connected : set of str
        Addresses that are connected.
    size : int, optional
        Maximum number of entries.

    Returns
    -------
    wanted : list of str
        At most `size` addresses that are connected or not known to be
        unreachable.
    probed : list of str
        At most `size` unreachable addresses that rank above some of the
        wanted ones and are still dialled. The unknown seeds follow while
        nothing is connected.

    Notes
    -----
    Half of the places go to entries of the process's own failure domain, whose
    callers are near. The others keep the endpoint in use if the entries of
    that domain are lost or have few callers.
    """
    ranked = roster.ranked_addresses()
    local = [a for a in ranked if roster.known[a].domain == roster.domain]
    remote = [a for a in ranked if roster.known[a].domain != roster.domain]
    wanted, probed = [], []
    for address in _alternate(local, remote):
        if len(wanted) == size:
            break
        if address in connected or not roster.is_unreachable(address):
            wanted.append(address)
        else:
            probed.append(address)
    probed = probed[:size]
    if not connected:
        probed += [seed for seed in roster.seeds if seed not in roster.known]
    return wanted, probed


def _alternate(first, second):
    """Yield elements of two lists in turn, then the rest of the longer."""
    for index in range(max(len(first), len(second))):
        yield from first[index : index + 1]
        yield from second[index : index + 1]


def peers_for_entry(roster, size=EXTRA_PEERS):
    """Return the entries that an entry should connect to.

    Notes
    -----
    The successor by address connects all entries to a ring, so that gossip
    is not partitioned. The other peers, chosen by rendezvous hashing, shorten
    the paths between entries. Unreachable entries are skipped.
    """
    reachable = {a for a in roster.known if not roster.is_unreachable(a)}
    following = {a for a in reachable if a > roster.own_address}
    successor = min(following or reachable, default=None)
    if successor is None:
        return [seed for seed in roster.seeds if seed != roster.own_address]
    others = [
        a
        for a in roster.ranked_addresses()
        if a != successor and a in reachable
    ]
    return [successor, *others[:size]]
