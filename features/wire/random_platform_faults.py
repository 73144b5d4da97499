"""Execution of planned faults of the store, the entries and the configuration."""

import json
from functools import singledispatchmethod

from features.wire.configuration_edits import move_route
from features.wire.fault_step import FaultStep
from features.wire.faults.change_sync_replicas import ChangeSyncReplicas
from features.wire.faults.freeze_at_fence import FreezeAtFence
from features.wire.faults.join_unlisted import JoinUnlisted
from features.wire.faults.lapse_entry import LapseEntry
from features.wire.faults.move_group import MoveGroup
from features.wire.faults.stop_store import StopStore
from features.wire.pick import pick
from features.wire.process_fleet import ProcessFleet
from trio import Event, move_on_after, sleep

MAX_MEMBERS = 6
SYNC_REPLICAS = 1
LOCK = "duty-"


class RandomPlatformFaults:
    """Executes steps against a fleet, in the thread of its stand-ins.

    Parameters
    ----------
    fleet : ProcessFleet
        Processes and stand-ins.
    busy_instances : set of str
        Instances that are stopped or started again at present.
    """

    def __init__(self, fleet: ProcessFleet, busy_instances: set[str]) -> None:
        self._fleet = fleet
        self._group = fleet.group
        self._busy_instances = busy_instances
        self._is_store_away = False
        self._is_configured = False

    @singledispatchmethod
    async def execute(self, fault: object, step: FaultStep) -> None:
        """Execute one step, and return when its fault has ended."""
        raise TypeError(f"no fault of type {type(fault).__name__}")

    @execute.register
    async def _(self, fault: StopStore, step: FaultStep) -> None:
        if self._is_store_away:
            return
        self._is_store_away = True
        await self._group.entries.stop_store(step.duration_s)
        self._is_store_away = False

    @execute.register
    async def _(self, fault: JoinUnlisted, step: FaultStep) -> None:
        if len(self._group.running) < MAX_MEMBERS:
            await self._group.join(step.duration_s)

    @execute.register
    async def _(self, fault: LapseEntry, step: FaultStep) -> None:
        members = [
            member
            for member in self._group.running
            if member.is_primary == fault.is_primary
        ]
        if members:
            member = pick(members, step.other_choice)
            self._group.entries.lapse(member.id, step.duration_s)

    @execute.register
    async def _(self, fault: ChangeSyncReplicas, step: FaultStep) -> None:
        configuration = self._fleet.configuration
        configuration["Services"][0]["SyncReplicas"] = fault.sync_replicas
        await self._configure(configuration, fault.sync_replicas, step)

    @execute.register
    async def _(self, fault: MoveGroup, step: FaultStep) -> None:
        configuration = self._fleet.configuration
        move_route(configuration, "")
        await self._configure(configuration, SYNC_REPLICAS, step)

    async def _configure(
        self, configuration: dict, sync_replicas: int, step: FaultStep
    ) -> None:
        """Change the configuration for a time, in one way at once."""
        if self._is_configured:
            return
        self._is_configured = True
        previous = self._fleet.configuration
        self._fleet.configure(configuration)
        self._group.sync_replicas = sync_replicas
        self._group.notify()
        await sleep(step.duration_s)
        self._fleet.configure(previous)
        self._group.sync_replicas = SYNC_REPLICAS
        self._group.notify()
        self._is_configured = False

    @execute.register
    async def _(self, fault: FreezeAtFence, step: FaultStep) -> None:
        """The instance may be the one that fences or another one."""
        name, is_frozen = pick(self._fleet.names, step.choice), Event()

        def freeze(instance: str, key: str, value: bytes) -> None:
            record = json.loads(value) if key.startswith(LOCK) else {}
            if record.get("suspended") and name not in self._busy_instances:
                self._busy_instances.add(name)
                self._fleet.freeze(name)
                self._fleet.on_record = _ignore
                is_frozen.set()

        self._fleet.on_record = freeze
        with move_on_after(step.duration_s):
            await is_frozen.wait()
        if not is_frozen.is_set():
            return
        await sleep(step.duration_s)
        self._fleet.resume(name)
        self._busy_instances.discard(name)


def _ignore(instance: str, key: str, value: bytes) -> None:
    """Handle a record without a fault."""
