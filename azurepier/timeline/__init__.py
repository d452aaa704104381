"""Events that processes keep in memory, merged into one timeline."""

from azurepier.timeline._merge import merge
from azurepier.timeline._render import as_html
from azurepier.timeline._render import as_text
from azurepier.timeline._ring import Event
from azurepier.timeline._ring import from_dict
from azurepier.timeline._ring import Ring
from azurepier.timeline._ring import to_dict

__all__ = [
    'Event',
    'Ring',
    'as_html',
    'as_text',
    'from_dict',
    'merge',
    'to_dict',
]
