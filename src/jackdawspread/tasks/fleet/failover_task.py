"""Replacement of lost and leaving primaries."""

from functools import singledispatchmethod
from math import inf

from absl import logging
from trio import (
    Event,
    MemoryReceiveChannel,
    MemorySendChannel,
    Nursery,
    WouldBlock,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
)

from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt
from jackdawspread.tasks.fleet.fleet_metrics import PROMOTION_SECONDS, PROMOTIONS

# Pause after an attempt, so that a lasting doubt does not fill the store with calls.
ATTEMPT_PAUSE_S = 0.3
PROMOTED_PAUSE_S = 1.0
# A new list comes within the least time between two reads and a round trip.
LIST_WAIT_S = 0.6


class FailoverTask:
    """Runs at most one attempt for each group at a time.

    Parameters
    ----------
    attempt : FailoverAttempt
        Makes the attempts.
    inbox : trio.MemoryReceiveChannel
        Doubts and lists of members.
    refresh : trio.MemorySendChannel
        Takes wishes for a newer list of members.
    """

    def __init__(
        self,
        attempt: FailoverAttempt,
        inbox: MemoryReceiveChannel[FailoverEvent],
        refresh: MemorySendChannel[RefreshMembers],
    ) -> None:
        self._attempt = attempt
        self._inbox = inbox
        self._refresh = refresh
        self._listing_by_id: dict[str, MemberListing] = {}
        self._listed_at = -inf
        self._list_seen = Event()
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as attempts:
            async for event in self._inbox:
                self._handle(event, attempts)

    @singledispatchmethod
    def _handle(self, event: object, attempts: Nursery) -> None:
        raise TypeError(f"succession does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: MembersSeen, attempts: Nursery) -> None:
        self._listing_by_id = event.listing_by_id
        self._listed_at = event.as_of
        self._list_seen.set()
        self._list_seen = Event()

    @_handle.register
    def _(self, event: FailoverTrigger, attempts: Nursery) -> None:
        if event.group not in self._busy:
            self._busy.add(event.group)
            attempts.start_soon(self._run, event)

    async def _run(self, doubt: FailoverTrigger) -> None:
        started_at = current_time()
        try:
            outcome = await self._attempt.run(
                doubt, self._listing_by_id, self._list_since
            )
            promoted = outcome.startswith("promotion accepted")
            elapsed_s = current_time() - started_at
            PROMOTIONS.labels("accepted" if promoted else "not done").inc()
            if promoted:
                PROMOTION_SECONDS.observe(elapsed_s)
            logging.info(
                "succession: attempt group=%s primary=%s reason=%s elapsed_ms=%.0f "
                "outcome=%s",
                doubt.group,
                doubt.member or "none",
                doubt.reason,
                1000 * elapsed_s,
                outcome,
            )
            self._ask_refresh()
            await sleep(PROMOTED_PAUSE_S if promoted else ATTEMPT_PAUSE_S)
        finally:
            self._busy.discard(doubt.group)

    async def _list_since(self, since: float) -> dict[str, MemberListing] | None:
        """Return a list that was asked for at ``since`` or later, None if none comes.

        ``since`` is a monotonic time in seconds.
        """
        with move_on_after(LIST_WAIT_S):
            while self._listed_at < since:
                self._ask_refresh()
                await self._list_seen.wait()
            return self._listing_by_id
        return None

    def _ask_refresh(self) -> None:
        try:
            self._refresh.send_nowait(RefreshMembers("attempt ended"))
        except WouldBlock:
            # A refresh is already asked for.
            return
