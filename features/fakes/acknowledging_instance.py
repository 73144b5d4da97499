"""Acknowledgement task of one instance with fake members."""

from collections import Counter
from contextlib import suppress

from features.fakes.troubled_records import TroubledRecords
from features.support.trio_thread import TrioThread
from trio import (
    EndOfChannel,
    MemoryReceiveChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
    sleep,
)

from jackdawspread.messages.fleet.acknowledged_positions import AcknowledgedPositions
from jackdawspread.messages.fleet.await_writable import AwaitWritable
from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.instance_registered import InstanceRegistered
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.promotion_announced import PromotionAnnounced
from jackdawspread.messages.fleet.promotion_announcement import PromotionAnnouncement
from jackdawspread.messages.fleet.promotion_state import PromotionState
from jackdawspread.messages.fleet.promotion_states_seen import PromotionStatesSeen
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.member_statement import MemberStatement
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.acknowledgement_task import AcknowledgementTask

INSTANCE = "i1@10.0.1.1"
GROUP = "g"
MEMBERS = ("a", "b", "c")
PRIMARY = "a"
QUERY_S = 0.003
INBOX = 1000
BOOT_OFFSET_S = 1000.0
# More than the time for which a new epoch gives no permit.
SETTLED_S = 6.01


class AcknowledgingInstance:
    """Runs the task on a clock that passes in `advance` only.

    Group ``g`` has the primary ``a`` and the replicas ``b`` and ``c``.
    """

    def __init__(self) -> None:
        self.end_by_member = {"b": Position(3, 100), "c": Position(3, 100)}
        self.query_count_by_member: Counter[str] = Counter()
        self.max_concurrent_queries = 0
        self._in_progress: Counter[str] = Counter()
        self._boot_offset_s = BOOT_OFFSET_S
        self.thread = TrioThread()
        self._events, inbox = open_memory_channel(INBOX)
        peers, self._datagrams = open_memory_channel(INBOX)
        failover, self._triggers = open_memory_channel(INBOX)
        self.records = TroubledRecords()
        task = AcknowledgementTask(
            inbox,
            FakeReplication(self),
            peers,
            failover,
            self.records,
            INSTANCE,
            self.boot_time,
        )
        self.thread.start(task.run)
        self.list_members(MEMBERS)

    def boot_time(self) -> float:
        """Return the time of the boot-time clock, in the thread of the task."""
        return current_time() + self._boot_offset_s

    def suspend(self, seconds: float) -> None:
        """Suspend the machine: only the boot-time clock goes on."""
        self._boot_offset_s += seconds

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.thread.advance(seconds)

    def send(self, event: object) -> None:
        """Deliver an event and let the task handle it."""
        self.thread.call(self._send, event)
        self.thread.advance(0)

    def register(self, epoch: int = 1) -> None:
        """Report a registration."""
        now = self.now()
        self.send(InstanceRegistered(now, now, epoch))

    def gain_permit(self, *states: PromotionState) -> None:
        """Register, and read the store until its epoch is settled."""
        self.register()
        self.read(*states)
        self.pass_time(SETTLED_S)
        self.read(*states)

    def read(self, *states: PromotionState, epoch: int = 1) -> None:
        """Deliver evidence as of now."""
        self.send(PromotionStatesSeen(epoch, self.now(), states))

    def announce(self, id: int, state: PromotionState, peer: str) -> None:
        """Deliver an announcement of another instance."""
        self.send(PromotionAnnouncement(PromotionAnnounced(id, state), peer))

    def announce_own(
        self, state: PromotionState
    ) -> MemoryReceiveChannel[AcknowledgedPositions]:
        """Deliver an announcement of this instance."""
        reply_to, receive = open_memory_channel[AcknowledgedPositions](1)
        announced = PromotionAnnounced(0, state)
        self.send(PromotionAnnouncement(announced, reply_to=reply_to))
        return receive

    def list_members(self, members: tuple[str, ...]) -> None:
        """Deliver a list of members."""
        listing_by_id = {
            id: MemberListing(id, GROUP, id, "z1", 2, False, id == PRIMARY)
            for id in members
        }
        self.send(MembersSeen(listing_by_id, 0.0))

    def commit(
        self, position: Position | None, left_s: float, sent_at: float | None = None
    ) -> MemoryReceiveChannel:
        """Have a commit of the primary checked; return the channel of the result.

        The statement is sent now unless ``sent_at`` tells the time.
        """
        reply_to, receive = open_memory_channel(1)
        sent_at = self.now() if sent_at is None else sent_at
        expires_at = self._monotonic() + left_s
        self.send(
            ConfirmCommit(GROUP, PRIMARY, position, sent_at, expires_at, reply_to)
        )
        return receive

    def await_writable(self, left_s: float) -> MemoryReceiveChannel:
        """Have a write wait; return the channel of the result."""
        reply_to, receive = open_memory_channel(1)
        expires_at = self._monotonic() + left_s
        self.send(AwaitWritable(GROUP, expires_at, reply_to))
        return receive

    def datagrams(self) -> list:
        """Return what was sent to other instances since the last call."""
        return _received(self._datagrams)

    def triggers(self) -> list:
        """Return the failover triggers since the last call."""
        return _received(self._triggers)

    async def send_status_query(self, member: str) -> LogStatus | None:
        """Answer a status query after a delay."""
        self.query_count_by_member[member] += 1
        self._in_progress[member] += 1
        self.max_concurrent_queries = max(
            self.max_concurrent_queries, self._in_progress[member]
        )
        await sleep(QUERY_S)
        self._in_progress[member] -= 1
        end = self.end_by_member.get(member)
        return None if end is None else LogStatus(member, False, end.term, end)

    async def _send(self, event: object) -> None:
        await self._events.send(event)

    def now(self) -> float:
        """Return the time of the boot-time clock, in another thread."""
        return self._monotonic() + self._boot_offset_s

    def _monotonic(self) -> float:
        async def read() -> float:
            return current_time()

        return self.thread.call(read)


class FakeReplication:
    """Sends the status queries of the task to the fake members."""

    def __init__(self, instance: AcknowledgingInstance) -> None:
        self._instance = instance

    async def send(
        self, listing: MemberListing, statement: MemberStatement
    ) -> LogStatus | None:
        """Query one member."""
        assert isinstance(statement, QueryStatus), statement
        return await self._instance.send_status_query(listing.id)


def _received(channel: MemoryReceiveChannel) -> list:
    found = []
    with suppress(WouldBlock, EndOfChannel):
        while True:
            found.append(channel.receive_nowait())
    return found
