"""Confirmation of binding writes at replicas."""

from absl import logging

from jackdawspread.decisions.owner.confirm_call import ConfirmCall
from jackdawspread.decisions.owner.confirmation import (
    add_outstanding,
    next_position_to_confirm,
    pop_confirmed,
    record_confirmed,
    remove_outstanding,
)
from jackdawspread.decisions.owner.confirmation_state import no_confirmations
from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.http_outcome import HttpOutcome
from jackdawspread.messages.position import Position
from jackdawspread.tasks.connection_manager import ConnectionManager
from jackdawspread.tasks.member_pools import MemberPools

WAIT_SECONDS = 0.2
ANSWER_SECONDS = 0.3
# Delay before the next call to a replica that has not confirmed a position.
RETRY_DELAY_SECONDS = 0.05


class Confirmer:
    """Owns the answers that wait for confirmation by a second member.

    Parameters
    ----------
    members : tuple of str
        Addresses of the members.
    pools : MemberPools
        Pools that the connections of the confirm calls come from.
    connections : ConnectionManager
        Makes the calls.
    """

    def __init__(
        self,
        members: tuple[str, ...],
        pools: MemberPools,
        connections: ConnectionManager,
    ) -> None:
        self._members = members
        self._pools = pools
        self._connections = connections
        self._primary = ""
        self._state = no_confirmations(0)
        self._running_by_id: dict[int, RunningRequest] = {}
        self._retry_at_by_member = dict.fromkeys(members, 0.0)

    @property
    def confirmed_position(self) -> Position | None:
        """Greatest position that a second member has confirmed in the current term."""
        return self._state.confirmed_position

    def is_idle(self) -> bool:
        """Return whether no answer waits."""
        return not self._running_by_id

    def enter_term(self, term: int, primary: str) -> list[RunningRequest]:
        """Start a term and return the unconfirmed requests of the previous one."""
        outstanding = self._state.outstanding_by_member
        self._state = no_confirmations(term)._replace(outstanding_by_member=outstanding)
        self._primary = primary
        unconfirmed = list(self._running_by_id.values())
        self._running_by_id.clear()
        return unconfirmed

    def add(self, running: RunningRequest) -> None:
        """Add an answer of the current term that awaits confirmation."""
        assert running.answer is not None and running.answer.position is not None
        self._running_by_id[running.id] = running
        self._state.waiting_by_id[running.id] = running.answer.position

    def record_probe(self, status: MemberStatus) -> None:
        """Record the log position that a replica reported in a probe."""
        term = self._state.term
        is_current = status.term == term and status.position.term == term
        if status.address != self._primary and is_current and status.promised <= term:
            self._state = record_confirmed(self._state, term, status.position)

    def send_confirm_calls(self, now: float) -> None:
        """Ask the replicas to confirm the positions that are not confirmed yet."""
        for member in self._members:
            if member == self._primary or now < self._retry_at_by_member[member]:
                continue
            position = next_position_to_confirm(self._state, member)
            if position is None:
                continue
            connection = self._pools.acquire(member, "confirm")
            if connection is None:
                continue
            add_outstanding(self._state, member, position)
            call = ConfirmCall(member, connection, self._state.term, position)
            body = {
                "term": call.term,
                "position": position,
                "wait_ms": round(WAIT_SECONDS * 1000),
            }
            deadline = now + WAIT_SECONDS + ANSWER_SECONDS
            self._connections.call(connection, "/confirm", body, deadline, call)

    def handle_outcome(
        self, call: ConfirmCall, outcome: HttpOutcome, now: float
    ) -> bool:
        """Handle a replica's answer; return whether it confirmed the position."""
        remove_outstanding(self._state, call.address, call.position)
        if outcome.status == 0:
            self._pools.close(call.address, call.connection)
            self._retry_at_by_member[call.address] = now + RETRY_DELAY_SECONDS
            return False
        self._pools.release(call.address, call.connection, now)
        promised = outcome.body.get("promised", 0)
        is_confirmed = outcome.status == 200 and outcome.body.get("held") is True
        if not is_confirmed or promised > call.term:
            self._retry_at_by_member[call.address] = now + RETRY_DELAY_SECONDS
            logging.info(
                "owner: not confirmed member=%s term=%s promised=%s",
                call.address,
                call.term,
                promised,
            )
            return False
        self._state = record_confirmed(self._state, call.term, call.position)
        return True

    def pop_confirmed(self) -> list[RunningRequest]:
        """Remove and return the requests that a second member has confirmed."""
        return [self._running_by_id.pop(id) for id in pop_confirmed(self._state)]

    def take_expired(self, now: float) -> list[RunningRequest]:
        """Remove and return the requests whose deadline has passed."""
        running = self._running_by_id.values()
        late = [item for item in running if item.request.deadline <= now]
        for item in late:
            del self._running_by_id[item.id]
            del self._state.waiting_by_id[item.id]
        return late
