"""Keys in the platform and their encoding in requests."""

import base64

PREFIX = '/azurepier/'
CONFIG_KEY = PREFIX + 'config'
HISTORY_PREFIX = PREFIX + 'config-history/'
ENTRIES_PREFIX = PREFIX + 'entries/'
# Versions are padded so that the order of keys is the order of versions.
_VERSION_DIGITS = 20


def history_key(version):
    """Return the key of a version's history record."""
    return f'{HISTORY_PREFIX}{version:0{_VERSION_DIGITS}d}'


def entry_key(name):
    """Return the key under which the entry `name` announces itself."""
    return ENTRIES_PREFIX + name


def encode(value):
    """Return text or bytes in the form that requests carry."""
    raw = value.encode() if isinstance(value, str) else value
    return base64.b64encode(raw).decode()


def decode(text):
    """Return the bytes that `encode` took."""
    return base64.b64decode(text, validate=True)


def below(prefix):
    """Return the fields of a request for all keys that begin with `prefix`."""
    end = prefix.encode()
    end = end[:-1] + bytes([end[-1] + 1])
    return {'key': encode(prefix), 'range_end': encode(end)}
