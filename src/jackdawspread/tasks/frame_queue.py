"""Queue of the outgoing frames of one peer stream."""

from collections.abc import Iterator
from queue import Empty, SimpleQueue

from trio import current_time

from jackdawspread.codecs.peer_frames import (
    EncodableFrame,
    PeerContent,
    encode_batch,
    encode_frame,
)

MAX_QUEUED_FRAMES = 10_000
MAX_BATCH_FRAMES = 64


class FrameQueue:
    """Transfers frames from trio to the grpcio thread that sends a stream.

    The thread blocks while the queue is empty. Frames that are queued while it sends
    go into its next batch. A full queue refuses further frames.
    """

    def __init__(self) -> None:
        self._frames: SimpleQueue[EncodableFrame | None] = SimpleQueue()
        self._closed = False

    def put(self, content: PeerContent) -> bool:
        """Add a message; return False if the queue is full or closed."""
        if self._closed or self._frames.qsize() >= MAX_QUEUED_FRAMES:
            return False
        self._frames.put_nowait(encode_frame(content, current_time()))
        return True

    def close(self) -> None:
        """End the stream after the frames queued so far; safe to call in any thread."""
        self._closed = True
        self._frames.put_nowait(None)

    def batches(self) -> Iterator[bytes]:
        """Yield encoded batches until closed; runs in a grpcio thread."""
        while True:
            frame = self._frames.get()
            if frame is None:
                return
            frames = [frame]
            ended = self._drain(frames)
            yield encode_batch(frames)
            if ended:
                return

    def _drain(self, frames: list[EncodableFrame]) -> bool:
        """Add the frames that are already queued; return whether the stream ends."""
        while len(frames) < MAX_BATCH_FRAMES:
            try:
                frame = self._frames.get_nowait()
            except Empty:
                return False
            if frame is None:
                return True
            frames.append(frame)
        return False
