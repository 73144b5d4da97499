"""Events that the member router handles."""

from jackdawspread.messages.fleet.asked_instances_query import AskedInstancesQuery
from jackdawspread.messages.fleet.capacities_seen import CapacitiesSeen
from jackdawspread.messages.fleet.configuration_seen import ConfigurationSeen
from jackdawspread.messages.fleet.connection_closed import ConnectionClosed
from jackdawspread.messages.fleet.connection_opened import ConnectionOpened
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.evacuations_seen import EvacuationsSeen
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_busy import MemberBusy
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.placement_changed import PlacementChanged
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_position_reply import PrimaryPositionReply
from jackdawspread.messages.fleet.primary_position_requested import (
    PrimaryPositionRequested,
)
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.reachable_member_query import ReachableMemberQuery
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged

RouterEvent = (
    AskedInstancesQuery
    | CapacitiesSeen
    | ConfigurationSeen
    | ConnectionClosed
    | ConnectionOpened
    | ConnectionRequest
    | EvacuationsSeen
    | PeersSeen
    | PlacementChanged
    | LeadershipRefused
    | LeaseReturned
    | MemberBusy
    | MemberUnreachable
    | MembersSeen
    | PositionSeen
    | PrimaryPositionReply
    | PrimaryPositionRequested
    | ReachableMemberQuery
    | ReplicaLagged
    | PrimaryResponded
)
