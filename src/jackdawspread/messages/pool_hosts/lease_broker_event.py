"""Events that the lease broker handles."""

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.pool_hosts.host_link_closed import HostLinkClosed
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened

LeaseBrokerEvent = ConnectionRequest | PeersSeen | HostLinkOpened | HostLinkClosed
