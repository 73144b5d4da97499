"""Meaning of members' answers for a caller."""

from functools import singledispatch

from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.statements.exchange_failure import ExchangeFailure
from jackdawspread.messages.statements.member_reply import MemberReply

MEMBER = "member"
# Members answer with these codes only if they did not run the statement.
NOT_RUN_CODES = frozenset(
    ("busy", "nostmt", "lagging", "readonly", "misrouted", "toomany")
)


@singledispatch
def ran(outcome: object) -> ExecutionStatus:
    """Return whether the last command of an exchange was executed."""
    raise TypeError(f"no outcome of type {type(outcome).__name__}")


@ran.register
def _(outcome: MemberReply) -> ExecutionStatus:
    return (
        ExecutionStatus.NOT_RUN
        if outcome.error in NOT_RUN_CODES
        else ExecutionStatus.RAN
    )


@ran.register
def _(outcome: ExchangeFailure) -> ExecutionStatus:
    return ExecutionStatus.UNKNOWN if outcome.sent else ExecutionStatus.NOT_RUN


@singledispatch
def describe(outcome: object) -> str:
    """Return the error code or the reason of a failed exchange."""
    raise TypeError(f"no outcome of type {type(outcome).__name__}")


@describe.register
def _(outcome: MemberReply) -> str:
    return outcome.error


@describe.register
def _(outcome: ExchangeFailure) -> str:
    return outcome.reason


def refuse_read(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a read that no member answered; it changed nothing."""
    if ran(outcome) is ExecutionStatus.NOT_RUN:
        return refuse_busy(outcome, member)
    detail = f"the read failed at the member: {describe(outcome)}"
    return Refusal("failed", ExecutionStatus.RAN, MEMBER, member, detail)


def refuse_write(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a single write or a commit."""
    if ran(outcome) is ExecutionStatus.NOT_RUN:
        return refuse_busy(outcome, member)
    detail = f"the write may have taken effect: {describe(outcome)}"
    return Refusal("indoubt", ExecutionStatus.UNKNOWN, MEMBER, member, detail)


def refuse_aborted(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a statement whose transaction can no longer commit."""
    detail = f"the transaction was rolled back: {describe(outcome)}"
    return Refusal("aborted", ExecutionStatus.NOT_RUN, MEMBER, member, detail)


def refuse_busy(outcome: MemberReply | ExchangeFailure, member: str) -> Refusal:
    """Return the refusal of a statement that no member has run."""
    detail = f"no member could run the statement: {describe(outcome)}"
    return Refusal(
        "busy", ExecutionStatus.NOT_RUN, MEMBER, member, detail, RETRY_AFTER_MS
    )


# Hint to callers; a promotion takes some hundred milliseconds.
RETRY_AFTER_MS = 250
