"""Order to send a datagram to many instances."""

from typing import NamedTuple

from jackdawspread.messages.fleet.peer_datagram import PeerDatagram


class BroadcastDatagram(NamedTuple):
    """Asks the peers task to send a message to all other instances.

    With ``same_domain_only`` it goes only to those in the failure domain of the sender.
    """

    message: PeerDatagram
    same_domain_only: bool
