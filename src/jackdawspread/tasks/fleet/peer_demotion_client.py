"""Has other instances demote a primary that this one can't reach."""

from absl import logging
from trio import (
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    open_memory_channel,
)

from jackdawspread.messages.fleet.asked_instances_query import AskedInstancesQuery
from jackdawspread.messages.fleet.demote_through_peers import DemoteThroughPeers
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.peer_demotion_event import PeerDemotionEvent
from jackdawspread.messages.fleet.router_event import RouterEvent

# Covers a connection and two statements at the primary. A failover takes this longer if
# an instance does not reply.
DEMOTION_TIMEOUT_S = 0.15


class PeerDemotionClient:
    """Demotes primaries through other instances.

    Used by the failover task, in attempts that can't reach the primary.

    Parameters
    ----------
    router : trio.MemorySendChannel
        Inbox of the member router, which knows the instances.
    demotions : trio.MemorySendChannel
        Inbox of the peer demotion task.
    """

    def __init__(
        self,
        router: MemorySendChannel[RouterEvent],
        demotions: MemorySendChannel[PeerDemotionEvent],
    ) -> None:
        self._router = router
        self._demotions = demotions

    async def demote(self, primary: MemberListing, term: int) -> LogStatus | None:
        """Return the log of the demoted primary.

        The result is None if no instance that was asked has demoted it in time; a
        command may then still be executed.
        """
        expires_at = current_time() + DEMOTION_TIMEOUT_S
        status = None
        with move_on_at(expires_at):
            status = await self._ask(primary, term, expires_at)
        logging.info(
            "succession: demotion through peers member=%s group=%s term=%d demoted=%s",
            primary.id,
            primary.group,
            term,
            status is not None,
        )
        return status

    async def _ask(
        self, primary: MemberListing, term: int, expires_at: float
    ) -> LogStatus | None:
        chosen, choice = open_memory_channel[tuple[str, ...]](1)
        await self._router.send(AskedInstancesQuery(primary.group, chosen))
        addresses = await choice.receive()
        if not addresses:
            return None
        reply_to, replies = open_memory_channel[LogStatus | None](1)
        command = DemoteThroughPeers(
            primary.group, primary.id, term, addresses, expires_at, reply_to
        )
        try:
            self._demotions.send_nowait(command)
        except WouldBlock:
            logging.warning("succession: peers not asked, the inbox is full")
            return None
        return await replies.receive()
