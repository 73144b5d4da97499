"""Three members that run the pure decisions of the replicated log."""

from jackdawspread.messages.position import Position
from jackdawspread.standins.member.check_position import check_position
from jackdawspread.standins.member.check_term import check_primary, check_term
from jackdawspread.standins.member.decide_append import decide_append
from jackdawspread.standins.member.decide_confirm import decide_confirm
from jackdawspread.standins.member.decide_follow import decide_follow
from jackdawspread.standins.member.decide_open import decide_open
from jackdawspread.standins.member.decide_prepare import decide_prepare
from jackdawspread.standins.member.decide_replicate import (
    common_prefix_bound,
    decide_replicate,
)
from jackdawspread.standins.member.log_entry import LogEntry
from jackdawspread.standins.member.member_state import MemberState
from jackdawspread.standins.member.position_relation import PositionRelation
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.requests.replicate import Replicate
from jackdawspread.standins.member.role import Role


class ReplicationModel:
    """Members, promises by term, answers in flight and acknowledged positions."""

    def __init__(self) -> None:
        self.states = [
            MemberState(str(i), Role.REPLICA, 0, 0, [], [], 0, "") for i in range(3)
        ]
        self.promises: dict[int, dict[int, Position]] = {}
        self.primary_by_term: dict[int, int] = {}
        self.in_flight: dict[int, tuple[LogEntry, ...]] = {}
        self.fetch_positions = [Position(0, 0)] * 3
        self.acknowledged: set[Position] = set()
        self.truncations = 0

    def prepare(self, member: int, term: int) -> None:
        """Ask a member for a promise; a granted one drops its fetch in flight."""
        before = self.states[member]
        after, granted = decide_prepare(before, Prepare(term))
        self.states[member] = after
        if granted:
            self.promises.setdefault(term, {})[member] = after.last_position
        if before.upstream and not after.upstream:
            self.in_flight.pop(member, None)

    def open(self, _: int, term: int) -> None:
        """Open a term at the member with the greatest position of a majority."""
        promises = self.promises.get(term, {})
        if len(promises) < 2 or term in self.primary_by_term:
            return
        member = max(promises, key=lambda m: promises[m])
        decided = decide_open(self.states[member], Open(term), 0.0)
        if decided.is_ok():
            self.states[member] = decided.ok
            self.primary_by_term[term] = member
            for position in self.acknowledged:
                assert self._contains(member, position), (term, position)

    def follow(self, member: int, term: int) -> None:
        """Make a member follow the primary of a term."""
        primary = self.primary_by_term.get(term)
        if primary is None or primary == member:
            return
        decided = decide_follow(self.states[member], Follow(term, str(primary)))
        if decided.is_ok():
            self.states[member] = decided.ok
            self.fetch_positions[member] = decided.ok.last_position
            self.in_flight.pop(member, None)

    def write(self, _: int, term: int) -> None:
        """Write at the primary of a term, if it still accepts writes."""
        primary = self.primary_by_term.get(term)
        if primary is None or check_primary(self.states[primary], term).is_error():
            return
        log = self.states[primary].log
        log.append(LogEntry(Position(term, len(log) + 1), "", "", "", (), ()))
        self.states[primary].appended_at.append(0.0)

    def fetch(self, member: int, _: int) -> None:
        """Answer a replica's fetch; the entries are in flight until appended."""
        state = self.states[member]
        if not state.upstream:
            return
        request = Replicate(state.term, self.fetch_positions[member])
        decided = decide_replicate(self.states[int(state.upstream)], request)
        if decided.is_ok():
            self.in_flight[member] = decided.ok
        elif decided.error.code == "diverged":
            hint = decided.error.fields["position"]
            self.fetch_positions[member] = common_prefix_bound(state.log, hint)

    def append_in_flight(self, member: int, _: int) -> None:
        """Let a replica append the entries in flight."""
        entries = self.in_flight.pop(member, ())
        last_position = self.states[member].last_position
        self.states[member] = decide_append(self.states[member], entries, 0.0)
        self.truncations += not self._contains(member, last_position)
        if entries:
            self.fetch_positions[member] = entries[-1].position

    def acknowledge(self, member: int, term: int) -> None:
        """Ask another member to confirm the last position of the primary's log."""
        primary = self.primary_by_term.get(term)
        if primary is None or primary == member:
            return
        state = self.states[primary]
        if check_primary(state, term).is_error():
            return
        request = Confirm(term, state.last_position)
        held = decide_confirm(self.states[member], request)
        if held and check_term(self.states[member], term).is_ok():
            self.acknowledged.add(state.last_position)

    def check_prefixes(self) -> None:
        """Check that the shared entries of any two logs are a common prefix."""
        for one in self.states:
            for other in self.states:
                shared = [e for e in one.log if e in other.log]
                length = len(shared)
                assert one.log[:length] == other.log[:length] == shared

    def _contains(self, member: int, position: Position) -> bool:
        log = self.states[member].log
        relation = check_position(log, len(log), position)
        return relation is PositionRelation.CONTAINED
