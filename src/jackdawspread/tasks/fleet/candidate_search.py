"""Search for the replica that is promoted."""

from trio import current_time, sleep

from jackdawspread.decisions.failover.promotion_candidate import most_advanced_log
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

# Time in which the unpaused replica has to receive the logs of the paused ones.
CATCH_UP_TIMEOUT_S = 0.8
CATCH_UP_POLL_INTERVAL_S = 0.05


class CandidateSearch:
    """Queries the logs of paused replicas until one has every acknowledged commit.

    Parameters
    ----------
    replication : ReplicationControl
        Sends status queries to members.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._replication = replication

    async def choose(
        self,
        replicas: tuple[MemberListing, ...],
        unpaused: str,
        term: int,
        previously_requested: str,
    ) -> str:
        """Return the id of a replica that has every acknowledged commit, or empty.

        The log status is queried again after the last replica was paused, since an
        earlier promotion that takes effect late ends all pauses.
        """
        leaving = {replica.id for replica in replicas if replica.leaving}
        deadline = current_time() + CATCH_UP_TIMEOUT_S
        while current_time() < deadline:
            status_by_member = await self._replication.send_all(replicas, QueryStatus())
            unpaused_status = status_by_member.pop(unpaused, None)
            paused = status_by_member.values()
            still_paused = all(
                not s.claims_primary and s.paused_term == term for s in paused
            )
            if len(paused) < len(replicas) - bool(unpaused) or not still_paused:
                return ""
            if not unpaused:
                best = most_advanced_log(
                    paused, leaving, previously_requested
                ) or most_advanced_log(paused, ())
                return best.member if best is not None else ""
            needed = max(status.received for status in paused)
            if (
                unpaused_status is not None
                and not unpaused_status.claims_primary
                and unpaused_status.received >= needed
            ):
                return unpaused
            await sleep(CATCH_UP_POLL_INTERVAL_S)
        return ""
