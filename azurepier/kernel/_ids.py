"""Job ids, which name the entry incarnation that owns the job."""

import hashlib
import hmac

import attrs

MAC_CHARS = 10
_RANDOM_BITS = 64


@attrs.frozen
class JobId:
    """Parts of a job id.

    `expires_s` is in seconds of the owner's own clock, so that only the
    owner interprets it.
    """

    incarnation: str
    expires_at: int
    number: int
    mac: str


def new_incarnation(rng):
    """Return a random name for one run of a process."""
    return f'{rng.getrandbits(_RANDOM_BITS):016x}'


def _mac(secret, stem):
    digest = hmac.new(secret, stem.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_CHARS]


def make(incarnation, expires_at, number, secret):
    """Return a job id as text."""
    stem = f'{incarnation}-{expires_at:x}-{number:x}'
    return f'{stem}-{_mac(secret, stem)}'


def parse(text):
    """Split a job id.

    Returns
    -------
    JobId or None
        None if `text` does not have the form of a job id.
    """
    parts = text.split('-')
    if len(parts) != 4 or len(text) > 80 or not text.isascii():
        return None
    try:
        return JobId(parts[0], int(parts[1], 16), int(parts[2], 16), parts[3])
    except ValueError:
        return None


def is_authentic(text, secret):
    """Tell whether the incarnation that holds `secret` issued this id."""
    stem, _, mac = text.rpartition('-')
    return hmac.compare_digest(_mac(secret, stem), mac)
