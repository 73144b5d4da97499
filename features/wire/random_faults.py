"""Execution of planned faults."""

from collections.abc import Sequence
from functools import singledispatchmethod

from features.wire.fault_step import FaultStep
from features.wire.faults.crash_member import CrashMember
from features.wire.faults.cut_primary import CutPrimary
from features.wire.faults.cut_replication import CutReplication
from features.wire.faults.cut_store import CutStore
from features.wire.faults.delay_member import DelayMember
from features.wire.faults.delay_promotions import DelayPromotions
from features.wire.faults.freeze_instance import FreezeInstance
from features.wire.faults.join_replica import JoinReplica
from features.wire.faults.kill_instance import KillInstance
from features.wire.faults.lose_log import LoseLog
from features.wire.faults.remove_member import RemoveMember
from features.wire.faults.split_instance import SplitInstance
from features.wire.pick import pick
from features.wire.process_fleet import STORE, ProcessFleet
from features.wire.random_platform_faults import RandomPlatformFaults
from features.wire.replicated_member import ReplicatedMember
from trio import current_time, open_nursery, sleep, sleep_until, to_thread

MIN_MEMBERS, MAX_MEMBERS = 3, 6
# The platform's list names a member for a few reads before the member may leave.
MIN_AGE_S = 3.0
# Answers of members are awaited for 0.4 s.
DELAY_S = 0.5


class RandomFaults:
    """Executes steps against a fleet, in the thread of its stand-ins.

    A crashed member always returns with its log, and a primary leaves only after it
    was replaced, so every acknowledged commit stays on some member.
    """

    def __init__(self, fleet: ProcessFleet) -> None:
        self._fleet = fleet
        self._group = fleet.group
        self._links = fleet.links
        self._busy_instances: set[str] = set()
        self._platform_faults = RandomPlatformFaults(fleet, self._busy_instances)
        self._is_crashed = False
        self._is_leaving = False

    async def run(self, steps: Sequence[FaultStep]) -> None:
        """Execute all steps, and wait until their faults have ended."""
        started_at = current_time()
        async with open_nursery() as nursery:
            for step in steps:
                await sleep_until(started_at + step.at_s)
                nursery.start_soon(self._execute, step.fault, step)
        self._links.restore_all()
        self._fleet.promotions.release()

    def _instance(self, step: FaultStep) -> str:
        return pick(self._fleet.names, step.choice)

    def _pick_member(
        self, step: FaultStep, is_primary: bool
    ) -> ReplicatedMember | None:
        members = [
            member for member in self._group.running if member.is_primary == is_primary
        ]
        return pick(members, step.other_choice) if members else None

    @singledispatchmethod
    async def _execute(self, fault: object, step: FaultStep) -> None:
        await self._platform_faults.execute(fault, step)

    @_execute.register
    async def _(self, fault: CrashMember, step: FaultStep) -> None:
        member = self._pick_member(step, fault.is_primary)
        # Two lost logs at the same time may hold the only copies of a commit.
        if member is None or self._is_crashed or member.is_leaving:
            return
        self._is_crashed = True
        async with open_nursery() as nursery:
            nursery.start_soon(self._group.crash, member)
            await sleep(step.duration_s)
        await self._group.restart(member)
        self._is_crashed = False

    @_execute.register
    async def _(self, fault: LoseLog, step: FaultStep) -> None:
        promotions, running = self._fleet.promotions, self._group.member_by_id
        member = self._pick_member(step, is_primary=False)
        if fault.is_requested:
            count = len(promotions.requests) + 1
            await promotions.wait_for_request_or(count, step.duration_s)
            if len(promotions.requests) < count:
                return
            member = running.get(promotions.requests[-1].member)
        if member is None or member.is_primary or self._is_crashed:
            return
        self._is_crashed = True
        lost_end = member.log.end
        member = await self._group.restart_empty(member)
        while member.is_running and not member.is_primary:
            if member.log.end >= lost_end:
                break
            await self._group.changed.wait()
        self._is_crashed = False

    @_execute.register
    async def _(self, fault: JoinReplica, step: FaultStep) -> None:
        if fault.at_request:
            promotions = self._fleet.promotions
            count = len(promotions.requests) + 1
            await promotions.wait_for_request_or(count, step.duration_s)
        await self._group.join()
        if len(self._group.running) > MAX_MEMBERS:
            await self._leave(step, is_primary=False)

    @_execute.register
    async def _(self, fault: RemoveMember, step: FaultStep) -> None:
        await self._leave(step, fault.is_primary)

    async def _leave(self, step: FaultStep, is_primary: bool) -> None:
        member = self._pick_member(step, is_primary)
        is_small = len(self._group.running) <= MIN_MEMBERS
        if member is None or self._is_leaving or is_small:
            return
        if current_time() < member.started_at + MIN_AGE_S:
            return
        self._is_leaving = True
        await self._group.leave(member, step.duration_s)
        self._is_leaving = False

    @_execute.register
    async def _(self, fault: CutPrimary, step: FaultStep) -> None:
        primary, instance = self._group.leader, self._instance(step)
        if primary is None:
            return
        if not fault.is_one_way:
            self._links.silence(instance, primary.id)
        self._links.silence(primary.id, instance)
        await sleep(step.duration_s)
        self._links.restore(primary.id, instance)

    @_execute.register
    async def _(self, fault: SplitInstance, step: FaultStep) -> None:
        instance = self._instance(step)
        others = [name for name in self._fleet.names if name != instance]
        pairs = [(instance, other) for other in others]
        if (primary := self._group.leader) is not None:
            pairs.append((instance, primary.id))
        await self._cut(step, *pairs)

    @_execute.register
    async def _(self, fault: CutReplication, step: FaultStep) -> None:
        primary, replica = self._group.leader, self._pick_member(step, False)
        if primary is not None and replica is not None:
            await self._cut(step, (primary.id, replica.id))

    @_execute.register
    async def _(self, fault: CutStore, step: FaultStep) -> None:
        await self._cut(step, (self._instance(step), STORE))

    async def _cut(self, step: FaultStep, *pairs: tuple[str, str]) -> None:
        for pair in pairs:
            self._links.cut(*pair)
        await sleep(step.duration_s)
        for pair in pairs:
            self._links.restore(*pair)

    @_execute.register
    async def _(self, fault: DelayMember, step: FaultStep) -> None:
        member = pick(self._group.running, step.other_choice)
        instance = self._instance(step)
        self._links.delay(member.id, instance, DELAY_S)
        await sleep(step.duration_s)
        self._links.restore(member.id, instance)

    @_execute.register
    async def _(self, fault: DelayPromotions, step: FaultStep) -> None:
        promotions = self._fleet.promotions
        promotions.is_late, promotions.late_s = True, step.duration_s
        await sleep(step.duration_s)
        promotions.is_late = False

    @_execute.register
    async def _(self, fault: FreezeInstance, step: FaultStep) -> None:
        name = self._instance(step)
        if name in self._busy_instances:
            return
        self._busy_instances.add(name)
        self._fleet.freeze(name)
        await sleep(step.duration_s)
        self._fleet.resume(name)
        self._busy_instances.discard(name)

    @_execute.register
    async def _(self, fault: KillInstance, step: FaultStep) -> None:
        name = self._instance(step)
        if name in self._busy_instances:
            return
        self._busy_instances.add(name)
        await to_thread.run_sync(self._fleet.restart, name)
        self._busy_instances.discard(name)
