"""Validators of single settings.

Each returns the value to use, or raises `ValueError` with the reason.
"""

import re
import urllib.parse

from azurepier import wire

MAX_SLOTS = 1024
MAX_TASK_SIZE = 2**31 - 1
MAX_LIST_ITEMS = 1000
_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_WILDCARD_HOSTS = frozenset({'0.0.0.0', '::'})


def name(value):
    """Accept a name of letters, digits, dots, dashes and underscores."""
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError(
            'must be 1 to 64 letters, digits, ".", "-" or "_", starting with '
            f'a letter or digit, not {value!r:.80}'
        )
    return value


def text(value):
    """Accept a printable, non-empty string."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(
            f'must be a printable string that is not empty, not {value!r:.80}'
        )
    return value


def listen_address(value):
    """Accept "host:port"; with port 0 the system assigns a free port."""
    wire.split_address(text(value))
    return value


def address(value):
    """Accept "host:port" that other hosts can connect to."""
    host, port = wire.split_address(text(value))
    if port == 0:
        raise ValueError('must not have port 0; expected 1 to 65535')
    if is_wildcard(value):
        raise ValueError(f'other hosts cannot connect to {host}')
    return value


def is_wildcard(value):
    """Return whether an address is the wildcard of all interfaces."""
    return wire.split_address(value)[0] in _WILDCARD_HOSTS


def url(value):
    """Accept a base URL; a trailing slash is removed."""
    parts = urllib.parse.urlsplit(text(value))
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        raise ValueError(
            'must be an http or https URL with a host, not scheme '
            f'{parts.scheme!r:.80} and host {parts.hostname!r:.80}'
        )
    if parts.query or parts.fragment or parts.username:
        raise ValueError('must not have a query, fragment or user')
    if parts.port == 0:
        raise ValueError('must not have port 0; expected 1 to 65535')
    return value.rstrip('/')


def http_url(value):
    """Accept a base URL with the scheme ``http``."""
    if not url(value).startswith('http:'):
        raise ValueError(f'must be an http URL, not {value!r:.80}')
    return url(value)


def integer(highest):
    """Return a validator of integers from 1 to `highest`."""

    def check(value):
        if type(value) is not int or not 1 <= value <= highest:
            raise ValueError(
                f'must be an integer from 1 to {highest}, not {value!r:.80}'
            )
        return value

    return check


def list_of(check):
    """Return a validator of lists whose items pass `check`."""

    def check_list(value):
        if not isinstance(value, list) or len(value) > MAX_LIST_ITEMS:
            raise ValueError(
                f'must be a list of at most {MAX_LIST_ITEMS} items, not '
                f'{value!r:.80}'
            )
        items = []
        for index, item in enumerate(value):
            try:
                items.append(check(item))
            except ValueError as exc:
                raise ValueError(f'item {index}: {exc}') from None
        if len(set(items)) != len(items):
            raise ValueError(
                f'must not contain an item twice, as {items!r:.80} does'
            )
        return tuple(items)

    return check_list
