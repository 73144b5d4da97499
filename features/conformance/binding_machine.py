"""Owners' decisions on a binding write compared with the model.

A binding write has an idempotency key and is acknowledged only after a second member
has it.
"""

from features.conformance.replica_machine import (
    INDEXES,
    ReplicaMachine,
    make_request,
)
from hypothesis.stateful import invariant, rule
from hypothesis.strategies import booleans, integers
from spec.binding import actions
from spec.binding.model import MODEL
from spec.replicas import steps

from jackdawspread.codecs.member_protocol import encode_statement
from jackdawspread.decisions.owner.await_confirmation import AwaitConfirmation
from jackdawspread.decisions.owner.confirmation import (
    add_outstanding,
    next_position_to_confirm,
    pop_confirmed,
    record_confirmed,
    remove_outstanding,
)
from jackdawspread.decisions.owner.confirmation_state import no_confirmations
from jackdawspread.decisions.owner.finish_request import FinishRequest
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.member_call_failure import MemberCallFailure
from jackdawspread.decisions.owner.member_refusal import MemberRefusal
from jackdawspread.decisions.owner.request_outcome import (
    decide_request_effect,
    expire,
    retry_in_new_term,
)
from jackdawspread.decisions.owner.retry_request import RetryRequest
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.request_kind import RequestKind

SUBMISSIONS = integers(0, 1)
READY, SENT, WAITING, DONE = "ready", "sent", "waiting", "done"


class BindingMachine(ReplicaMachine):
    """Two submissions of one request id through two owners.

    An owner in the code sends the next attempt only after an answer or a timeout of
    the last one and refuses only at the deadline; the model may do both at any time.
    """

    actions, initial_state, rules_of_model = actions, MODEL.initial, MODEL.rules

    def __init__(self) -> None:
        super().__init__()
        request = make_request(RequestKind.WRITE, actions.WRITE)
        self.running = [RunningRequest(id, request) for id in range(2)]
        self.stage = [READY, READY]
        self.remaining_attempts = [list(attempts) for attempts in actions.SUBMISSIONS]
        self.current_attempt = [-1, -1]
        self.may_have_run = [False, False]
        self.confirming = [no_confirmations(0)] * 2
        self.call_by_attempt: dict[int, tuple[str, object]] = {}
        self.outcome_by_attempt: dict[int, object] = {}

    @rule(owner=SUBMISSIONS, index=INDEXES)
    def send(self, owner: int, index: int) -> None:
        """Send an attempt to a primary."""
        state = self.stores[index].state
        is_primary = self.primary_of(state.term) == index
        if (
            self.stage[owner] != READY
            or not self.remaining_attempts[owner]
            or not is_primary
        ):
            return
        attempt = self.remaining_attempts[owner].pop(0)
        self.current_attempt[owner], self.stage[owner] = attempt, SENT
        self.running[owner] = self.running[owner]._replace(
            address=str(index), role="primary", term=state.term
        )
        self.call_by_attempt[attempt] = encode_statement(
            self.running[owner], state.term, ""
        )
        assert self.model.try_step(actions.send, f"attempt={attempt} term={state.term}")

    @rule(attempt=INDEXES, other=INDEXES)
    def deliver(self, attempt: int, other: int) -> None:
        """Deliver an attempt to the primary of its term, or to another member."""
        if attempt not in self.call_by_attempt:
            return
        target, body = self.call_by_attempt.pop(attempt)
        at = self.primary_of(body["term"])
        outcome = self.call(other if at is None else at, target, body)
        self.outcome_by_attempt[attempt] = outcome
        name = f"attempt={attempt} refused"
        if isinstance(outcome, MemberAnswer):
            kind = "replayed" if outcome.is_replayed else "ran"
            name = f"attempt={attempt} {kind} member={at}"
        assert self.model.try_step(actions.deliver, name), name
        if isinstance(outcome, MemberAnswer):
            found = self.model.state.attempts[attempt].position
            assert outcome.position.sequence == found, (outcome, found)

    @rule(owner=SUBMISSIONS, is_lost=booleans())
    def handle_outcome(self, owner: int, is_lost: bool) -> None:
        """Let an owner receive the outcome of its attempt, or a timeout."""
        attempt = self.current_attempt[owner]
        if self.stage[owner] != SENT or not (
            is_lost or attempt in self.outcome_by_attempt
        ):
            return
        outcome = self.outcome_by_attempt.get(attempt)
        if is_lost:
            outcome = MemberCallFailure(True, "no answer")
        self.may_have_run[owner] |= not isinstance(outcome, MemberRefusal)
        effect = decide_request_effect(outcome, self.running[owner], None)
        if isinstance(effect, FinishRequest):
            raise AssertionError(effect)
        self.running[owner] = effect.running
        self.stage[owner] = READY
        if isinstance(effect, AwaitConfirmation):
            assert isinstance(outcome, MemberAnswer), outcome
            self.stage[owner] = WAITING
            waiting = {owner: effect.running.answer.position}
            state = no_confirmations(effect.running.term)
            self.confirming[owner] = state._replace(waiting_by_id=waiting)
        else:
            assert isinstance(effect, RetryRequest), effect

    @rule(owner=SUBMISSIONS, is_lost=booleans())
    def run_attempt(self, owner: int, is_lost: bool) -> None:
        """Send an attempt to the newest primary; deliver and answer it at once."""
        newest = self.primary_of(max(store.state.term for store in self.stores))
        self.send(owner, newest)
        self.deliver(self.current_attempt[owner], newest)
        self.handle_outcome(owner, is_lost)

    @rule(owner=SUBMISSIONS, index=INDEXES)
    def confirm(self, owner: int, index: int) -> None:
        """Ask a second member to confirm the write; acknowledge it if it does.

        The model acknowledges only while the primary has its role; the code may do
        so a little later, which the model of promotion covers.
        """
        if self.stage[owner] != WAITING:
            return
        term = self.running[owner].term
        at = self.primary_of(term)
        if at in (None, index):
            return
        state = self.confirming[owner]
        position = next_position_to_confirm(state, str(index))
        assert position == self.running[owner].answer.position, position
        add_outstanding(state, str(index), position)
        is_held = self.is_confirmed(term, position, index)
        remove_outstanding(state, str(index), position)
        members = self.model.state.members
        entry = members[at].log[position.sequence - 1]
        held = steps.held(members[index], term, position.sequence, entry)
        assert is_held == held, (index, position)
        # A confirmation of an older term may still arrive.
        assert record_confirmed(state, term - 1, position) == state
        if is_held:
            state = self.confirming[owner] = record_confirmed(state, term, position)
        acknowledged = pop_confirmed(state)
        assert acknowledged == ([owner] if held else []), (state, held)
        if acknowledged:
            self.stage[owner] = DONE
            name = f"attempt={self.current_attempt[owner]}"
            assert self.model.try_step(actions.acknowledge, name), name

    @rule(owner=SUBMISSIONS)
    def enter_term(self, owner: int) -> None:
        """Let an owner receive a newer term before the confirmation."""
        newest = max(store.state.term for store in self.stores)
        if self.stage[owner] == WAITING and newest > self.running[owner].term:
            self.running[owner] = retry_in_new_term(self.running[owner])
            self.stage[owner] = READY

    @rule(owner=SUBMISSIONS)
    def expire(self, owner: int) -> None:
        """Refuse at the deadline, as not run only if every attempt was refused."""
        if self.stage[owner] != READY or self.current_attempt[owner] < 0:
            return
        self.stage[owner] = DONE
        refusal = expire(self.running[owner]).reply.error
        is_not_run = refusal.ran is ExecutionStatus.NOT_RUN
        assert is_not_run != self.may_have_run[owner], refusal
        if is_not_run:
            assert self.model.try_step(actions.refuse, f"submission={owner}"), refusal

    @invariant()
    def model_invariants_hold(self) -> None:
        """Check the invariants of the model."""
        for name, invariant_of_model in MODEL.invariants.items():
            assert invariant_of_model(self.model.state), name
