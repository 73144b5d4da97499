"""Instances that run the control decisions on a simulated network."""

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from features.fakes.fake_platform import FakePlatform

from jackdawspread.decisions.control.authority import authority_deadline, has_authority
from jackdawspread.decisions.control.control_decision import decide, initial_state
from jackdawspread.decisions.control.control_state import ControlState
from jackdawspread.decisions.control.owner_assignments import owner_assignment
from jackdawspread.messages.admin_change import AdminChange
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_tick import ControlTick
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.send_peer_message import SendPeerMessage

TICK_S = 0.05
CALL_TIMEOUT_S = 1.0
CONNECTIONS = {"swap1": 16, "swap2": 16}


class ControlFleet:
    """Runs instances in virtual time; every random choice comes from the seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.platform = FakePlatform()
        self.now = 100.0
        self.state_by_name: dict[str, ControlState] = {}
        self.paused: dict[str, list[Any]] = {}
        self.cut_pairs: set[frozenset[str]] = set()
        self.cut_from_platform: set[str] = set()
        self.losing_answers: set[str] = set()
        self.result_by_id: dict[str, AdminResult] = {}
        self.result_at_by_id: dict[str, float] = {}
        self.answers_only: set[str] = set()
        self.preset_history: dict[str, list[tuple[int, str]]] = {}
        self._queue: list[tuple[float, int, Any]] = []
        self._order = count()
        self._starts = count(1)
        self._last_arrival: dict[tuple[str, str], float] = {}

    def start(self, name: str) -> None:
        """Start an instance; its name is also its address and part of its domain."""
        incarnation = f"{name}{next(self._starts)}"
        state = initial_state(incarnation, name, f"zone-{name}", dict(CONNECTIONS))
        self.state_by_name[name] = state
        self._later(self.random.uniform(0, TICK_S), lambda: self._tick(name, state))

    def kill(self, name: str) -> None:
        """Stop an instance without a shutdown."""
        self.state_by_name.pop(name, None)
        self.paused.pop(name, None)

    def pause(self, name: str) -> None:
        """Pause an instance; its events are queued."""
        if name in self.state_by_name:
            self.paused.setdefault(name, [])

    def wake(self, name: str) -> None:
        """Resume a paused instance and deliver its queued events."""
        for event in self.paused.pop(name, []):
            self.deliver(name, event)

    def isolate(self, name: str) -> None:
        """Partition an instance from all peers and the platform."""
        self.cut_from_platform.add(name)
        self.cut_pairs |= {frozenset({name, other}) for other in "abcdef"}

    def heal(self) -> None:
        """End every partition and platform fault."""
        self.cut_pairs, self.cut_from_platform = set(), set()
        self.losing_answers, self.platform.is_up = set(), True

    def ask(self, name: str, change: Any, id: str, expected_version: int = 0) -> None:
        """Deliver an operator's change to an instance."""
        self.deliver(name, AdminChange(id, change, expected_version))

    def run(self, seconds: float, check: Any = None) -> None:
        """Advance virtual time, checking after each event."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action = heappop(self._queue)
            action()
            if check is not None:
                check(self)
        self.now = end

    def has_authority(self, name: str) -> bool:
        """Return whether an instance may admit work now."""
        return has_authority(self.state_by_name[name], self.now)

    def authority_left(self, name: str) -> float:
        """Return the seconds of authority left; negative if it has expired."""
        return authority_deadline(self.state_by_name[name], self.now) - self.now

    def share_sum(self) -> float:
        """Return the sum of the rate shares of the instances with authority."""
        return sum(
            min(
                1 / len(view.member_by_incarnation)
                if state.incarnation in view.member_by_incarnation
                else 0.0
                for view in state.views
            )
            for name, state in self.state_by_name.items()
            if self.has_authority(name)
        )

    def connection_sum(self, database: str) -> int:
        """Return the sum of the running instances' connection limits to a member."""
        return sum(
            owner_assignment(state, database, self.now).connection_limit
            for name, state in self.state_by_name.items()
            if name not in self.paused
        )

    def deliver(self, name: str, event: Any) -> None:
        """Let an instance handle an event, and execute the effects."""
        if name in self.paused:
            self.paused[name].append(event)
            return
        state, effects = decide(self.state_by_name[name], event, self.now)
        self.state_by_name[name] = state
        document = state.configuration
        seen = self.preset_history.setdefault(name, [])
        if not seen or seen[-1][0] != document["version"]:
            seen.append((document["version"], document["preset"]))
        for effect in effects:
            if isinstance(effect, AdminResult):
                self.result_by_id[effect.id] = effect
                self.result_at_by_id[effect.id] = self.now
            elif isinstance(effect, PlatformCall):
                self._call(name, state.incarnation, effect)
            elif isinstance(effect, SendPeerMessage):
                self._send(name, effect)

    def _tick(self, name: str, first: ControlState) -> None:
        state = self.state_by_name.get(name)
        if state is None or not self._same_process(state, first.incarnation):
            return
        if name not in self.paused:
            self.deliver(name, ControlTick())
        self._later(TICK_S, lambda: self._tick(name, first))

    def _send(self, name: str, effect: SendPeerMessage) -> None:
        to = effect.peer_address
        if frozenset({name, to}) in self.cut_pairs:
            return
        if to in self.answers_only and not isinstance(effect.message, HeartbeatAnswer):
            return
        arrival = self.now + self.random.uniform(0.001, 0.03)
        arrival = max(arrival, self._last_arrival.get((name, to), 0.0))
        self._last_arrival[name, to] = arrival

        def arrive() -> None:
            if to in self.state_by_name:
                self.deliver(to, PeerMessageReceived(name, effect.message))

        self._later(arrival - self.now, arrive)

    def _call(self, name: str, incarnation: str, call: PlatformCall) -> None:
        is_cut = name in self.cut_from_platform or not self.platform.is_up

        def answer(outcome: PlatformOutcome) -> None:
            state = self.state_by_name.get(name)
            if state is not None and self._same_process(state, incarnation):
                self.deliver(name, outcome)

        def run() -> None:
            status, body = self.platform.call(call.target, call.body)
            if name in self.losing_answers and call.target != "/table/read":
                lost = PlatformOutcome(call.id, 0, {}, True)
                self._later(CALL_TIMEOUT_S, lambda: answer(lost))
                return
            outcome = PlatformOutcome(call.id, status, body, True)
            self._later(self.random.uniform(0.001, 0.03), lambda: answer(outcome))

        if is_cut:
            sent = self.random.random() < 0.5
            failed = PlatformOutcome(call.id, 0, {}, sent)
            self._later(CALL_TIMEOUT_S, lambda: answer(failed))
        else:
            self._later(self.random.uniform(0.001, 0.05), run)

    @staticmethod
    def _same_process(state: ControlState, incarnation: str) -> bool:
        return state.incarnation.split(".")[0] == incarnation.split(".")[0]

    def _later(self, delay: float, action: Any) -> None:
        heappush(self._queue, (self.now + delay, next(self._order), action))
