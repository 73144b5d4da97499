"""Instances whose messages and platform calls are delivered one by one."""

from math import ceil
from typing import Any

from features.fakes.fake_platform import FakePlatform

from jackdawspread.decisions.control.authority import authority_deadline
from jackdawspread.decisions.control.control_decision import decide, initial_state
from jackdawspread.decisions.control.control_state import NEVER, ControlState
from jackdawspread.decisions.control.heartbeats import send_heartbeats
from jackdawspread.decisions.control.platform_outcomes import poll
from jackdawspread.decisions.control.views import settle_views
from jackdawspread.decisions.rates.rate_share import rate_share
from jackdawspread.messages.admin_result import AdminResult
from jackdawspread.messages.control_tick import ControlTick
from jackdawspread.messages.heartbeat import Heartbeat
from jackdawspread.messages.heartbeat_answer import HeartbeatAnswer
from jackdawspread.messages.peer_message_received import PeerMessageReceived
from jackdawspread.messages.platform_call import PlatformCall
from jackdawspread.messages.platform_outcome import PlatformOutcome
from jackdawspread.messages.send_peer_message import SendPeerMessage

# Authority of 3 s expires after two ticks, and a view settles after 3.3 s, which
# are two ticks too, as in the models with a validity of 2.
TICK_S = 1.6501
TOTAL_BURST = 12


class SteppedFleet:
    """Runs real decisions; a message arrives only when a step delivers it.

    An instance's index serves as its address.
    """

    def __init__(self, instances: int) -> None:
        self.platform = FakePlatform()
        self.now = 100.0
        self.states = [
            initial_state(f"i{index}", str(index), "zone", {})
            for index in range(instances)
        ]
        self.sent: list[tuple[int, SendPeerMessage]] = []
        self.writes: list[tuple[int, PlatformCall]] = []
        self.results: list[tuple[int, AdminResult]] = []

    def handle(self, index: int, event: Any) -> tuple[Any, ...]:
        """Let an instance handle an event and record the messages that it sends."""
        state, effects = decide(self.states[index], event, self.now)
        self._record(index, state, effects)
        return effects

    def read(self, index: int) -> None:
        """Let an instance read the platform."""
        self.states[index] = self.states[index]._replace(next_poll_at=NEVER)
        pending = self.states[index].call_by_id
        polls = {id: call for id, call in pending.items() if call.key}
        state = self.states[index]._replace(call_by_id=polls)
        state, (call,) = poll(state, self.now)
        self.states[index] = state
        status, body = self.platform.call(call.target, call.body)
        self.handle(index, PlatformOutcome(call.id, status, body, True))

    def heartbeat(self, index: int) -> Heartbeat:
        """Let an instance send heartbeats to its peers; return one of them."""
        state = self.states[index]._replace(next_heartbeat_at=NEVER)
        self.states[index], effects = send_heartbeats(state, self.now)
        messages = [e.message for e in effects if isinstance(e, SendPeerMessage)]
        return next(m for m in messages if isinstance(m, Heartbeat))

    def answer(self, index: int, peer: int, heartbeat: Heartbeat) -> None:
        """Deliver a heartbeat to a peer and its answer back; drop other messages."""
        for effect in self.handle(peer, PeerMessageReceived(str(index), heartbeat)):
            message = getattr(effect, "message", None)
            if isinstance(message, HeartbeatAnswer):
                self.handle(index, PeerMessageReceived(str(peer), message))

    def settle(self, index: int) -> None:
        """Settle the views that the models settle without a tick.

        A view is settled when no instance can still act on an older one.
        """
        self.states[index] = settle_views(self.states[index], self.now)

    def tick(self) -> None:
        """Let the time of one tick of the models pass."""
        self.now += TICK_S
        for index in range(len(self.states)):
            self.handle(index, ControlTick())

    def write(self, number: int) -> int:
        """Execute a write at the platform and drop its answer."""
        index, call = self.writes[number]
        status, _ = self.platform.call(call.target, call.body)
        self.handle(index, PlatformOutcome(call.id, 0, {}, True))
        return status

    def authority(self, index: int) -> int:
        """Ticks of authority that an instance has left."""
        left = authority_deadline(self.states[index], self.now) - self.now
        return max(0, ceil(left / TICK_S)) if left > 0 else 0

    def share(self, index: int) -> int:
        """Tokens of the total burst that an instance may use."""
        state = self.states[index]
        if not self.authority(index):
            return 0
        return rate_share("w", state.incarnation, state.views, 1.0, TOTAL_BURST).burst

    def _record(
        self, index: int, state: ControlState, effects: tuple[Any, ...]
    ) -> None:
        self.states[index] = state
        for effect in effects:
            if isinstance(effect, SendPeerMessage):
                self.sent.append((index, effect))
            elif isinstance(effect, PlatformCall) and effect.target != "/table/read":
                self.writes.append((index, effect))
            elif isinstance(effect, AdminResult):
                self.results.append((index, effect))
