"""Events that the peers task handles."""

from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.send_datagram import SendDatagram

PeerEvent = BroadcastDatagram | PeersSeen | SendDatagram
