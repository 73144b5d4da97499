"""Queue of the requests of one owner."""

from itertools import count
from math import inf

from expression import Error

from jackdawspread.decisions.owner.promotion_state import (
    PromotionState,
    can_acknowledge_writes,
)
from jackdawspread.decisions.owner.queued_request import QueuedRequest
from jackdawspread.decisions.owner.request_check import (
    check_arrival,
    refuse,
    selected_preset,
    workspace_weight,
)
from jackdawspread.decisions.owner.request_outcome import TRANSACTION_CONTINUATION_KINDS
from jackdawspread.decisions.owner.request_queue import (
    RequestQueue,
    enqueue,
    queue_heads,
    queue_size,
    queue_total,
    remove_expired,
    remove_head,
)
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.control_snapshot import ControlSnapshot
from jackdawspread.messages.preset_document import PresetDocument
from jackdawspread.messages.refusal import Refusal
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.messages.routed_request import RoutedRequest
from jackdawspread.messages.routed_submission import RoutedSubmission
from jackdawspread.tasks.outcome_handler import OutcomeHandler
from jackdawspread.tasks.owner_components import OwnerComponents
from jackdawspread.tasks.request_sender import RequestSender

# What one request of a lane waits for, the next ones mostly wait for too. Trying
# every workspace's first request on each event cost a read 0.3 ms more with 8
# workspaces.
MAX_FAILED_HEADS_BY_LANE = {"primary": 1, "begin": 1, "any": 2, "transaction": 8}


class RequestScheduler:
    """Owns the queue; each request in it is sent or refused.

    Parameters
    ----------
    queue : RequestQueue
        Empty queue; its type sets the queueing discipline.
    parts : OwnerComponents
        Parts of the same owner.
    sender, finisher : RequestSender, OutcomeHandler
        Carry requests out.
    """

    def __init__(
        self,
        queue: RequestQueue,
        parts: OwnerComponents,
        sender: RequestSender,
        finisher: OutcomeHandler,
    ) -> None:
        self._queue = queue
        self._parts = parts
        self._sender = sender
        self._finisher = finisher
        self._ids = count(1)

    def is_idle(self) -> bool:
        """Return whether no request is queued, running or in a transaction."""
        parts = self._parts
        is_waiting = bool(self._queue.size_by_workspace) or bool(self._finisher.repeats)
        is_running = not self._sender.is_idle() or not parts.confirmer.is_idle()
        return not is_waiting and not is_running and not len(parts.transactions)

    def queue_length(self) -> int:
        """Return how many requests are queued."""
        return queue_total(self._queue)

    def submit(
        self,
        submission: RoutedSubmission,
        snapshot: ControlSnapshot | None,
        has_seat: bool,
        now: float,
    ) -> None:
        """Queue a request or refuse it."""
        request = submission.request
        refusal = self._refusal_on_arrival(request, snapshot, has_seat)
        is_outcome_lookup = False
        if refusal is None and request.kind in TRANSACTION_CONTINUATION_KINDS:
            refusal = self._parts.transactions.claim(request)
            is_outcome_lookup = _may_have_committed(request, refusal)
            refusal = None if is_outcome_lookup else refusal
        if refusal is not None or snapshot is None:
            refusal = refusal or refuse("no_authority", "no configuration is known")
            self._parts.replies.send(submission, Error(refusal))
            return
        id = next(self._ids)
        self._parts.replies.add(id, submission, now)
        preset = selected_preset(snapshot)
        self._finisher.count_request(preset["retry_percent"])
        wait = preset["queue_wait_ms"] / 1000
        expires_at = min(request.deadline, now + wait)
        lane = "primary" if is_outcome_lookup else _lane(request)
        item = QueuedRequest(
            id, request, lane, expires_at, is_outcome_lookup=is_outcome_lookup
        )
        weight = workspace_weight(snapshot, request.workspace)
        self._queue = enqueue(self._queue, item, weight)

    def dispatch(
        self, watch: PromotionState, snapshot: ControlSnapshot, now: float
    ) -> None:
        """Send what can be sent, in the order of the queueing discipline."""
        for running in self._finisher.repeats.take_due(now):
            if not self._sender.try_send(running, watch, snapshot, 0, now):
                self._finisher.repeats.add(running, now)
        failed_by_lane: dict[str, int] = {}
        while self._queue.size_by_workspace and self._parts.pools.has_any_free_slot():
            if not self._send_first(watch, snapshot, failed_by_lane, now):
                break
        if can_acknowledge_writes(watch):
            self._parts.confirmer.ask(now)

    def expire(self, now: float) -> None:
        """Refuse what has waited for too long."""
        self._refuse_queued("queue_timeout", now, now)
        self._finisher.expire(now)

    def refuse_all_queued(self, now: float) -> None:
        """Refuse the queue of an owner that has lost its seat."""
        self._refuse_queued("not_owner", inf, now)

    def _refuse_queued(self, code: str, until: float, now: float) -> None:
        for item in remove_expired(self._queue, until):
            self._parts.replies.refuse(item.id, code, now)

    def _send_first(
        self,
        watch: PromotionState,
        snapshot: ControlSnapshot,
        failed_by_lane: dict[str, int],
        now: float,
    ) -> bool:
        """Send the first request that a member can take; return whether one was."""
        queued = queue_total(self._queue)
        for item in queue_heads(self._queue):
            failed = failed_by_lane.get(item.lane, 0)
            if failed >= MAX_FAILED_HEADS_BY_LANE.get(item.lane, 1):
                continue
            running = RunningRequest(
                item.id, item.request, is_outcome_lookup=item.is_outcome_lookup
            )
            if self._sender.try_send(running, watch, snapshot, queued, now):
                self._queue = remove_head(self._queue, item)
                return True
            failed_by_lane[item.lane] = failed + 1
        return False

    def _refusal_on_arrival(
        self,
        request: RoutedRequest,
        snapshot: ControlSnapshot | None,
        has_seat: bool,
    ) -> Refusal | None:
        transaction = self._parts.transactions.get(request.transaction_id)
        if not has_seat and transaction is None:
            return refuse("not_owner", "this instance holds no seat of the database")
        if snapshot is None:
            return None
        preset: PresetDocument = selected_preset(snapshot)
        if queue_size(self._queue, request.workspace) >= preset["queue_limit"]:
            wait = preset["queue_wait_ms"]
            return refuse("queue_full", "too many requests are queued", "", wait)
        return check_arrival(snapshot, request)


def _may_have_committed(request: RoutedRequest, refusal: Refusal | None) -> bool:
    """Return whether an earlier commit with the same id has to be looked up."""
    if refusal is None or refusal.code != "unknown_transaction":
        return False
    return request.kind is RequestKind.COMMIT and request.idempotency_key != ""


def _lane(request: RoutedRequest) -> str:
    """Return the lane of a request.

    A begin that waits for a connection must not hold up the commit that frees
    one, nor a read that a replica can take wait behind one for the primary.
    """
    if request.kind is RequestKind.READ and request.max_staleness is not None:
        return "any"
    if request.kind is RequestKind.BEGIN:
        return "begin"
    return (
        "transaction" if request.kind in TRANSACTION_CONTINUATION_KINDS else "primary"
    )
