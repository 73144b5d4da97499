"""Requests of a session to the member router and to member connections."""

from absl import logging
from trio import (
    BrokenResourceError,
    ClosedResourceError,
    MemorySendChannel,
    WouldBlock,
    current_time,
    move_on_at,
    open_memory_channel,
)

from jackdawspread.decisions.members.exchange_observation import observe_exchange
from jackdawspread.decisions.placement.departure_steps import next_departure
from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.decisions.sessions.session_memory import may_pool
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.acknowledgement_event import AcknowledgementEvent
from jackdawspread.messages.fleet.admission_event import AdmissionEvent
from jackdawspread.messages.fleet.await_writable import AwaitWritable
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.confirm_commit import ConfirmCommit
from jackdawspread.messages.fleet.connection_context import ConnectionContext
from jackdawspread.messages.fleet.connection_request import ConnectionRequest
from jackdawspread.messages.fleet.departure import Departure
from jackdawspread.messages.fleet.lease_returned import LeaseReturned
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.fleet.member_unreachable import MemberUnreachable
from jackdawspread.messages.fleet.position_seen import PositionSeen
from jackdawspread.messages.fleet.router_event import RouterEvent
from jackdawspread.messages.pool_hosts.lease_broker_event import LeaseBrokerEvent
from jackdawspread.messages.pool_hosts.lease_event import LeaseEvent
from jackdawspread.messages.pool_hosts.lease_released import LeaseReleased
from jackdawspread.messages.pool_hosts.primary_confirmed import PrimaryConfirmed
from jackdawspread.messages.pool_hosts.write_stalled import WriteStalled
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_command import MemberCommand
from jackdawspread.messages.statements.member_exchange import MemberExchange
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.rollback_transaction import RollbackTransaction
from jackdawspread.tasks.members.run_exchange import run_exchange
from jackdawspread.tasks.sessions.cold_tokens import wait_for_cold_token

ROLLBACK_TIMEOUT_S = 1.0
COLD_REASON = "the member has just started and gets only some statements each second"
OVERLOADED = "the instance is overloaded"
UNDECIDED = "the instance did not decide in time"
# The acknowledgement task answers by the time limit that it is given. The session does
# not depend on it.
ANSWER_RESERVE_S = 0.1
# A member answers BEGIN at once, as it needs no execution slot for it.
BEGIN_TIMEOUT_S = 0.3


class MemberCalls:
    """Sends messages of one session to the router and to its leased connections.

    Parameters
    ----------
    broker : trio.MemorySendChannel
        Inbox of the lease broker.
    router : trio.MemorySendChannel
        Inbox of the member router.
    admission : trio.MemorySendChannel
        Inbox of the admission task.
    acknowledgements : trio.MemorySendChannel
        Inbox of the acknowledgement task.
    """

    def __init__(
        self,
        broker: MemorySendChannel[LeaseBrokerEvent],
        router: MemorySendChannel[RouterEvent],
        admission: MemorySendChannel[AdmissionEvent],
        acknowledgements: MemorySendChannel[AcknowledgementEvent],
    ) -> None:
        self._acknowledgements = acknowledgements
        self._admission = admission
        self._broker = broker
        self._router = router

    async def lease(
        self,
        operation: Operation,
        requirement: MemberRequirement,
        position: Position | None,
        excluded: frozenset[str],
        is_single_statement: bool,
    ) -> MemberLease | Refusal:
        """Wait for a connection to a member that may serve the operation.

        A read may be sent to another failure domain, and back if that has no room.
        """
        may_leave = requirement is MemberRequirement.FRESH and is_single_statement
        departure = Departure.ASK if may_leave else Departure.STAY
        while True:
            answer = await self._request_lease(
                operation,
                requirement,
                position,
                excluded,
                is_single_statement,
                departure,
            )
            if not isinstance(answer, Refusal):
                return answer
            following = next_departure(departure, answer.code)
            if following is None:
                return answer
            departure = following

    async def _request_lease(
        self,
        operation: Operation,
        requirement: MemberRequirement,
        position: Position | None,
        excluded: frozenset[str],
        is_single_statement: bool,
        departure: Departure,
    ) -> MemberLease | Refusal:
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
            is_single_statement=is_single_statement,
            reply_to=send,
            allowed_regions=operation.admitted.allowed_regions,
            target_at=operation.target_at,
            departure=departure,
        )
        try:
            self._broker.send_nowait(request)
        except WouldBlock:
            return Refusal(
                "busy",
                ExecutionStatus.NOT_RUN,
                "routing",
                "",
                OVERLOADED,
            )
        # Closing the channel makes the sender keep a lease that arrives after a
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
        """Run commands on a leased connection and report the outcome to the router.

        A caller's statement for a cold member is sent only with a token.
        """
        if (
            lease.is_cold
            and commands[-1].id
            and not await wait_for_cold_token(self._admission, lease, deadline)
        ):
            return ExchangeFailure(False, COLD_REASON)
        outcome = await run_exchange(lease, commands, deadline)
        self._report_outcome(lease, outcome)
        return outcome

    async def await_writable(self, group: str, expires_at: float) -> str:
        """Wait until a write may be sent; return why it may not at ``expires_at``."""
        send, receive = open_memory_channel[str](1)
        try:
            self._acknowledgements.send_nowait(AwaitWritable(group, expires_at, send))
        except WouldBlock:
            return OVERLOADED
        with receive, move_on_at(expires_at + ANSWER_RESERVE_S):
            return await receive.receive()
        return UNDECIDED

    async def confirm_commit(
        self, lease: MemberLease, reply: MemberReply, deadline: float
    ) -> CommitConfirmation:
        """Return whether a commit may be acknowledged, and report its position.

        The lease is still held, as a pool host learns the position by the lease.
        """
        send, receive = open_memory_channel[CommitConfirmation](1)
        commit = ConfirmCommit(
            lease.group, lease.member, reply.position, reply.sent_at, deadline, send
        )
        try:
            self._acknowledgements.send_nowait(commit)
        except WouldBlock:
            return CommitConfirmation(False, OVERLOADED)
        confirmation = CommitConfirmation(False, UNDECIDED)
        with receive, move_on_at(deadline + ANSWER_RESERVE_S):
            confirmation = await receive.receive()
        self.report_position(lease, reply, confirmation.is_confirmed)
        return confirmation

    def return_lease(
        self, lease: MemberLease, context: ConnectionContext | None
    ) -> None:
        """Return a lease.

        The connection is closed if ``context`` is None or too large to be kept.
        """
        if context is not None and not may_pool(context):
            context = None
        if lease.host_link is None:
            self._send_to_router(LeaseReturned(lease.connection, lease.member, context))
        else:
            _send_to_host(lease.host_link, LeaseReleased(lease.connection, context))

    def roll_back(self, lease: MemberLease, context: ConnectionContext) -> None:
        """Queue a rollback on the connection and return its lease."""
        send, _ = open_memory_channel[MemberReply | ExchangeFailure](1)
        rollback = MemberCommand("", RollbackTransaction())
        deadline = current_time() + ROLLBACK_TIMEOUT_S
        exchange = MemberExchange((rollback,), deadline, send, lease.connection)
        try:
            lease.exchanges.send_nowait(exchange)
        except (BrokenResourceError, ClosedResourceError, WouldBlock):
            self.return_lease(lease, None)
            return
        self.return_lease(lease, context)

    def report_position(
        self, lease: MemberLease, reply: MemberReply, confirms_write: bool
    ) -> None:
        """Report the log position of a member that answered as the primary."""
        if reply.position is None:
            return
        self._send_to_router(
            PositionSeen(
                lease.group,
                lease.member,
                reply.position,
                reply.sent_at,
                confirms_write,
            )
        )
        if lease.host_link is not None:
            confirmed = PrimaryConfirmed(lease.connection, confirms_write)
            _send_to_host(lease.host_link, confirmed)

    def report_stalled_write(self, lease: MemberLease) -> None:
        """Report a write that a reachable primary did not confirm in time."""
        self._send_to_router(
            MemberUnreachable(
                lease.group, lease.member, current_time(), True, "write not confirmed"
            )
        )
        if lease.host_link is not None:
            _send_to_host(lease.host_link, WriteStalled(lease.connection))

    def _report_outcome(
        self, lease: MemberLease, outcome: MemberReply | ExchangeFailure
    ) -> None:
        observation = observe_exchange(outcome, lease, current_time())
        if observation is not None:
            self._send_to_router(observation)

    def _report_unreachable(self, lease: MemberLease, reason: str) -> None:
        self._send_to_router(
            MemberUnreachable(lease.group, lease.member, current_time(), False, reason)
        )

    def _send_to_router(self, event: RouterEvent) -> None:
        # The inbox has more room than all sessions together can fill.
        self._router.send_nowait(event)


def _send_to_host(link: MemorySendChannel[LeaseEvent], event: LeaseEvent) -> None:
    """Send an event about a lease to its pool host.

    A host whose stream is lost has closed the connections of its leases.
    """
    try:
        link.send_nowait(event)
    except (BrokenResourceError, WouldBlock) as error:
        logging.vlog(1, "session: not sent to the pool host reason=%r", error)
