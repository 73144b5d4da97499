"""Probes and promotions at one owner."""

from collections import deque
from random import Random
from typing import Any

from absl import logging

from jackdawspread.codecs.member_protocol import decode_position, decode_status
from jackdawspread.decisions.owner.member_control_call import MemberControlCall
from jackdawspread.decisions.owner.open_answered import OpenAnswered
from jackdawspread.decisions.owner.probe_answered import ProbeAnswered
from jackdawspread.decisions.owner.probe_missed import ProbeMissed
from jackdawspread.decisions.owner.promise_received import PromiseReceived
from jackdawspread.decisions.owner.promotion import handle_promotion_event
from jackdawspread.decisions.owner.promotion_effect import PromotionEffect
from jackdawspread.decisions.owner.promotion_event import PromotionEvent
from jackdawspread.decisions.owner.promotion_state import initial_promotion_state
from jackdawspread.decisions.owner.promotion_tick import PromotionTick
from jackdawspread.decisions.owner.send_follow import SendFollow
from jackdawspread.decisions.owner.send_open import SendOpen
from jackdawspread.decisions.owner.send_prepare import SendPrepare
from jackdawspread.decisions.owner.step_unanswered import StepUnanswered
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.settings.database_settings import DatabaseSettings
from jackdawspread.tasks.connection_manager import ConnectionManager
from jackdawspread.tasks.member_control_connection import MemberControlConnection

PROBE_INTERVAL_SECONDS = 0.1
IDLE_PROBE_INTERVAL_SECONDS = 1.0
# A probe unanswered for this long counts as missed.
ANSWER_SECONDS = 0.3
PATH_BY_STEP = {
    "connect": "/connect",
    "status": "/status",
    "prepare": "/prepare",
    "open": "/open",
    "follow": "/follow",
}


class PromotionController:
    """Owns the control connections and the promotion state of a database.

    Parameters
    ----------
    settings : DatabaseSettings
        The database.
    incarnation : str
        Id of this process start.
    connections : ConnectionManager
        Makes the calls.
    random : random.Random
        Source of the jitter between competing promotions.
    is_independent : bool
        Whether to probe at the full rate with any rank, and even without one.
    """

    def __init__(
        self,
        settings: DatabaseSettings,
        incarnation: str,
        connections: ConnectionManager,
        random: Random,
        is_independent: bool = False,
    ) -> None:
        self._is_independent = is_independent
        self._settings = settings
        self._incarnation = incarnation
        self._connections = connections
        self._random = random
        self._control_connection_by_address = {
            address: MemberControlConnection(address, deque())
            for address in settings.member_addresses
        }
        self.state = initial_promotion_state(settings.member_addresses)

    def handle(self, event: PromotionEvent, now: float) -> list[PromotionEffect]:
        """Handle an event, send the resulting steps, and return all effects."""
        self.state, effects = handle_promotion_event(event, self.state, now)
        for effect in effects:
            if isinstance(effect, SendPrepare | SendOpen | SendFollow):
                self._queue_step(effect)
        if effects:
            self._send_next_calls(now)
        return effects

    def set_has_recent_requests(self, has_recent_requests: bool) -> None:
        """Set whether to probe at the full rate although another owner is active."""
        if has_recent_requests != self.state.has_recent_requests:
            self.state = self.state._replace(has_recent_requests=has_recent_requests)
            self.probe_now()

    def tick(self, now: float) -> list[PromotionEffect]:
        """Send due probes and advance the promotion."""
        effects = self.handle(PromotionTick(self._random.random()), now)
        self._send_next_calls(now)
        return effects

    def probe_now(self) -> None:
        """Probe all members at the next opportunity."""
        for address, control_connection in self._control_connection_by_address.items():
            self._control_connection_by_address[address] = control_connection._replace(
                next_probe_at=0.0
            )

    def handle_outcome(
        self, call: MemberControlCall, outcome: HttpOutcome, now: float
    ) -> list[PromotionEffect]:
        """Handle the outcome of a call on a control connection."""
        control_connection = self._control_connection_by_address[call.address]._replace(
            outstanding=None
        )
        events: list[PromotionEvent] = []
        if outcome.status == 0 or (call.step == "connect" and outcome.status != 200):
            self._connections.close(control_connection.connection)
            events += _unanswered_steps(call, control_connection)
            control_connection.queue.clear()
            control_connection = control_connection._replace(connection=0)
            if outcome.status == 0:
                events.append(ProbeMissed(call.address, _is_refused(outcome)))
        else:
            event = _decode(call, outcome)
            events += [] if event is None else [event]
        self._control_connection_by_address[call.address] = control_connection
        effects = [effect for event in events for effect in self.handle(event, now)]
        if outcome.status == 0:
            effects += self.handle(PromotionTick(self._random.random()), now)
        self._send_next_call(call.address, now)
        return effects

    def stop(self) -> None:
        """Close the control connections."""
        for address, control_connection in self._control_connection_by_address.items():
            self._connections.close(control_connection.connection)
            self._control_connection_by_address[address] = MemberControlConnection(
                address, deque()
            )

    def _queue_step(self, effect: SendPrepare | SendOpen | SendFollow) -> None:
        step = {SendPrepare: "prepare", SendOpen: "open", SendFollow: "follow"}
        primary = effect.primary if isinstance(effect, SendFollow) else ""
        call = MemberControlCall(
            effect.address, step[type(effect)], effect.term, primary
        )
        queue = self._control_connection_by_address[effect.address].queue
        # Each probe may decide on the same follow again; one in the queue is enough.
        if call not in queue:
            queue.append(call)

    def _send_next_calls(self, now: float) -> None:
        for address in self._control_connection_by_address:
            self._send_next_call(address, now)

    def _send_next_call(self, address: str, now: float) -> None:
        """Make the next call on a member's control connection, if any is due."""
        control_connection = self._control_connection_by_address[address]
        is_due = now >= control_connection.next_probe_at
        may_probe = self.state.rank >= 0 or self._is_independent
        if not may_probe or control_connection.outstanding is not None:
            return
        if not control_connection.connection:
            if not is_due:
                return
            control_connection = control_connection._replace(
                connection=self._connections.open(address)
            )
            call = MemberControlCall(address, "connect")
        elif control_connection.queue:
            call = control_connection.queue.popleft()
        elif is_due or not control_connection.has_probed:
            call = MemberControlCall(address, "status")
        else:
            return
        is_full_rate = self.state.is_active or self.state.has_recent_requests
        is_full_rate = is_full_rate or self._is_independent
        interval = (
            PROBE_INTERVAL_SECONDS if is_full_rate else IDLE_PROBE_INTERVAL_SECONDS
        )
        if call.step in ("connect", "status"):
            control_connection = control_connection._replace(
                next_probe_at=now + interval
            )
        call = call._replace(sent_at=now)
        self._control_connection_by_address[address] = control_connection._replace(
            outstanding=call, has_probed=call.step != "connect"
        )
        body, deadline = self._body(call), now + ANSWER_SECONDS
        path = PATH_BY_STEP[call.step]
        self._connections.call(
            control_connection.connection, path, body, deadline, call
        )

    def _body(self, call: MemberControlCall) -> dict[str, Any]:
        if call.step == "connect":
            return {"instance": self._incarnation}
        if call.step == "status":
            return {}
        if call.step == "follow":
            return {"term": call.term, "address": call.primary}
        return {"term": call.term}


def _unanswered_steps(
    call: MemberControlCall, control_connection: MemberControlConnection
) -> list[PromotionEvent]:
    unanswered = [call, *control_connection.queue]
    steps = ("prepare", "open")
    return [
        StepUnanswered(c.address, c.step, c.term) for c in unanswered if c.step in steps
    ]


def _is_refused(outcome: HttpOutcome) -> bool:
    return not outcome.sent and outcome.error.startswith("connection failed")


def _decode(call: MemberControlCall, outcome: HttpOutcome) -> PromotionEvent | None:
    body = outcome.body
    if call.step == "status":
        status = decode_status(call.address, call.sent_at, body)
        if outcome.status != 200 or status is None:
            return ProbeMissed(call.address, False)
        return ProbeAnswered(status)
    if call.step == "prepare":
        try:
            position = decode_position(body.get("position", (0, 0)))
            promised = int(body.get("promised", 0))
        except (TypeError, ValueError):
            logging.warning("owner: malformed promise member=%s", call.address)
            return StepUnanswered(call.address, call.step, call.term)
        is_granted = outcome.status == 200 and bool(body.get("granted"))
        return PromiseReceived(call.address, call.term, is_granted, promised, position)
    if call.step == "open":
        return OpenAnswered(call.address, call.term, outcome.status == 200)
    return None
