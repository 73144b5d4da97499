"""Client side of the streams between instances."""

from absl import logging
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    open_memory_channel,
    open_nursery,
)

from jackdawspread.messages.forward_request import ForwardRequest
from jackdawspread.messages.send_peer_message import SendPeerMessage
from jackdawspread.tasks.peer_client_stream import (
    PeerClientStream,
    PeerClientStreamEvent,
)

STREAM_INBOX_SIZE = 20_000

PeerClientEvent = SendPeerMessage | ForwardRequest


class PeerClient:
    """Sends messages to the task of each peer's stream, started on first use.

    Parameters
    ----------
    own_address : str
        Peer address of this instance.
    inbox : trio.MemoryReceiveChannel
        Messages to send.
    """

    def __init__(
        self, own_address: str, inbox: MemoryReceiveChannel[PeerClientEvent]
    ) -> None:
        self._own_address = own_address
        self._inbox = inbox
        self._channel_by_address: dict[
            str, MemorySendChannel[PeerClientStreamEvent]
        ] = {}

    async def run(self) -> None:
        """Forward messages until cancelled."""
        async with open_nursery() as nursery:
            async for event in self._inbox:
                channel = self._stream_channel(event.peer_address, nursery)
                try:
                    channel.send_nowait(event)
                except WouldBlock:
                    # A dropped request expires at its deadline, and control messages
                    # are sent again later.
                    logging.warning("peer: outbox full peer=%s", event.peer_address)

    def _stream_channel(
        self, address: str, nursery: Nursery
    ) -> MemorySendChannel[PeerClientStreamEvent]:
        channel = self._channel_by_address.get(address)
        if channel is None:
            channel, inbox = open_memory_channel[PeerClientStreamEvent](
                STREAM_INBOX_SIZE
            )
            self._channel_by_address[address] = channel
            task = PeerClientStream(self._own_address, address, inbox, channel)
            nursery.start_soon(task.run)
        return channel
