"""Events that the lease broker handles."""

from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.pool_hosts.crossing_measured import CrossingMeasured
from jackdawspread.messages.pool_hosts.crossing_unmeasured import CrossingUnmeasured
from jackdawspread.messages.pool_hosts.host_link_closed import HostLinkClosed
from jackdawspread.messages.pool_hosts.host_link_opened import HostLinkOpened
from jackdawspread.messages.pool_hosts.primary_moved import PrimaryMoved

LeaseBrokerEvent = (
    CapacitiesSeen
    | ConnectionRequest
    | CrossingMeasured
    | CrossingUnmeasured
    | HostLinkClosed
    | HostLinkOpened
    | PeersSeen
    | PrimaryMoved
)
