"""What fails, or which change of the group is made."""

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

Fault = (
    CrashMember
    | JoinReplica
    | RemoveMember
    | CutPrimary
    | SplitInstance
    | CutReplication
    | CutStore
    | DelayMember
    | DelayPromotions
    | FreezeInstance
    | KillInstance
    | ChangeSyncReplicas
    | FreezeAtFence
    | JoinUnlisted
    | LapseEntry
    | LoseLog
    | MoveGroup
    | StopStore
)
