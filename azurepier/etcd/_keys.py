"""Keys in the platform and the encoding of keys and values."""

import base64

PREFIX = '/azurepier/'
CONFIG_KEY = PREFIX + 'config'
HISTORY_PREFIX = PREFIX + 'config-history/'
ENTRIES_PREFIX = PREFIX + 'entries/'
# Versions are zero-padded so that the order of keys is that of versions.
_VERSION_DIGITS = 20


def history_key(version):
    """Return the key of a version's history record."""
    return f'{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}'


def entry_key(name):
    """Return the key of the record of the entry `name`."""
    return ENTRIES_PREFIX + name


def encode(value):
    """Return text or bytes in base64, as the gateway expects them."""
    raw = value.encode() if isinstance(value, str) else value
    return base64.b64encode(raw).decode()


def decode(text):
    """Return the bytes that a base64 text encodes."""
    return base64.b64decode(text, validate=True)


def prefix_range(prefix):
    """Return the request fields that select all keys with `prefix`."""
    end = prefix.encode()
    end = end[:-1] + bytes([end[-1] + 1])
    return {'key': encode(prefix), 'range_end': encode(end)}
