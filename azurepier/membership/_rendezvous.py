"""Rendezvous hashing: agreement on a choice without any messages."""

import hashlib


def _score(key, name):
    digest = hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8)
    return digest.digest()


def rank(key, names):
    """Return `names` in the order of preference for `key`.

    Notes
    -----
    Adding or removing a name changes nothing in the relative order of the
    others, so that a restart moves as little as possible.
    """
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def preferred(key, names):
    """Return the preferred name for `key`, or None if there is none."""
    return max(names, key=lambda name: _score(key, name), default=None)
