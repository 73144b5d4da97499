"""Real decisions compared with the model of the configuration."""

from typing import Any

from features.conformance.model_machine import ModelMachine, check_conformance
from features.conformance.stepped_fleet import SteppedFleet
from hypothesis import strategies as st
from hypothesis.stateful import (
    invariant,
    rule,
)
from spec.configuration import actions
from spec.configuration.model import MODEL, RULES
from spec.configuration.state import State

from jackdawspread.decisions.control.initial_configuration import initial_configuration
from jackdawspread.decisions.control.views import encode_view
from jackdawspread.messages.admin_answer import AdminAnswer
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.configuration_push import ConfigurationPush
from jackdawspread.messages.execution_status import ExecutionStatus
from jackdawspread.messages.lost_race import LostRace
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.select_preset import SelectPreset
from jackdawspread.messages.view import View
from jackdawspread.messages.view_member import ViewMember

INSTANCE = st.integers(0, 1)
WHICH = st.integers(0, 50)


class ConfigurationMachine(ModelMachine):
    """Two instances store three changes, each of which selects another preset."""

    model_rules = RULES

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SteppedFleet(2)
        self.model: State = MODEL.initial
        self.handled = 0
        members = {f"i{index}": ViewMember(str(index), "zone") for index in range(2)}
        document: dict[str, Any] = {**initial_configuration(), "version": 1}
        preset = document["preset_by_name"]["ordinary"]
        document["preset_by_name"] = {str(number): preset for number in range(4)}
        document["preset"] = "0"
        view = encode_view(View(1, members))
        body = {"expect": {}, "put": {"view": view, "configuration": document}}
        self.fleet.platform.call("/table/transact", body)
        for index in range(2):
            self.fleet.read(index)

    @rule(index=INSTANCE, number=st.integers(1, 3))
    def submit(self, index: int, number: int) -> None:
        """An operator submits a change based on the version that the instance has."""
        state = self.fleet.states[index]
        if self.model.changes[number - 1].expected >= 0 or state.queued_changes:
            return
        if not state.is_platform_up:
            return
        self.step(actions.submit, f"change={number} instance={index}")
        version = state.configuration["version"]
        change = AdminChange(str(number), SelectPreset(str(number)), version)
        self.fleet.handle(index, change)
        self.follow()

    @rule(which=WHICH, is_lost=st.booleans())
    def write(self, which: int, is_lost: bool) -> None:
        """The platform executes a copy of a write; its answer may be lost."""
        writes = [
            (index, call)
            for index, call in self.fleet.writes
            if list(call.body["put"]) == ["configuration"]
        ]
        if not writes:
            return
        index, call = writes[which % len(writes)]
        number = int(call.body["put"]["configuration"]["preset"])
        enabled = self.enabled(actions.write, f"change={number}")
        status, body = self.fleet.platform.call(call.target, call.body)
        assert (status == 200) == bool(enabled), (status, enabled)
        if enabled:
            self.model = enabled[0]
        outcome = PlatformOutcome(call.id, status, body, True)
        if is_lost:
            outcome = PlatformOutcome(call.id, 0, {}, True)
        self.fleet.handle(index, outcome)
        self.follow()

    @rule(which=WHICH)
    def delay(self, which: int) -> None:
        """A write times out; a copy of it may still arrive later."""
        if self.fleet.writes:
            index, call = self.fleet.writes[which % len(self.fleet.writes)]
            self.fleet.handle(index, PlatformOutcome(call.id, 0, {}, True))
            self.follow()

    @rule(first=INSTANCE, number=st.integers(1, 3))
    def repeat(self, first: int, number: int) -> None:
        """A delayed write is retried, and both copies arrive."""
        self.poll(first)
        self.submit(first, number)
        self.delay(-1)
        self.poll(first)
        self.tick()
        self.write(-2, True)
        self.write(-1, False)
        self.poll(first)

    @rule(first=INSTANCE, numbers=st.permutations((1, 2, 3)))
    def overtake(self, first: int, numbers: list[int]) -> None:
        """A change is stored after another one whose answer was lost."""
        for index, number, is_lost in (
            (first, numbers[0], True),
            (1 - first, numbers[1], False),
        ):
            self.poll(index)
            self.submit(index, number)
            self.write(-1, is_lost)
        self.poll(first)

    @rule(index=INSTANCE)
    def poll(self, index: int) -> None:
        """An instance reads the platform."""
        self.fleet.read(index)
        self.step(actions.poll, f"instance={index}")
        self.follow()

    @rule(which=WHICH)
    def push(self, which: int) -> None:
        """A push arrives, possibly late or a second time."""
        pushes = [
            (sender, sent)
            for sender, sent in self.fleet.sent
            if isinstance(sent.message, ConfigurationPush)
        ]
        if not pushes:
            return
        sender, sent = pushes[which % len(pushes)]
        index = int(sent.peer_address)
        self.fleet.handle(index, PeerMessageReceived(str(sender), sent.message))
        version = sent.message.document["version"]
        self.step(actions.push, f"instance={index} version={version}")
        self.follow()

    @rule()
    def tick(self) -> None:
        """Time passes; an instance abandons a write after its timeout."""
        self.fleet.tick()
        self.follow()

    def follow(self) -> None:
        """Take the model steps for what instances adopted and reported."""
        for index, state in enumerate(self.fleet.states):
            version = state.configuration["version"]
            if version > self.model.instances[index].version:
                self.step(actions.push, f"instance={index} version={version}")
        for _, result in self.fleet.results[self.handled :]:
            self.report(int(result.id), result.outcome)
        self.handled = len(self.fleet.results)

    def report(self, number: int, outcome: object) -> None:
        """Report the outcome of a change in the model, unless it is unknown."""
        if isinstance(outcome, AdminAnswer | LostRace):
            verdict = "accepted" if isinstance(outcome, AdminAnswer) else "refused"
            self.step(actions.read_back, f"change={number} {verdict}")
        else:
            assert outcome.ran is ExecutionStatus.UNKNOWN, outcome

    @invariant()
    def agrees(self) -> None:
        """The stored row and the instances' configurations equal those of the model."""
        row = self.fleet.platform.rows["configuration"]["value"]
        assert (row["version"], row["preset"]) == (
            len(self.model.row),
            str(self.model.row[-1]),
        )
        for known, state in zip(self.model.instances, self.fleet.states, strict=True):
            document = state.configuration
            found = (document["version"], document["preset"])
            assert found == (known.version, str(known.preset)), (found, known)
        for name, holds in MODEL.invariants.items():
            assert holds(self.model), name


def check_configuration_conformance() -> None:
    """Run the state machine with a fixed seed."""
    check_conformance(ConfigurationMachine)
