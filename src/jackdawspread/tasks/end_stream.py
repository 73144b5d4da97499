"""Ends a connection so that its peer gets all that was sent."""

from collections.abc import Callable

from trio import SocketStream, current_time, move_on_at

LINGER_TIMEOUT_S = 0.1
READ_CHUNK_BYTES = 16 * 1024


async def end_stream(
    stream: SocketStream, drop: Callable[[bytes], object] | None = None
) -> None:
    """Send the end of the stream, and drop for a moment what the peer still sends.

    Closing a socket with unread bytes resets the connection, also for the last answer.

    Parameters
    ----------
    stream : trio.SocketStream
        The connection; it is closed if there is no error.
    drop : callable, optional
        Called with the bytes that are dropped.

    Raises
    ------
    trio.BrokenResourceError
        If the peer has closed the connection first.
    """
    await stream.send_eof()
    with move_on_at(current_time() + LINGER_TIMEOUT_S):
        while data := await stream.receive_some(READ_CHUNK_BYTES):
            if drop is not None:
                drop(data)
    await stream.aclose()
