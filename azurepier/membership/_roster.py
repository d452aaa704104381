"""The entries that a process knows, and which of them it is linked with.

Load pattern: hundreds of processes. If each endpoint process were linked with
each entry, links and messages would grow with the product of both. An
endpoint process serves `LINKS_PER_ENDPOINT` entries and an entry is linked
with a few others, chosen by rendezvous hashing without any agreement: all
entries get about the same number of endpoints, and the loss of one moves
little. What the entries know of each other spreads over those links, with its
age, so that an entry that has left can't be passed around for ever.
"""

import attrs

from azurepier.membership import _rendezvous

# Entries that an endpoint process serves. With n entries and E endpoints an
# entry reaches E * 6 / n of them; the model shows no refusals for want of
# room from 3 on, and with 6 a third of the entries may be lost at once.
LINKS_PER_ENDPOINT = 6
# Entries that an entry connects to beside its successor on the ring of
# addresses, which alone keeps all entries connected.
PEERS = 2
# An address is forgotten after this time without news of the entry (s). It
# outlasts a restart, and a pause of the platform's store.
LIFETIME_S = 30.0
# Without changes, what is known is told again after this time (s), so that
# it reaches everybody before it is forgotten.
GOSSIP_REFRESH_S = 10.0
# Changes are told together after this pause (s).
GOSSIP_DELAY_S = 0.25
# Attempts without success after which another entry takes the place. An entry
# that only starts again gets it back.
DOWN_AFTER = 1
DIAL_PAUSE_MIN_S = 0.25
# An entry that comes back is found within this time (s).
DIAL_PAUSE_MAX_S = 2.0


@attrs.define
class _Known:
    domain: str
    heard_at: float


@attrs.define
class _Attempts:
    failures: int = 0
    next_at: float = 0.0


@attrs.define
class Roster:
    """Known entries, by address.

    Parameters
    ----------
    name : str
        Key of the choice; stays the same over restarts.
    domain : str
        Failure domain of the process.
    seeds : tuple of str
        Dialled while no entry is connected.
    own : str, optional
        Address that is never dialled.

    Attributes
    ----------
    version : int
        Grows when an address comes or goes.
    """

    name: str
    domain: str
    seeds: tuple
    own: str = ''
    version: int = 0
    known: dict = attrs.field(factory=dict)
    _attempts: dict = attrs.field(factory=dict)
    _order: tuple = (-1, ())

    def order(self):
        """Return the known addresses in the order of preference."""
        if self._order[0] != self.version:
            ranked = _rendezvous.rank(self.name, self.known)
            self._order = self.version, ranked
        return self._order[1]

    def learn(self, address, domain, heard_at):
        """Note that an entry was there at a time (s).

        Older news than `LIFETIME_S` is for `forget` to remove.
        """
        if not address or address == self.own:
            return
        known = self.known.get(address)
        if known is None:
            self.known[address] = _Known(domain, heard_at)
            self.version += 1
            return
        known.domain = domain or known.domain
        known.heard_at = max(known.heard_at, heard_at)

    def forget(self, now):
        """Remove the entries that nobody has heard of for long."""
        for address, known in list(self.known.items()):
            if now - known.heard_at > LIFETIME_S:
                del self.known[address]
                self._attempts.pop(address, None)
                self.version += 1

    def ages(self, now):
        """Return ``(address, domain, age in s)`` of all known entries."""
        return [
            (address, known.domain, max(now - known.heard_at, 0.0))
            for address, known in self.known.items()
        ]

    # Attempts ------------------------------------------------------------

    def mark_connected(self, address):
        """Note that a connection to an address is up."""
        self._attempts.pop(address, None)

    def is_unreachable(self, address):
        """Tell whether the last attempts to connect have failed."""
        attempts = self._attempts.get(address)
        return attempts is not None and attempts.failures > DOWN_AFTER

    def due_dials(self, targets, connected, now, rng):
        """Return the targets to dial now.

        Parameters
        ----------
        targets : sequence of str
        connected : set of str
            Addresses with a connection.
        now : float
        rng : random.Random
            Spreads the attempts of many processes.
        """
        found = []
        for address in targets:
            if address in connected or address == self.own:
                continue
            attempts = self._attempts.setdefault(address, _Attempts())
            if now < attempts.next_at:
                continue
            found.append(address)
            pause_s = DIAL_PAUSE_MIN_S * 2 ** max(
                attempts.failures - DOWN_AFTER, 0
            )
            attempts.failures = min(attempts.failures + 1, 16)
            attempts.next_at = now + min(
                pause_s, DIAL_PAUSE_MAX_S
            ) * rng.uniform(0.6, 1.0)
        return found


def entries_for_endpoint(roster, connected, size=LINKS_PER_ENDPOINT):
    """Return the entries that an endpoint process should be linked with.

    Parameters
    ----------
    roster : Roster
    connected : set of str
    size : int, optional

    Returns
    -------
    wanted : list of str
        At most `size` addresses that are not known to be down.
    probed : list of str
        Addresses that rank above some of these but are down; they are
        dialled now and then, at most `size` of them.

    Notes
    -----
    Half of the places go to entries of the own failure domain, whose callers
    are near; the others keep the endpoint in use if the domain's entries are
    lost or get few callers.
    """
    order = roster.order()
    near = [a for a in order if roster.known[a].domain == roster.domain]
    far = [a for a in order if roster.known[a].domain != roster.domain]
    wanted, probed = [], []
    for address in _alternate(near, far):
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
    """Yield from two lists by turns, then what is left of the longer."""
    for index in range(max(len(first), len(second))):
        yield from first[index : index + 1]
        yield from second[index : index + 1]


def peers_for_entry(roster, size=PEERS):
    """Return the entries that an entry should be linked with.

    Notes
    -----
    The successor in the order of addresses links all entries to a ring, so
    that no group of them is left without news; the others make the way from
    each to each short. Entries that are down are passed over.
    """
    up = {a for a in roster.known if not roster.is_unreachable(a)}
    after = {a for a in up if a > roster.own}
    ring = min(after or up, default=None)
    if ring is None:
        return [seed for seed in roster.seeds if seed != roster.own]
    others = [a for a in roster.order() if a != ring and a in up]
    return [ring, *others[:size]]
