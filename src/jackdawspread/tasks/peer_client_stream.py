"""Client side of the stream to one peer."""

from contextlib import suppress
from functools import singledispatchmethod
from threading import Thread

from absl import logging
from expression import Error
from grpc import Call, Channel, RpcError, insecure_channel
from trio import (
    BrokenResourceError,
    MemoryReceiveChannel,
    MemorySendChannel,
    RunFinishedError,
    WouldBlock,
    current_time,
)
from trio.lowlevel import TrioToken, current_trio_token

from jackdawspread.codecs.peer_frames import decode_batch
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.forward_request import ForwardRequest
from jackdawspread.messages.peer_batch_received import PeerBatchReceived
from jackdawspread.messages.peer_hello import PeerHello
from jackdawspread.messages.peer_stream_closed import PeerStreamClosed
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.tasks.frame_queue import FrameQueue

EXCHANGE_METHOD = "/jackdawspread.Peer/Exchange"
# The keepalive detects a connection that was dropped on the network path.
CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_retries", 0),
    ("grpc.use_local_subchannel_pool", 1),
)
RECONNECT_DELAY_S = 0.25

PeerClientStreamEvent = (
    SendPeerMessage | ForwardRequest | PeerBatchReceived | PeerStreamClosed
)


class PeerClientStream:
    """Owns the stream to one peer and the requests that wait for a reply on it.

    grpcio uses its own threads: one sends the queued frames, another one receives.
    The receiving thread passes data to trio only through the inbox.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    peer_address : str
        Peer address of the other instance.
    inbox : trio.MemoryReceiveChannel
        Messages to send and events of the stream.
    events : trio.MemorySendChannel
        Send channel of the inbox.
    """

    def __init__(
        self,
        own_address: str,
        peer_address: str,
        inbox: MemoryReceiveChannel[PeerClientStreamEvent],
        events: MemorySendChannel[PeerClientStreamEvent],
    ) -> None:
        self._own_address = own_address
        self._peer_address = peer_address
        self._inbox = inbox
        self._events = events
        self._pending_by_id: dict[str, RoutedSubmission] = {}
        self._queue: FrameQueue | None = None
        self._channel: Channel | None = None
        self._stream = 0
        self._reopen_at = 0.0

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        try:
            async for event in self._inbox:
                self._handle(event)
        finally:
            self._close("stopped")

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"peer client stream cannot handle {type(event).__name__}")

    @_handle.register
    def _(self, event: SendPeerMessage) -> None:
        if self._ensure_open():
            assert self._queue is not None
            self._queue.put(event.message)

    @_handle.register
    def _(self, event: ForwardRequest) -> None:
        submission = event.submission
        if not self._ensure_open():
            self._refuse(submission, "peer_unreachable", ExecutionStatus.NOT_RUN)
            return
        assert self._queue is not None
        if not self._queue.put(submission.request):
            self._refuse(submission, "peer_overloaded", ExecutionStatus.NOT_RUN)
            return
        self._pending_by_id[submission.request.id] = submission

    @_handle.register
    def _(self, event: PeerBatchReceived) -> None:
        if event.stream != self._stream:
            return
        for content in decode_batch(event.data, current_time()):
            if isinstance(content, RoutedReply):
                submission = self._pending_by_id.pop(content.id, None)
                if submission is not None:
                    _reply(submission, content)

    @_handle.register
    def _(self, event: PeerStreamClosed) -> None:
        if event.stream == self._stream and self._queue is not None:
            logging.info(
                "peer: stream ended peer=%s reason=%s", self._peer_address, event.reason
            )
            self._close(event.reason)

    def _ensure_open(self) -> bool:
        if self._queue is not None:
            return True
        if current_time() < self._reopen_at:
            return False
        self._stream += 1
        self._queue = FrameQueue()
        self._queue.put(PeerHello(self._own_address))
        self._channel = insecure_channel(self._peer_address, options=CHANNEL_OPTIONS)
        arguments = (self._channel, self._queue, self._stream, current_trio_token())
        Thread(target=self._receive, args=arguments, daemon=True).start()
        return True

    def _receive(
        self, channel: Channel, queue: FrameQueue, stream: int, token: TrioToken
    ) -> None:
        """Forward batches to the inbox until the stream ends; runs in a thread."""
        reason = "closed by the peer"
        try:
            exchange = channel.stream_stream(EXCHANGE_METHOD)
            for data in exchange(queue.batches()):
                token.run_sync_soon(self._post, PeerBatchReceived(stream, data))
        except RunFinishedError:
            return
        except RpcError as error:
            reason = str(error.code() if isinstance(error, Call) else error)
        queue.close()
        with suppress(RunFinishedError):
            token.run_sync_soon(self._post, PeerStreamClosed(stream, reason))

    def _post(self, event: PeerClientStreamEvent) -> None:
        try:
            self._events.send_nowait(event)
        except WouldBlock:
            # Requests whose replies are lost here expire at their deadlines.
            logging.warning("peer: stream inbox full peer=%s", self._peer_address)
        except BrokenResourceError:
            return

    def _close(self, reason: str) -> None:
        if self._queue is not None:
            self._queue.close()
        if self._channel is not None:
            self._channel.close()
        self._queue = self._channel = None
        self._reopen_at = current_time() + RECONNECT_DELAY_S
        pending, self._pending_by_id = self._pending_by_id, {}
        for submission in pending.values():
            self._refuse(
                submission, "peer_unreachable", ExecutionStatus.UNKNOWN, reason
            )

    def _refuse(
        self,
        submission: RoutedSubmission,
        code: str,
        ran: ExecutionStatus,
        reason: str = "",
    ) -> None:
        detail = f"the instance cannot be reached {reason}".strip()
        refusal = Refusal(code, ran, "routing", self._peer_address, detail)
        _reply(submission, RoutedReply(submission.request.id, Error(refusal)))


def _reply(submission: RoutedSubmission, reply: RoutedReply) -> None:
    try:
        submission.reply_to.send_nowait(reply)
    except (BrokenResourceError, WouldBlock):
        logging.warning("peer: dropped a reply id=%s", reply.id)
