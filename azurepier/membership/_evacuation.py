"""Failure domains that the operator has evacuated.

Each process keeps the evacuated domains together with the revision of the
store at which they were read. The store's revisions order all copies, however
they arrive, so that an update that was delayed, or comes from a process
without contact to the store, never undoes a later change.
"""

import attrs


@attrs.frozen
class Evacuations:
    """Evacuated failure domains, in which no task may be started.

    Parameters
    ----------
    revision : int
        Revision of the store at which these were the evacuated domains.
    domains : frozenset of str
    """

    revision: int
    domains: frozenset


@attrs.frozen
class EvacuationsLoaded:
    """The evacuated failure domains were read from the store."""

    evacuations: Evacuations


def is_newer(evacuations, current):
    """Tell whether `evacuations` replaces `current`, which may be None."""
    return current is None or evacuations.revision > current.revision


def changed_domains(evacuations, current):
    """Return the sorted newly evacuated domains and those in use again."""
    before = frozenset() if current is None else current.domains
    return (
        sorted(evacuations.domains - before),
        sorted(before - evacuations.domains),
    )
