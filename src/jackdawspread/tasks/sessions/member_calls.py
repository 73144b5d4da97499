"""Calls of a session to the member router and to member connections."""

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

ROLLBACK_S = 1.0
# A member answers the start of a transaction without waiting for a slot.
BEGIN_S = 0.3


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
        # A lease that arrives after a cancellation is refused by the closed channel.
        with receive:
            return await receive.receive()

    async def begin(
        self, lease: MemberLease, commands: tuple[MemberCommand, ...], deadline: float
    ) -> MemberReply | ExchangeFailure:
        """Begin a transaction, which a member in reach answers at once."""
        quick = min(deadline, current_time() + BEGIN_S)
        outcome = await self.exchange(lease, commands, quick)
        if isinstance(outcome, ExchangeFailure) and outcome.timed_out:
            self._tell_unreachable(lease, outcome.reason)
        return outcome

    async def exchange(
        self, lease: MemberLease, commands: tuple[MemberCommand, ...], deadline: float
    ) -> MemberReply | ExchangeFailure:
        """Run commands on a leased connection and report what the answer shows."""
        outcome = await run_exchange(lease, commands, deadline)
        self._report(lease, outcome)
        return outcome

    def return_lease(
        self, lease: MemberLease, context: ConnectionContext | None
    ) -> None:
        """Return a lease; None as context closes the connection."""
        self._tell(LeaseReturned(lease.connection, lease.member, context))

    def roll_back(self, lease: MemberLease, context: ConnectionContext) -> None:
        """Return a lease whose transaction is rolled back on the way."""
        send, _ = open_memory_channel[MemberReply | ExchangeFailure](1)
        rollback = MemberCommand("", RollbackTransaction())
        deadline = current_time() + ROLLBACK_S
        try:
            lease.exchanges.send_nowait(MemberExchange((rollback,), deadline, send))
        except (BrokenResourceError, ClosedResourceError, WouldBlock):
            self.return_lease(lease, None)
            return
        self.return_lease(lease, context)

    def report_position(
        self, lease: MemberLease, reply: MemberReply, confirms_write: bool
    ) -> None:
        """Report a position that was seen while the member led."""
        if reply.position is not None:
            self._tell(
                PositionSeen(
                    lease.group,
                    lease.member,
                    reply.position,
                    reply.sent_at,
                    confirms_write,
                )
            )

    def report_stalled_write(self, lease: MemberLease) -> None:
        """Report a write that a living primary did not confirm in time."""
        self._tell(
            MemberUnreachable(
                lease.group, lease.member, current_time(), True, "write not confirmed"
            )
        )

    def _report(
        self, lease: MemberLease, outcome: MemberReply | ExchangeFailure
    ) -> None:
        now = current_time()
        if isinstance(outcome, ExchangeFailure):
            if not outcome.timed_out:
                self._tell_unreachable(lease, outcome.reason)
        elif outcome.error == "readonly" and lease.requires_primary:
            self._tell(LeadershipRefused(lease.group, lease.member, now))
        elif outcome.error == "lagging":
            self._tell(ReplicaLagged(lease.group, lease.member, now))

    def _tell_unreachable(self, lease: MemberLease, reason: str) -> None:
        self._tell(
            MemberUnreachable(lease.group, lease.member, current_time(), False, reason)
        )

    def _tell(self, event: RouterEvent) -> None:
        # The inbox is far larger than all sessions together can fill.
        self._router.send_nowait(event)
