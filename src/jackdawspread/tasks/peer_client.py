"""Links to all peers."""

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

LINK_INBOX = 20_000

PeerClientEvent = SendPeerMessage | ForwardRequest


class PeerClient:
    """Passes messages to the link of each peer and opens links on first use.

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
        self._link_by_address: dict[str, MemorySendChannel[PeerClientStreamEvent]] = {}

    async def run(self) -> None:
        """Pass on messages until cancelled."""
        async with open_nursery() as nursery:
            async for event in self._inbox:
                link = self._link(event.peer_address, nursery)
                try:
                    link.send_nowait(event)
                except WouldBlock:
                    # Requests are found again by their deadlines, and control
                    # messages are repeated.
                    logging.warning("peer: link full peer=%s", event.peer_address)

    def _link(
        self, address: str, nursery: Nursery
    ) -> MemorySendChannel[PeerClientStreamEvent]:
        link = self._link_by_address.get(address)
        if link is None:
            link, inbox = open_memory_channel[PeerClientStreamEvent](LINK_INBOX)
            self._link_by_address[address] = link
            task = PeerClientStream(self._own_address, address, inbox, link)
            nursery.start_soon(task.run)
        return link
