"""Mixes of faults by the name that a random run is started with."""

from features.wire.fault_mix import FaultMix
from features.wire.faults.change_sync_replicas import ChangeSyncReplicas
from features.wire.faults.crash_member import CrashMember
from features.wire.faults.cut_primary import CutPrimary
from features.wire.faults.cut_replication import CutReplication
from features.wire.faults.cut_store import CutStore
from features.wire.faults.delay_member import DelayMember
from features.wire.faults.delay_promotions import DelayPromotions
from features.wire.faults.freeze_at_fence import FreezeAtFence
from features.wire.faults.freeze_instance import FreezeInstance
from features.wire.faults.join_replica import JoinReplica
from features.wire.faults.join_unlisted import JoinUnlisted
from features.wire.faults.kill_instance import KillInstance
from features.wire.faults.lapse_entry import LapseEntry
from features.wire.faults.lose_log import LoseLog
from features.wire.faults.move_group import MoveGroup
from features.wire.faults.remove_member import RemoveMember
from features.wire.faults.split_instance import SplitInstance
from features.wire.faults.stop_store import StopStore

PRIMARY_FAULTS = (
    CrashMember(is_primary=True),
    RemoveMember(is_primary=True),
    CutPrimary(is_one_way=False),
    SplitInstance(),
)
# The recorded seeds rest on the order of these faults.
FAULTS = (
    CrashMember(is_primary=True),
    CrashMember(is_primary=False),
    JoinReplica(at_request=False),
    JoinReplica(at_request=True),
    RemoveMember(is_primary=True),
    RemoveMember(is_primary=False),
    CutPrimary(is_one_way=False),
    CutPrimary(is_one_way=True),
    SplitInstance(),
    CutReplication(),
    CutStore(),
    DelayMember(),
    DelayPromotions(),
    FreezeInstance(),
    KillInstance(),
)
LISTING_FAULTS = (
    StopStore(),
    JoinUnlisted(),
    LapseEntry(is_primary=False),
    LapseEntry(is_primary=True),
    CutReplication(),
    CutReplication(),
)
CONFIGURATION_FAULTS = (
    ChangeSyncReplicas(0),
    ChangeSyncReplicas(2),
    MoveGroup(),
    DelayPromotions(),
)
FREEZE_FAULTS = (FreezeAtFence(), FreezeAtFence(), FreezeInstance(), DelayPromotions())
LOST_LOG_FAULTS = (LoseLog(is_requested=False), LoseLog(is_requested=False))
LOST_REQUESTED_LOG_FAULTS = (LoseLog(is_requested=True), DelayPromotions())
MIX_BY_NAME = {
    "recorded": FaultMix(PRIMARY_FAULTS, FAULTS),
    "listing": FaultMix(PRIMARY_FAULTS, LISTING_FAULTS),
    "lapses": FaultMix(PRIMARY_FAULTS, (LapseEntry(False), LapseEntry(True), *FAULTS)),
    "configuration": FaultMix(PRIMARY_FAULTS, CONFIGURATION_FAULTS),
    "freezes": FaultMix(PRIMARY_FAULTS, FREEZE_FAULTS),
    "lost-logs": FaultMix(PRIMARY_FAULTS, (*LOST_LOG_FAULTS, *FAULTS)),
    "lost-requested-logs": FaultMix(PRIMARY_FAULTS, LOST_REQUESTED_LOG_FAULTS),
    "sparse": FaultMix(PRIMARY_FAULTS, FAULTS, interval_s=6.0),
}
