"""Real decisions in step with the model of the view."""

from features.conformance.model_machine import ModelMachine, check_binding
from features.conformance.stepped_fleet import SteppedFleet
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    rule,
)
from spec.view import actions
from spec.view.model import JOINING, MEMBER, RULES, shares_within_total
from spec.view.state import State

from jackdawspread.decisions.control.authority import has_authority
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.decisions.control.view_changes import is_platform_fresh
from jackdawspread.decisions.control.views import encode_view
from jackdawspread.messages.control_tick import ControlTick
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.leave_view import LeaveView
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_promise import ViewChangePromise
from jackdawspread.messages.view_change_request import ViewChangeRequest
from jackdawspread.messages.view_member import ViewMember

INSTANCE = st.integers(0, 2)
NEWCOMER_INDEX = 2


class ViewMachine(ModelMachine):
    """Joins and removes instance 2 while the others lag."""

    model_rules = RULES

    def __init__(self) -> None:
        super().__init__()
        self.play = SteppedFleet(3)
        self.heartbeat_by_asker: dict[int, tuple[int, Heartbeat]] = {}
        self.model = State(1, 0, (MEMBER, MEMBER, JOINING))
        members = {f"i{index}": ViewMember(str(index), "zone") for index in range(2)}
        row = encode_view(View(1, members))
        document = {**initial_configuration(), "version": 1}
        body = {"expect": {}, "put": {"view": row, "configuration": document}}
        self.play.platform.call("/table/transact", body)
        for index in range(2):
            self.play.read(index)
            self.play.settle(index)

    @rule(index=INSTANCE)
    def read_platform(self, index: int) -> None:
        """An instance reads the platform."""
        self.play.read(index)
        self.step(actions.read_platform, f"instance={index} epoch={self.model.epoch}")
        # The decisions also count who was heard in an epoch before it was adopted.
        state = self.play.states[index]
        for peer in range(3):
            peer_epoch = state.epoch_by_incarnation.get(f"i{peer}", 0)
            if peer_epoch >= state.view.epoch:
                self.receive_contact(peer, index)
        self.play.settle(index)

    @rule(index=INSTANCE, peer=INSTANCE)
    def vote(self, index: int, peer: int) -> None:
        """An instance sends a heartbeat to a peer and takes the answer."""
        self.heartbeat_by_asker.pop(index, None)
        self.send_heartbeat(index, peer)
        self.answer(index)

    @rule(index=INSTANCE, peer=INSTANCE)
    def send_heartbeat(self, index: int, peer: int) -> None:
        """An instance sends a heartbeat, which may take long to arrive."""
        asker = self.play.states[index]
        known = asker.view.member_by_incarnation
        if index == peer or f"i{peer}" not in known or not asker.is_member:
            return
        if asker.promised_epoch >= asker.view.epoch:
            return
        self.close_round(index)
        self.try_step(actions.send_heartbeat, f"instance={index}")
        self.heartbeat_by_asker[index] = (peer, self.play.heartbeat(index))

    @rule(index=INSTANCE)
    def answer(self, index: int) -> None:
        """The last heartbeat arrives, and its answer at once."""
        if index not in self.heartbeat_by_asker:
            return
        peer, heartbeat = self.heartbeat_by_asker.pop(index)
        is_current = heartbeat.epoch >= self.play.states[peer].view.epoch
        self.play.answer(index, peer, heartbeat)
        if is_current:
            self.receive_contact(index, peer)
        self.try_step(actions.vote, f"peer={peer} asker={index}")
        self.close_round(index)
        self.receive_contact(peer, index)
        self.play.settle(peer)
        self.play.settle(index)

    @rule(index=INSTANCE, is_answer_lost=st.booleans())
    def promise(self, index: int, is_answer_lost: bool) -> None:
        """An instance is asked for a promise by instance 2, and may answer."""
        proposer = self.play.states[NEWCOMER_INDEX]
        state = self.play.states[index]
        if index == NEWCOMER_INDEX or proposer.proposal is None:
            return
        request = ViewChangeRequest(proposer.incarnation, proposer.proposal.epoch)
        effects = self.play.handle(index, PeerMessageReceived("2", request))
        is_stale = request.epoch < state.view.epoch
        if is_stale or not is_platform_fresh(state, self.play.now):
            assert self.play.states[index] == state
            return
        if request.epoch == self.model.epoch:
            self.step(actions.promise, f"instance={index} epoch={request.epoch}")
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, ViewChangePromise) and not is_answer_lost:
                event = PeerMessageReceived(str(index), message)
                self.play.handle(NEWCOMER_INDEX, event)

    @rule(number=st.integers(0, 9))
    def change_view(self, number: int) -> None:
        """The platform carries out a write, also again or late; no answer comes."""
        own = [
            n
            for n, (index, _) in enumerate(self.play.writes)
            if index == NEWCOMER_INDEX
        ]
        if own and self.play.write(own[number % len(own)]) == 200:
            self.step(actions.change_view, f"epoch={self.model.epoch + 1}")

    @rule(peers=st.sets(st.integers(0, 1), min_size=1), is_late=st.booleans())
    def change(self, peers: set[int], is_late: bool) -> None:
        """Instance 2 joins or leaves as far as the peers promise."""
        self.read_platform(NEWCOMER_INDEX)
        if self.play.states[NEWCOMER_INDEX].is_member:
            self.play.handle(NEWCOMER_INDEX, LeaveView())
        # A tick without any time starts the proposal.
        self.play.handle(NEWCOMER_INDEX, ControlTick())
        self.follow_promises()
        for peer in sorted(peers):
            self.promise(peer, False)
        if not is_late:
            self.change_view(-1)

    @rule()
    def tick(self) -> None:
        """Time passes; instances propose and settle."""
        self.play.tick()
        self.step(actions.tick, "")
        self.follow_promises()

    def follow_promises(self) -> None:
        """Promise in the model what proposers promised themselves."""
        for index, state in enumerate(self.play.states):
            if self.promised(index, state) != self.model.instances[index].promised:
                epoch = state.promised_epoch
                self.step(actions.promise, f"instance={index} epoch={epoch}")

    @invariant()
    def agrees(self) -> None:
        """Both sides know and may do the same."""
        rows = self.play.platform.rows
        assert rows["view"]["value"]["epoch"] == self.model.epoch
        for index, state in enumerate(self.play.states):
            known = self.model.instances[index]
            unsettled = sum(1 << view.epoch for view in state.views if view.epoch)
            found = (
                state.view.epoch,
                self.promised(index, state),
                self.play.authority(index),
                unsettled,
                self.play.share(index),
            )
            share = actions.usable_share(index, known, RULES) if known.authority else 0
            expected = (
                known.epoch,
                known.promised,
                known.authority,
                known.unsettled,
                share,
            )
            assert found == expected, (index, found, expected)
            assert has_authority(state, self.play.now) == (known.authority > 0)
        assert shares_within_total(RULES, self.model)

    def promised(self, index: int, state: ControlState) -> int:
        """Return the promise that counts: a member's, for its epoch or a later one."""
        epoch = state.promised_epoch
        is_binding = epoch >= max(1, state.view.epoch)
        return epoch if is_binding and actions.is_member(index, epoch, RULES) else 0

    def receive_contact(self, peer: int, index: int) -> None:
        """Let the model hear a peer, where it still matters there."""
        self.try_step(actions.receive_contact, f"peer={peer} instance={index}")

    def close_round(self, index: int) -> None:
        """Leave no heartbeat round open in the model; each has one answer here."""
        instance = self.model.instances[index]._replace(asked=0, voters=0)
        self.model = actions.with_instance(self.model, index, instance)


def check_view_binding() -> None:
    """Run the machine with a fixed seed."""
    check_binding(ViewMachine)
