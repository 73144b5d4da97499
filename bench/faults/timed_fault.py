"""Fault with its time."""

from typing import NamedTuple

from bench.faults.freeze_process import FreezeProcess
from bench.faults.kill_primary import KillPrimary
from bench.faults.kill_process import KillProcess
from bench.faults.member_fault import MemberFault
from bench.faults.platform_fault import PlatformFault
from bench.faults.terminate_process import TerminateProcess
from bench.faults.thaw_process import ThawProcess

Fault = (
    FreezeProcess
    | KillPrimary
    | KillProcess
    | MemberFault
    | PlatformFault
    | TerminateProcess
    | ThawProcess
)


class TimedFault(NamedTuple):
    """Fault to apply ``at`` seconds after the load starts."""

    at: float
    fault: Fault
