"""Tests of the codec and of the frame splitter."""

import tracemalloc

import hypothesis
from hypothesis import strategies as st
import pytest

from azurepier.kernel import WireError
from azurepier.wire import _codec
from azurepier.wire import _frames
from azurepier.wire.gen.messages import ttypes

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
# Examples by Thrift type: bool, double, i32 and i64.
BASE_VALUES = {2: True, 4: 1.5, 8: 7, 10: 2**40}
NESTED = {
    'CanceledJob',
    'EntryInfo',
    'KnownEntry',
    'Start',
    'Outcome',
    'RunEnd',
    'RunOrder',
    'RunStep',
    'TaskReport',
}
# Hexadecimal payloads: unknown types, a struct without its fields, trailing
# bytes, wrong and negative lengths of lists and strings, an invalid item type,
# and a list of a start without its fields.
MALFORMED = """
00 ff00 0800 0800ff 08080001000000010000 070f00030a7fffffff
070f00030affffffff 070f0063017fffffff00 100b00017fffffff
070f00010c0000000100080002000000000f00030a0000000000
""".split()
# Each opens a nested struct or list; the tests repeat them for deep nesting.
NESTED_PREFIXES = [b'\x0c\x00\x63', b'\x0f\x00\x63\x0f\x00\x00\x00\x01']


def example_value(field):
    """Return a value for a field of a Thrift struct."""
    _, ttype, _, arguments, _ = field
    if ttype == 11:
        return b'\x00{}' if arguments == 'BINARY' else 'n\u00e4me'
    if ttype == 15:
        item = (None, arguments[0], None, arguments[1], None)
        return [example_value(item)] * 3
    return example(arguments[0]) if ttype == 12 else BASE_VALUES[ttype]


def example(cls):
    """Return a message with every field set."""
    fields = filter(None, cls.thrift_spec)
    return cls(**{field[2]: example_value(field) for field in fields})


STRUCTS = [c for c in vars(ttypes).values() if hasattr(c, 'thrift_spec')]
EXAMPLES = [example(cls) for cls in _codec.CLASS_OF_TYPE.values()]
FRAMES = [_codec.encode(msg) for msg in EXAMPLES]


def framed(body):
    """Return a payload with a frame header."""
    return len(body).to_bytes(4, 'big') + body


def decode_or_none(frame):
    """Decode a frame; return None if `WireError` is raised."""
    try:
        return _codec.decode(frame)
    except WireError:
        return None


class TestRoundTrip:
    @pytest.mark.parametrize('msg', EXAMPLES, ids=lambda m: type(m).__name__)
    def test_every_message(self, msg):
        """Guards against fields that are lost in encoding or decoding."""
        assert _codec.decode(_codec.encode(msg)) == msg

    def test_every_top_level_struct_has_a_type(self):
        """Guards against a message that is defined only in the IDL."""
        known = {cls.__name__ for cls in _codec.CLASS_OF_TYPE.values()}
        assert {cls.__name__ for cls in STRUCTS} - NESTED == known


# Fields of a later build: identifier 99, with a value of each type.
LATER_FIELDS = [
    bytes.fromhex(text)
    for text in (
        '02006301',
        '0400633ff8000000000000',
        '08006300000007',
        '0a00630000000000000007',
        '0b00630000000161',
        '0c006308000100000007' + '00',
        '0f00630b0000000100000001' + '61',
        '0d00630b080000000100000001' + '6100000007',
    )
]

# Messages with an item that has optional fields and is no message itself.
MESSAGE_OF_ITEM = {
    ttypes.RunOrder: lambda order: ttypes.RunOrders([order], ['spec']),
}


class TestLaterBuild:
    """Guards against an old build that can't read a new one's messages."""

    @pytest.mark.parametrize('field', LATER_FIELDS, ids=lambda f: f[:1].hex())
    @pytest.mark.parametrize('msg', EXAMPLES, ids=lambda m: type(m).__name__)
    def test_unknown_field(self, msg, field):
        """An unknown field is ignored, whatever its type."""
        payload = _codec.encode(msg)[_codec.HEADER_BYTES :]
        # The last byte ends the struct.
        later = payload[:-1] + field + payload[-1:]
        assert _codec.decode_payload(later) == msg

    @pytest.mark.parametrize('field', LATER_FIELDS, ids=lambda f: f[:1].hex())
    def test_unknown_field_of_an_item(self, field):
        """An unknown field of an item in a list is ignored, too."""
        end = example(ttypes.RunEnd)
        msg = example(ttypes.RunsKnown)
        payload = _codec.encode(msg)[_codec.HEADER_BYTES :]
        item = _codec.fastbinary.encode_binary(
            end, [ttypes.RunEnd, ttypes.RunEnd.thrift_spec]
        )
        assert payload.count(item) == 3
        later = payload.replace(item, item[:-1] + field + item[-1:])
        assert _codec.decode_payload(later) == msg

    @pytest.mark.parametrize('cls', list(_codec._OPTIONAL_FIELDS))
    def test_optional_fields_of_an_earlier_build(self, cls):
        """A message without a field that was added later is complete."""
        struct = example(cls)
        for name in _codec._OPTIONAL_FIELDS[cls]:
            setattr(struct, name, None)
        make_message = MESSAGE_OF_ITEM.get(cls, lambda msg: msg)
        msg = make_message(struct)
        assert _codec.decode(_codec.encode(msg)) == msg


class TestInvalidInput:
    @pytest.mark.parametrize(
        'msg',
        [
            ttypes.Want(count=2**31),
            ttypes.Want(count='3'),
            ttypes.Leave(reason='\ud800'),
            ttypes.ConfigUpdate(1, 0, b'x' * _codec.MAX_FRAME_BYTES),
            example(ttypes.EntryInfo),
        ],
    )
    def test_unencodable_messages(self, msg):
        """Guards against exceptions other than `WireError` in encoding."""
        with pytest.raises(WireError):
            _codec.encode(msg)

    @pytest.mark.parametrize(
        'body',
        [b'', *map(bytes.fromhex, MALFORMED)]
        + [b'\x07' + part * 100_000 for part in NESTED_PREFIXES],
    )
    def test_malformed_bodies(self, body):
        """Malformed payloads must be rejected with `WireError`."""
        with pytest.raises(WireError):
            _codec.decode_payload(body)

    def test_decoded_size_is_bounded(self):
        """Guards against a small frame that decodes to a huge list."""
        items = _codec.MAX_CONTAINER_ITEMS * 2
        header = b'\x07\x0f\x00\x01\x0c' + items.to_bytes(4, 'big')
        body = header + b'\x00' * (items + 1)
        tracemalloc.start()
        with pytest.raises(WireError):
            _codec.decode_payload(body)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 1_000_000

    def test_missing_extension(self, monkeypatch):
        """A missing C extension must be an error, not a slow fallback."""
        _codec.check_accelerated()
        monkeypatch.setattr(_codec, 'fastbinary', None)
        with pytest.raises(WireError, match='fastbinary'):
            _codec.check_accelerated()


class TestFuzz:
    @SETTINGS
    @hypothesis.given(
        st.one_of(st.just(0), st.sampled_from(sorted(_codec.CLASS_OF_TYPE))),
        st.binary(max_size=300),
    )
    def test_arbitrary_bytes(self, type_number, data):
        """Guards against exceptions other than `WireError`."""
        decode_or_none(
            framed(bytes([type_number]) + data) if type_number else data
        )

    @SETTINGS
    @hypothesis.given(
        st.sampled_from(FRAMES),
        st.lists(st.tuples(st.floats(0, 1), st.integers(0, 255)), max_size=4),
        st.floats(0.5, 1),
    )
    def test_mutated_frames(self, frame, changes, kept_share):
        """Corrupted or truncated frames must raise no other exceptions."""
        data = bytearray(frame[4:])
        for position, value in changes:
            data[int(position * (len(data) - 1))] = value
        msg = decode_or_none(
            framed(bytes(data[: int(len(data) * kept_share)]))
        )
        if msg is not None:
            reencoded = _codec.encode(msg)
            assert _codec.encode(_codec.decode(reencoded)) == reencoded


class TestFrameSplitter:
    @SETTINGS
    @hypothesis.given(
        st.lists(st.sampled_from(FRAMES), max_size=8),
        st.lists(st.integers(1, 60), min_size=1),
    )
    def test_any_chunking(self, frames, sizes):
        """Guards against frames lost or merged at the boundaries of reads."""
        stream = b''.join(frames)
        splitter = _frames.FrameSplitter()
        buffer = bytearray(60)
        found, start = [], 0
        while start < len(stream):
            sizes.append(sizes.pop(0))
            chunk = stream[start : start + sizes[-1]]
            buffer[: len(chunk)] = chunk
            found.extend(splitter.feed(memoryview(buffer)[: len(chunk)]))
            start += len(chunk)
        assert found == [frame[4:] for frame in frames]
        assert splitter.pending_bytes == 0

    @pytest.mark.parametrize('length', [0, 101, 2**32 - 1])
    def test_invalid_length_is_rejected_early(self, length):
        """Guards against buffering a frame that will be rejected."""
        splitter = _frames.FrameSplitter()
        with pytest.raises(WireError):
            list(splitter.feed(length.to_bytes(4, 'big'), limit=100))
