"""The entries that a process knows and the connections it should open."""

import attrs

from azurepier.kernel import messages
from azurepier.membership import _rendezvous

# An endpoint process announces itself to this many entries at most; enough
# that the loss of one entry takes little of the endpoint's work away.
ENTRIES_PER_ENDPOINT = 6
# An entry that is on no list and can't be reached is forgotten after this.
FORGET_AFTER_S = 30.0
DIAL_BACKOFF_S = 0.25
DIAL_BACKOFF_MAX_S = 5.0


@attrs.define
class _Known:
    info: messages.EntryInfo
    seen_at: float


@attrs.define
class _Attempt:
    next_at: float = 0.0
    backoff_s: float = DIAL_BACKOFF_S


@attrs.define
class Directory:
    """Known entries by name, and dialling state by address.

    `version` grows with each change, so that peers can tell whether they
    have the current list.
    """

    seeds: tuple
    version: int = 1
    leader: str = ''
    known: dict = attrs.field(factory=dict)
    attempts: dict = attrs.field(factory=dict)


def _content(info):
    return (info.incarnation, info.address, info.web_address, info.draining)


def learn(directory, info, now):
    """Take over what is known of one entry.

    Returns
    -------
    bool
        Whether anything changed.
    """
    old = directory.known.get(info.name)
    directory.known[info.name] = _Known(info, now)
    if old is not None and _content(old.info) == _content(info):
        return False
    directory.attempts.pop(info.address, None)
    directory.version += 1
    return True


def mark_seen(directory, name, now):
    """Note that the entry `name` is still there."""
    known = directory.known.get(name)
    if known is not None:
        known.seen_at = now


def evict_stale(directory, connected_names, now):
    """Drop entries that nobody has seen for `FORGET_AFTER_S`."""
    for name in connected_names:
        mark_seen(directory, name, now)
    stale = [
        name
        for name, known in directory.known.items()
        if now - known.seen_at > FORGET_AFTER_S
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

    Notes
    -----
    The leader is always among them, because it dispatches new jobs. Entries
    of the own failure domain fill at most half of the places, so that the
    loss of the domain's entries leaves others connected.
    """
    live = [i for i in entries(directory) if not i.draining]
    if len(live) <= size:
        return live
    by_name = {info.name: info for info in live}
    order = _rendezvous.rank(key, by_name)
    chosen = [directory.leader] if directory.leader in by_name else []
    near = [n for n in order if by_name[n].domain == domain]
    chosen += [n for n in near[: size // 2] if n not in chosen]
    chosen += [n for n in order if n not in chosen][: size - len(chosen)]
    return [by_name[name] for name in chosen]


def due_dials(directory, wanted, connected, now, rng):
    """Return the addresses to dial now.

    Parameters
    ----------
    directory : Directory
    wanted : iterable of str
        Addresses that should be connected; seeds are added while no entry
        is known.
    connected : set of str
        Addresses that are connected.
    now : float
        Time in seconds.
    rng : random.Random
        Spreads the attempts of many processes.
    """
    targets = set(wanted) or set(directory.seeds)
    due = []
    for address in sorted(targets - connected):
        attempt = directory.attempts.setdefault(address, _Attempt())
        if now < attempt.next_at:
            continue
        due.append(address)
        attempt.next_at = now + attempt.backoff_s * rng.uniform(0.5, 1.5)
        attempt.backoff_s = min(2 * attempt.backoff_s, DIAL_BACKOFF_MAX_S)
    for address in connected:
        directory.attempts.pop(address, None)
    return due
