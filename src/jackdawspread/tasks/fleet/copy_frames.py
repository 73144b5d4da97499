"""Reads frames of copies of the configuration from a stream."""

from collections.abc import Callable

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    SocketStream,
    TooSlowError,
    current_time,
    fail_at,
)

from jackdawspread.codecs.configuration_copies import MAX_FRAME_BYTES
from jackdawspread.codecs.frame_buffer import FrameBuffer

READ_CHUNK_BYTES = 64 * 1024
# A frame takes as long as its link needs; it is given up after this time without a
# byte.
STALL_TIMEOUT_S = 1.0
# What the exchange of a copy may raise.
COPY_ERRORS = (
    BrokenResourceError,
    ClosedResourceError,
    TooSlowError,
    ValueError,
    OSError,
)


async def read_frame(
    stream: SocketStream,
    max_bytes: int = MAX_FRAME_BYTES,
    received: Callable[[int], None] = lambda count: None,
) -> bytes:
    """Return the next frame without its length.

    Parameters
    ----------
    stream : trio.SocketStream
        The stream.
    max_bytes : int
        Length of the longest frame that is accepted.
    received : callable
        Called with the number of bytes of each part that arrives.

    Raises
    ------
    trio.TooSlowError
        If no byte arrives for a second.
    trio.BrokenResourceError
        If the stream fails or ends within the frame.
    ValueError
        If the frame is too long.
    """
    buffer = FrameBuffer(max_bytes)
    while (body := buffer.next_body()) is None:
        with fail_at(current_time() + STALL_TIMEOUT_S):
            data = await stream.receive_some(READ_CHUNK_BYTES)
        if not data:
            raise BrokenResourceError("closed by the other end")
        received(len(data))
        buffer.receive(data)
    return body
