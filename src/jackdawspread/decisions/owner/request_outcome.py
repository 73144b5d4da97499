"""What follows from a member's answer to a request."""

from functools import singledispatch

from expression import Error, Ok

from jackdawspread.decisions.owner.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.owner.finish_request import FinishRequest
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.member_call_failure import MemberCallFailure
from jackdawspread.decisions.owner.member_refusal import MemberRefusal
from jackdawspread.decisions.owner.request_effect import RequestEffect
from jackdawspread.decisions.owner.retry_request import RetryRequest
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind

BINDING = (RequestKind.WRITE, RequestKind.COMMIT)
RETRYABLE_REFUSAL_CODES = ("not_primary", "stale_term", "too_many_connections")
IN_TRANSACTION = (RequestKind.EXECUTE, RequestKind.COMMIT, RequestKind.ROLLBACK)


@singledispatch
def decide_request_effect(
    outcome: object, running: RunningRequest, held: Position | None
) -> RequestEffect:
    """Return what to do after an attempt.

    Parameters
    ----------
    outcome : MemberAnswer, MemberRefusal or MemberCallFailure
        What the attempt brought.
    running : RunningRequest
        The request.
    held : Position or None
        Greatest position known to be held by two members.
    """
    raise TypeError(f"request cannot handle {type(outcome).__name__}")


@decide_request_effect.register
def _(
    outcome: MemberAnswer, running: RunningRequest, held: Position | None
) -> RequestEffect:
    kind = running.request.kind
    answer = Answer(
        results=outcome.results,
        position=outcome.position,
        served_by=running.address,
        role=running.role,
        replayed=outcome.is_replayed or running.is_outcome_lookup,
        more=outcome.more,
        found=outcome.is_found,
    )
    if kind is RequestKind.READ:
        position = _held_position(outcome.position, running, held)
        return FinishRequest(Ok(answer._replace(position=position)))
    if not outcome.is_found and kind is not RequestKind.OUTCOME:
        return _decide_outcome_not_found(running)
    is_binding = kind in BINDING or (kind is RequestKind.OUTCOME and outcome.is_found)
    if is_binding and outcome.position is None:
        detail = "the member's answer names no position"
        return decide_request_effect(MemberCallFailure(True, detail), running, held)
    if is_binding:
        return AwaitConfirmation(running._replace(answer=answer))
    return FinishRequest(Ok(answer._replace(position=None)))


@decide_request_effect.register
def _(
    outcome: MemberRefusal, running: RunningRequest, held: Position | None
) -> RequestEffect:
    code = outcome.code
    if code in ("behind", "diverged") and running.role == "replica":
        return RetryRequest(running._replace(is_primary_only=True))
    if code in RETRYABLE_REFUSAL_CODES and not is_pinned(running):
        return RetryRequest(running)
    if code in RETRYABLE_REFUSAL_CODES:
        code = "transaction_lost"
    return FinishRequest(_refusal(running, code, outcome.detail))


@decide_request_effect.register
def _(
    outcome: MemberCallFailure, running: RunningRequest, held: Position | None
) -> RequestEffect:
    kind = running.request.kind
    if not outcome.was_sent:
        if is_pinned(running):
            return FinishRequest(_refusal(running, "transaction_lost", outcome.detail))
        return RetryRequest(running)
    first_term = running.first_term or running.term
    running = running._replace(may_have_run=True, first_term=first_term)
    if kind is RequestKind.COMMIT:
        return RetryRequest(running._replace(is_outcome_lookup=True))
    if is_pinned(running):
        return FinishRequest(_refusal(running, "transaction_lost", outcome.detail))
    return RetryRequest(running)


def is_pinned(running: RunningRequest) -> bool:
    """Return whether a request runs on its transaction's connection."""
    return running.request.kind in IN_TRANSACTION and not running.is_outcome_lookup


def ends_transaction(running: RunningRequest, outcome: object) -> bool:
    """Return whether an answer leaves no open transaction at the member."""
    if isinstance(outcome, MemberRefusal):
        is_end = running.request.kind is not RequestKind.EXECUTE
        return is_end or outcome.code not in ("statement_failed", "bad_statement")
    return running.request.kind is not RequestKind.EXECUTE


def refuse_lost_transaction(running: RunningRequest) -> FinishRequest:
    """Return the refusal of a statement whose transaction ended while it waited."""
    detail = "the transaction ended before the statement was sent"
    return FinishRequest(_refusal(running, "transaction_lost", detail))


def expire(running: RunningRequest) -> FinishRequest:
    """Return the refusal of a request whose deadline or retries are used up."""
    if running.request.kind in BINDING and running.may_have_run:
        detail = "the write may have taken effect; ask for the outcome of its id"
        return FinishRequest(_refusal(running, "outcome_unknown", detail))
    return FinishRequest(
        _refusal(running, "member_unreachable", "no member answered in time")
    )


def retry_in_new_term(running: RunningRequest) -> RunningRequest:
    """Return a request whose answer was not confirmed before the term ended."""
    return running._replace(
        answer=None,
        may_have_run=True,
        first_term=running.first_term or running.term,
        is_outcome_lookup=running.is_outcome_lookup
        or running.request.kind is RequestKind.COMMIT,
    )


def _decide_outcome_not_found(running: RunningRequest) -> RequestEffect:
    # The history of a newer term is fixed, so a commit of an older term that is
    # not in it can no longer take effect.
    if running.may_have_run and running.term == running.first_term:
        return RetryRequest(running)
    if running.may_have_run:
        running = running._replace(may_have_run=False)
        detail = "the primary was replaced before the commit was kept"
        return FinishRequest(_refusal(running, "transaction_lost", detail))
    # An earlier attempt, perhaps through another owner, may still be on its way.
    running = running._replace(may_have_run=True)
    detail = "no transaction and no recorded commit has this id"
    return FinishRequest(_refusal(running, "unknown_transaction", detail))


def _refusal(running: RunningRequest, code: str, detail: str) -> Reply:
    ran = ExecutionStatus.UNKNOWN if running.may_have_run else ExecutionStatus.NOT_RUN
    return Error(Refusal(code, ran, "execution", running.address, detail))


def _held_position(
    position: Position | None, running: RunningRequest, held: Position | None
) -> Position | None:
    """Return the part of a read's position that two members are known to hold."""
    if position is None:
        return None
    if running.role == "replica" and position.term == running.term:
        return position
    return None if held is None else min(position, held)
