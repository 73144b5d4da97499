"""Events that the member router handles."""

from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.evacuations_seen import EvacuationsSeen
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged

RouterEvent = (
    ConfigurationSeen
    | ConnectionClosed
    | ConnectionOpened
    | ConnectionRequest
    | EvacuationsSeen
    | PeersSeen
    | LeadershipRefused
    | LeaseReturned
    | MemberUnreachable
    | MembersSeen
    | PositionSeen
    | ReplicaLagged
    | PrimaryResponded
)
