"""Tests of the codec and of the splitting into frames."""

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
BASE_VALUES = {2: True, 4: 1.5, 8: 7, 10: 2**40}


def example_value(field):
    """Return a value for a field of a Thrift struct."""
    _, ttype, _, arguments, _ = field
    if ttype == 11:
        return b'\x00{}' if arguments == 'BINARY' else 'n\u00e4me'
    if ttype == 15:
        item = (None, arguments[0], None, arguments[1], None)
        return [example_value(item)] * 3
    if ttype == 12:
        return example(arguments[0])
    return BASE_VALUES[ttype]


def example(cls):
    """Return a message with every field set."""
    fields = filter(None, cls.thrift_spec)
    return cls(**{field[2]: example_value(field) for field in fields})


STRUCTS = [c for c in vars(ttypes).values() if hasattr(c, 'thrift_spec')]
EXAMPLES = [example(cls) for cls in _codec.CLASS_OF_TYPE.values()]
FRAMES = [_codec.encode(msg) for msg in EXAMPLES]


def decode_or_refuse(frame):
    """Decode a frame; any exception but `WireError` fails the test."""
    try:
        return _codec.decode(frame)
    except WireError:
        return None


class TestRoundTrip:
    @pytest.mark.parametrize('msg', EXAMPLES, ids=lambda m: type(m).__name__)
    def test_every_message_survives(self, msg):
        """Guards against a class without number and against lost fields."""
        assert _codec.decode(_codec.encode(msg)) == msg

    def test_every_top_level_struct_has_a_number(self):
        """Guards against a message that is added to the IDL only."""
        nested = {'EntryInfo', 'Start', 'Outcome', 'TaskReport'}
        structs = {n for n, c in vars(ttypes).items() if c in STRUCTS}
        known = {cls.__name__ for cls in _codec.CLASS_OF_TYPE.values()}
        assert structs - nested == known


class TestRefusal:
    @pytest.mark.parametrize(
        'msg',
        [
            ttypes.Want(count=2**31),
            ttypes.Want(count='3'),
            ttypes.Leave(reason='\ud800'),
            ttypes.ConfigUpdate(1, 0, b'x' * _codec.MAX_FRAME_BYTES),
            ttypes.EntryInfo('a', 'b', 'c', 'd', 'e', False),
            object(),
        ],
        ids=['range', 'type', 'surrogate', 'size', 'nested', 'foreign'],
    )
    def test_unencodable_messages(self, msg):
        """Guards against other exceptions than `WireError` when sending."""
        with pytest.raises(WireError):
            _codec.encode(msg)

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'\x00',
            b'\xff\x00',
            b'\x08\x00',
            b'\x08' + _codec.encode(ttypes.Want(count=1))[5:] + b'\x00',
            b'\x07' + b'\x0c\x00\x63' * 100_000,
            b'\x07' + b'\x0f\x00\x63' + b'\x0f\x00\x00\x00\x01' * 100_000,
            b'\x07' + b'\x0f\x00\x03\x0a\x7f\xff\xff\xff',
            b'\x07' + b'\x0f\x00\x03\x0a\xff\xff\xff\xff',
            b'\x07' + b'\x0f\x00\x63\x01\x7f\xff\xff\xff\x00',
            b'\x10' + b'\x0b\x00\x01\x7f\xff\xff\xff',
            b'\x07' + b'\x0f\x00\x01\x0c\x00\x00\x00\x01\x00'
            b'\x08\x00\x02\x00\x00\x00\x00'
            b'\x0f\x00\x03\x0a\x00\x00\x00\x00\x00',
        ],
    )
    def test_malformed_bodies(self, body):
        """Guards against deep nesting, false lengths and missing fields."""
        with pytest.raises(WireError):
            _codec.decode_payload(body)

    def test_expansion_is_bounded(self):
        """Guards against a small frame that decodes to a large list."""
        items = _codec.MAX_CONTAINER_ITEMS * 2
        head = b'\x07\x0f\x00\x01\x0c' + items.to_bytes(4, 'big')
        body = head + b'\x00' * (items + 1)
        tracemalloc.start()
        with pytest.raises(WireError):
            _codec.decode_payload(body)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 1_000_000

    def test_missing_extension_is_named(self, monkeypatch):
        """Guards against a daemon that runs on the slow pure-Python codec."""
        _codec.check_accelerated()
        monkeypatch.setattr(_codec, 'fastbinary', None)
        with pytest.raises(WireError, match='fastbinary'):
            _codec.check_accelerated()


class TestFuzz:
    @SETTINGS
    @hypothesis.given(st.binary(max_size=300))
    def test_arbitrary_bytes(self, data):
        """Guards against other exceptions than `WireError`."""
        decode_or_refuse(data)

    @SETTINGS
    @hypothesis.given(
        st.sampled_from(sorted(_codec.CLASS_OF_TYPE)), st.binary(max_size=300)
    )
    def test_arbitrary_struct(self, number, data):
        """Guards against the same once the header is right."""
        body = bytes([number]) + data
        decode_or_refuse(len(body).to_bytes(4, 'big') + body)

    @SETTINGS
    @hypothesis.given(
        st.sampled_from(FRAMES),
        st.lists(
            st.tuples(st.floats(0, 1), st.integers(0, 255)),
            min_size=1,
            max_size=4,
        ),
        st.floats(0.5, 1),
    )
    def test_mutated_frames(self, frame, changes, share):
        """Guards against frames that are damaged in a few bytes or cut."""
        data = bytearray(frame)
        for place, value in changes:
            data[4 + int(place * (len(data) - 5))] = value
        data = data[4 : max(5, int(len(data) * share))]
        msg = decode_or_refuse(len(data).to_bytes(4, 'big') + bytes(data))
        if msg is not None:
            again = _codec.encode(msg)
            assert _codec.encode(_codec.decode(again)) == again


class TestFrameSplitter:
    @SETTINGS
    @hypothesis.given(
        st.lists(st.sampled_from(FRAMES), max_size=8),
        st.lists(st.integers(1, 60), min_size=1),
    )
    def test_any_chunking(self, frames, sizes):
        """Guards against frames lost or merged at the edges of reads."""
        stream = b''.join(frames)
        splitter = _frames.FrameSplitter()
        buffer = bytearray(60)
        found = []
        index = start = 0
        while start < len(stream):
            chunk = stream[start : start + sizes[index % len(sizes)]]
            buffer[: len(chunk)] = chunk
            view = memoryview(buffer)[: len(chunk)]
            found.extend(splitter.feed(view))
            start += len(chunk)
            index += 1
        assert found == [frame[4:] for frame in frames]
        assert splitter.pending_bytes == 0

    @pytest.mark.parametrize('length', [0, 101, 2**32 - 1])
    def test_length_is_refused_from_the_header(self, length):
        """Guards against buffering a frame that will be refused."""
        splitter = _frames.FrameSplitter()
        with pytest.raises(WireError):
            list(splitter.feed(length.to_bytes(4, 'big'), limit=100))
