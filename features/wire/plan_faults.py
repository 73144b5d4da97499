"""Plan of a random run."""

from random import Random

from features.wire.fault_step import FaultStep
from features.wire.faults.crash_member import CrashMember
from features.wire.faults.cut_primary import CutPrimary
from features.wire.faults.cut_replication import CutReplication
from features.wire.faults.cut_store import CutStore
from features.wire.faults.delay_member import DelayMember
from features.wire.faults.delay_promotions import DelayPromotions
from features.wire.faults.fault import Fault
from features.wire.faults.freeze_instance import FreezeInstance
from features.wire.faults.join_replica import JoinReplica
from features.wire.faults.kill_instance import KillInstance
from features.wire.faults.remove_member import RemoveMember
from features.wire.faults.split_instance import SplitInstance

INTERVAL_S = 1.0
MIN_DURATION_S, MAX_DURATION_S = 0.3, 6.0
# Faults that lead to a promotion, during which a replica may join.
PRIMARY_FAULTS = (
    CrashMember(is_primary=True),
    RemoveMember(is_primary=True),
    CutPrimary(is_one_way=False),
    SplitInstance(),
)
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
PRIMARY_FAULT_SHARE = 0.4
JOIN_SHARE = 0.7


def plan_faults(seed: int, seconds: float) -> tuple[FaultStep, ...]:
    """Return the faults of a run, which overlap; the same for the same seed."""
    random = Random(seed)
    steps = []
    at_s = random.expovariate(1 / INTERVAL_S)
    while at_s < seconds:
        duration_s = random.uniform(MIN_DURATION_S, MAX_DURATION_S)
        is_primary_fault = random.random() < PRIMARY_FAULT_SHARE
        fault = random.choice(PRIMARY_FAULTS if is_primary_fault else FAULTS)
        choices = random.random(), random.random()
        steps.append(FaultStep(at_s, fault, duration_s, *choices))
        if _is_primary_fault(fault) and random.random() < JOIN_SHARE:
            join = JoinReplica(at_request=True)
            steps.append(FaultStep(at_s, join, MAX_DURATION_S, *choices))
        at_s += random.expovariate(1 / INTERVAL_S)
    return tuple(steps)


def _is_primary_fault(fault: Fault) -> bool:
    """Compare the types too, as named tuples of different types can be equal."""
    return any(
        type(fault) is type(other) and fault == other for other in PRIMARY_FAULTS
    )
