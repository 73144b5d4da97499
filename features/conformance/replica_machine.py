"""Member stand-ins compared with the replicas of the models.

The models of binding writes and of sessions share these replicas.
"""

from typing import Any
from unittest.mock import patch

from features.conformance.model_run import ModelRun
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from
from msgspec import json
from spec.replicas.entry import Entry
from spec.replicas.member import Member

from jackdawspread.codecs.member_protocol import decode_outcome
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.http_request import HttpRequest
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.statement import Statement
from jackdawspread.standins.member import member_store
from jackdawspread.standins.member.answer_waiting import answer_waiting
from jackdawspread.standins.member.decide_replicate import common_prefix_bound
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_codec import (
    decode_member_request,
    encode_answer,
    encode_refusal,
)
from jackdawspread.standins.member.member_store import MemberStore
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.requests.replicate import Replicate
from jackdawspread.standins.member.role import Role

SCHEMA = "CREATE TABLE stock (packets INTEGER);"
STATEMENT = Statement("INSERT INTO stock VALUES (?)", (1,))
PAIRS = ((0, 1), (0, 2), (1, 2))
INDEXES = integers(0, 2)


def make_request(kind: RequestKind, request_id: str) -> RoutedRequest:
    """Return a request of the workspace swap."""
    return RoutedRequest(
        "r", kind, "swap", "k", "d", (STATEMENT,), request_id, None, None, 9.0
    )


class ReplicaMachine(RuleBasedStateMachine):
    """Three members without sockets, whose terms are numbered like the model's."""

    actions: Any
    initial_state: Any
    rules_of_model: Any

    def __init__(self) -> None:
        super().__init__()
        self.clock = patch.object(member_store, "current_time", lambda: 0.0)
        self.clock.start()
        self.model = ModelRun(self.initial_state, self.rules_of_model)
        self.stores = [MemberStore(str(index), SCHEMA) for index in range(3)]
        for store in self.stores:
            store.handle_request(Prepare(1), 0)
        self.stores[0].handle_request(Open(1), 0)
        for index in (1, 2):
            self.stores[index].handle_request(Follow(1, "0"), 0)
            self.stores[index].append(tuple(self.stores[0].state.log))
        for store in self.stores:
            store.apply_due_entries(0.0)

    def teardown(self) -> None:
        """Restore the clock."""
        self.clock.stop()

    @rule(group=sampled_from(PAIRS), last=integers(0, 1))
    def promote(self, group: tuple[int, int], last: int) -> None:
        """Promote the member with the more advanced log of two; skip the third one."""
        term = max(store.state.promised for store in self.stores) + 1
        if term > self.actions.LAST_TERM:
            return
        states = [
            self.stores[index].handle_request(Prepare(term), 0).ok for index in group
        ]
        ends = [state["position"] for state in states]
        chosen = group[last] if ends[0] == ends[1] else group[ends.index(max(ends))]
        assert self.stores[chosen].handle_request(Open(term), 0).is_ok()
        self.stores[chosen].apply_due_entries(0.0)
        name = f"term={term} majority={group} primary={chosen}"
        assert self.model.try_step(self.actions.promote, name), name

    @rule(source=INDEXES, index=INDEXES)
    def replicate(self, source: int, index: int) -> None:
        """Follow a primary and append one entry.

        The model truncates conflicting entries one by one.
        """
        primary, store = self.stores[source].state, self.stores[index]
        if primary.role is not Role.PRIMARY or source == index:
            return
        name = f"{source}->{index}"
        if store.handle_request(Follow(primary.term, str(source)), 0).is_error():
            assert not self.model.try_step(self.actions.replicate, name)
            return
        fetch_position = store.state.last_position
        while True:
            request = Replicate(primary.term, fetch_position)
            answer = answer_waiting(request, self.stores[source].state)
            if answer.is_ok():
                break
            hint = answer.error.fields["position"]
            assert hint < fetch_position, (hint, fetch_position)
            fetch_position = common_prefix_bound(store.state.log, hint)
        store.append(answer.ok["entries"][:1])
        store.apply_due_entries(0.0)
        log = self.model_log(store)
        assert self.model.try_step(self.actions.replicate, name), name
        for _ in range(5):
            if self.model.state.members[index].log != log:
                assert self.model.try_step(self.actions.replicate, name), name

    @rule(index=INDEXES)
    def catch_up(self, index: int) -> None:
        """Replicate from the primary of the newest term until no entry is missing."""
        newest = max(store.state.term for store in self.stores)
        source = self.primary_of(newest)
        for _ in range(4 if source is not None else 0):
            self.replicate(source, index)

    def model_log(self, store: MemberStore) -> tuple[Entry, ...]:
        """Return a log in the representation of the model."""
        return tuple(
            Entry(entry.position.term, self.model_kind(entry))
            for entry in store.state.log
        )

    def model_kind(self, entry: LogEntry) -> str:
        """Return the model's kind of an entry: its request id up to the first dot."""
        return entry.request_id.partition(".")[0] or "start"

    def primary_of(self, term: int) -> int | None:
        """Return the member that is primary of a term."""
        for index, store in enumerate(self.stores):
            if store.state.role is Role.PRIMARY and store.state.term == term:
                return index
        return None

    def call(self, index: int, target: str, body: Any) -> Any:
        """Call a member through the codecs and return the decoded outcome."""
        request = HttpRequest("POST", target, {}, json.encode(body))
        outcome = self.stores[index].handle_request(
            decode_member_request(request).ok, 0
        )
        response = encode_answer(outcome.ok) if outcome.is_ok() else None
        response = response or encode_refusal(outcome.error)
        decoded = json.decode(response.body)
        return decode_outcome(HttpOutcome(1, 1, response.status, decoded, True))

    def is_confirmed(self, term: int, position: Position, index: int) -> bool:
        """Return whether a member confirms a position in a term."""
        request = Confirm(term, position)
        answer = answer_waiting(request, self.stores[index].state)
        return answer.is_ok() and answer.ok["held"]

    @invariant()
    def same_members(self) -> None:
        """Check that members and model have the same logs, promises and primaries."""
        for store, member in zip(self.stores, self.model.state.members, strict=True):
            state = store.state
            is_primary = state.role is Role.PRIMARY
            found = Member(self.model_log(store), state.promised, is_primary)
            assert found == member, (found, member)
