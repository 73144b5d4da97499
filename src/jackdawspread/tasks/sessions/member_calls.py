"""Requests of a session to the member router and to member connections."""

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    MemorySendChannel,
    WouldBlock,
    current_time,
    open_memory_channel,
)

from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.leadership_refused import LeadershipRefused
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.replica_lagged import ReplicaLagged
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.tasks.members.run_exchange import run_exchange

ROLLBACK_TIMEOUT_S = 1.0
# A member answers BEGIN at once, as it needs no execution slot for it.
BEGIN_TIMEOUT_S = 0.3


class MemberCalls:
    """Sends messages of one session to the router and to its leased connections.

    Parameters
    ----------
    router : trio.MemorySendChannel
        Inbox of the member router.
    """

    def __init__(self, router: MemorySendChannel[RouterEvent]) -> None:
        self._router = router

    async def lease(
        self,
        operation: Operation,
        requirement: MemberRequirement,
        position: Position | None,
        excluded: frozenset[str],
    ) -> MemberLease | Refusal:
        """Wait for a connection to a member that may serve the operation."""
        route = operation.admitted.route
        send, receive = open_memory_channel[MemberLease | Refusal](1)
        request = ConnectionRequest(
            group=route.group,
            workspace=operation.admitted.workspace,
            requirement=requirement,
            member="",
            max_staleness_s=route.max_staleness_s,
            session_position=position,
            excluded=excluded,
            priority=route.priority,
            expires_at=operation.connection_deadline,
            reply_to=send,
        )
        try:
            self._router.send_nowait(request)
        except WouldBlock:
            return Refusal(
                "busy",
                ExecutionStatus.NOT_RUN,
                "routing",
                "",
                "the instance is overloaded",
            )
        # Closing the channel makes the router keep a lease that arrives after a
        # cancellation.
        with receive:
            return await receive.receive()

    async def begin(
        self, lease: MemberLease, commands: tuple[MemberCommand, ...], deadline: float
    ) -> MemberReply | ExchangeFailure:
        """Begin a transaction; a reachable member answers at once."""
        begin_deadline = min(deadline, current_time() + BEGIN_TIMEOUT_S)
        outcome = await self.exchange(lease, commands, begin_deadline)
        if isinstance(outcome, ExchangeFailure) and outcome.timed_out:
            self._report_unreachable(lease, outcome.reason)
        return outcome

    async def exchange(
        self, lease: MemberLease, commands: tuple[MemberCommand, ...], deadline: float
    ) -> MemberReply | ExchangeFailure:
        """Run commands on a leased connection and report the outcome to the router."""
        outcome = await run_exchange(lease, commands, deadline)
        self._report_outcome(lease, outcome)
        return outcome

    def return_lease(
        self, lease: MemberLease, context: ConnectionContext | None
    ) -> None:
        """Return a lease; the router closes the connection if ``context`` is None."""
        self._send_to_router(LeaseReturned(lease.connection, lease.member, context))

    def roll_back(self, lease: MemberLease, context: ConnectionContext) -> None:
        """Queue a rollback on the connection and return its lease."""
        send, _ = open_memory_channel[MemberReply | ExchangeFailure](1)
        rollback = MemberCommand("", RollbackTransaction())
        deadline = current_time() + ROLLBACK_TIMEOUT_S
        try:
            lease.exchanges.send_nowait(MemberExchange((rollback,), deadline, send))
        except (BrokenResourceError, ClosedResourceError, WouldBlock):
            self.return_lease(lease, None)
            return
        self.return_lease(lease, context)

    def report_position(
        self, lease: MemberLease, reply: MemberReply, confirms_write: bool
    ) -> None:
        """Report the log position of a member that answered as the primary."""
        if reply.position is not None:
            self._send_to_router(
                PositionSeen(
                    lease.group,
                    lease.member,
                    reply.position,
                    reply.sent_at,
                    confirms_write,
                )
            )

    def report_stalled_write(self, lease: MemberLease) -> None:
        """Report a write that a reachable primary did not confirm in time."""
        self._send_to_router(
            MemberUnreachable(
                lease.group, lease.member, current_time(), True, "write not confirmed"
            )
        )

    def _report_outcome(
        self, lease: MemberLease, outcome: MemberReply | ExchangeFailure
    ) -> None:
        now = current_time()
        if isinstance(outcome, ExchangeFailure):
            if not outcome.timed_out:
                self._report_unreachable(lease, outcome.reason)
        elif outcome.error == "readonly" and lease.requires_primary:
            self._send_to_router(LeadershipRefused(lease.group, lease.member, now))
        elif outcome.error == "lagging":
            self._send_to_router(ReplicaLagged(lease.group, lease.member, now))

    def _report_unreachable(self, lease: MemberLease, reason: str) -> None:
        self._send_to_router(
            MemberUnreachable(lease.group, lease.member, current_time(), False, reason)
        )

    def _send_to_router(self, event: RouterEvent) -> None:
        # The inbox has more room than all sessions together can fill.
        self._router.send_nowait(event)
