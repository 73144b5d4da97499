"""Effect of an attempt's outcome on its request."""

from functools import singledispatch

from expression import Error, Ok

from jackdawspread.decisions.owner.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.owner.finish_request import FinishRequest
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.member_call_failure import MemberCallFailure
from jackdawspread.decisions.owner.member_refusal import MemberRefusal
from jackdawspread.decisions.owner.request_check import TRANSACTION_CONTINUATION_KINDS
from jackdawspread.decisions.owner.request_effect import RequestEffect
from jackdawspread.decisions.owner.retry_request import RetryRequest
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.position import Position
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.reply import Reply
from jackdawspread.messages.request_kind import RequestKind

BINDING_KINDS = (RequestKind.WRITE, RequestKind.COMMIT)
RETRYABLE_REFUSAL_CODES = ("not_primary", "stale_term", "too_many_connections")


@singledispatch
def decide_request_effect(
    outcome: object, running: RunningRequest, confirmed_position: Position | None
) -> RequestEffect:
    """Return the effect of the outcome of an attempt.

    Parameters
    ----------
    outcome : MemberAnswer, MemberRefusal or MemberCallFailure
        Outcome of the attempt.
    running : RunningRequest
        The request and the data of the attempt.
    confirmed_position : Position or None
        Greatest position that a second member has confirmed.
    """
    raise TypeError(f"request cannot handle {type(outcome).__name__}")


@decide_request_effect.register
def _(
    outcome: MemberAnswer, running: RunningRequest, confirmed_position: Position | None
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
        position = _confirmed_read_position(
            outcome.position, running, confirmed_position
        )
        return FinishRequest(Ok(answer._replace(position=position)))
    if not outcome.is_found and kind is not RequestKind.OUTCOME:
        return _decide_outcome_not_found(running)
    is_binding = kind in BINDING_KINDS or (
        kind is RequestKind.OUTCOME and outcome.is_found
    )
    if is_binding and outcome.position is None:
        detail = "the member's answer contains no position"
        return decide_request_effect(
            MemberCallFailure(True, detail), running, confirmed_position
        )
    if is_binding:
        return AwaitConfirmation(running._replace(answer=answer))
    return FinishRequest(Ok(answer._replace(position=None)))


@decide_request_effect.register
def _(
    outcome: MemberRefusal, running: RunningRequest, confirmed_position: Position | None
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
    outcome: MemberCallFailure,
    running: RunningRequest,
    confirmed_position: Position | None,
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
    return (
        running.request.kind in TRANSACTION_CONTINUATION_KINDS
        and not running.is_outcome_lookup
    )


def ends_transaction(running: RunningRequest, outcome: object) -> bool:
    """Return whether the transaction is finished at the member after an outcome."""
    if isinstance(outcome, MemberRefusal):
        is_end = running.request.kind is not RequestKind.EXECUTE
        return is_end or outcome.code not in ("statement_failed", "bad_statement")
    return running.request.kind is not RequestKind.EXECUTE


def refuse_lost_transaction(running: RunningRequest) -> FinishRequest:
    """Return the refusal of a queued statement whose transaction has ended."""
    detail = "the transaction ended before the statement was sent"
    return FinishRequest(_refusal(running, "transaction_lost", detail))


def expire(running: RunningRequest) -> FinishRequest:
    """Return the refusal of a request that has no time or no retry left."""
    if running.request.kind in BINDING_KINDS and running.may_have_run:
        detail = "the write may have taken effect; query the outcome by its id"
        return FinishRequest(_refusal(running, "outcome_unknown", detail))
    return FinishRequest(
        _refusal(running, "member_unreachable", "no member answered in time")
    )


def retry_in_new_term(running: RunningRequest) -> RunningRequest:
    """Return the request to retry after its term ended without a confirmation."""
    return running._replace(
        answer=None,
        may_have_run=True,
        first_term=running.first_term or running.term,
        is_outcome_lookup=running.is_outcome_lookup
        or running.request.kind is RequestKind.COMMIT,
    )


def _decide_outcome_not_found(running: RunningRequest) -> RequestEffect:
    # The new primary's log is final for older terms, so a commit of an older term
    # that it lacks can no longer take effect.
    if running.may_have_run and running.term == running.first_term:
        return RetryRequest(running)
    if running.may_have_run:
        running = running._replace(may_have_run=False)
        detail = "the primary was replaced before the commit was replicated"
        return FinishRequest(_refusal(running, "transaction_lost", detail))
    # An earlier attempt, perhaps through another owner, may still be in transit.
    running = running._replace(may_have_run=True)
    detail = "no transaction and no recorded commit has this id"
    return FinishRequest(_refusal(running, "unknown_transaction", detail))


def _refusal(running: RunningRequest, code: str, detail: str) -> Reply:
    ran = ExecutionStatus.UNKNOWN if running.may_have_run else ExecutionStatus.NOT_RUN
    return Error(Refusal(code, ran, "execution", running.address, detail))


def _confirmed_read_position(
    position: Position | None,
    running: RunningRequest,
    confirmed_position: Position | None,
) -> Position | None:
    """Return the part of a read's position that two members are known to have."""
    if position is None:
        return None
    if running.role == "replica" and position.term == running.term:
        return position
    return None if confirmed_position is None else min(position, confirmed_position)
