"""Rendezvous hashing, by which processes agree without messages."""

import hashlib


def _score(key, name):
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return digest.digest()


def rank(key, names):
    """Return `names` sorted by descending preference for `key`.

    Notes
    -----
    Adding or removing a name does not change the relative order of the
    others, which minimises reassignments at a restart.
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def preferred(key, names):
    """Return the preferred name for `key`, or None if `names` is empty."""
    return max(names, key=lambda name: _score(key, name), default=None)
