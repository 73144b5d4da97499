"""Real decisions compared with the model of a key withdrawal."""

from typing import Any

from features.conformance.model_machine import ModelMachine, check_conformance
from features.conformance.stepped_fleet import TICK_S, SteppedFleet
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    rule,
)
from spec.withdrawal import actions
from spec.withdrawal.model import JOINING, MEMBER, RULES, withdrawn_key
from spec.withdrawal.state import State

from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.control_timing import MEMBER_TIMEOUT_S
from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.decisions.control.known_withdrawals import is_stored
from jackdawspread.decisions.control.view_changes import is_platform_fresh
from jackdawspread.decisions.control.views import encode_view
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.control_tick import ControlTick
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.key_withdrawal import KeyWithdrawal
from jackdawspread.messages.key_withdrawal_answer import KeyWithdrawalAnswer
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.view import View
from jackdawspread.messages.view_change_promise import ViewChangePromise
from jackdawspread.messages.view_change_request import ViewChangeRequest
from jackdawspread.messages.view_member import ViewMember
from jackdawspread.messages.withdraw_key import WithdrawKey

INSTANCE = st.integers(0, 2)
PROPOSER = 2
KEY = "k1"


class WithdrawalMachine(ModelMachine):
    """Withdraws a key while instance 2 replaces instance 0 in the view."""

    model_rules = RULES

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SteppedFleet(3)
        self.accepting: int | None = None
        self.heartbeat_by_sender: dict[int, tuple[int, Heartbeat]] = {}
        self.model = State(1, 0, 0, (0, 0, 0), None, (MEMBER, MEMBER, JOINING))
        members = {f"i{index}": ViewMember(str(index), "zone") for index in range(2)}
        document = {**initial_configuration(), "version": 1, "recent_write_ids": []}
        document["key_by_id"] = {KEY: {"workspace": "branch", "withdrawn": False}}
        put = {"view": encode_view(View(1, members)), "configuration": document}
        self.fleet.platform.call("/table/transact", {"expect": {}, "put": put})
        for index in range(2):
            self.fleet.read(index)
            self.fleet.settle(index)

    @rule(index=INSTANCE)
    def withdraw(self, index: int) -> None:
        """An operator withdraws the key at an instance with authority."""
        if self.accepting is None and self.fleet.authority(index):
            self.accepting = index
            self.fleet.handle(index, AdminChange("w", WithdrawKey(KEY)))
            self.step(actions.withdraw, f"instance={index}")
            self.confirm_own(index)

    @rule(index=INSTANCE, is_answer_lost=st.booleans())
    def notify(self, index: int, is_answer_lost: bool) -> None:
        """A peer receives the withdrawal and answers."""
        is_notified = self.accepting is None or index == self.accepting
        if is_notified or not self.model.instances[index].epoch:
            return
        message = PeerMessageReceived(str(self.accepting), KeyWithdrawal(KEY, KEY))
        effects = self.fleet.handle(index, message)
        self.step(actions.broadcast, f"instance={index}")
        self.confirm_own(index)
        for effect in effects:
            answer = getattr(effect, "message", None)
            if isinstance(answer, KeyWithdrawalAnswer):
                if answer.epoch:
                    self.step(actions.confirm, f"instance={index}")
                if not is_answer_lost:
                    event = PeerMessageReceived(str(index), answer)
                    self.fleet.handle(self.accepting, event)

    @rule(
        accepting=INSTANCE,
        notified=st.sets(INSTANCE, min_size=1),
        is_stored=st.booleans(),
        is_read=st.booleans(),
        is_promised=st.booleans(),
    )
    def withdraw_and_notify(
        self,
        accepting: int,
        notified: set[int],
        is_stored: bool,
        is_read: bool,
        is_promised: bool,
    ) -> None:
        """A withdrawal, possibly after a promise, reaches members and the platform."""
        if is_promised and accepting != PROPOSER:
            self.change(accepting, True)
        self.withdraw(accepting)
        if self.accepting is None:
            return
        if is_stored:
            self.send_due_writes(self.accepting)
            self.write(-1)
        if is_read:
            self.read_platform(self.accepting)
        for index in sorted(notified):
            self.notify(index, False)

    @rule(index=INSTANCE)
    def send_due_writes(self, index: int) -> None:
        """An instance sends its due writes; no time passes."""
        if index != PROPOSER:
            state = self.fleet.states[index]._replace(ticked_at=self.fleet.now)
            self.fleet.states[index] = state
            self.fleet.handle(index, ControlTick())
            self.confirm_own(index)

    @rule(number=st.integers(0, 9))
    def write(self, number: int) -> None:
        """The platform executes a write, possibly late or again, without an answer."""
        if not self.fleet.writes:
            return
        number %= len(self.fleet.writes)
        index, call = self.fleet.writes[number]
        put: Any = call.body["put"]
        is_stored = self.is_stored()
        if "view" in put and index != PROPOSER:
            return
        if self.fleet.write(number) != 200:
            return
        if "view" not in put:
            self.step(actions.store, f"instance={index}")
            return
        if self.is_stored() and not is_stored and not self.model.carried:
            # The proposer knows of the withdrawal, but no instance that promised does.
            self.step(actions.store, f"instance={index}")
        self.step(actions.change_view, "")

    @rule(index=st.integers(0, 1), is_late=st.booleans())
    def change(self, index: int, is_late: bool) -> None:
        """Instance 2 asks a member to promise that it replaces instance 0."""
        self.read_platform(PROPOSER)
        state = self.fleet.states[PROPOSER]
        if state.is_member:
            return
        long_ago = {"i0": self.fleet.now - MEMBER_TIMEOUT_S - 1}
        self.fleet.states[PROPOSER] = state._replace(
            last_contact_at_by_incarnation=long_ago, ticked_at=self.fleet.now
        )
        self.fleet.handle(PROPOSER, ControlTick())
        self.promise(index)
        if not is_late:
            self.write(-1)

    def promise(self, index: int) -> None:
        """The proposer asks a member for a promise, and the member answers."""
        proposal = self.fleet.states[PROPOSER].proposal
        state = self.fleet.states[index]
        if proposal is None or not is_platform_fresh(state, self.fleet.now):
            return
        request = ViewChangeRequest("i2", proposal.epoch)
        if request.epoch != self.model.epoch or request.epoch < state.view.epoch:
            return
        effects = self.fleet.handle(index, PeerMessageReceived("2", request))
        self.step(actions.promise, f"instance={index}")
        for effect in effects:
            message = getattr(effect, "message", None)
            if isinstance(message, ViewChangePromise):
                known_before = self.fleet.states[PROPOSER].withdrawal_by_key_id
                self.fleet.handle(PROPOSER, PeerMessageReceived(str(index), message))
                if message.withdrawn_key_ids and not known_before:
                    self.try_step(actions.broadcast, f"instance={PROPOSER}")

    @rule(index=INSTANCE)
    def read_platform(self, index: int) -> None:
        """An instance reads the view and the configuration."""
        self.fleet.read(index)
        self.step(actions.read_platform, f"instance={index}")
        self.fleet.settle(index)
        self.confirm_own(index)

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
        self.fleet.answer(index, peer, heartbeat)
        self.try_step(actions.vote, f"peer={peer} asker={index}")
        self.close_round(index)
        # An answer carries the withdrawal even if it is not a vote.
        if self.knows(index) and not self.model.instances[index].knows:
            self.step(actions.broadcast, f"instance={index}")
        self.confirm_own(index)
        self.fleet.settle(index)

    @rule()
    def tick(self) -> None:
        """Time passes for all instances."""
        self.fleet.now += TICK_S
        for index, state in enumerate(self.fleet.states):
            # Only the step that replaces instance 0 removes an unresponsive instance.
            self.fleet.states[index] = state._replace(
                ticked_at=self.fleet.now, last_contact_at_by_incarnation={}
            )
            self.fleet.settle(index)
        self.step(actions.tick, "")

    @invariant()
    def agrees(self) -> None:
        """Decisions and model agree on views, fences, withdrawals and authority."""
        self.follow_reports()
        rows = self.fleet.platform.rows
        assert rows["view"]["value"]["epoch"] == self.model.epoch
        assert self.is_stored() == (self.model.stored > 0)
        for index, state in enumerate(self.fleet.states):
            known = self.model.instances[index]
            found = (
                state.view.epoch,
                self.is_fenced(index),
                self.knows(index),
                self.fleet.authority(index),
            )
            is_fenced = known.promised >= known.epoch > 0
            expected = (known.epoch, is_fenced, known.knows, known.authority)
            assert found == expected, (index, found, expected)
        assert withdrawn_key(self.model)

    def follow_reports(self) -> None:
        """Take the model steps for the answers to operators, which must be enabled."""
        while self.fleet.results:
            index, result = self.fleet.results.pop()
            if result.outcome.body["state"] == "in_force":
                epoch = self.fleet.states[index].view.epoch
                self.step(actions.report, f"epoch={epoch}")

    def confirm_own(self, index: int) -> None:
        """Let an instance confirm the withdrawal in the model if it has received it."""
        if self.knows(index):
            self.try_step(actions.confirm, f"instance={index}")

    def knows(self, index: int) -> bool:
        """Return whether an instance refuses the key."""
        state = self.fleet.states[index]
        return is_stored(state, KEY) or KEY in state.withdrawal_by_key_id

    def is_fenced(self, index: int) -> bool:
        """Return whether a member is fenced by a promise for a newer epoch."""
        state: ControlState = self.fleet.states[index]
        epoch = state.promised_epoch
        is_effective = epoch >= max(1, state.view.epoch)
        return is_effective and actions.is_member(index, epoch)

    def is_stored(self) -> bool:
        """Return whether the platform has stored the withdrawal."""
        document = self.fleet.platform.rows["configuration"]["value"]
        return bool(document["key_by_id"][KEY]["withdrawn"])

    def close_round(self, index: int) -> None:
        """Close the heartbeat round in the model; here each round has one answer."""
        instance = self.model.instances[index]._replace(asked=0)
        self.model = actions.with_instance(self.model, index, instance)


def check_withdrawal_conformance() -> None:
    """Run the state machine with a fixed seed."""
    check_conformance(WithdrawalMachine)
