"""Known entries and the connections that a process should open to them."""

import attrs

from azurepier.kernel import messages
from azurepier.membership import _rendezvous

# Maximum number of entries that an endpoint process connects to; high enough
# that the endpoint keeps most of its work if one entry is lost.
ENTRIES_PER_ENDPOINT = 6
# An entry that is neither listed nor connected for this time is evicted.
EVICT_AFTER_S = 30.0
DIAL_BACKOFF_S = 0.25
DIAL_BACKOFF_MAX_S = 5.0


@attrs.define
class _KnownEntry:
    info: messages.EntryInfo
    seen_at: float


@attrs.define
class _DialState:
    next_at: float = 0.0
    backoff_s: float = DIAL_BACKOFF_S


@attrs.define
class Directory:
    """Known entries by name, and dial states by address.

    `version` is incremented by each change, so that peers can tell whether
    their list is current.
    """

    seeds: tuple
    version: int = 1
    leader: str = ''
    known: dict = attrs.field(factory=dict)
    dial_states: dict = attrs.field(factory=dict)


def _content(info):
    return (info.incarnation, info.address, info.web_address, info.draining)


def learn(directory, info, now):
    """Add or update an entry.

    Returns
    -------
    bool
        Whether the entry is new or has changed.
    """
    previous = directory.known.get(info.name)
    directory.known[info.name] = _KnownEntry(info, now)
    if previous is not None and _content(previous.info) == _content(info):
        return False
    directory.dial_states.pop(info.address, None)
    directory.version += 1
    return True


def mark_seen(directory, name, now):
    """Record that the entry `name` was seen at the time `now` (s)."""
    known = directory.known.get(name)
    if known is not None:
        known.seen_at = now


def evict_stale(directory, connected_names, now):
    """Evict entries that have not been seen for `EVICT_AFTER_S`.

    Connected entries count as seen. The names of the evicted entries are
    returned.
    """
    for name in connected_names:
        mark_seen(directory, name, now)
    stale = [
        name
        for name, known in directory.known.items()
        if now - known.seen_at > EVICT_AFTER_S
    ]
    for name in stale:
        del directory.known[name]
        directory.version += 1
    return stale


def entries(directory):
    """Return the known entries as a list of `EntryInfo`."""
    return [known.info for known in directory.known.values()]


def find_incarnation(directory, incarnation):
    """Return the `EntryInfo` of an incarnation, or None."""
    for known in directory.known.values():
        if known.info.incarnation == incarnation:
            return known.info
    return None


def choose_entries(directory, key, domain, size=ENTRIES_PER_ENDPOINT):
    """Return the entries that the process `key` should connect to.

    Parameters
    ----------
    directory : Directory
    key : str
        Key of the rendezvous hash.
    domain : str
        Failure domain of the process.
    size : int, optional
        Maximum number of entries.

    Returns
    -------
    list of EntryInfo

    Notes
    -----
    The leader is always included, because it dispatches new jobs. Only half
    of the places prefer entries of the process's own failure domain, so that
    it stays connected when that domain's entries are lost.
    """
    live = [i for i in entries(directory) if not i.draining]
    if len(live) <= size:
        return live
    by_name = {info.name: info for info in live}
    ranked = _rendezvous.rank(key, by_name)
    chosen = [directory.leader] if directory.leader in by_name else []
    same_domain = [n for n in ranked if by_name[n].domain == domain]
    chosen += [n for n in same_domain[: size // 2] if n not in chosen]
    chosen += [n for n in ranked if n not in chosen][: size - len(chosen)]
    return [by_name[name] for name in chosen]


def due_dials(directory, wanted, connected, now, rng):
    """Return the addresses to dial now and schedule the next attempts.

    Parameters
    ----------
    directory : Directory
    wanted : iterable of str
        Addresses that should be connected; the seeds if it is empty.
    connected : set of str
        Addresses that are connected.
    now : float
        Current time (s).
    rng : random.Random
        Source of the jitter of the backoff.
    """
    targets = set(wanted) or set(directory.seeds)
    due = []
    for address in sorted(targets - connected):
        state = directory.dial_states.setdefault(address, _DialState())
        if now < state.next_at:
            continue
        due.append(address)
        state.next_at = now + state.backoff_s * rng.uniform(0.5, 1.5)
        state.backoff_s = min(2 * state.backoff_s, DIAL_BACKOFF_MAX_S)
    for address in connected:
        directory.dial_states.pop(address, None)
    return due
