"""Failover of failed primaries and switchover of leaving ones."""

from functools import partial, singledispatchmethod
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

from jackdawspread.decisions.members.departed_members import (
    DepartedMember,
    departed_of,
    update_departed,
)
from jackdawspread.messages.fleet.failover_event import FailoverEvent
from jackdawspread.messages.fleet.failover_trigger import FailoverTrigger
from jackdawspread.messages.fleet.members_seen import MembersSeen
from jackdawspread.messages.fleet.refresh_members import RefreshMembers
from jackdawspread.tasks.fleet.failover_attempt import FailoverAttempt
from jackdawspread.tasks.fleet.fleet_metrics import PROMOTION_SECONDS, PROMOTIONS
from jackdawspread.tasks.run_isolated import run_isolated

# Delay after an attempt, so that a persisting trigger does not flood the store.
ATTEMPT_DELAY_S = 0.3
PROMOTED_DELAY_S = 1.0
# A new list of members takes the minimum time between two reads plus a round trip.
LIST_TIMEOUT_S = 0.6


class FailoverTask:
    """Runs failover attempts, at most one at a time for each group.

    Parameters
    ----------
    attempt : FailoverAttempt
        Runs the attempts.
    inbox : trio.MemoryReceiveChannel
        Failover triggers and lists of members.
    refresh : trio.MemorySendChannel
        Receives requests to read the list of members again.
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
        self._members = MembersSeen({}, -inf)
        self._departed_by_id: dict[str, DepartedMember] = {}
        self._list_received = Event()
        self._busy: set[str] = set()

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with open_nursery() as attempts:
            async for event in self._inbox:
                self._handle(event, attempts)

    @singledispatchmethod
    def _handle(self, event: object, attempts: Nursery) -> None:
        raise TypeError(f"the failover task does not handle {type(event).__name__}")

    @_handle.register
    def _(self, event: MembersSeen, attempts: Nursery) -> None:
        self._departed_by_id = update_departed(
            self._departed_by_id,
            self._members.listing_by_id,
            event.listing_by_id,
            event.as_of,
        )
        self._members = event
        self._list_received.set()
        self._list_received = Event()

    @_handle.register
    def _(self, event: FailoverTrigger, attempts: Nursery) -> None:
        if event.group not in self._busy:
            self._busy.add(event.group)
            run = partial(self._run_attempt, event)
            attempts.start_soon(run_isolated, "succession", run)

    async def _run_attempt(self, trigger: FailoverTrigger) -> None:
        started_at = current_time()
        try:
            outcome = await self._attempt.run(
                trigger,
                self._members.listing_by_id,
                self._members_since,
                departed_of(self._departed_by_id, trigger.group),
            )
            promoted = outcome.startswith("promotion accepted")
            elapsed_s = current_time() - started_at
            PROMOTIONS.labels("accepted" if promoted else "not done").inc()
            if promoted:
                PROMOTION_SECONDS.observe(elapsed_s)
            logging.info(
                "succession: attempt group=%s primary=%s reason=%s elapsed_ms=%.0f "
                "outcome=%s",
                trigger.group,
                trigger.member or "none",
                trigger.reason,
                1000 * elapsed_s,
                outcome,
            )
            self._request_refresh("attempt ended", own_read=False)
            await sleep(PROMOTED_DELAY_S if promoted else ATTEMPT_DELAY_S)
        finally:
            self._busy.discard(trigger.group)

    async def _members_since(self, since: float) -> MembersSeen | None:
        """Return a list of members that was read at ``since`` or later.

        ``since`` is a monotonic time in seconds. The result is None if no such list
        arrives before the timeout.
        """
        with move_on_after(LIST_TIMEOUT_S):
            while self._members.as_of < since:
                self._request_refresh("list before a promotion", own_read=True)
                await self._list_received.wait()
            return self._members
        return None

    def _request_refresh(self, reason: str, own_read: bool) -> None:
        try:
            self._refresh.send_nowait(RefreshMembers(reason, own_read))
        except WouldBlock:
            # A refresh has already been requested.
            return
