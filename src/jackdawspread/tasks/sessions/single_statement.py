"""Runs statements outside of transactions."""

from trio import current_time, sleep

from jackdawspread.decisions.members.position_samples import newest_position
from jackdawspread.decisions.sessions.member_outcomes import (
    execution_status,
    refuse_read,
    refuse_unconfirmed,
    refuse_unwritable,
    refuse_write,
)
from jackdawspread.decisions.sessions.operation import Operation
from jackdawspread.decisions.sessions.run_statement import RunStatement
from jackdawspread.decisions.sessions.session_state import SessionState
from jackdawspread.decisions.sessions.statement_outcome import StatementOutcome
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.fleet.commit_confirmation import CommitConfirmation
from jackdawspread.messages.fleet.consistency import Consistency
from jackdawspread.messages.fleet.database_route import DatabaseRoute
from jackdawspread.messages.fleet.member_lease import MemberLease
from jackdawspread.messages.fleet.member_requirement import MemberRequirement
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_reply import MemberReply
from jackdawspread.messages.statements.statement_success import StatementSuccess
from jackdawspread.tasks.sessions.member_calls import MemberCalls
from jackdawspread.tasks.sessions.statement_attempt import attempt_statement

MAX_ATTEMPTS = 6
SUSPENDED_AGAIN = "promotions are being decided again and again"
# Delay before a statement that no member has run is retried.
RETRY_DELAY_S = 0.03


def read_need(route: DatabaseRoute) -> MemberRequirement:
    """Return the kind of member that may answer reads on a route."""
    if route.consistency is Consistency.PRIMARY:
        return MemberRequirement.PRIMARY
    return MemberRequirement.FRESH


async def run_single(
    calls: MemberCalls, operation: Operation, plan: RunStatement, state: SessionState
) -> StatementOutcome:
    """Run one read or write outside of a transaction, with retries.

    A read is retried after any failure, because it changes no data. A write is
    retried only if it is certain that no member has run it.
    """
    requirement = (
        MemberRequirement.PRIMARY
        if plan.writes
        else read_need(operation.admitted.route)
    )
    refuse = refuse_write if plan.writes else refuse_read
    excluded: frozenset[str] = frozenset()
    refusal: Refusal | None = None
    member = conditions_text = ""
    for attempt in range(1, MAX_ATTEMPTS + 1):
        if plan.writes:
            reason = await calls.await_writable(
                operation.admitted.route.group, operation.connection_deadline
            )
            if reason:
                refusal = refuse_unwritable(reason)
                return StatementOutcome(
                    refusal, state, member, attempt, conditions_text
                )
        lease = await calls.lease(
            operation, requirement, state.position, excluded, is_single_statement=True
        )
        if isinstance(lease, Refusal):
            refusal = refusal or lease
            if not _may_request_lease_again(lease, operation):
                return StatementOutcome(
                    refusal, state, member, attempt, conditions_text
                )
            await sleep(RETRY_DELAY_S)
            continue
        if plan.writes and await calls.await_writable(lease.group, current_time()):
            # Acknowledgements were suspended while the lease was awaited.
            calls.return_lease(lease, lease.context)
            continue
        member, conditions_text = lease.member, describe_conditions(lease)
        outcome, confirmation = await attempt_statement(
            calls, lease, plan, state, operation.request_id, operation.deadline
        )
        if isinstance(outcome, MemberReply) and not outcome.error:
            done = _succeed(outcome, confirmation, state, member)
            return done._replace(
                member=member, attempts=attempt, conditions_text=conditions_text
            )
        refusal = refuse(outcome, member)
        if not _may_retry(outcome, plan, operation):
            break
        excluded = excluded | {member}
        if requirement is MemberRequirement.PRIMARY:
            await sleep(RETRY_DELAY_S)
    if refusal is None:
        refusal = refuse_unwritable(SUSPENDED_AGAIN)
    return StatementOutcome(refusal, state, member, attempt, conditions_text)


def _succeed(
    reply: MemberReply,
    confirmation: CommitConfirmation | None,
    state: SessionState,
    member: str,
) -> StatementOutcome:
    """Return the outcome of a statement that a member has run.

    ``confirmation`` is None for a read.
    """
    success = StatementSuccess(reply.rows, reply.signature)
    if confirmation is None:
        return StatementOutcome(success, state)
    if reply.position is not None:
        newest = newest_position(reply.position, state.position)
        state = state._replace(position=newest)
    if not confirmation.is_confirmed:
        return StatementOutcome(refuse_unconfirmed(confirmation.basis, member), state)
    return StatementOutcome(
        success, state, position=reply.position, basis=confirmation.basis
    )


def _may_request_lease_again(refusal: Refusal, operation: Operation) -> bool:
    """Whether to request another lease after a refusal by the router."""
    return refusal.code != "busy" and current_time() < operation.connection_deadline


def _may_retry(
    outcome: MemberReply | ExchangeFailure, plan: RunStatement, operation: Operation
) -> bool:
    if plan.writes and execution_status(outcome) is not ExecutionStatus.NOT_RUN:
        return False
    return current_time() < operation.connection_deadline


def describe_conditions(lease: MemberLease) -> str:
    """Return the conditions of a lease as text for the log."""
    host = f" host={lease.host}" if lease.host else ""
    if lease.required_position is None:
        return f"lead{host}"
    position = f"{lease.required_position.term}.{lease.required_position.sequence}"
    return f"{position} age_ms={1000 * lease.position_age_s:.0f}{host}"
