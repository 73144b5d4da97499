"""Reads the list of members from the store."""

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
# Members announce their leaving seconds ahead, so a second is soon enough.
POLL_S = 1.0
# Least time between two reads while somebody waits for a newer list.
REFRESH_S = 0.15
READ_S = 1.0
# A pause in reading after which entries may have lapsed unseen.
OUTAGE_S = 2.0
OK = 200


class MemberPoll:
    """Reads the list periodically, and soon when asked to.

    Parameters
    ----------
    address : str
        ``IP:port`` of the store.
    wishes : trio.MemoryReceiveChannel
        Wishes for a newer list.
    router, succession : trio.MemorySendChannel
        Take the list.
    """

    def __init__(
        self,
        address: str,
        wishes: MemoryReceiveChannel[RefreshMembers],
        router: MemorySendChannel[RouterEvent],
        succession: MemorySendChannel[FailoverEvent],
    ) -> None:
        self._address = address
        self._wishes = wishes
        self._router = router
        self._failover = succession
        self._dependency = StoreAvailability("members")
        self._listing_by_id: dict[str, MemberListing] = {}
        self._read_at = 0.0
        self._outage_ended_at = -OUTAGE_S

    async def run(self) -> None:
        """Read the list until cancelled."""
        async with open_nursery() as connections:
            client = HttpClient(self._address, connections)
            while True:
                asked_at = current_time()
                rows = await self._read(client)
                if rows is not None:
                    await self._take(rows, asked_at)
                with move_on_after(max(0.0, asked_at + POLL_S - current_time())):
                    await self._wishes.receive()
                    await sleep_until(asked_at + REFRESH_S)

    async def _read(self, client: HttpClient) -> list[StoreRow] | None:
        """Return all rows of the list, None if the store did not answer."""
        rows: list[StoreRow] = []
        after = ""
        while True:
            start = f"&From={quote(after)}%00" if after else ""
            deadline = current_time() + READ_S
            outcome = await client.call("GET", TARGET + start, {}, deadline)
            reason = outcome.error or f"status {outcome.status}"
            self._dependency.note(outcome.status == OK, reason, current_time())
            if outcome.status != OK:
                return None
            page = list(decode_rows(outcome.body))
            rows += page
            if not outcome.body.get("HasMore") or not page:
                return rows
            after = page[-1].key

    async def _take(self, rows: list[StoreRow], asked_at: float) -> None:
        if self._read_at and asked_at - self._read_at > OUTAGE_S:
            self._outage_ended_at = asked_at
        self._read_at = asked_at
        listed = decode_members(rows)
        self._listing_by_id = retain_members(
            self._listing_by_id, listed, self._outage_ended_at, asked_at
        )
        seen = MembersSeen(self._listing_by_id, asked_at)
        await self._router.send(seen)
        await self._failover.send(seen)
