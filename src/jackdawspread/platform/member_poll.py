"""Reads the list of members from the platform's store."""

from functools import singledispatchmethod

from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    open_nursery,
)

from jackdawspread.decisions.members.list_completeness import (
    UNKNOWN_COMPLETENESS,
    add_list,
    is_whole,
)
from jackdawspread.decisions.members.listing_retention import retain_members
from jackdawspread.decisions.members.restored_entries import (
    TRUSTED_AFTER_S,
    RestoredEntries,
    replace_copied_entries,
)
from jackdawspread.decisions.store_reads.domain_rank import MAX_RANK, rank_in_domain
from jackdawspread.decisions.store_reads.member_poll_schedule import poll_interval_s
from jackdawspread.decisions.store_reads.store_clock_offset import (
    StoreClockOffset,
    to_local_time,
    to_store_time,
    update_offset,
)
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.broadcast_datagram import BroadcastDatagram
from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_poll_event import MemberPollEvent
from jackdawspread.messages.fleet.members_relayed import MembersRelayed
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.peer_event import PeerEvent
from jackdawspread.messages.fleet.peers_seen import PeersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.platform.epoch_tracker import EpochTracker
from jackdawspread.platform.member_rows import decode_members
from jackdawspread.platform.read_rows import OK, read_rows
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import store_time_s
from jackdawspread.tasks.boot_clock import seconds_since_boot
from jackdawspread.tasks.http_client import HttpClient

TABLE = "servers"
READ_TIMEOUT_S = 1.0
# After an interval this long without a successful read, entries may have expired
# without being observed.
OUTAGE_S = 2.0
# A relayed list counts as older by this time, since two instances know the store's
# clock with different errors. The error is below the timeout of a read.
RELAY_CLOCK_MARGIN_S = READ_TIMEOUT_S


class MemberPoll:
    """Reads the list unless another instance has just passed it on.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    instance, failure_domain : str
        Id and failure domain of this instance.
    inbox : trio.MemoryReceiveChannel
        Requests for a newer list, lists that others have read, and the instances.
    router, failover : trio.MemorySendChannel
        Receive the list.
    peers : trio.MemorySendChannel
        Inbox of the peers task.
    rosters : trio.MemorySendChannel
        Receives the lists that this instance reads itself, from the second one in a
        row.
    acknowledgements : trio.MemorySendChannel
        Receives the list.
    """

    def __init__(
        self,
        address: str,
        instance: str,
        failure_domain: str,
        inbox: MemoryReceiveChannel[MemberPollEvent],
        router: MemorySendChannel[RouterEvent],
        failover: MemorySendChannel[FailoverEvent],
        peers: MemorySendChannel[PeerEvent],
        rosters: MemorySendChannel[MembersSeen],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._address = address
        self._instance = instance
        self._failure_domain = failure_domain
        self._inbox = inbox
        self._router = router
        self._failover = failover
        self._peers = peers
        self._rosters = rosters
        self._acknowledgements = acknowledgements
        self._availability = StoreAvailability("members")
        self._epoch = EpochTracker("members")
        self._clock = StoreClockOffset()
        self._rank = MAX_RANK
        self._listing_by_id: dict[str, MemberListing] = {}
        self._outage_ended_at = -OUTAGE_S
        self._completeness = UNKNOWN_COMPLETENESS
        self._skipped: set[str] = set()
        self._restored = RestoredEntries()
        self._is_restored = False
        # Monotonic times at which the newest list was read at the earliest, at which it
        # arrived, and of the last read, also a failed one.
        self._read_at = 0.0
        self._arrived_at = 0.0
        self._attempted_at = 0.0
        self._is_requested = False
        self._must_read = False
        # Whether this instance has read the newest list itself.
        self._is_own_list = False

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                await self._read(client)
                while (due_at := self._next_read_at()) > current_time():
                    event = None
                    with move_on_at(due_at):
                        event = await self._inbox.receive()
                    if event is not None:
                        await self._handle(event)

    def _next_read_at(self) -> float:
        if self._must_read:
            return self._attempted_at + poll_interval_s(0, is_requested=True)
        last = max(self._arrived_at, self._attempted_at)
        # Without a list this instance serves nobody.
        rank = self._rank if self._read_at else 0
        return last + poll_interval_s(rank, self._is_requested)

    @singledispatchmethod
    async def _handle(self, event: object) -> None:
        raise TypeError(f"the member poll does not handle {type(event).__name__}")

    @_handle.register
    async def _(self, event: RefreshMembers) -> None:
        self._is_requested = True
        self._must_read = self._must_read or event.own_read

    @_handle.register
    async def _(self, event: PeersSeen) -> None:
        self._rank = rank_in_domain(
            self._instance, self._failure_domain, event.entry_by_instance
        )

    @_handle.register
    async def _(self, event: MembersRelayed) -> None:
        since_boot = to_local_time(self._clock, event.store_time_s)
        now = current_time()
        requested_at = now - (seconds_since_boot() - since_boot)
        if requested_at - RELAY_CLOCK_MARGIN_S > now:
            return
        # The list was requested before it arrived; a later time is an error of a clock.
        requested_at = min(requested_at, now)
        self._note_list(requested_at)
        read_at = requested_at - RELAY_CLOCK_MARGIN_S
        if self._read_at < read_at:
            listed = {listing.id: listing for listing in event.listings}
            self._is_own_list = False
            await self._publish(listed, read_at)

    async def _read(self, client: HttpClient) -> None:
        requested_at, since_boot = current_time(), seconds_since_boot()
        self._attempted_at, self._must_read = requested_at, False
        rows = await read_rows(client, TABLE, "", READ_TIMEOUT_S, self._report)
        if rows is None:
            return
        version_by_id = {row.key: row.version for row in rows}
        if self._is_restored:
            trusted_at = requested_at + TRUSTED_AFTER_S
            self._restored = RestoredEntries(version_by_id, trusted_at)
            self._outage_ended_at = requested_at
            self._completeness = UNKNOWN_COMPLETENESS
            self._is_restored = False
        listed = replace_copied_entries(
            self._listing_by_id,
            decode_members(rows, self._skipped),
            version_by_id,
            self._restored,
            requested_at,
        )
        self._note_list(requested_at)
        await self._publish(listed, requested_at)
        self._relay(to_store_time(self._clock, since_boot))
        if self._is_own_list:
            self._compare_rosters(requested_at)
        self._is_own_list = True

    def _compare_rosters(self, read_at: float) -> None:
        """Pass the list to the roster task.

        Only an instance that reads lists regularly does this. One that has just started
        reads a single list, and a fleet that starts together would read and write each
        roster once for each instance.
        """
        try:
            self._rosters.send_nowait(MembersSeen(self._listing_by_id, read_at))
        except WouldBlock:
            # The rosters are compared with the next list.
            return

    def _report(self, outcome: HttpOutcome) -> None:
        reason = outcome.error or f"status {outcome.status}"
        self._availability.report(outcome.status == OK, reason, current_time())
        # Kept until a list is complete, as a later page may fail.
        self._is_restored = self._epoch.observe(outcome) or self._is_restored
        if outcome.status == OK:
            store_now_s = store_time_s(outcome.body)
            self._clock = update_offset(self._clock, store_now_s, outcome.began_at)

    def _note_list(self, requested_at: float) -> None:
        """Remember that the store has answered, also if the list is not the newest."""
        arrived_at = min(current_time(), requested_at + READ_TIMEOUT_S)
        self._completeness = add_list(self._completeness, requested_at, arrived_at)

    async def _publish(self, listed: dict[str, MemberListing], read_at: float) -> None:
        if self._read_at and read_at - self._read_at > OUTAGE_S:
            self._outage_ended_at = read_at
        self._read_at, self._arrived_at = read_at, current_time()
        self._is_requested = False
        self._listing_by_id = retain_members(
            self._listing_by_id, listed, self._outage_ended_at, read_at
        )
        seen = MembersSeen(
            self._listing_by_id, read_at, is_whole(self._completeness, read_at)
        )
        await self._router.send(seen)
        await self._failover.send(seen)
        await self._acknowledgements.send(seen)

    def _relay(self, store_time_s: float) -> None:
        """Pass the list on to the other instances of the failure domain."""
        listings = tuple(self._listing_by_id.values())
        message = MembersRelayed(
            self._instance, self._failure_domain, store_time_s, listings
        )
        try:
            self._peers.send_nowait(BroadcastDatagram(message, same_domain_only=True))
        except WouldBlock:
            # The next list is passed on.
            return
