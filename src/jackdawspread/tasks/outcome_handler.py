"""Outcomes of the requests of one owner."""

from functools import singledispatchmethod

from absl import logging
from expression import Ok

from jackdawspread.codecs.member_protocol import MemberOutcome, decode_outcome
from jackdawspread.decisions.owner.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.owner.finish_request import FinishRequest
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.member_refusal import MemberRefusal
from jackdawspread.decisions.owner.promotion_state import (
    PromotionState,
    can_acknowledge_writes,
)
from jackdawspread.decisions.owner.request_effect import RequestEffect
from jackdawspread.decisions.owner.request_outcome import (
    decide_request_effect,
    ends_transaction,
    expire,
    is_pinned,
    retry_in_new_term,
)
from jackdawspread.decisions.owner.retry_budget import (
    RetryPolicy,
    count_request,
    spend_retry,
)
from jackdawspread.decisions.owner.retry_request import RetryRequest
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.decisions.owner.statement_call import StatementCall
from jackdawspread.messages.answer import Answer
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.tasks.owner_components import OwnerComponents
from jackdawspread.tasks.owner_metrics import REPEATS
from jackdawspread.tasks.request_sender import RequestSender
from jackdawspread.tasks.retry_queue import RetryQueue

# A member that refuses for its role or load is not asked again at once.
RETRY_DELAY_SECONDS = 0.05


class OutcomeHandler:
    """Owns the retry budget and the requests to be sent again.

    Parameters
    ----------
    parts : OwnerComponents
        Parts of the same owner.
    sender : RequestSender
        Knows the requests in flight.
    budget : RetryPolicy
        Initial state of the retry rule.
    """

    def __init__(
        self, parts: OwnerComponents, sender: RequestSender, budget: RetryPolicy
    ) -> None:
        self._parts = parts
        self._sender = sender
        self._budget = budget
        self._term = 0
        self.repeats = RetryQueue()

    def count_request(self, retry_percent: int) -> None:
        """Add a new request's share to the retry budget."""
        self._budget = count_request(self._budget, retry_percent)

    def handle_statement_outcome(
        self, call: StatementCall, outcome: HttpOutcome, now: float
    ) -> None:
        """Take the outcome of a statement."""
        running = self._sender.take(call.request_id)
        decoded = decode_outcome(outcome)
        # A position of a replaced primary may not be part of the new history.
        confirmed_position = (
            self._parts.confirmer.confirmed_position
            if running.term == self._term
            else None
        )
        effect = decide_request_effect(decoded, running, confirmed_position)
        if isinstance(decoded, MemberAnswer):
            self._learn(running, decoded, now - call.sent_at)
        if isinstance(decoded, MemberRefusal) and running.role == "primary":
            due_at = now + RETRY_DELAY_SECONDS * running.attempts
        else:
            due_at = now
        effect = self._settle_connection(running, outcome, decoded, effect, now)
        self._apply(effect, running, due_at, now)

    def lose(self, call: StatementCall, now: float) -> None:
        """Take the loss of a statement whose connection was closed here."""
        error = "the primary was replaced"
        outcome = HttpOutcome(0, call.connection, 0, {}, True, error)
        self.handle_statement_outcome(call, outcome, now)

    def enter_term(self, term: int, primary: str, now: float) -> None:
        """Repeat under a new term what the replaced one did not confirm."""
        self._term = term
        self._parts.placer.enter_term()
        for running in self._parts.confirmer.enter_term(term, primary):
            effect = RetryRequest(retry_in_new_term(running))
            self._apply(effect, running, now, now)

    def acknowledge(self, watch: PromotionState, now: float) -> None:
        """Reply to the writes that a second member holds in the term in force."""
        if not can_acknowledge_writes(watch) or watch.term != self._term:
            return
        for running in self._parts.confirmer.pop_confirmed():
            assert running.answer is not None
            self._parts.replies.finish(running.id, Ok(running.answer), now)

    def expire(self, now: float) -> None:
        """Refuse the requests whose deadline has passed."""
        late = self._parts.confirmer.take_expired(now)
        late = [running._replace(may_have_run=True) for running in late]
        for running in late + self.repeats.take_expired(now):
            self._parts.replies.finish(running.id, expire(running).reply, now)

    def _learn(
        self, running: RunningRequest, answer: MemberAnswer, seconds: float
    ) -> None:
        if running.role == "primary":
            self._parts.placer.record_service_time(seconds)
        elif answer.position is not None:
            self._parts.placer.record_log_position(running.address, answer.position)

    def _settle_connection(
        self,
        running: RunningRequest,
        outcome: HttpOutcome,
        decoded: MemberOutcome,
        effect: RequestEffect,
        now: float,
    ) -> RequestEffect:
        """Free, close or pin the connection of a finished attempt."""
        pools, transactions = self._parts.pools, self._parts.transactions
        address, connection = running.address, running.connection
        id = running.request.transaction_id
        if is_pinned(running):
            if outcome.status == 0:
                transactions.drop(id, "connection lost")
            elif not ends_transaction(running, decoded):
                pools.mark(address, connection, "transaction")
            elif isinstance(decoded, MemberAnswer):
                transactions.end(id, now)
            else:
                # The transaction may still be open on the connection.
                transactions.drop(id, "refused by the member")
        elif outcome.status == 0:
            pools.close(address, connection)
        elif running.request.kind is RequestKind.BEGIN and outcome.status == 200:
            assert isinstance(decoded, MemberAnswer)
            id = transactions.begin(running, decoded.transaction, now)
            return FinishRequest(Ok(Answer(transaction_id=id, served_by=address)))
        else:
            pools.release(address, connection, now)
        return effect

    @singledispatchmethod
    def _apply(
        self, effect: object, running: RunningRequest, due_at: float, now: float
    ) -> None:
        raise TypeError(f"owner cannot apply {type(effect).__name__}")

    @_apply.register
    def _(
        self, effect: FinishRequest, running: RunningRequest, due_at: float, now: float
    ) -> None:
        self._parts.replies.finish(running.id, effect.reply, now)

    @_apply.register
    def _(
        self,
        effect: AwaitConfirmation,
        running: RunningRequest,
        due_at: float,
        now: float,
    ) -> None:
        if running.term == self._term:
            self._parts.confirmer.add(effect.running)
            return
        repeat = RetryRequest(retry_in_new_term(effect.running))
        self._apply(repeat, running, due_at, now)

    @_apply.register
    def _(
        self, effect: RetryRequest, running: RunningRequest, due_at: float, now: float
    ) -> None:
        self._budget, is_granted = spend_retry(self._budget)
        REPEATS.labels(is_granted).inc()
        logging.info(
            "owner: repeat request id=%s granted=%s attempts=%d",
            running.request.id,
            is_granted,
            running.attempts,
        )
        if is_granted:
            self.repeats.add(effect.running, due_at)
        else:
            reply = expire(effect.running).reply
            self._parts.replies.finish(running.id, reply, now)
