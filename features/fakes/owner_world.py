"""Database owners and fake members under a mock clock."""

from collections import defaultdict
from math import inf
from random import Random
from typing import Any

from features.fakes.fake_connection import FakeConnection
from features.fakes.fake_member import FakeMember
from trio import Nursery, current_time, open_memory_channel, sleep

from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_reply import RoutedReply
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.messages.statement import Statement
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.tasks.database_owner import DatabaseOwner, OwnerEvent

A, B, C = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
PRESET = {
    "queue_limit": 50,
    "queue_wait_ms": 2000,
    "replica_reads": True,
    "retry_percent": 10,
    "writes_allowed": True,
}


class OwnerWorld:
    """Owners with ranks 0, 1, ..., the members and all replies."""

    def __init__(self, nursery: Nursery, seed: int = 1, **options: Any) -> None:
        self._nursery, self._seed, self._options = nursery, seed, options
        self.members: dict[str, FakeMember] = {}
        for address in (A, B, C):
            member = FakeMember(address, self.members)
            self.members[address] = member
            member.upstream = "" if address == A else A
        self.members[A].role = "primary"
        self.inboxes: list[Any] = []
        self.replies: dict[str, list[Reply]] = defaultdict(list)
        self.replied_at: dict[str, float] = {}
        self._send, self._receive = open_memory_channel[RoutedReply](1000)
        nursery.start_soon(self._collect)
        self.announced: list[TermAnnouncement] = []

    async def add_owner(self, is_active: bool = True, settle: float = 0.5) -> None:
        """Start the owner with the next rank."""
        rank = len(self.inboxes)
        send, inbox = open_memory_channel[OwnerEvent](1000)
        terms, term_inbox = open_memory_channel[TermAnnouncement](10)
        self._nursery.start_soon(self._collect_terms, term_inbox)
        settings = DatabaseSettings("swap", (A, B, C), 2, 16)
        owner = DatabaseOwner(
            settings,
            f"i{rank}",
            inbox,
            terms,
            random=Random(self._seed + rank),
            make_connection=lambda id, address, calls: FakeConnection(
                id, self.members[address], calls
            ),
            **self._options,
        )
        self._nursery.start_soon(owner.run)
        self.inboxes.append(send)
        await send.send(snapshot())
        await send.send(OwnerAssignment("swap", 1, rank, is_active, 10))
        await sleep(settle)

    def submit(
        self,
        id: str,
        kind: RequestKind = RequestKind.WRITE,
        owner: int = 0,
        workspace: str = "w1",
        deadline: float = 5,
        **fields: Any,
    ) -> None:
        """Send a request to an owner."""
        fields.setdefault("idempotency_key", id)
        fields.setdefault("position", None)
        fields.setdefault("max_staleness", None)
        request = RoutedRequest(
            id=id,
            kind=kind,
            workspace=workspace,
            key_id=f"key-{workspace}",
            database="swap",
            statements=(Statement(id),),
            deadline=current_time() + deadline,
            **fields,
        )
        submission = RoutedSubmission(request, self._send.clone())
        self.inboxes[owner].send_nowait(submission)

    async def submit_and_wait(self, id: str, *args: Any, **fields: Any) -> Reply:
        """Send a request and return its single reply."""
        self.submit(id, *args, **fields)
        while id not in self.replies:
            await sleep(0.005)
        return self.replies[id][0]

    def ran(self, *names: str) -> list[tuple[str, int, str]]:
        """Return the calls that reached any member."""
        ran = [call for member in self.members.values() for call in member.ran]
        return [call for call in ran if call[0] in names]

    async def _collect(self) -> None:
        async for reply in self._receive:
            self.replies[reply.id].append(reply.reply)
            self.replied_at[reply.id] = current_time()

    async def _collect_terms(self, inbox: Any) -> None:
        async for announcement in inbox:
            self.announced.append(announcement)


def snapshot(withdrawn: tuple[str, ...] = (), **changes: Any) -> ControlSnapshot:
    """Return a snapshot with keys for w1 to w8."""
    names = [f"w{number}" for number in range(1, 9)]
    keys = {f"key-{name}": {"workspace": name, "withdrawn": False} for name in names}
    configuration: Any = {
        "version": 1,
        "write_id": "",
        "preset": "ordinary",
        "preset_by_name": {"ordinary": {**PRESET, **changes.pop("preset", {})}},
        "head_office": {"default": {}, "lowest": {}, "highest": {}},
        "workspace_by_name": {},
        "key_by_id": keys,
        "leaving_databases": [],
        **changes,
    }
    return ControlSnapshot("i0", inf, configuration, frozenset(withdrawn), (), {})
