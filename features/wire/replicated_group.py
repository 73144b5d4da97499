"""Group of stand-in members with a log each."""

import json
from collections.abc import Callable

from features.wire.fault_links import FaultLinks
from features.wire.member_entries import MemberEntries
from features.wire.replicated_member import ReplicatedMember
from features.wire.table_store import TableStore
from trio import Event, Nursery, open_tcp_listeners, sleep

# The entry of a member that has crashed expires in the list.
ENTRY_TTL_S = 1.0
# Time in which a member that starts again at once opens its address.
RESTART_S = 0.2


class ReplicatedGroup:
    """Knows the members, the leader and its term, and what the list says of them."""

    def __init__(
        self, name: str, store: TableStore, links: FaultLinks, nursery: Nursery
    ) -> None:
        self.name = name
        self.links = links
        self.term = 1
        # Replicas that receive a commit before it is confirmed.
        self.sync_replicas = 1
        # Statements of commits that no replica had to receive.
        self.asynchronous_ids: set[str] = set()
        self.leader: ReplicatedMember | None = None
        self.member_by_id: dict[str, ReplicatedMember] = {}
        self.changed = Event()
        self.instance_by_pid: dict[int, str] = {}
        # Called with the member after each promotion.
        self.on_promotion: Callable[[ReplicatedMember], None] = lambda member: None
        self.entries = MemberEntries(store, nursery)
        self._nursery = nursery
        self._count = 0

    @property
    def running(self) -> list[ReplicatedMember]:
        """Members that run, in the order in which they started."""
        return list(self.member_by_id.values())

    def notify(self) -> None:
        """Wake the tasks that wait for a change of the group."""
        self.changed.set()
        self.changed = Event()

    async def start(self, count: int) -> None:
        """Start the first members."""
        self.leader = await self.join()
        self.register()
        for _ in range(count - 1):
            await self.join()

    async def join(self, entry_delay_s: float = 0.0) -> ReplicatedMember:
        """Start a replica with a new address, which receives before it is listed."""
        while self.running and (self.leader is None or not self.leader.is_running):
            await self.changed.wait()
        (listener,) = await open_tcp_listeners(0, host="127.0.0.1")
        member = ReplicatedMember(self._next_id(), self, listener)
        if self.leader is not None:
            member.log.follow(self.leader.log)
        if entry_delay_s:
            self.entries.hold(member.id, entry_delay_s)
        self._run(member)
        return member

    async def leave(self, member: ReplicatedMember, drain_s: float) -> None:
        """List a member as draining, and remove it later if it does not lead."""
        member.is_leaving = True
        self.register()
        await sleep(drain_s)
        while self.leader is member:
            await self.changed.wait()
        if self.member_by_id.get(member.id) is member:
            self._remove(member)
            self.entries.remove(member.id)

    async def crash(self, member: ReplicatedMember) -> None:
        """End a member at once; its entry in the list expires."""
        self._remove(member)
        await sleep(ENTRY_TTL_S)
        self.entries.remove(member.id)

    async def restart(self, crashed: ReplicatedMember) -> ReplicatedMember:
        """Start a crashed member with its log at its address, under a new id."""
        host, port = crashed.address.rsplit(":", 1)
        (listener,) = await open_tcp_listeners(int(port), host=host)
        member = ReplicatedMember(self._next_id(), self, listener, crashed.log)
        self.entries.remove(crashed.id)
        if self.leader is crashed:
            self.leader = member
        self._run(member)
        return member

    async def restart_empty(self, replica: ReplicatedMember) -> ReplicatedMember:
        """Start a replica again under its id, with an empty log."""
        self._remove(replica)
        await sleep(RESTART_S)
        host, port = replica.address.rsplit(":", 1)
        (listener,) = await open_tcp_listeners(int(port), host=host)
        member = ReplicatedMember(replica.id, self, listener)
        member.born = replica.born + 1
        self._run(member)
        return member

    def demote(self, member: ReplicatedMember, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if self.leader is member and term > self.term:
            self.leader = None
            self.register()

    def promote(self, member: ReplicatedMember) -> None:
        """Let a member lead the next term with what it has received."""
        self.term += 1
        self.leader = member
        for other in self.running:
            other.paused_term = 0
        self.on_promotion(member)
        self.register()

    async def wait_for_term(self, term: int) -> None:
        """Wait until a member leads that term or a later one."""
        while self.leader is None or self.term < term:
            await self.changed.wait()

    def register(self) -> None:
        """Write the entries of all running members to the list."""
        for member in self.running:
            is_primary = member is self.leader
            entry = {
                "Service": self.name,
                "Address": member.address,
                "Zone": "z1",
                "Version": "v1",
                "Slots": 8,
                "State": "draining" if member.is_leaving else "ready",
                "ColdRemainingMs": 0,
                "DbRole": "primary" if is_primary else "replica",
                "Seq": 1,
                "born": member.born,
            }
            self.entries.write(member.id, json.dumps(entry).encode())
        self.notify()

    def _next_id(self) -> str:
        self._count += 1
        return f"m{self._count}"

    def _run(self, member: ReplicatedMember) -> None:
        self.member_by_id[member.id] = member
        self._nursery.start_soon(member.run)
        self.register()

    def _remove(self, member: ReplicatedMember) -> None:
        self.member_by_id.pop(member.id, None)
        member.end()
        self.notify()
