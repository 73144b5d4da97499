"""Query of the members that have left the list."""

from functools import partial

from absl import logging
from trio import Event, Nursery, current_time, move_on_at

from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.tasks.fleet.candidate_search import CandidateSearch
from jackdawspread.tasks.run_isolated import run_isolated

# A member that lives answers in a few milliseconds, and most of these are gone. The
# query itself ends later, with the time limit of its command.
DEPARTED_WAIT_S = 0.15


class DepartedQuery:
    """Queries departed members beside the first steps of an attempt.

    Parameters
    ----------
    search : CandidateSearch
        Sends the queries.
    members : tuple of MemberListing
        Last entries of the members.
    """

    def __init__(
        self, search: CandidateSearch, members: tuple[MemberListing, ...]
    ) -> None:
        self._search = search
        self._members = members
        self._expires_at = current_time() + DEPARTED_WAIT_S
        self._status_by_member: dict[str, LogStatus] = {}
        self._pending = {member.id for member in members}
        self._all_ended = Event()

    def start(self, queries: Nursery) -> None:
        """Send a query to each member."""
        for member in self._members:
            query = partial(self._query, member)
            queries.start_soon(run_isolated, "succession", query)

    async def wait(self) -> dict[str, LogStatus]:
        """Return the log status of each member that answers in time, by its id."""
        with move_on_at(self._expires_at):
            if self._pending:
                await self._all_ended.wait()
        return self._status_by_member.copy()

    def replicas(
        self, status_by_member: dict[str, LogStatus]
    ) -> tuple[MemberListing, ...]:
        """Return the members that have answered as replicas.

        Their entries have expired, but they may go on confirming.
        """
        replicas = tuple(
            member
            for member in self._members
            if member.id in status_by_member
            and not status_by_member[member.id].claims_primary
        )
        for member in replicas:
            logging.info(
                "succession: replica answers without an entry member=%s group=%s",
                member.id,
                member.group,
            )
        return replicas

    async def _query(self, member: MemberListing) -> None:
        self._status_by_member.update(await self._search.query((member,)))
        self._pending.discard(member.id)
        if not self._pending:
            self._all_ended.set()
