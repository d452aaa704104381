"""Splitting of a byte stream into frames."""

from azurepier.kernel import WireError
from azurepier.wire import _codec


class FrameSplitter:
    """Keeps the incomplete frame at the end of what was received.

    Memory grows with the bytes that arrived and not with the length that a
    header declares, so that a peer can't reserve memory by announcing a
    frame.
    """

    __slots__ = ('_rest',)

    def __init__(self):
        self._rest = b''

    def feed(self, chunk, limit=_codec.MAX_FRAME_BYTES):
        """Yield the payload of each frame that `chunk` completes.

        Parameters
        ----------
        chunk : bytes-like
            Received bytes. It may be reused once the iteration has ended.
        limit : int
            Largest payload that is accepted (bytes).

        Raises
        ------
        WireError
            As soon as a header declares a length that is not allowed.
        """
        if self._rest:
            self._rest += chunk
            chunk = self._rest
        start, end = 0, len(chunk)
        while end - start >= _codec.HEADER_BYTES:
            length = _codec.frame_length(chunk, start)
            if length > limit:
                raise WireError(f'frame of {length} bytes; at most {limit}')
            stop = start + _codec.HEADER_BYTES + length
            if stop > end:
                break
            yield bytes(chunk[start + _codec.HEADER_BYTES : stop])
            start = stop
        self._keep(chunk, start)

    def _keep(self, chunk, start):
        if chunk is self._rest:
            del chunk[:start]
        else:
            self._rest = bytearray(chunk[start:])

    @property
    def pending_bytes(self):
        """Bytes of the incomplete frame."""
        return len(self._rest)
