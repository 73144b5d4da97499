"""Request to send a message to a peer."""

from typing import NamedTuple

from jackdawspread.messages.peer_message import PeerMessage


class SendPeerMessage(NamedTuple):
    """Asks the peer client to send a message.

    The message is lost if the peer is unreachable.
    """

    peer_address: str
    message: PeerMessage
