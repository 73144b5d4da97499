"""Server side of the stream from one peer."""

from collections.abc import Mapping
from contextlib import suppress
from functools import singledispatchmethod

from absl import logging
from expression import Error
from trio import (
    BrokenResourceError,
    ClosedResourceError,
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
)

from jackdawspread.codecs.peer_frames import decode_batch
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.peer_hello import PeerHello
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.spend_grant import SpendGrant
from jackdawspread.messages.spend_request import SpendRequest
from jackdawspread.messages.unsupported_frame import UnsupportedFrame
from jackdawspread.tasks.frame_queue import FrameQueue

STREAM_INBOX_SIZE = 20_000

PeerServerStreamEvent = bytes | RoutedReply


class PeerServerStream:
    """Owns one incoming stream: forwards requests to owners and their replies back.

    Parameters
    ----------
    queue : FrameQueue
        Queue of the stream's outgoing frames.
    owner_by_database : dict of str to trio.MemorySendChannel
        Inboxes of the owners.
    control : trio.MemorySendChannel
        Inbox of the control task.
    gateway : trio.MemorySendChannel
        Inbox of the gateway, which receives the messages about rates.
    """

    def __init__(
        self,
        queue: FrameQueue,
        owner_by_database: Mapping[str, MemorySendChannel[RoutedSubmission]],
        control: MemorySendChannel[PeerMessageReceived],
        gateway: MemorySendChannel[PeerMessageReceived],
    ) -> None:
        self._queue = queue
        self._owner_by_database = owner_by_database
        self._control = control
        self._gateway = gateway
        self._peer_address = ""
        self._events, self._inbox = open_memory_channel[PeerServerStreamEvent](
            STREAM_INBOX_SIZE
        )

    async def run(self) -> None:
        """Handle batches and replies until the stream ends."""
        with suppress(ClosedResourceError):
            async for event in self._inbox:
                if isinstance(event, RoutedReply):
                    self._queue.put(event)
                    continue
                for content in decode_batch(event, current_time()):
                    self._handle(content)

    def post(self, data: bytes) -> None:
        """Put a received batch into the inbox; called in trio's thread."""
        try:
            self._events.send_nowait(data)
        except WouldBlock:
            logging.warning("peer: stream inbox full peer=%s", self._peer_address)
        except (BrokenResourceError, ClosedResourceError):
            return

    def close(self) -> None:
        """Close the inbox, which ends the task."""
        self._inbox.close()

    @singledispatchmethod
    def _handle(self, content: object) -> None:
        message: PeerMessageReceived = PeerMessageReceived(self._peer_address, content)  # type: ignore[arg-type]
        _forward(self._control, message)

    @_handle.register
    def _(self, content: PeerHello) -> None:
        self._peer_address = content.peer_address

    @_handle.register(SpendRequest)
    @_handle.register(SpendGrant)
    def _(self, content: SpendRequest | SpendGrant) -> None:
        _forward(self._gateway, PeerMessageReceived(self._peer_address, content))

    @_handle.register
    def _(self, content: UnsupportedFrame) -> None:
        logging.warning(
            "peer: unsupported frame peer=%s version=%s kind=%s",
            self._peer_address,
            content.version,
            content.kind,
        )
        if content.id:
            detail = f"this instance does not support {content.kind} frames"
            self._refuse(content.id, "unsupported", detail)

    @_handle.register
    def _(self, content: RoutedReply) -> None:
        logging.warning("peer: reply on the wrong stream id=%s", content.id)

    @_handle.register
    def _(self, content: RoutedRequest) -> None:
        owner = self._owner_by_database.get(content.database)
        if owner is None:
            self._refuse(content.id, "not_owner", "this instance has no such database")
            return
        try:
            owner.send_nowait(RoutedSubmission(content, self._events))
        except WouldBlock:
            self._refuse(content.id, "peer_overloaded", "the owner's inbox is full")

    def _refuse(self, id: str, code: str, detail: str) -> None:
        refusal = Refusal(code, ExecutionStatus.NOT_RUN, "routing", "", detail)
        self._queue.put(RoutedReply(id, Error(refusal)))


def _forward(
    channel: MemorySendChannel[PeerMessageReceived], message: PeerMessageReceived
) -> None:
    try:
        channel.send_nowait(message)
    except WouldBlock:
        # Peers send heartbeats and other messages that must arrive again later.
        logging.warning("peer: inbox full message=%s", type(message.message).__name__)
