"""Records in the platform and their JSON encoding."""

import json

import attrs

from azurepier import kernel
from azurepier import wire

_ENTRY_FIELDS = {
    'name': str,
    'incarnation': str,
    'address': str,
    'web_address': str,
    'domain': str,
    'draining': bool,
}
_REQUIRED_TEXTS = ('name', 'incarnation', 'address')
# As in the first message of a connection.
_MAX_TEXT_CHARS = 256
# Limits of a history record, which is only displayed and must stay far below
# the size limit of a value. The first version of a configuration with 780
# customers has about as many lines as customers.
_MAX_HISTORY_LINES = 1000
_MAX_HISTORY_LINE_CHARS = 300


@attrs.frozen
class Change:
    """A change below the watched prefix.

    `value` is None if the key was deleted or its lease expired. The first
    change of a watch has an empty key and reports that the watch is
    established.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class HistoryEntry:
    """One version of the configuration; `written_at` is a Unix time (s)."""

    version: int
    edit_id: str
    author: str
    written_at: float
    changes: tuple


def entry_info_to_json(info):
    """Return an `EntryInfo` as JSON bytes."""
    value = {
        name: type_(getattr(info, name) or type_())
        for name, type_ in _ENTRY_FIELDS.items()
    }
    return json.dumps(value, sort_keys=True).encode()


def entry_info_from_json(body):
    """Return the `EntryInfo` in `body`, or None if it is malformed."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        return None
    if not isinstance(value, dict) or not all(
        isinstance(value.get(name), type_)
        for name, type_ in _ENTRY_FIELDS.items()
    ):
        return None
    fields = {name: value[name] for name in _ENTRY_FIELDS}
    return kernel.messages.EntryInfo(**fields) if _is_valid(fields) else None


def _is_valid(fields):
    """Return whether other processes can use and pass on a record."""
    texts = [text for text in fields.values() if isinstance(text, str)]
    if not all(map(fields.get, _REQUIRED_TEXTS)):
        return False
    if max(map(len, texts)) > _MAX_TEXT_CHARS:
        return False
    try:
        wire.split_address(fields['address'])
    except ValueError:
        return False
    return all(not text or text.isprintable() for text in texts)


def history_to_json(entry):
    """Return a `HistoryEntry` as JSON bytes."""
    lines = [line[:_MAX_HISTORY_LINE_CHARS] for line in entry.changes]
    if len(lines) > _MAX_HISTORY_LINES:
        omitted = len(lines) - _MAX_HISTORY_LINES
        lines = [*lines[:_MAX_HISTORY_LINES], f'{omitted} more changes']
    return json.dumps(attrs.asdict(entry) | {'changes': lines}).encode()


def history_from_json(body):
    """Return the `HistoryEntry` in `body`, or None if it is malformed."""
    try:
        value = json.loads(body)
        return HistoryEntry(
            version=int(value['version']),
            edit_id=str(value['edit_id']),
            author=str(value['author']),
            written_at=float(value['written_at']),
            changes=tuple(str(line) for line in value['changes']),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
