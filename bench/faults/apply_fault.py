"""Applies faults to a running deployment."""

from functools import singledispatch

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
from bench.launch.fleet import Fleet


@singledispatch
async def apply_fault(fault: object, fleet: Fleet) -> str:
    """Apply a fault and return a description of what was done."""
    raise TypeError(f"no such fault: {type(fault).__name__}")


@apply_fault.register
async def _(fault: KillPrimary, fleet: Fleet) -> str:
    name = await fleet.primary(fault.database)
    fleet.kill(name)
    return f"killed {name}, the primary of {fault.database}"


@apply_fault.register
async def _(fault: FreezePrimary, fleet: Fleet) -> str:
    name = await fleet.primary(fault.database)
    fleet.freeze(name)
    return f"froze {name}, the primary of {fault.database}"


@apply_fault.register
async def _(fault: CutPrimary, fleet: Fleet) -> str:
    name = await fleet.primary(fault.database)
    others = set(fleet.layout.members_by_database[fault.database]) - {name}
    cut = sorted(others | await fleet.incarnations())
    await fleet.set_member_fault(name, {"cut": cut})
    return f"cut off {name}, the primary of {fault.database}"


@apply_fault.register
async def _(fault: ChangePreset, fleet: Fleet) -> str:
    seconds = await fleet.change_preset(fault.name)
    return f"preset {fault.name} in force on every instance after {seconds:.3f} s"


@apply_fault.register
async def _(fault: LagReplica, fleet: Fleet) -> str:
    primary = await fleet.primary(fault.database)
    members = fleet.layout.members_by_database[fault.database]
    name = next(member for member in members if member != primary)
    await fleet.set_member_fault(name, {"replication_lag_ms": fault.lag_ms})
    return f"replica {name} is {fault.lag_ms} ms behind"


@apply_fault.register
async def _(fault: KillProcess, fleet: Fleet) -> str:
    fleet.kill(fault.name)
    return f"killed {fault.name}"


@apply_fault.register
async def _(fault: FreezeProcess, fleet: Fleet) -> str:
    fleet.freeze(fault.name)
    return f"froze {fault.name}"


@apply_fault.register
async def _(fault: ThawProcess, fleet: Fleet) -> str:
    fleet.thaw(fault.name)
    return f"thawed {fault.name}"


@apply_fault.register
async def _(fault: TerminateProcess, fleet: Fleet) -> str:
    fleet.terminate(fault.name)
    return f"terminated {fault.name}"


@apply_fault.register
async def _(fault: MemberFault, fleet: Fleet) -> str:
    await fleet.set_member_fault(fault.name, fault.body)
    return f"set {fault.body} at {fault.name}"


@apply_fault.register
async def _(fault: PlatformFault, fleet: Fleet) -> str:
    await fleet.set_platform_fault(fault.body)
    return f"set {fault.body} at the platform"
