"""Message to be sent to a peer."""

from typing import NamedTuple

from jackdawspread.messages.peer_message import PeerMessage


class SendPeerMessage(NamedTuple):
    """Asks the peer hub to send a message; lost if the peer is unreachable."""

    peer_address: str
    message: PeerMessage
