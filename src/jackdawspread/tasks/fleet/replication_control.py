"""Status queries and replication commands to members."""

from functools import singledispatch

from absl import logging
from trio import (
    MemorySendChannel,
    current_time,
    open_memory_channel,
    open_nursery,
    sleep,
)

from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.log_status import LogStatus
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_listing import MemberListing
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.demote_primary import DemotePrimary
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.member_statement import MemberStatement
from jackdawspread.messages.statements.pause_replication import PauseReplication
from jackdawspread.messages.statements.resume_replication import ResumeReplication
from jackdawspread.tasks.members.run_exchange import run_exchange

# Workspace name of connections that the proxy uses for its own commands.
INTERNAL_WORKSPACE = "jackdawspread"
COMMAND_TIMEOUT_S = 0.4
# Gives a busy member time to free a slot before a statement is sent again.
BUSY_RETRY_DELAY_S = 0.05
BUSY = "busy"
# Statements that change the state of a member.
COMMANDS = (PauseReplication, DemotePrimary, ResumeReplication)


class ReplicationControl:
    """Sends status queries and replication commands to named members.

    The connections are leased from the member router.

    Parameters
    ----------
    router : trio.MemorySendChannel
        Inbox of the member router.
    """

    def __init__(self, router: MemorySendChannel[RouterEvent]) -> None:
        self._router = router

    async def send_all(
        self, members: tuple[MemberListing, ...], statement: MemberStatement
    ) -> dict[str, LogStatus]:
        """Send a statement to several members concurrently.

        The result holds the log status of each member that answered.
        """
        status_by_member: dict[str, LogStatus] = {}

        async def send_one(listing: MemberListing) -> None:
            status = await self.send(listing, statement)
            if status is not None:
                status_by_member[listing.id] = status

        async with open_nursery() as nursery:
            for listing in members:
                nursery.start_soon(send_one, listing)
        return status_by_member

    async def resume_all(self, members: tuple[MemberListing, ...]) -> frozenset[str]:
        """Resume several replicas concurrently.

        The result names the members that did not answer and may run the command later.
        """
        unanswered: set[str] = set()

        async def resume(listing: MemberListing) -> None:
            outcome = await self._run(listing, ResumeReplication())
            _log_without_status(outcome, listing, ResumeReplication())
            if isinstance(outcome, ExchangeFailure) and outcome.sent:
                unanswered.add(listing.id)

        async with open_nursery() as nursery:
            for listing in members:
                nursery.start_soon(resume, listing)
        return frozenset(unanswered)

    async def send(
        self, listing: MemberListing, statement: MemberStatement
    ) -> LogStatus | None:
        """Send a statement to one member; return its log status.

        A busy member has not run the statement, which is then sent again. The result is
        None if no log status arrived in time.
        """
        outcome = await self._run(listing, statement)
        _log_without_status(outcome, listing, statement)
        if not isinstance(outcome, MemberReply) or outcome.log_status is None:
            return None
        return outcome.log_status._replace(member=listing.id)

    async def _run(
        self, listing: MemberListing, statement: MemberStatement
    ) -> MemberReply | ExchangeFailure | Refusal:
        deadline = current_time() + COMMAND_TIMEOUT_S
        lease = await self._lease(listing, deadline)
        if isinstance(lease, Refusal):
            return lease
        command = MemberCommand("", statement)
        outcome = await run_exchange(lease, (command,), deadline)
        while _is_busy(outcome) and current_time() + BUSY_RETRY_DELAY_S < deadline:
            await sleep(BUSY_RETRY_DELAY_S)
            outcome = await run_exchange(lease, (command,), deadline)
        self._return_lease(lease, isinstance(outcome, MemberReply))
        return outcome

    async def _lease(
        self, listing: MemberListing, deadline: float
    ) -> MemberLease | Refusal:
        send, receive = open_memory_channel[MemberLease | Refusal](1)
        request = ConnectionRequest(
            group=listing.group,
            workspace=INTERNAL_WORKSPACE,
            requirement=MemberRequirement.NAMED,
            member=listing.id,
            max_staleness_s=0.0,
            session_position=None,
            excluded=frozenset(),
            priority=0,
            expires_at=deadline,
            is_single_statement=False,
            reply_to=send,
            unlisted=listing,
        )
        await self._router.send(request)
        return await receive.receive()

    def _return_lease(self, lease: MemberLease, usable: bool) -> None:
        context = lease.context if usable else None
        self._router.send_nowait(LeaseReturned(lease.connection, lease.member, context))


def _is_busy(outcome: MemberReply | ExchangeFailure) -> bool:
    return isinstance(outcome, MemberReply) and outcome.error == BUSY


@singledispatch
def _log_without_status(
    outcome: object, listing: MemberListing, statement: MemberStatement
) -> None:
    """Log a command that was not answered with a log status, but no status query."""
    raise TypeError(f"no log line for a {type(outcome).__name__}")


@_log_without_status.register
def _(outcome: Refusal, listing: MemberListing, statement: MemberStatement) -> None:
    _log_unanswered(listing, statement, outcome.detail, was_sent=False)


@_log_without_status.register
def _(
    outcome: ExchangeFailure, listing: MemberListing, statement: MemberStatement
) -> None:
    _log_unanswered(listing, statement, outcome.reason, outcome.sent)


@_log_without_status.register
def _(outcome: MemberReply, listing: MemberListing, statement: MemberStatement) -> None:
    if outcome.log_status is None and isinstance(statement, COMMANDS):
        logging.warning(
            "succession: command refused command=%r member=%s group=%s reason=%r",
            statement,
            listing.id,
            listing.group,
            outcome.error or "no status",
        )


def _log_unanswered(
    listing: MemberListing, statement: MemberStatement, reason: str, was_sent: bool
) -> None:
    """Log a command that may be executed later if it was sent."""
    if isinstance(statement, COMMANDS):
        logging.warning(
            "succession: command not answered command=%r member=%s group=%s sent=%s "
            "reason=%r",
            statement,
            listing.id,
            listing.group,
            was_sent,
            reason,
        )
