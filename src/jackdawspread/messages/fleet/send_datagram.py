"""Order to send a datagram to one instance."""

from typing import NamedTuple

from jackdawspread.messages.fleet.peer_datagram import PeerDatagram


class SendDatagram(NamedTuple):
    """Asks the peers task to send a message to the instance at ``IP:port``."""

    message: PeerDatagram
    peer: str
