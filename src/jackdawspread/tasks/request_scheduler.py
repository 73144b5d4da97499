"""Scheduling of the requests of one owner."""

from itertools import count
from math import inf

from expression import Error

from jackdawspread.decisions.owner.promotion_state import (
    PromotionState,
    can_acknowledge_writes,
)
from jackdawspread.decisions.owner.queued_request import QueuedRequest
from jackdawspread.decisions.owner.request_check import (
    TRANSACTION_CONTINUATION_KINDS,
    check_arrival,
    refuse,
    selected_preset,
    workspace_weight,
)
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

# If the first request of a lane cannot be sent, the next ones mostly cannot either.
# Trying the first request of every workspace on each event added 0.3 ms to a read
# with 8 workspaces.
MAX_FAILED_HEADS_BY_LANE = {"primary": 1, "begin": 1, "any": 2, "transaction": 8}


class RequestScheduler:
    """Owns the queue, and sends or refuses each request in it.

    Parameters
    ----------
    queue : RequestQueue
        Empty queue; its type selects the queueing discipline.
    components : OwnerComponents
        Components of the same owner.
    sender, finisher : RequestSender, OutcomeHandler
        Send the requests and handle the outcomes.
    """

    def __init__(
        self,
        queue: RequestQueue,
        components: OwnerComponents,
        sender: RequestSender,
        outcome_handler: OutcomeHandler,
    ) -> None:
        self._queue = queue
        self._components = components
        self._sender = sender
        self._outcome_handler = outcome_handler
        self._ids = count(1)

    def is_idle(self) -> bool:
        """Return whether no request is queued, running or in a transaction."""
        components = self._components
        is_waiting = bool(self._queue.size_by_workspace) or bool(
            self._outcome_handler.retry_queue
        )
        is_running = not self._sender.is_idle() or not components.confirmer.is_idle()
        return not is_waiting and not is_running and not len(components.transactions)

    def queue_length(self) -> int:
        """Return how many requests are queued."""
        return queue_total(self._queue)

    def submit(
        self,
        submission: RoutedSubmission,
        snapshot: ControlSnapshot | None,
        is_serving: bool,
        now: float,
    ) -> None:
        """Queue a request or refuse it."""
        request = submission.request
        refusal = self._refusal_on_arrival(request, snapshot, is_serving)
        is_outcome_lookup = False
        if refusal is None and request.kind in TRANSACTION_CONTINUATION_KINDS:
            refusal = self._components.transactions.reserve(request)
            is_outcome_lookup = _may_have_committed(request, refusal)
            refusal = None if is_outcome_lookup else refusal
        if refusal is not None or snapshot is None:
            refusal = refusal or refuse("no_authority", "no configuration is known")
            self._components.replies.send(submission, Error(refusal))
            return
        id = next(self._ids)
        self._components.replies.add(id, submission, now)
        preset = selected_preset(snapshot)
        self._outcome_handler.count_request(preset["retry_percent"])
        wait = preset["queue_wait_ms"] / 1000
        expires_at = min(request.deadline, now + wait)
        lane = "primary" if is_outcome_lookup else _lane(request)
        item = QueuedRequest(
            id, request, lane, expires_at, is_outcome_lookup=is_outcome_lookup
        )
        weight = workspace_weight(snapshot, request.workspace)
        self._queue = enqueue(self._queue, item, weight)

    def dispatch(
        self, promotion: PromotionState, snapshot: ControlSnapshot, now: float
    ) -> None:
        """Send the requests that members can accept, in the order of the discipline."""
        for running in self._outcome_handler.retry_queue.take_due(now):
            if not self._sender.try_send(running, promotion, snapshot, 0, now):
                self._outcome_handler.retry_queue.add(running, now)
        failed_by_lane: dict[str, int] = {}
        while (
            self._queue.size_by_workspace and self._components.pools.has_any_free_slot()
        ):
            if not self._send_first(promotion, snapshot, failed_by_lane, now):
                break
        if can_acknowledge_writes(promotion):
            self._components.confirmer.send_confirm_calls(now)

    def expire(self, now: float) -> None:
        """Refuse the requests that have waited for too long."""
        self._refuse_queued("queue_timeout", now, now)
        self._outcome_handler.expire(now)

    def refuse_all_queued(self, now: float) -> None:
        """Refuse all queued requests, because this instance is no longer an owner."""
        self._refuse_queued("not_owner", inf, now)

    def _refuse_queued(self, code: str, until: float, now: float) -> None:
        for item in remove_expired(self._queue, until):
            self._components.replies.refuse(item.id, code, now)

    def _send_first(
        self,
        promotion: PromotionState,
        snapshot: ControlSnapshot,
        failed_by_lane: dict[str, int],
        now: float,
    ) -> bool:
        """Send the first request that a member can accept; return whether any was."""
        queued = queue_total(self._queue)
        for item in queue_heads(self._queue):
            failed = failed_by_lane.get(item.lane, 0)
            if failed >= MAX_FAILED_HEADS_BY_LANE.get(item.lane, 1):
                continue
            running = RunningRequest(
                item.id, item.request, is_outcome_lookup=item.is_outcome_lookup
            )
            if self._sender.try_send(running, promotion, snapshot, queued, now):
                self._queue = remove_head(self._queue, item)
                return True
            failed_by_lane[item.lane] = failed + 1
        return False

    def _refusal_on_arrival(
        self,
        request: RoutedRequest,
        snapshot: ControlSnapshot | None,
        is_serving: bool,
    ) -> Refusal | None:
        transaction = self._components.transactions.get(request.transaction_id)
        if not is_serving and transaction is None:
            return refuse("not_owner", "this instance is not an owner of the database")
        if snapshot is None:
            return None
        preset: PresetDocument = selected_preset(snapshot)
        if queue_size(self._queue, request.workspace) >= preset["queue_limit"]:
            wait = preset["queue_wait_ms"]
            return refuse("queue_full", "too many requests are queued", "", wait)
        return check_arrival(snapshot, request)


def _may_have_committed(request: RoutedRequest, refusal: Refusal | None) -> bool:
    """Return whether the outcome of an earlier commit must be queried."""
    if refusal is None or refusal.code != "unknown_transaction":
        return False
    return request.kind is RequestKind.COMMIT and request.idempotency_key != ""


def _lane(request: RoutedRequest) -> str:
    """Return the lane of a request.

    A lane is a sub-queue of requests that need the same kind of member. Separate lanes
    keep a begin that waits for a connection from blocking the commit that frees one,
    and a request for the primary from blocking a read that a replica can serve.
    """
    if request.kind is RequestKind.READ and request.max_staleness is not None:
        return "any"
    if request.kind is RequestKind.BEGIN:
        return "begin"
    return (
        "transaction" if request.kind in TRANSACTION_CONTINUATION_KINDS else "primary"
    )
