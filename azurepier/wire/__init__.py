"""Messages on the wire: codec, framing, handshake and connections."""

from azurepier.wire._codec import check_accelerated
from azurepier.wire._codec import CLASS_OF_TYPE
from azurepier.wire._codec import decode
from azurepier.wire._codec import encode
from azurepier.wire._codec import MAX_FRAME_BYTES
from azurepier.wire._connection import Connection
from azurepier.wire._connection import Hooks
from azurepier.wire._connection import Traffic
from azurepier.wire._sockets import bind
from azurepier.wire._sockets import bound_address
from azurepier.wire._sockets import dial
from azurepier.wire._sockets import listen
from azurepier.wire._sockets import Listener
from azurepier.wire._sockets import split_address

__all__ = [
    'CLASS_OF_TYPE',
    'Connection',
    'Hooks',
    'Listener',
    'MAX_FRAME_BYTES',
    'Traffic',
    'bind',
    'bound_address',
    'check_accelerated',
    'decode',
    'dial',
    'encode',
    'listen',
    'split_address',
]
