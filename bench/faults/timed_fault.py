"""Fault with its time."""

from typing import NamedTuple

from bench.faults.change_preset import ChangePreset
from bench.faults.cut_primary import CutPrimary
from bench.faults.freeze_primary import FreezePrimary
from bench.faults.freeze_process import FreezeProcess
from bench.faults.kill_primary import KillPrimary
from bench.faults.kill_process import KillProcess
from bench.faults.lag_replica import LagReplica
from bench.faults.member_fault import MemberFault
from bench.faults.platform_fault import PlatformFault
from bench.faults.terminate_process import TerminateProcess
from bench.faults.thaw_process import ThawProcess

Fault = (
    ChangePreset
    | CutPrimary
    | FreezePrimary
    | FreezeProcess
    | KillPrimary
    | KillProcess
    | LagReplica
    | MemberFault
    | PlatformFault
    | TerminateProcess
    | ThawProcess
)


class TimedFault(NamedTuple):
    """Fault to apply ``at`` seconds after the load starts."""

    at: float
    fault: Fault
