"""Message received from a peer."""

from typing import NamedTuple

from jackdawspread.messages.peer_message import PeerMessage


class PeerMessageReceived(NamedTuple):
    """Message from a peer, with the peer address of its sender."""

    peer_address: str
    message: PeerMessage
