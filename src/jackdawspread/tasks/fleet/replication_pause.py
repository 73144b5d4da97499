"""Pauses the replication of replicas before their logs are compared."""

from absl import logging

from jackdawspread.decisions.failover.pause_term import is_pause_ineffective
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.tasks.fleet.replication_control import ReplicationControl

# The first pause and further ones with higher terms. The distances double, so that
# these reach any term that a few unnoticed promotions can have led to.
MAX_PAUSES = 8


class ReplicationPause:
    """Pauses replicas under a term that is above all that the group has had.

    Parameters
    ----------
    replication : ReplicationControl
        Sends the commands.
    """

    def __init__(self, replication: ReplicationControl) -> None:
        self._replication = replication

    async def run(
        self, replicas: tuple[MemberListing, ...], term: int
    ) -> tuple[int, dict[str, LogStatus]]:
        """Return the term of the last pause and the log status of each replica.

        A pause without an effect is repeated with a higher term, since the members
        that know the newest term may all be gone.
        """
        paused = await self._replication.send_all(replicas, PauseReplication(term))
        for step in (2**n for n in range(MAX_PAUSES - 1)):
            if not is_pause_ineffective(paused.values(), term):
                break
            logging.warning("succession: pause had no effect term=%d", term)
            term += step
            paused = await self._replication.send_all(replicas, PauseReplication(term))
        logging.info(
            "succession: replicas paused term=%d requested=%s answered=%s",
            term,
            ",".join(replica.id for replica in replicas) or "none",
            ",".join(sorted(paused)) or "none",
        )
        return term, paused
