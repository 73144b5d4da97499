"""Translates members' errors and failed exchanges into refusals for callers."""

from functools import singledispatch

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_reply import MemberReply

MEMBER = "member"
# A member answers with one of these codes only if it did not run the statement.
NOT_RUN_CODES = frozenset(
    ("busy", "nostmt", "lagging", "readonly", "misrouted", "toomany")
)


@singledispatch
def execution_status(outcome: object) -> ExecutionStatus:
    """Return whether the member executed the last command of an exchange."""
    raise TypeError(f"no outcome of type {type(outcome).__name__}")


@execution_status.register
def _(outcome: MemberReply) -> ExecutionStatus:
    return (
        ExecutionStatus.NOT_RUN
        if outcome.error in NOT_RUN_CODES
        else ExecutionStatus.RAN
    )


@execution_status.register
def _(outcome: ExchangeFailure) -> ExecutionStatus:
    return ExecutionStatus.UNKNOWN if outcome.sent else ExecutionStatus.NOT_RUN


@singledispatch
def failure_reason(outcome: object) -> str:
    """Return the error code or the reason of a failed exchange."""
    raise TypeError(f"no outcome of type {type(outcome).__name__}")


@failure_reason.register
def _(outcome: MemberReply) -> str:
    return outcome.error


@failure_reason.register
def _(outcome: ExchangeFailure) -> str:
    return outcome.reason


def refuse_read(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a failed read; a read never changes data."""
    if execution_status(outcome) is ExecutionStatus.NOT_RUN:
        return refuse_busy(outcome, member)
    detail = f"the read failed at the member: {failure_reason(outcome)}"
    return Refusal("failed", ExecutionStatus.RAN, MEMBER, member, detail)


def refuse_write(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a failed commit or of a write outside of a transaction."""
    if execution_status(outcome) is ExecutionStatus.NOT_RUN:
        return refuse_busy(outcome, member)
    detail = f"the write may have taken effect: {failure_reason(outcome)}"
    return Refusal("indoubt", ExecutionStatus.UNKNOWN, MEMBER, member, detail)


def refuse_unwritable(reason: str) -> Refusal:
    """Return the refusal of a write that was not sent, as it could not be confirmed."""
    detail = f"no write can be confirmed now: {reason}"
    return Refusal("busy", ExecutionStatus.NOT_RUN, MEMBER, "", detail, RETRY_AFTER_MS)


def refuse_unwritable_commit(reason: str) -> Refusal:
    """Return the refusal of a COMMIT that was not sent; its transaction is undone."""
    detail = (
        f"the transaction was rolled back, no commit can be confirmed now: {reason}"
    )
    return Refusal("aborted", ExecutionStatus.NOT_RUN, MEMBER, "", detail)


def refuse_unconfirmed(basis: str, member: str) -> Refusal:
    """Return the refusal of a commit that a promotion may lose."""
    detail = f"the write may have taken effect: {basis}"
    return Refusal("indoubt", ExecutionStatus.UNKNOWN, MEMBER, member, detail)


def refuse_aborted(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a statement whose failure aborted its transaction."""
    detail = f"the transaction was rolled back: {failure_reason(outcome)}"
    return Refusal("aborted", ExecutionStatus.NOT_RUN, MEMBER, member, detail)


def refuse_busy(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a statement that no member has run."""
    detail = f"no member could run the statement: {failure_reason(outcome)}"
    return Refusal(
        "busy", ExecutionStatus.NOT_RUN, MEMBER, member, detail, RETRY_AFTER_MS
    )


# Callers are advised to retry after this time; a promotion takes some hundred
# milliseconds.
RETRY_AFTER_MS = 250
