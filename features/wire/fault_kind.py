"""Kinds of faults of a random run."""

from enum import Enum


class FaultKind(Enum):
    """What fails, or which change of the group is made."""

    CRASH_PRIMARY = "crash primary"
    CRASH_REPLICA = "crash replica"
    JOIN = "join"
    JOIN_AT_REQUEST = "join at the next promotion request"
    LEAVE_PRIMARY = "leave primary"
    LEAVE_REPLICA = "leave replica"
    CUT_PRIMARY = "cut an instance from the primary"
    CUT_PRIMARY_ONE_WAY = "silence the primary towards an instance"
    SPLIT = "cut an instance from the primary and the other instances"
    CUT_REPLICATION = "cut a replica from the primary"
    CUT_STORE = "cut an instance from the store"
    SLOW_MEMBER = "delay what a member sends to an instance"
    LATE_CALLS = "execute promotion calls late"
    FREEZE = "stop an instance with SIGSTOP"
    KILL = "kill an instance and start it again"
