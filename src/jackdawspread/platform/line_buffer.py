"""Line framing of the wire protocols."""

MAX_LINE_BYTES = 1024 * 1024
LINE_END = b"\r\n"


class LineBuffer:
    """Splits received bytes into lines and keeps an unfinished line.

    Text is decoded as Latin-1, which maps each byte to one character and back, so
    text is forwarded byte for byte.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Bytes at the start of the buffer that contain no line end.
        self._searched = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes beyond the last returned line."""
        return len(self._buffer)

    @property
    def has_partial_line(self) -> bool:
        """Whether the buffer holds bytes beyond the last returned line."""
        return bool(self._buffer)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_line(self) -> str | None:
        """Return the next line without its end, or None if it is not complete.

        Raises
        ------
        ValueError
            If a line is too long, or contains another kind of line break, which
            could hide a second message. The bytes of a line that is too long are
            dropped.
        """
        end = self._buffer.find(LINE_END, self._searched)
        if end < 0 or end > MAX_LINE_BYTES:
            # A search of the whole buffer for each piece of a line would take a time
            # that grows with the square of its length.
            self._searched = max(0, len(self._buffer) - 1)
            if len(self._buffer) > MAX_LINE_BYTES:
                self._buffer.clear()
                raise ValueError(f"a line is longer than {MAX_LINE_BYTES} bytes")
            return None
        with memoryview(self._buffer) as view:
            line = bytes(view[:end])
        del self._buffer[: end + len(LINE_END)]
        self._searched = 0
        if b"\r" in line or b"\n" in line or b"\0" in line:
            raise ValueError("a line contains a line break or a zero byte")
        return line.decode("latin-1")


def encode_line(*fields: str) -> bytes:
    """Encode a line of fields separated by spaces."""
    return " ".join(fields).encode("latin-1", "replace") + LINE_END
