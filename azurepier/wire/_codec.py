"""Encoding and decoding of messages as frames.

A frame is a 4-byte big-endian length, a 1-byte message type and a Thrift
struct. The length covers the type byte and the struct. The struct uses
Thrift's binary protocol; Thrift's C extension encodes and decodes it.
"""

import io
import operator
import struct

from azurepier.kernel import WireError
from azurepier.wire.gen.messages import ttypes

try:
    from thrift.protocol import fastbinary
except ImportError:
    fastbinary = None

HEADER_BYTES = 4
MAX_FRAME_BYTES = 4 * 1024 * 1024
# Limits the memory that a small frame can expand to: 65,536 empty structs of
# the largest class take about 12 MB once decoded.
MAX_CONTAINER_ITEMS = 65_536

# Message types are part of the protocol: never change or reuse one.
CLASS_OF_TYPE = {
    1: ttypes.Hello,
    2: ttypes.Proof,
    3: ttypes.Heartbeat,
    4: ttypes.Members,
    5: ttypes.ConfigUpdate,
    6: ttypes.ConfigRequest,
    7: ttypes.StartBatch,
    8: ttypes.Want,
    9: ttypes.CancelTasks,
    11: ttypes.OutcomeBatch,
    12: ttypes.Grant,
    13: ttypes.ResumeReport,
    14: ttypes.FenceJob,
    15: ttypes.FenceReport,
    16: ttypes.Leave,
    17: ttypes.Forward,
    18: ttypes.ForwardAnswer,
    19: ttypes.QuotaRequest,
    20: ttypes.QuotaGrant,
    21: ttypes.PoolState,
    22: ttypes.RunOrders,
    23: ttypes.RunStops,
    24: ttypes.RunEnds,
    25: ttypes.RunsKnown,
    26: ttypes.Beat,
    27: ttypes.RunProgress,
    28: ttypes.EntriesKnown,
}

# Fields that may be absent; every other field is required.
_OPTIONAL_FIELDS = {
    ttypes.Hello: {
        'address',
        'web_address',
        'worker',
        'slots',
        'kinds',
        'largest_size',
        'nonce',
        'proof',
        'config_parts',
        'relays_cancels',
    },
    ttypes.ConfigUpdate: {'offset', 'total', 'checksum'},
    ttypes.ConfigRequest: {'version', 'offset'},
    ttypes.PoolState: {'forecast_cpu', 'waiting_orders', 'arriving'},
    ttypes.RunOrder: {
        'suspicion',
        'label',
        'pool',
        'max_per_worker',
        'wait_ms',
    },
    ttypes.RunsKnown: {'session'},
    ttypes.Beat: {
        'evacuations_revision',
        'evacuated',
        'store_silent_ms',
        'reports_received',
        'canceled',
        'cancel_checks',
        'cancel_confirmations',
        'endpoints',
        'receiver_endpoints',
        'arriving',
    },
}

_pack_header = struct.Struct('>IB').pack
_unpack_length = struct.Struct('>I').unpack_from


def check_accelerated():
    """Check that Thrift's C extension is installed.

    Raises
    ------
    WireError
        If it is missing. The pure-Python codec needs about four times as
        much CPU time per message.
    """
    if fastbinary is None:
        raise WireError(
            'the thrift package lacks its C extension '
            '(thrift.protocol.fastbinary); install thrift where a C compiler '
            'is available'
        )


class _Transport:
    """The attributes of a Thrift transport that the C extension uses."""

    __slots__ = ('cstringio_buf',)

    def cstringio_refill(self, _partial, _length):
        raise EOFError('the frame ends in the middle of a field')


class _Protocol:
    """The attributes of a Thrift protocol that the C extension uses."""

    __slots__ = ('trans',)

    string_length_limit = MAX_FRAME_BYTES
    container_length_limit = MAX_CONTAINER_ITEMS


def _list_of_structs(field):
    """Return name and item class of a list of structs, otherwise None."""
    # The type of the items is 12, TType.STRUCT.
    name, arguments = field[2], field[3]
    is_list = isinstance(arguments, tuple) and arguments[0] == 12
    return (name, arguments[1][0]) if is_list else None


def _make_completeness_check(cls):
    """Return a function that checks a message for missing required fields."""
    fields = [field for field in cls.thrift_spec if field]
    optional = _OPTIONAL_FIELDS.get(cls, ())
    names = [field[2] for field in fields if field[2] not in optional]
    # The repeated name makes attrgetter return a tuple for a single field.
    get_values = operator.attrgetter(*names, names[0])
    lists = [
        (name, _make_completeness_check(item))
        for name, item in filter(None, map(_list_of_structs, fields))
    ]

    def has_all_fields(msg):
        return None not in get_values(msg)

    def is_complete(msg):
        if None in get_values(msg):
            return False
        for name, check in lists:
            # An optional list may be absent.
            if not all(map(check, getattr(msg, name) or ())):
                return False
        return True

    return is_complete if lists else has_all_fields


_SPEC_BY_CLASS = {
    cls: [cls, cls.thrift_spec] for cls in CLASS_OF_TYPE.values()
}
_TYPE_BY_CLASS = {
    cls: type_number for type_number, cls in CLASS_OF_TYPE.items()
}
_DECODER_BY_TYPE = {
    type_number: (cls, _SPEC_BY_CLASS[cls], _make_completeness_check(cls))
    for type_number, cls in CLASS_OF_TYPE.items()
}


def encode(msg):
    """Return the frame that carries a message.

    Parameters
    ----------
    msg : object
        Instance of one of the classes in `CLASS_OF_TYPE`.

    Returns
    -------
    bytes

    Raises
    ------
    WireError
        If the class has no type number, a value does not fit its field or
        the frame would exceed `MAX_FRAME_BYTES`.
    """
    cls = msg.__class__
    try:
        type_number = _TYPE_BY_CLASS[cls]
        body = fastbinary.encode_binary(msg, _SPEC_BY_CLASS[cls])
    except KeyError:
        raise WireError(
            f'{cls.__name__} is not a message: it has no message type'
        ) from None
    except Exception as exc:
        raise WireError(f'{cls.__name__} cannot be encoded: {exc}') from exc
    length = len(body) + 1
    if length > MAX_FRAME_BYTES:
        raise WireError(
            f'{cls.__name__} of {length} bytes exceeds the maximum frame size '
            f'of {MAX_FRAME_BYTES}'
        )
    return _pack_header(length, type_number) + body


def frame_length(data, offset=0):
    """Return the payload length from a frame's header.

    Raises
    ------
    WireError
        If the length is 0 or exceeds `MAX_FRAME_BYTES`.
    """
    (length,) = _unpack_length(data, offset)
    if not 1 <= length <= MAX_FRAME_BYTES:
        raise WireError(
            f'frame of {length} bytes; expected 1 to {MAX_FRAME_BYTES}'
        )
    return length


def is_known(payload):
    """Tell whether the payload of a frame has a known message type."""
    return payload[0] in _DECODER_BY_TYPE


def decode_payload(payload):
    """Decode the payload of a frame.

    Parameters
    ----------
    payload : bytes
        Message type and struct.

    Returns
    -------
    object
        Instance of one of the classes in `CLASS_OF_TYPE`.

    Raises
    ------
    WireError
        If the payload is malformed, has trailing bytes or lacks a required
        field.
    """
    try:
        cls, spec, is_complete = _DECODER_BY_TYPE[payload[0]]
    except (KeyError, IndexError):
        raise WireError(f'unknown message type {payload[:1].hex()}') from None
    buffer = io.BytesIO(payload)
    buffer.seek(1)
    protocol = _Protocol()
    protocol.trans = transport = _Transport()
    transport.cstringio_buf = buffer
    msg = cls()
    try:
        fastbinary.decode_binary(msg, protocol, spec)
    except Exception as exc:
        raise WireError(
            f'malformed {cls.__name__}: {exc or type(exc).__name__}'
        ) from exc
    if buffer.tell() != len(payload):
        raise WireError(
            f'{cls.__name__} ends after {buffer.tell()} of {len(payload)} '
            'bytes; expected no trailing bytes'
        )
    if not is_complete(msg):
        raise WireError(
            f'{cls.__name__}, or an item in one of its lists, lacks a '
            'required field'
        )
    return msg


def decode(frame):
    """Decode a complete frame, including its header.

    Raises
    ------
    WireError
        As for `decode_payload`, or if the header does not match the frame.
    """
    if len(frame) < HEADER_BYTES:
        raise WireError(
            f'frame of {len(frame)} bytes has no complete header; expected at '
            f'least {HEADER_BYTES}'
        )
    if frame_length(frame) != len(frame) - HEADER_BYTES:
        raise WireError(
            f'frame has {len(frame) - HEADER_BYTES} bytes after its header; '
            f'expected {frame_length(frame)}'
        )
    return decode_payload(frame[HEADER_BYTES:])
