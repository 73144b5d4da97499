"""Demotes a primary on behalf of another instance."""

from absl import logging
from trio import MemorySendChannel, open_memory_channel

from jackdawspread.decisions.failover.primary_demotion import may_demote, shows_demotion
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.primary_demotion_request import (
    PrimaryDemotionRequest,
)
from jackdawspread.messages.fleet.reachable_member_query import ReachableMemberQuery
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.query_status import QueryStatus
from jackdawspread.tasks.fleet.replication_control import ReplicationControl


class PeerDemotionExecutor:
    """Executes requests of other instances to demote a primary.

    Used by the peer demotion task.

    Parameters
    ----------
    replication : ReplicationControl
        Sends the commands.
    router : trio.MemorySendChannel
        Inbox of the member router, which knows the members that have failed.
    """

    def __init__(
        self, replication: ReplicationControl, router: MemorySendChannel[RouterEvent]
    ) -> None:
        self._replication = replication
        self._router = router

    async def run(self, request: PrimaryDemotionRequest) -> LogStatus | None:
        """Return the log of the demoted primary, None if it was not demoted.

        The member refuses a term that is not above its own, so a late or repeated
        request has no effect on the primary of a later term.
        """
        listing = await self._find(request)
        if listing is None:
            return None
        status = await self._replication.send(listing, QueryStatus())
        if status is None or not may_demote(status, request.term):
            return None
        demoted = await self._replication.send(listing, DemotePrimary(request.term))
        if not shows_demotion(demoted, request.member):
            return None
        logging.info(
            "succession: demoted for another instance member=%s group=%s term=%d",
            request.member,
            request.group,
            request.term,
        )
        return demoted

    async def _find(self, request: PrimaryDemotionRequest) -> MemberListing | None:
        send, receive = open_memory_channel[MemberListing | None](1)
        query = ReachableMemberQuery(request.group, request.member, send)
        await self._router.send(query)
        return await receive.receive()
