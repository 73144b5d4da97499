"""Reads and the caller's position compared with the model of session tokens."""

from features.conformance.replica_machine import (
    INDEXES,
    STATEMENT,
    ReplicaMachine,
    make_request,
)
from hypothesis.stateful import invariant, rule
from hypothesis.strategies import integers, sampled_from
from spec.session import actions
from spec.session.model import MODEL

from jackdawspread.decisions.owner.confirmation import record_confirmed
from jackdawspread.decisions.owner.confirmation_state import no_confirmations
from jackdawspread.decisions.owner.member_answer import MemberAnswer
from jackdawspread.decisions.owner.request_outcome import decide_request_effect
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind

READ = make_request(RequestKind.READ, "")


class SessionMachine(ReplicaMachine):
    """Checks the position in a caller's token and the members' checks of it.

    The gateway keeps the greater of two positions, which this machine does as well.
    """

    actions, initial_state, rules_of_model = actions, MODEL.initial, MODEL.rules

    def __init__(self) -> None:
        super().__init__()
        self.token: Position | None = None
        self.confirmed = no_confirmations(1)
        self.term_by_confirmed: dict[Position, int] = {}
        self.writes = 0

    @rule(index=INDEXES, kind=sampled_from((actions.OWN, actions.OTHER)))
    def write(self, index: int, kind: str) -> None:
        """Write at a member, which accepts it only as primary."""
        state = self.stores[index].state
        if len(state.log) >= actions.LOG_BOUND:
            return
        self.writes += 1
        body = {"term": state.term, "workspace": "swap", "digest": ""}
        body |= {
            "request_id": f"{kind}.{self.writes}",
            "statements": [STATEMENT._asdict()],
        }
        answer = self.call(index, "/write", body)
        taken = self.model.try_step(actions.write, f"member={index} {kind}")
        assert taken == isinstance(answer, MemberAnswer), answer

    @rule(at=INDEXES, index=INDEXES, back=integers(0, 2))
    def acknowledge(self, at: int, index: int, back: int) -> None:
        """Acknowledge a write of the caller that a second member confirms."""
        state = self.stores[at].state
        if self.primary_of(state.term) != at or at == index:
            return
        entry = state.log[-1 - min(back, len(state.log) - 1)]
        if not self.is_confirmed(state.term, entry.position, index):
            return
        if self.confirmed.term < state.term:
            self.confirmed = no_confirmations(state.term)
        self.confirmed = record_confirmed(self.confirmed, state.term, entry.position)
        self.term_by_confirmed.setdefault(entry.position, state.term)
        if self.model_kind(entry) == actions.OWN:
            self.token = max(self.token or entry.position, entry.position)
            name = f"member={at} position={entry.position.sequence}"
            assert self.model.try_step(actions.acknowledge, name), name

    @rule(index=INDEXES)
    def read(self, index: int) -> None:
        """Read at any member with the token, and advance the token."""
        state = self.stores[index].state
        body = {"statement": {"sql": "SELECT * FROM stock"}, "position": self.token}
        answer = self.call(index, "/read", body)
        served = isinstance(answer, MemberAnswer)
        assert self.model.try_step(actions.read, f"member={index}") == served, answer
        primary = self.primary_of(state.term)
        if not served or primary is None or state.promised != state.term:
            return
        role = state.role.value
        running = RunningRequest(1, READ, role=role, term=state.term)
        confirmed_position = (
            self.confirmed.confirmed_position
            if self.confirmed.term == state.term
            else None
        )
        position = decide_request_effect(
            answer, running, confirmed_position
        ).reply.ok.position
        token = position and max(self.token or position, position)
        if token in (None, self.token):
            return
        self.token = token
        # The model advances the token only by reads at the primary, to the position
        # that is confirmed at that moment. In the code, a replica's position in the
        # current term is confirmed too, because the replica and the primary both have
        # it, and the owner remembers what was confirmed before.
        steps = actions.read_advances(self.model.state, self.model.rules)
        after = {state.token: state for _, state in steps}.get(token)
        if after is None:
            assert token in self.term_by_confirmed, (
                token,
                confirmed_position,
                self.model.state,
            )
            term = self.term_by_confirmed[token]
            after = self.model.state._replace(token=token, token_term=term)
        self.model.state = after

    @invariant()
    def same_token(self) -> None:
        """Check the token and the invariants of the model."""
        assert (self.token or (0, 0)) == self.model.state.token
        for name, holds in MODEL.invariants.items():
            assert holds(self.model.state), name
