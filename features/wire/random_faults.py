"""Execution of planned faults."""

from collections.abc import Sequence
from functools import partial
from typing import TypeVar

from features.wire.fault_kind import FaultKind
from features.wire.fault_step import FaultStep
from features.wire.process_fleet import STORE, ProcessFleet
from features.wire.replicated_member import ReplicatedMember
from trio import current_time, open_nursery, sleep, sleep_until, to_thread

MIN_MEMBERS, MAX_MEMBERS = 3, 6
# Answers of members are awaited for 0.4 s.
DELAY_S = 0.5
Item = TypeVar("Item")


class RandomFaults:
    """Executes steps against a fleet, in the thread of its stand-ins.

    A crashed member always returns with its log, and a primary leaves only after it
    was replaced, so every acknowledged commit stays on some member.
    """

    def __init__(self, fleet: ProcessFleet) -> None:
        self._fleet = fleet
        self._group = fleet.group
        self._links = fleet.links
        self._run_by_kind = {
            FaultKind.CRASH_PRIMARY: partial(self._crash, is_primary=True),
            FaultKind.CRASH_REPLICA: partial(self._crash, is_primary=False),
            FaultKind.JOIN: self._join,
            FaultKind.JOIN_AT_REQUEST: self._join_at_request,
            FaultKind.LEAVE_PRIMARY: partial(self._leave, is_primary=True),
            FaultKind.LEAVE_REPLICA: partial(self._leave, is_primary=False),
            FaultKind.CUT_PRIMARY: self._cut_primary,
            FaultKind.CUT_PRIMARY_ONE_WAY: self._cut_primary_one_way,
            FaultKind.SPLIT: self._split,
            FaultKind.CUT_REPLICATION: self._cut_replication,
            FaultKind.CUT_STORE: self._cut_store,
            FaultKind.SLOW_MEMBER: self._slow_member,
            FaultKind.LATE_CALLS: self._late_calls,
            FaultKind.FREEZE: self._freeze,
            FaultKind.KILL: self._kill,
        }
        self._busy_instances: set[str] = set()
        self._is_crashed = False
        self._is_leaving = False

    async def run(self, steps: Sequence[FaultStep]) -> None:
        """Execute all steps, and wait until their faults have ended."""
        started_at = current_time()
        async with open_nursery() as nursery:
            for step in steps:
                await sleep_until(started_at + step.at_s)
                nursery.start_soon(self._run_by_kind[step.kind], step)
        self._links.restore_all()
        self._fleet.promotions.release()

    def _instance(self, step: FaultStep) -> str:
        return _pick(self._fleet.names, step.choice)

    def _pick_member(
        self, step: FaultStep, is_primary: bool
    ) -> ReplicatedMember | None:
        members = [
            member for member in self._group.running if member.is_primary == is_primary
        ]
        return _pick(members, step.other_choice) if members else None

    async def _crash(self, step: FaultStep, is_primary: bool) -> None:
        member = self._pick_member(step, is_primary)
        # Two lost logs at the same time may hold the only copies of a commit.
        if member is None or self._is_crashed or member.is_leaving:
            return
        self._is_crashed = True
        async with open_nursery() as nursery:
            nursery.start_soon(self._group.crash, member)
            await sleep(step.duration_s)
        await self._group.restart(member)
        self._is_crashed = False

    async def _join(self, step: FaultStep) -> None:
        if len(self._group.running) < MAX_MEMBERS:
            await self._group.join()

    async def _join_at_request(self, step: FaultStep) -> None:
        requests = self._fleet.promotions
        await requests.wait_for_request_or(len(requests.requests) + 1, step.duration_s)
        await self._join(step)

    async def _leave(self, step: FaultStep, is_primary: bool) -> None:
        member = self._pick_member(step, is_primary)
        is_small = len(self._group.running) <= MIN_MEMBERS
        if member is None or self._is_leaving or is_small:
            return
        self._is_leaving = True
        await self._group.leave(member, step.duration_s)
        self._is_leaving = False

    async def _cut_primary(self, step: FaultStep) -> None:
        if (primary := self._group.leader) is not None:
            await self._cut_for(step, (self._instance(step), primary.id))

    async def _cut_primary_one_way(self, step: FaultStep) -> None:
        if (primary := self._group.leader) is not None:
            instance = self._instance(step)
            self._links.silence(primary.id, instance)
            await sleep(step.duration_s)
            self._links.restore(primary.id, instance)

    async def _split(self, step: FaultStep) -> None:
        instance = self._instance(step)
        others = [name for name in self._fleet.names if name != instance]
        pairs = [(instance, other) for other in others]
        if (primary := self._group.leader) is not None:
            pairs.append((instance, primary.id))
        await self._cut_for(step, *pairs)

    async def _cut_replication(self, step: FaultStep) -> None:
        primary, replica = self._group.leader, self._pick_member(step, False)
        if primary is not None and replica is not None:
            await self._cut_for(step, (primary.id, replica.id))

    async def _cut_store(self, step: FaultStep) -> None:
        await self._cut_for(step, (self._instance(step), STORE))

    async def _cut_for(self, step: FaultStep, *pairs: tuple[str, str]) -> None:
        for pair in pairs:
            self._links.cut(*pair)
        await sleep(step.duration_s)
        for pair in pairs:
            self._links.restore(*pair)

    async def _slow_member(self, step: FaultStep) -> None:
        member, instance = _pick(self._group.running, step.other_choice), step.choice
        name = _pick(self._fleet.names, instance)
        self._links.delay(member.id, name, DELAY_S)
        await sleep(step.duration_s)
        self._links.restore(member.id, name)

    async def _late_calls(self, step: FaultStep) -> None:
        promotions = self._fleet.promotions
        promotions.is_late, promotions.late_s = True, step.duration_s
        await sleep(step.duration_s)
        promotions.is_late = False

    async def _freeze(self, step: FaultStep) -> None:
        name = self._instance(step)
        if name in self._busy_instances:
            return
        self._busy_instances.add(name)
        self._fleet.freeze(name)
        await sleep(step.duration_s)
        self._fleet.resume(name)
        self._busy_instances.discard(name)

    async def _kill(self, step: FaultStep) -> None:
        name = self._instance(step)
        if name in self._busy_instances:
            return
        self._busy_instances.add(name)
        await to_thread.run_sync(self._fleet.restart, name)
        self._busy_instances.discard(name)


def _pick(items: Sequence[Item], choice: float) -> Item:
    return items[int(choice * len(items))]
