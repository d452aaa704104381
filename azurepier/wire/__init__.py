"""Message transport: codec, framing, handshake and connections."""

from azurepier import _lazy

# Exports are imported on first use, so that a process can listen before it
# imports the codec and the messages.
_SOURCES = {
    'BACKLOG': 'azurepier.wire._addresses:BACKLOG',
    'CLASS_OF_TYPE': 'azurepier.wire._codec:CLASS_OF_TYPE',
    'CONNECT_TIMEOUT_S': 'azurepier.wire._attempts:CONNECT_TIMEOUT_S',
    'Connection': 'azurepier.wire._connection:Connection',
    'Hooks': 'azurepier.wire._connection:Hooks',
    'Listener': 'azurepier.wire._sockets:Listener',
    'MAX_FRAME_BYTES': 'azurepier.wire._codec:MAX_FRAME_BYTES',
    'Traffic': 'azurepier.wire._connection:Traffic',
    'bind': 'azurepier.wire._addresses:bind',
    'bound_address': 'azurepier.wire._addresses:bound_address',
    'connect': 'azurepier.wire._attempts:connect',
    'check_accelerated': 'azurepier.wire._codec:check_accelerated',
    'decode': 'azurepier.wire._codec:decode',
    'dial': 'azurepier.wire._sockets:dial',
    'encode': 'azurepier.wire._codec:encode',
    'listen': 'azurepier.wire._sockets:listen',
    'split_address': 'azurepier.wire._addresses:split_address',
}

__getattr__ = _lazy.loader(__name__, _SOURCES)

__all__ = [
    'BACKLOG',
    'CLASS_OF_TYPE',
    'CONNECT_TIMEOUT_S',
    'Connection',
    'Hooks',
    'Listener',
    'MAX_FRAME_BYTES',
    'Traffic',
    'bind',
    'bound_address',
    'check_accelerated',
    'connect',
    'decode',
    'dial',
    'encode',
    'listen',
    'split_address',
]
