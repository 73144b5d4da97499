"""Observations of single members."""

from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.primary_responded import PrimaryResponded
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged

MemberObservation = (
    LeadershipRefused
    | MemberUnreachable
    | PositionSeen
    | ReplicaLagged
    | PrimaryResponded
)
