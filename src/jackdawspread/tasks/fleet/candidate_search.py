"""Search for the member that is promoted."""

from absl import logging
from trio import current_time, sleep

from jackdawspread.decisions.failover.plausible_status import is_plausible
from jackdawspread.messages.fleet.catch_up import CatchUp
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.position import Position
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

# Time in which the unpaused replica has to receive the logs of the paused ones.
CATCH_UP_TIMEOUT_S = 0.8
CATCH_UP_POLL_INTERVAL_S = 0.05


class CandidateSearch:
    """Queries the logs of members until they can be compared.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries to members.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._replication = replication
        self._implausible: set[LogStatus] = set()

    async def query(self, members: tuple[MemberListing, ...]) -> dict[str, LogStatus]:
        """Return the log status of each member that answers and can be true."""
        status_by_member = await self._replication.send_all(members, QueryStatus())
        return {
            id: status for id, status in status_by_member.items() if self._check(status)
        }

    async def query_paused(
        self, replicas: tuple[MemberListing, ...], term: int
    ) -> dict[str, LogStatus] | None:
        """Return the logs of paused replicas; None if one is no longer paused.

        An earlier promotion that takes effect late ends all pauses.
        """
        status_by_member = await self.query(replicas)
        unpaused = [s for s in status_by_member.values() if not _is_paused(s, term)]
        for status in unpaused:
            logging.warning(
                "succession: replica not paused any more member=%s claims_primary=%s "
                "paused_term=%d expected=%d received=%d.%d",
                status.member,
                status.claims_primary,
                status.paused_term,
                term,
                *status.received,
            )
        return None if unpaused else status_by_member

    async def catch_up(
        self,
        unpaused: MemberListing,
        paused: tuple[MemberListing, ...],
        primary: MemberListing | None,
        term: int,
        acknowledged: Position | None,
    ) -> CatchUp:
        """Wait until the unpaused replica has the logs of the others.

        The first answer of the primary after the pauses is included, as members that
        have left before it can't have confirmed anything newer. The replica also has to
        reach what was acknowledged, as one that is not listed may have confirmed it.
        """
        deadline = current_time() + CATCH_UP_TIMEOUT_S
        others = (*paused, unpaused)
        first = (*others, primary) if primary is not None else others
        status_by_member = await self.query(first)
        former = status_by_member.pop(primary.id, None) if primary is not None else None
        has_primary_log = former is not None and former.claims_primary
        while True:
            status = status_by_member.pop(unpaused.id, None)
            needed = list(status_by_member.values())
            if len(needed) < len(paused) or not all(
                _is_paused(s, term) for s in needed
            ):
                return CatchUp(False, False)
            if former is not None and has_primary_log:
                needed.append(former)
            if status is not None and _has_received(status, needed, acknowledged):
                return CatchUp(True, has_primary_log, (status, *needed))
            if current_time() >= deadline:
                return CatchUp(False, False)
            await sleep(CATCH_UP_POLL_INTERVAL_S)
            status_by_member = await self.query(others)

    def _check(self, status: LogStatus) -> bool:
        if is_plausible(status):
            return True
        if status not in self._implausible:
            self._implausible.add(status)
            logging.error(
                "succession: implausible log status ignored member=%s term=%d "
                "received=%d.%d",
                status.member,
                status.term,
                *status.received,
            )
        return False


def _is_paused(status: LogStatus, term: int) -> bool:
    return not status.claims_primary and status.paused_term == term


def _has_received(
    status: LogStatus, needed: list[LogStatus], acknowledged: Position | None
) -> bool:
    """Whether a replica has received the ends of the other logs, and a position."""
    if status.claims_primary:
        return False
    if acknowledged is not None and status.received < acknowledged:
        return False
    return all(status.received >= other.received for other in needed)
