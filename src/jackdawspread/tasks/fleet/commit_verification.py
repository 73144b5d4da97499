"""Verifies at other members that they have received commits."""

from functools import partial

from trio import Event, Nursery, current_time, move_on_at, sleep_until

from jackdawspread.decisions.acknowledgement.received_commit import (
    has_received,
    still_leads_with,
)
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.pending_verification import PendingVerification
from jackdawspread.tasks.fleet.replication_control import ReplicationControl
from jackdawspread.tasks.run_isolated import run_isolated

QUERY_INTERVAL_S = 0.02


class CommitVerification:
    """Queries the members of one group for the commits that await verification.

    Used by the acknowledgement task. A query takes a slot of the member and is priced,
    so there is at most one in progress for each member.

    Parameters
    ----------
    replication : ReplicationControl
        Sends the status queries.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._replication = replication
        self._listing_by_id: dict[str, MemberListing] = {}
        self._pending: list[PendingVerification] = []
        self._queried: set[str] = set()

    def set_listings(self, listing_by_id: dict[str, MemberListing]) -> None:
        """Set the listed members of the group."""
        self._listing_by_id = listing_by_id

    def interrupt(self) -> None:
        """End all waits, as the state of the group has changed."""
        for pending in self._pending:
            pending.ended.set()

    async def verify(
        self,
        position: Position,
        members: frozenset[str],
        answered_by: str,
        give_up_at: float,
        queries: Nursery,
    ) -> frozenset[str]:
        """Wait until the members have received a position; return those that have.

        The primary that answered, ``answered_by``, has to lead in the same term.
        The wait ends earlier at ``give_up_at`` (monotonic seconds) or an interrupt.
        """
        pending = PendingVerification(position, set(members), answered_by, Event())
        self._pending.append(pending)
        try:
            for member in members - self._queried:
                self._queried.add(member)
                query = partial(self._query, member)
                queries.start_soon(run_isolated, "acknowledgements", query)
            with move_on_at(give_up_at):
                await pending.ended.wait()
        finally:
            self._pending.remove(pending)
        return members - pending.missing

    async def _query(self, member: str) -> None:
        """Query a member until no commit awaits it."""
        try:
            while any(member in pending.missing for pending in self._pending):
                next_at = current_time() + QUERY_INTERVAL_S
                listing = self._listing_by_id.get(member)
                if listing is not None:
                    status = await self._replication.send(listing, QueryStatus())
                    self._apply(member, status)
                await sleep_until(next_at)
        finally:
            self._queried.discard(member)

    def _apply(self, member: str, status: LogStatus | None) -> None:
        if status is None:
            return
        for pending in self._pending:
            is_primary = member == pending.answered_by
            has_commit = still_leads_with if is_primary else has_received
            if has_commit(status, pending.position):
                pending.missing.discard(member)
                if not pending.missing:
                    pending.ended.set()
