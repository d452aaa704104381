"""Events of all processes, kept per process and merged into one line."""

from azurepier.timeline._ring import Event
from azurepier.timeline._ring import from_dict
from azurepier.timeline._ring import Ring
from azurepier.timeline._ring import to_dict

__all__ = [
    'Event',
    'Ring',
    'from_dict',
    'to_dict',
]
