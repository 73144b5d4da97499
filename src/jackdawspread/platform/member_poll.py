"""Reads the list of members from the platform's store."""

from urllib.parse import quote

from trio import (
    MemoryReceiveChannel,
    MemorySendChannel,
    current_time,
    move_on_after,
    open_nursery,
    sleep_until,
)

from jackdawspread.decisions.members.listing_retention import retain_members
from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.platform.member_rows import decode_members
from jackdawspread.platform.store_availability import StoreAvailability
from jackdawspread.platform.store_rows import StoreRow, decode_rows
from jackdawspread.tasks.http_client import HttpClient

TARGET = "/rows-get?Table=servers&part=&Limit=500"
# Members announce a shutdown seconds ahead, so polling once a second is sufficient.
POLL_INTERVAL_S = 1.0
# Minimum time between two reads when a newer list is requested.
MIN_POLL_INTERVAL_S = 0.15
READ_TIMEOUT_S = 1.0
# After an interval this long without a successful read, entries may have expired
# without being observed.
OUTAGE_S = 2.0
OK = 200


class MemberPoll:
    """Reads the list periodically, and earlier on request.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    refresh_requests : trio.MemoryReceiveChannel
        Requests for a newer list.
    router, failover : trio.MemorySendChannel
        Receive the list.
    """

    def __init__(
        self,
        address: str,
        refresh_requests: MemoryReceiveChannel[RefreshMembers],
        router: MemorySendChannel[RouterEvent],
        failover: MemorySendChannel[FailoverEvent],
    ) -> None:
        self._address = address
        self._refresh_requests = refresh_requests
        self._router = router
        self._failover = failover
        self._availability = StoreAvailability("members")
        self._listing_by_id: dict[str, MemberListing] = {}
        self._read_at = 0.0
        self._outage_ended_at = -OUTAGE_S

    async def run(self) -> None:
        """Read the list until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                requested_at = current_time()
                rows = await self._read(client)
                if rows is not None:
                    await self._publish(rows, requested_at)
                with move_on_after(
                    max(0.0, requested_at + POLL_INTERVAL_S - current_time())
                ):
                    await self._refresh_requests.receive()
                    await sleep_until(requested_at + MIN_POLL_INTERVAL_S)

    async def _read(self, client: HttpClient) -> list[StoreRow] | None:
        """Return all rows of the list, or None if a read failed."""
        rows: list[StoreRow] = []
        last_key = ""
        while True:
            start = f"&From={quote(last_key)}%00" if last_key else ""
            deadline = current_time() + READ_TIMEOUT_S
            outcome = await client.call("GET", TARGET + start, {}, deadline)
            reason = outcome.error or f"status {outcome.status}"
            self._availability.report(outcome.status == OK, reason, current_time())
            if outcome.status != OK:
                return None
            page = list(decode_rows(outcome.body))
            rows += page
            if not outcome.body.get("HasMore") or not page:
                return rows
            last_key = page[-1].key

    async def _publish(self, rows: list[StoreRow], requested_at: float) -> None:
        if self._read_at and requested_at - self._read_at > OUTAGE_S:
            self._outage_ended_at = requested_at
        self._read_at = requested_at
        listed = decode_members(rows)
        self._listing_by_id = retain_members(
            self._listing_by_id, listed, self._outage_ended_at, requested_at
        )
        seen = MembersSeen(self._listing_by_id, requested_at)
        await self._router.send(seen)
        await self._failover.send(seen)
