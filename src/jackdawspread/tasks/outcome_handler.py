"""Handling of the outcomes of attempts at one owner."""

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
from jackdawspread.tasks.owner_metrics import RETRIES
from jackdawspread.tasks.request_sender import RequestSender
from jackdawspread.tasks.retry_queue import RetryQueue

# Delay, for each attempt so far, before a request that the primary refused is retried.
RETRY_DELAY_SECONDS = 0.05


class OutcomeHandler:
    """Owns the retry budget and the requests that wait for a retry.

    Parameters
    ----------
    components : OwnerComponents
        Components of the same owner.
    sender : RequestSender
        Owner of the requests in flight.
    budget : RetryPolicy
        Initial state of the retry rule.
    """

    def __init__(
        self, components: OwnerComponents, sender: RequestSender, budget: RetryPolicy
    ) -> None:
        self._components = components
        self._sender = sender
        self._budget = budget
        self._term = 0
        self.retry_queue = RetryQueue()

    def count_request(self, retry_percent: int) -> None:
        """Add a new request's fraction of a retry to the retry budget."""
        self._budget = count_request(self._budget, retry_percent)

    def handle_statement_outcome(
        self, call: StatementCall, outcome: HttpOutcome, now: float
    ) -> None:
        """Handle the outcome of a statement."""
        running = self._sender.pop_running(call.request_id)
        decoded = decode_outcome(outcome)
        # A position of a replaced primary may not be part of the new history.
        confirmed_position = (
            self._components.confirmer.confirmed_position
            if running.term == self._term
            else None
        )
        effect = decide_request_effect(decoded, running, confirmed_position)
        if isinstance(decoded, MemberAnswer):
            self._record_answer(running, decoded, now - call.sent_at)
        if isinstance(decoded, MemberRefusal) and running.role == "primary":
            due_at = now + RETRY_DELAY_SECONDS * running.attempts
        else:
            due_at = now
        effect = self._update_connection(running, outcome, decoded, effect, now)
        self._apply(effect, running, due_at, now)

    def fail_statement(self, call: StatementCall, now: float) -> None:
        """Handle the failure of a statement whose connection this instance closed."""
        error = "the primary was replaced"
        outcome = HttpOutcome(0, call.connection, 0, {}, True, error)
        self.handle_statement_outcome(call, outcome, now)

    def enter_term(self, term: int, primary: str, now: float) -> None:
        """Retry in a new term the requests that the previous term did not confirm."""
        self._term = term
        self._components.member_selector.enter_term()
        for running in self._components.confirmer.enter_term(term, primary):
            effect = RetryRequest(retry_in_new_term(running))
            self._apply(effect, running, now, now)

    def acknowledge(self, promotion: PromotionState, now: float) -> None:
        """Reply to the writes that a second member confirmed in the current term."""
        if not can_acknowledge_writes(promotion) or promotion.term != self._term:
            return
        for running in self._components.confirmer.pop_confirmed():
            assert running.answer is not None
            self._components.replies.complete(running.id, Ok(running.answer), now)

    def expire(self, now: float) -> None:
        """Refuse the requests whose deadline has passed."""
        late = self._components.confirmer.take_expired(now)
        late = [running._replace(may_have_run=True) for running in late]
        for running in late + self.retry_queue.take_expired(now):
            self._components.replies.complete(running.id, expire(running).reply, now)

    def _record_answer(
        self, running: RunningRequest, answer: MemberAnswer, seconds: float
    ) -> None:
        if running.role == "primary":
            self._components.member_selector.record_service_time(seconds)
        elif answer.position is not None:
            self._components.member_selector.record_log_position(
                running.address, answer.position
            )

    def _update_connection(
        self,
        running: RunningRequest,
        outcome: HttpOutcome,
        decoded: MemberOutcome,
        effect: RequestEffect,
        now: float,
    ) -> RequestEffect:
        """Release, close or pin the connection of a finished attempt."""
        pools, transactions = self._components.pools, self._components.transactions
        address, connection = running.address, running.connection
        id = running.request.transaction_id
        if is_pinned(running):
            if outcome.status == 0:
                transactions.drop(id, "connection lost")
            elif not ends_transaction(running, decoded):
                pools.set_use(address, connection, "transaction")
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
        self._components.replies.complete(running.id, effect.reply, now)

    @_apply.register
    def _(
        self,
        effect: AwaitConfirmation,
        running: RunningRequest,
        due_at: float,
        now: float,
    ) -> None:
        if running.term == self._term:
            self._components.confirmer.add(effect.running)
            return
        retry = RetryRequest(retry_in_new_term(effect.running))
        self._apply(retry, running, due_at, now)

    @_apply.register
    def _(
        self, effect: RetryRequest, running: RunningRequest, due_at: float, now: float
    ) -> None:
        self._budget, is_granted = spend_retry(self._budget)
        RETRIES.labels(is_granted).inc()
        logging.info(
            "owner: retry request id=%s granted=%s attempts=%d",
            running.request.id,
            is_granted,
            running.attempts,
        )
        if is_granted:
            self.retry_queue.add(effect.running, due_at)
        else:
            reply = expire(effect.running).reply
            self._components.replies.complete(running.id, reply, now)
