"""Fake fleet of instances that demote a primary for each other."""

from functools import partial

from features.fakes.replicated_group import PRIMARY, ReplicatedGroup, address, listing
from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.codecs.peer_datagrams import decode_datagram, encode_datagram
from jackdawspread.messages.fleet.asked_instances_query import AskedInstancesQuery
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.primary_demotion_requested import (
    PrimaryDemotionRequested,
)
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.tasks.fleet.peer_demotion_client import PeerDemotionClient
from jackdawspread.tasks.fleet.peer_demotion_executor import PeerDemotionExecutor
from jackdawspread.tasks.fleet.peer_demotion_task import PeerDemotionTask

ASKING = address("m99")
# One way.
DATAGRAM_DELAY_S = 0.005
STATEMENT_DELAY_S_BY_KIND = {"slow": 0.05, "too slow": 0.13}
INBOX = 200


class PeerFleet:
    """Instances of several kinds, the first of which asks the others.

    Parameters
    ----------
    kinds : list of str
        ``near``, ``slow``, ``too slow``, ``cut off`` from the primary, ``failed`` if
        the instance knows so, ``repeating`` if its replies also arrive twice, and
        ``earlier`` for one of a version that does not know the request.
    """

    def __init__(self, kinds: list[str]) -> None:
        self.group = ReplicatedGroup({PRIMARY: Position(1, 9)}, set())
        self.kind_by_address = {
            address(f"m{number}"): kind for number, kind in enumerate(kinds, 1)
        }
        self.commands: list[object] = []
        self.refused_count = 0
        self._inbox_by_address: dict[str, MemorySendChannel] = {}

    async def run(self, ask: partial) -> None:
        """Run all instances while one of them runs ``ask`` with its client."""
        async with open_nursery() as nursery:
            for own in (ASKING, *self.kind_by_address):
                router = self._start_instance(own, nursery)
                if own == ASKING:
                    client = PeerDemotionClient(router, self._inbox_by_address[own])
            await ask(client)
            nursery.cancel_scope.cancel()

    async def ask(
        self, term: int, client: PeerDemotionClient
    ) -> tuple[LogStatus | None, float]:
        """Return the result of a question and the time that it took."""
        asked_at = current_time()
        status = await client.demote(listing(PRIMARY), term)
        return status, current_time() - asked_at

    async def flood(self, count: int, client: PeerDemotionClient) -> None:
        """Deliver many requests to the first of the other instances."""
        first = next(iter(self.kind_by_address))
        for id in range(count):
            request = PrimaryDemotionRequest(id, "g", PRIMARY, 2)
            event = PrimaryDemotionRequested(request, ASKING)
            self._inbox_by_address[first].send_nowait(event)
        await sleep(2 * DATAGRAM_DELAY_S)

    def _start_instance(self, own: str, nursery: Nursery) -> MemorySendChannel:
        demotions, inbox = open_memory_channel(INBOX)
        peers, datagrams = open_memory_channel(INBOX)
        router, queries = open_memory_channel(INBOX)
        self._inbox_by_address[own] = demotions
        executor = PeerDemotionExecutor(_Replication(self, own), router)
        task = PeerDemotionTask(executor, inbox, peers)
        nursery.start_soon(task.run)
        nursery.start_soon(self._answer, own, queries)
        nursery.start_soon(self._carry, own, datagrams, nursery)
        return router

    async def _answer(self, own: str, queries: MemoryReceiveChannel) -> None:
        async for query in queries:
            if isinstance(query, AskedInstancesQuery):
                query.reply_to.send_nowait(tuple(self.kind_by_address))
            else:
                kind = self.kind_by_address[own]
                is_failed = kind in ("failed", "repeating")
                query.reply_to.send_nowait(None if is_failed else listing(PRIMARY))

    async def _carry(
        self, own: str, datagrams: MemoryReceiveChannel, nursery: Nursery
    ) -> None:
        async for datagram in datagrams:
            message = decode_datagram(encode_datagram(datagram.message))
            assert message == datagram.message, message
            nursery.start_soon(self._deliver, own, datagram.peer, message)

    async def _deliver(self, own: str, peer: str, message: object) -> None:
        await sleep(DATAGRAM_DELAY_S)
        event = message
        if isinstance(message, PrimaryDemotionRequest):
            if self.kind_by_address[peer] == "earlier":
                return
            event = PrimaryDemotionRequested(message, own)
        elif message.status is None:
            self.refused_count += 1
        self._inbox_by_address[peer].send_nowait(event)
        if self.kind_by_address.get(own) == "repeating":
            self._inbox_by_address[peer].send_nowait(event)


class _Replication:
    """Sends commands to the members as one of the instances."""

    def __init__(self, fleet: PeerFleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    async def send(self, member: MemberListing, command: object) -> LogStatus | None:
        """Send one command."""
        kind = self._fleet.kind_by_address[self._own]
        if kind == "cut off":
            return None
        if isinstance(command, DemotePrimary):
            self._fleet.commands.append(command)
        await sleep(STATEMENT_DELAY_S_BY_KIND.get(kind, 0.0))
        return await self._fleet.group.send(member, command)
