"""Job ids, which contain the entry incarnation that owns the job."""

import hashlib
import hmac

import attrs

MAC_CHARS = 10
_RANDOM_BITS = 64


@attrs.frozen
class JobId:
    """Parts of a job id.

    `expires_at` is in seconds of the owner's clock, so only the owner can
    interpret it.
    """

    incarnation: str
    expires_at: int
    number: int
    mac: str


def new_incarnation(rng):
    """Return a random id for one incarnation of a process."""
    return f'{rng.getrandbits(_RANDOM_BITS):016x}'


def _mac(secret, stem):
    digest = hmac.new(secret, stem.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_CHARS]


def make(incarnation, expires_at, number, secret):
    """Return a job id as text, authenticated with `secret`."""
    stem = f'{incarnation}-{expires_at:x}-{number:x}'
    return f'{stem}-{_mac(secret, stem)}'


def parse(text):
    """Split a job id.

    Returns
    -------
    JobId or None
        None if `text` is malformed.
    """
    parts = text.split('-')
    if len(parts) != 4 or len(text) > 80 or not text.isascii():
        return None
    try:
        return JobId(parts[0], int(parts[1], 16), int(parts[2], 16), parts[3])
    except ValueError:
        return None


def is_authentic(text, secret):
    """Return whether the incarnation that holds `secret` issued an id."""
    stem, _, mac = text.rpartition('-')
    return hmac.compare_digest(_mac(secret, stem), mac)
