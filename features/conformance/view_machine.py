"""Real decisions compared with the model of the membership view."""

from features.conformance.model_machine import ModelMachine, check_conformance
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
JOINING_INDEX = 2


class ViewMachine(ModelMachine):
    """Instance 2 joins and leaves while the other instances lag behind."""

    model_rules = RULES

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SteppedFleet(3)
        self.heartbeat_by_sender: dict[int, tuple[int, Heartbeat]] = {}
        self.model = State(1, 0, (MEMBER, MEMBER, JOINING))
        members = {f"i{index}": ViewMember(str(index), "zone") for index in range(2)}
        row = encode_view(View(1, members))
        document = {**initial_configuration(), "version": 1}
        body = {"expect": {}, "put": {"view": row, "configuration": document}}
        self.fleet.platform.call("/table/transact", body)
        for index in range(2):
            self.fleet.read(index)
            self.fleet.settle(index)

    @rule(index=INSTANCE)
    def read_platform(self, index: int) -> None:
        """An instance reads the platform."""
        self.fleet.read(index)
        self.step(actions.read_platform, f"instance={index} epoch={self.model.epoch}")
        # The decisions also count messages of an epoch that were received before the
        # epoch was adopted.
        state = self.fleet.states[index]
        for peer in range(3):
            last_epoch = state.epoch_by_incarnation.get(f"i{peer}", 0)
            if last_epoch >= state.view.epoch:
                self.record_contact(peer, index)
        self.fleet.settle(index)

    @rule(index=INSTANCE, peer=INSTANCE)
    def exchange_heartbeat(self, index: int, peer: int) -> None:
        """An instance sends a heartbeat to a peer and receives the answer."""
        self.heartbeat_by_sender.pop(index, None)
        self.send_heartbeat(index, peer)
        self.deliver_heartbeat(index)

    @rule(index=INSTANCE, peer=INSTANCE)
    def send_heartbeat(self, index: int, peer: int) -> None:
        """An instance sends a heartbeat, which may arrive late."""
        sender = self.fleet.states[index]
        known = sender.view.member_by_incarnation
        if index == peer or f"i{peer}" not in known or not sender.is_member:
            return
        if sender.promised_epoch >= sender.view.epoch:
            return
        self.close_round(index)
        self.try_step(actions.send_heartbeat, f"instance={index}")
        self.heartbeat_by_sender[index] = (peer, self.fleet.heartbeat(index))

    @rule(index=INSTANCE)
    def deliver_heartbeat(self, index: int) -> None:
        """The last heartbeat arrives and is answered at once."""
        if index not in self.heartbeat_by_sender:
            return
        peer, heartbeat = self.heartbeat_by_sender.pop(index)
        is_current = heartbeat.epoch >= self.fleet.states[peer].view.epoch
        self.fleet.answer(index, peer, heartbeat)
        if is_current:
            self.record_contact(index, peer)
        self.try_step(actions.vote, f"peer={peer} asker={index}")
        self.close_round(index)
        self.record_contact(peer, index)
        self.fleet.settle(peer)
        self.fleet.settle(index)

    @rule(index=INSTANCE, is_answer_lost=st.booleans())
    def promise(self, index: int, is_answer_lost: bool) -> None:
        """Instance 2 asks an instance for a promise; the answer may be lost."""
        proposer = self.fleet.states[JOINING_INDEX]
        state = self.fleet.states[index]
        if index == JOINING_INDEX or proposer.proposal is None:
            return
        request = ViewChangeRequest(proposer.incarnation, proposer.proposal.epoch)
        effects = self.fleet.handle(index, PeerMessageReceived("2", request))
        is_stale = request.epoch < state.view.epoch
        if is_stale or not is_platform_fresh(state, self.fleet.now):
            assert self.fleet.states[index] == state
            return
        if request.epoch == self.model.epoch:
            self.step(actions.promise, f"instance={index} epoch={request.epoch}")
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, ViewChangePromise) and not is_answer_lost:
                event = PeerMessageReceived(str(index), message)
                self.fleet.handle(JOINING_INDEX, event)

    @rule(number=st.integers(0, 9))
    def change_view(self, number: int) -> None:
        """The platform executes a write, possibly late or again, without an answer."""
        own = [
            n
            for n, (index, _) in enumerate(self.fleet.writes)
            if index == JOINING_INDEX
        ]
        if own and self.fleet.write(own[number % len(own)]) == 200:
            self.step(actions.change_view, f"epoch={self.model.epoch + 1}")

    @rule(peers=st.sets(st.integers(0, 1), min_size=1), is_late=st.booleans())
    def change(self, peers: set[int], is_late: bool) -> None:
        """Instance 2 joins or leaves if enough peers promise."""
        self.read_platform(JOINING_INDEX)
        if self.fleet.states[JOINING_INDEX].is_member:
            self.fleet.handle(JOINING_INDEX, LeaveView())
        # A tick that advances no time starts the proposal.
        self.fleet.handle(JOINING_INDEX, ControlTick())
        self.follow_promises()
        for peer in sorted(peers):
            self.promise(peer, False)
        if not is_late:
            self.change_view(-1)

    @rule()
    def tick(self) -> None:
        """Time passes; instances propose view changes and settle views."""
        self.fleet.tick()
        self.step(actions.tick, "")
        self.follow_promises()

    def follow_promises(self) -> None:
        """Take the model steps for the promises that proposers gave themselves."""
        for index, state in enumerate(self.fleet.states):
            if self.promised(index, state) != self.model.instances[index].promised:
                epoch = state.promised_epoch
                self.step(actions.promise, f"instance={index} epoch={epoch}")

    @invariant()
    def agrees(self) -> None:
        """Decisions and model agree on views, promises, authority and shares."""
        rows = self.fleet.platform.rows
        assert rows["view"]["value"]["epoch"] == self.model.epoch
        for index, state in enumerate(self.fleet.states):
            known = self.model.instances[index]
            unsettled = sum(1 << view.epoch for view in state.views if view.epoch)
            found = (
                state.view.epoch,
                self.promised(index, state),
                self.fleet.authority(index),
                unsettled,
                self.fleet.share(index),
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
            assert has_authority(state, self.fleet.now) == (known.authority > 0)
        assert shares_within_total(RULES, self.model)

    def promised(self, index: int, state: ControlState) -> int:
        """Return a member's promise if it is for its epoch or a later one, else 0."""
        epoch = state.promised_epoch
        is_effective = epoch >= max(1, state.view.epoch)
        return epoch if is_effective and actions.is_member(index, epoch, RULES) else 0

    def record_contact(self, peer: int, index: int) -> None:
        """Record the contact with a peer in the model if the step is enabled there."""
        self.try_step(actions.receive_contact, f"peer={peer} instance={index}")

    def close_round(self, index: int) -> None:
        """Close the heartbeat round in the model; here each round has one answer."""
        instance = self.model.instances[index]._replace(asked=0, voters=0)
        self.model = actions.with_instance(self.model, index, instance)


def check_view_conformance() -> None:
    """Run the state machine with a fixed seed."""
    check_conformance(ViewMachine)
