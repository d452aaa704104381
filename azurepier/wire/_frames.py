"""Splitting a byte stream into frames."""

from azurepier.kernel import WireError
from azurepier.wire import _codec


class FrameSplitter:
    """Splits received bytes into frames and buffers an incomplete frame.

    Memory grows with the received bytes and not with the length in a header,
    so that a peer can't make this process allocate memory by sending a header
    alone.
    """

    __slots__ = ('_incomplete',)

    def __init__(self):
        self._incomplete = b''

    def feed(self, chunk, limit=_codec.MAX_FRAME_BYTES):
        """Yield the payload of each frame that `chunk` completes.

        Parameters
        ----------
        chunk : bytes-like
            Received bytes. The caller may reuse the buffer after the
            iteration has ended.
        limit : int
            Maximum payload length (bytes).

        Raises
        ------
        WireError
            If the length in a header is 0 or exceeds a limit.
        """
        if self._incomplete:
            self._incomplete += chunk
            chunk = self._incomplete
        start, end = 0, len(chunk)
        while end - start >= _codec.HEADER_BYTES:
            length = _codec.frame_length(chunk, start)
            if length > limit:
                raise WireError(
                    f'frame of {length} bytes exceeds the limit of {limit}'
                )
            frame_end = start + _codec.HEADER_BYTES + length
            if frame_end > end:
                break
            yield bytes(chunk[start + _codec.HEADER_BYTES : frame_end])
            start = frame_end
        self._keep_incomplete(chunk, start)

    def _keep_incomplete(self, chunk, start):
        if chunk is self._incomplete:
            del chunk[:start]
        else:
            self._incomplete = bytearray(chunk[start:])

    @property
    def pending_bytes(self):
        """Number of buffered bytes of an incomplete frame."""
        return len(self._incomplete)
