"""Sending of the requests of one owner to members."""

from absl import logging
from expression import Error

from jackdawspread.codecs.member_protocol import encode_read, encode_statement
from jackdawspread.decisions.owner.member_selection import MemberSelection
from jackdawspread.decisions.owner.promotion_state import PromotionState
from jackdawspread.decisions.owner.request_check import (
    check_before_sending,
    selected_preset,
)
from jackdawspread.decisions.owner.request_outcome import (
    expire,
    refuse_lost_transaction,
)
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.decisions.owner.statement_call import StatementCall
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.tasks.owner_components import OwnerComponents

MIN_ATTEMPT_SECONDS = 0.3


class RequestSender:
    """Owns the requests in flight.

    Parameters
    ----------
    components : OwnerComponents
        Components of the same owner.
    replica_reads : bool
        Whether replicas may serve reads if the selected preset allows it.
    """

    def __init__(self, components: OwnerComponents, replica_reads: bool) -> None:
        self._components = components
        self._replica_reads = replica_reads
        self._running_by_id: dict[int, RunningRequest] = {}

    def is_idle(self) -> bool:
        """Return whether no request is in flight."""
        return not self._running_by_id

    def pop_running(self, id: int) -> RunningRequest:
        """Remove and return a request whose attempt has ended."""
        return self._running_by_id.pop(id)

    def connections_to_replaced(self, primary: str) -> list[int]:
        """Return the connections with a statement in flight at a replaced primary."""
        return [
            running.connection
            for running in self._running_by_id.values()
            if running.role == "primary" and running.address != primary
        ]

    def try_send(
        self,
        running: RunningRequest,
        promotion: PromotionState,
        snapshot: ControlSnapshot,
        queued: int,
        now: float,
    ) -> bool:
        """Send or refuse a request; return False if it has to wait."""
        replies = self._components.replies
        if running.request.deadline <= now:
            return False
        refusal = check_before_sending(snapshot, running.request, now)
        if refusal is not None:
            # This attempt is not sent, but an earlier attempt may have run.
            is_new = not running.may_have_run
            reply = Error(refusal) if is_new else expire(running).reply
            replies.complete(running.id, reply, now)
            return True
        preset = selected_preset(snapshot)
        replica_reads = self._replica_reads and preset["replica_reads"]
        member_selector = self._components.member_selector
        selection = member_selector.select_member(
            running, promotion, replica_reads, queued, now
        )
        if selection is None:
            return False
        if not selection.target.address:
            replies.complete(running.id, refuse_lost_transaction(running).reply, now)
            return True
        return self._send(running, selection, promotion.term, now)

    def _send(
        self, running: RunningRequest, selection: MemberSelection, term: int, now: float
    ) -> bool:
        target, connection = selection.target, selection.connection
        pools = self._components.pools
        if connection:
            pools.set_use(target.address, connection, "transaction_statement")
        else:
            connection = pools.acquire(target.address, "statement") or 0
        if not connection:
            return False
        running = running._replace(
            address=target.address,
            role=target.role,
            connection=connection,
            term=term,
            attempts=running.attempts + 1,
        )
        self._running_by_id[running.id] = running
        self._call(running, selection, now)
        logging.info(
            "owner: sent request id=%s kind=%s workspace=%s member=%s role=%s "
            "term=%d attempt=%d",
            running.request.id,
            running.request.kind,
            running.request.workspace,
            running.address,
            running.role,
            running.term,
            running.attempts,
        )
        return True

    def _call(
        self, running: RunningRequest, selection: MemberSelection, now: float
    ) -> None:
        request = running.request
        if request.kind is RequestKind.READ:
            path, body = encode_read(request, selection.target, running.term)
        else:
            transaction = selection.member_transaction
            path, body = encode_statement(running, running.term, transaction)
        # Half of the remaining time is reserved for querying the outcome of an attempt
        # without an answer.
        attempt = max(MIN_ATTEMPT_SECONDS, (request.deadline - now) / 2)
        deadline = min(now + attempt, request.deadline)
        call = StatementCall(running.address, running.connection, running.id, now)
        connections = self._components.connections
        connections.call(running.connection, path, body, deadline, call)
