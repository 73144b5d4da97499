"""Frames on a stream: a length in four bytes, then the body."""

LENGTH_BYTES = 4


class FrameBuffer:
    """Collects received bytes and splits them into frames.

    Parameters
    ----------
    max_bytes : int
        Length of the longest body that is accepted.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Number of received bytes of an incomplete frame."""
        return len(self._buffer)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_body(self) -> bytes | None:
        """Return the body of the next frame, None if it is incomplete.

        Raises
        ------
        ValueError
            If the frame is too long.
        """
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length > self._max_bytes:
            raise ValueError(f"a frame of {length} bytes is longer than allowed")
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return body


def to_frame(body: bytes) -> bytes:
    """Return a frame with this body."""
    return len(body).to_bytes(LENGTH_BYTES, "big") + body
