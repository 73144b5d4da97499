"""Two owners and three members compared with the model of promotion."""

from features.conformance.model_run import ModelRun
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import booleans, integers
from spec.promotion import actions
from spec.promotion.model import MODEL
from spec.promotion.rules import Rules
from spec.promotion.state import State
from spec.promotion.term import Term

from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.open_answered import OpenAnswered
from jackdawspread.decisions.owner.owner_term import make_term
from jackdawspread.decisions.owner.probe_answered import ProbeAnswered
from jackdawspread.decisions.owner.probe_missed import ProbeMissed
from jackdawspread.decisions.owner.promise_received import PromiseReceived
from jackdawspread.decisions.owner.promotion import handle_promotion_event
from jackdawspread.decisions.owner.promotion_state import initial_promotion_state
from jackdawspread.decisions.owner.promotion_tick import PromotionTick
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.send_open import SendOpen
from jackdawspread.decisions.owner.send_prepare import SendPrepare
from jackdawspread.decisions.owner.term_started import TermStarted
from jackdawspread.messages.owner_assignment import OwnerAssignment
from jackdawspread.messages.position import Position
from jackdawspread.messages.term_announcement import TermAnnouncement
from jackdawspread.standins.member.check_term import check_primary
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
from jackdawspread.standins.member.requests.confirm import Confirm
from jackdawspread.standins.member.requests.follow import Follow
from jackdawspread.standins.member.requests.open import Open
from jackdawspread.standins.member.requests.prepare import Prepare
from jackdawspread.standins.member.requests.replicate import Replicate
from jackdawspread.standins.member.role import Role

NAMES = ("0", "1", "2")
# Term 1 of the model is the first term of generation 0; the later terms alternate
# between the owners of rank 0 and rank 1 of generation 1.
FIRST = 1
ROUNDS = 4
REAL_TERMS = (FIRST, *(make_term(1, n // 2, n % 2) for n in range(2 * ROUNDS)))
NUMBER_BY_TERM = {term: number for number, term in enumerate(REAL_TERMS, 1)}
INITIAL = State(
    MODEL.initial.members,
    MODEL.initial.terms[:1] + (actions.EMPTY,) * (2 * ROUNDS),
    False,
)
INDEXES = integers(0, 2)
OWNERS = integers(0, 1)


def entry(term: int, sequence: int) -> LogEntry:
    """Return a log entry without content."""
    return LogEntry(Position(term, sequence), "", "", "", (), ())


def initial_member(index: int) -> MemberState:
    """Return a member whose log contains only the start of the first term."""
    role = Role.PRIMARY if index == 2 else Role.REPLICA
    upstream = "" if index == 2 else "2"
    return MemberState(
        str(index), role, FIRST, FIRST, [entry(FIRST, 1)], [0.0], 1, upstream
    )


class PromotionMachine(RuleBasedStateMachine):
    """Delivers messages late, repeatedly, out of order or not at all.

    In the model, a term opens as soon as the promises allow it; in the code, the
    owner first has to receive them. Each message of an owner is therefore checked
    when it is sent, and the step of the member when the message arrives.
    """

    def __init__(self) -> None:
        super().__init__()
        self.model = ModelRun(INITIAL, Rules(log_bound=100))
        self.members = [initial_member(index) for index in range(3)]
        self.owners = [initial_promotion_state(NAMES) for _ in range(2)]
        self.sent: list[tuple[int, object]] = []
        self.answers: list[tuple[int, object]] = []
        self.now = 0.0
        for owner in range(2):
            self.handle_event(owner, OwnerAssignment("swap", 1, owner, True, 9))
            self.handle_event(owner, TermAnnouncement("swap", FIRST, "2"))

    def handle_event(self, owner: int, event: object) -> None:
        """Let an owner handle an event, and check each message that it sends."""
        state, effects = handle_promotion_event(event, self.owners[owner], self.now)
        self.owners[owner] = state
        for effect in effects:
            if isinstance(effect, SendPrepare | SendOpen | SendFollow):
                self.check_sent(owner, effect)
                self.sent.append((owner, effect))
            elif isinstance(effect, TermStarted):
                opened = self.term(effect.term).opened
                assert opened == (int(effect.primary),), (effect, opened)

    def term(self, real: int) -> Term:
        """Return the model's term for a term number of the code."""
        return self.model.state.terms[NUMBER_BY_TERM[real] - 1]

    def check_sent(self, owner: int, effect: SendPrepare | SendOpen | SendFollow):
        """Check that the model allows a message of an owner."""
        term = self.term(effect.term)
        if isinstance(effect, SendFollow):
            assert term.opened == (int(effect.primary),), (effect, term)
            return
        assert NUMBER_BY_TERM[effect.term] % 2 == owner, (effect, owner)
        if isinstance(effect, SendOpen) and not term.opened:
            choices = actions.most_advanced_members(term, self.model.rules)
            assert int(effect.address) in choices, (effect, term)

    @rule(owner=OWNERS, index=INDEXES)
    def show_status(self, owner: int, index: int) -> None:
        """Let an owner receive the status of a member."""
        m = self.members[index]
        status = MemberStatus(
            m.name,
            m.role.value,
            m.term,
            m.promised,
            m.last_position,
            m.last_position,
            9.0,
            self.now,
        )
        if m.promised in REAL_TERMS[:-3]:
            self.handle_event(owner, ProbeAnswered(status))

    @rule(owner=OWNERS, is_long=booleans())
    def start(self, owner: int, is_long: bool) -> None:
        """Let an owner start, retry or abandon a promotion."""
        self.handle_event(owner, ProbeMissed(self.owners[owner].primary, True))
        self.now += 0.7 if is_long else 0.1
        known = max(self.owners[owner].promised, self.owners[owner].promotion_term)
        if known < REAL_TERMS[-3]:
            self.handle_event(owner, PromotionTick(0.0))

    @rule(back=integers(0, 5))
    def deliver(self, back: int) -> None:
        """Deliver a message to its member, possibly a second time."""
        if self.sent:
            owner, effect = self.sent[-1 - back % len(self.sent)]
            self.deliver_to_member(owner, effect)

    @rule(back=integers(0, 5))
    def answer(self, back: int) -> None:
        """Deliver an answer to its owner, possibly a second time."""
        if self.answers:
            self.handle_event(*self.answers[-1 - back % len(self.answers)])

    def exchange(self, owner: int, cut_member: int) -> None:
        """Deliver an owner's latest messages, except to one member, and the answers."""
        sent = [effect for sender, effect in self.sent if sender == owner]
        for effect in sent[-3:]:
            if effect.address != str(cut_member):
                self.deliver_to_member(owner, effect)
        for sender, answer in self.answers[-3:]:
            if sender == owner:
                self.handle_event(owner, answer)

    @rule(
        owner=OWNERS, cut_member=integers(0, 3), rounds=integers(2, 3), writes=INDEXES
    )
    def promote(self, owner: int, cut_member: int, rounds: int, writes: int) -> None:
        """Run a promotion; then write at each member that still accepts writes."""
        self.start(owner, True)
        for _ in range(rounds):
            self.exchange(owner, cut_member)
        for index in (0, 1, 2):
            for _ in range(writes):
                self.write(index)
            self.confirm(index, 0, 2)

    @rule(owner=OWNERS, rounds=INDEXES, cut_member=integers(0, 3))
    def compete(self, owner: int, rounds: int, cut_member: int) -> None:
        """Let the other owner's promise requests overtake a step of a promotion."""
        self.start(owner, True)
        for _ in range(rounds):
            self.exchange(owner, cut_member)
        self.start(1 - owner, True)
        self.exchange(1 - owner, 3)
        self.exchange(owner, cut_member)
        self.exchange(1 - owner, 3)

    @rule(at=INDEXES, index=INDEXES, size=integers(1, 5))
    def commit(self, at: int, index: int, size: int) -> None:
        """Write, replicate some entries to a member and let it confirm."""
        for _ in range(2):
            self.write(at)
        self.replicate(index, size)
        self.confirm(index, 0, 100)

    def deliver_to_member(self, owner: int, effect: object) -> None:
        """Let a member handle a message, and the model take the same step."""
        index = int(effect.address)
        member = self.members[index]
        name = f"term={NUMBER_BY_TERM[effect.term]} member={index}"
        if isinstance(effect, SendPrepare):
            last_position = member.last_position
            after, granted = decide_prepare(member, Prepare(effect.term))
            assert granted == (member.promised <= effect.term), (member, effect)
            if not self.model.try_step(actions.prepare, name) and granted:
                # The model requests no promise once the term is open; a late
                # promise only fences the member until it follows.
                old = self.model.state.members[index]
                number = NUMBER_BY_TERM[after.promised]
                assert old.promised == number or self.term(effect.term).opened
                late = old._replace(promised=number)
                self.model.state = actions.with_member(self.model.state, index, late)
            reply = PromiseReceived(
                member.name, effect.term, granted, after.promised, last_position
            )
            self.answers.append((owner, reply))
        elif isinstance(effect, SendOpen):
            decided = decide_open(member, Open(effect.term), self.now)
            taken = self.model.try_step(actions.open_term, name)
            after = decided.ok if decided.is_ok() else member
            repeated = decided.is_ok() and after == member
            assert taken == decided.is_ok() and not repeated or repeated, decided
            reply = OpenAnswered(member.name, effect.term, decided.is_ok())
            self.answers.append((owner, reply))
        else:
            request = Follow(effect.term, effect.primary)
            decided = decide_follow(member, request)
            taken = self.model.try_step(actions.follow, name)
            after = decided.ok if decided.is_ok() else member
            assert taken == (after != member), (member, after)
        self.members[index] = after

    @rule(index=INDEXES)
    def write(self, index: int) -> None:
        """Write at a member, which accepts it only as primary."""
        member = self.members[index]
        is_primary = check_primary(member, member.term).is_ok()
        if is_primary:
            member.log.append(entry(member.term, len(member.log) + 1))
            member.appended_at.append(self.now)
        name = f"term={NUMBER_BY_TERM[member.term]} member={index}"
        assert self.model.try_step(actions.write, name) == is_primary, member

    @rule(index=INDEXES, size=integers(1, 5))
    def replicate(self, index: int, size: int) -> None:
        """Replicate up to `size` entries; the model replicates them one by one."""
        member = self.members[index]
        if not member.upstream:
            return
        fetch_position, before = member.last_position, len(member.log)
        source = self.members[int(member.upstream)]
        for _ in range(len(member.log) + 1):
            decided = decide_replicate(source, Replicate(member.term, fetch_position))
            if decided.is_ok():
                entries = decided.ok[:size]
                self.members[index] = decide_append(member, entries, self.now)
                break
            if decided.error.code != "diverged":
                return
            fetch_position = common_prefix_bound(
                member.log, decided.error.fields["position"]
            )
        assert decided.is_ok(), (member, source)
        name = f"term={NUMBER_BY_TERM[member.term]} member={index}"
        log = self.model_log(self.members[index])
        for _ in range(before + len(log) + 1):
            if self.model.state.members[index].log == log:
                return
            assert self.model.try_step(actions.replicate, name), (log, self.model.state)

    @rule(index=INDEXES, back=integers(0, 2), size=integers(2, 6))
    def confirm(self, index: int, back: int, size: int) -> None:
        """Ask a member to confirm a position of a term's history."""
        numbers = [n for n, t in actions.numbered(self.model.state) if t.opened]
        number = numbers[-1 - back % len(numbers)]
        term = self.model.state.terms[number - 1]
        size = min(size, len(term.history))
        if size < 2 or index in term.opened:
            return
        position = Position(REAL_TERMS[term.history[size - 1] - 1], size)
        request = Confirm(REAL_TERMS[number - 1], position)
        held = decide_confirm(self.members[index], request)
        name = f"term={number} member={index} position={size}"
        assert self.model.try_step(actions.confirm, name) == held, (request, name)

    def model_log(self, member: MemberState) -> tuple[int, ...]:
        """Return the terms of a member's entries in the numbers of the model."""
        sequences = [entry.position.sequence for entry in member.log]
        assert sequences == list(range(1, len(member.log) + 1)), sequences
        return tuple(NUMBER_BY_TERM[entry.position.term] for entry in member.log)

    @invariant()
    def same_members(self) -> None:
        """Check logs, promises, terms and roles, and the model's invariants.

        In the code, a member that has promised a newer term is not primary and has
        no upstream; the model expresses this by the promise alone.
        """
        for real, member in zip(self.members, self.model.state.members, strict=True):
            active = member.promised == member.term
            found = (
                self.model_log(real),
                NUMBER_BY_TERM[real.promised],
                NUMBER_BY_TERM[real.term],
                real.role is Role.PRIMARY,
                bool(real.upstream),
            )
            role = (member.primary and active, not member.primary and active)
            assert found == (*member[:3], *role), (found, member)
        for name, holds in MODEL.invariants.items():
            assert holds(self.model.state), name
