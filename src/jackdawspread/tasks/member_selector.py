"""Selection of the member and the connection for a request."""

from math import inf

from jackdawspread.decisions.owner.member_selection import MemberSelection
from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.member_target import MemberTarget
from jackdawspread.decisions.owner.position_sample import PositionSample
from jackdawspread.decisions.owner.promotion_state import (
    PromotionState,
    is_primary_available,
)
from jackdawspread.decisions.owner.read_candidate import ReadCandidate
from jackdawspread.decisions.owner.read_choice import choose_read_target, max_data_age
from jackdawspread.decisions.owner.request_check import TRANSACTION_CONTINUATION_KINDS
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.tasks.member_pools import MemberPools
from jackdawspread.tasks.transaction_table import TransactionTable

# 60 s of probes every 100 ms; a read that accepts older data gets newer data.
MAX_SAMPLES = 600
SERVICE_SMOOTHING = 0.1
# Two probe intervals and some delay. A replica with a greater lag confirms positions
# in its log long before its reads show them: with a lag of 5 s, 280 of 1,190 reads
# were refused as behind and retried at the primary.
MAX_PROMPT_APPLY_LAG_SECONDS = 0.5


class MemberSelector:
    """Owns the samples of the primary's position and its service time.

    Parameters
    ----------
    pools : MemberPools
        Pools that know the load of the members.
    transactions : TransactionTable
        Transactions with their pinned connections.
    """

    def __init__(self, pools: MemberPools, transactions: TransactionTable) -> None:
        self._pools = pools
        self._transactions = transactions
        self._samples: list[PositionSample] = []
        self._log_position_by_member: dict[str, Position] = {}
        self._service_seconds = 0.005

    def enter_term(self) -> None:
        """Discard the positions recorded in the previous term."""
        self._samples.clear()
        self._log_position_by_member.clear()

    def record_probe(self, status: MemberStatus, promotion: PromotionState) -> None:
        """Record the primary's position from a probe."""
        if status.address != promotion.primary or status.term != promotion.term:
            return
        self._samples.append(PositionSample(status.probe_sent_at, status.position))
        if len(self._samples) > 2 * MAX_SAMPLES:
            del self._samples[:MAX_SAMPLES]

    def record_log_position(self, address: str, position: Position) -> None:
        """Record a position that a member's answer shows to be in its log."""
        known = self._log_position_by_member.get(address)
        if known is None or position > known:
            self._log_position_by_member[address] = position

    def record_service_time(self, seconds: float) -> None:
        """Record the time that the primary needed for a statement."""
        change = seconds - self._service_seconds
        self._service_seconds += SERVICE_SMOOTHING * change

    def select_member(
        self,
        running: RunningRequest,
        promotion: PromotionState,
        replica_reads: bool,
        queued: int,
        now: float,
    ) -> MemberSelection | None:
        """Return the member for a request, or None if the request has to wait."""
        request = running.request
        if (
            request.kind in TRANSACTION_CONTINUATION_KINDS
            and not running.is_outcome_lookup
        ):
            return self._select_pinned(running)
        may_use_replica = replica_reads and not running.is_primary_only
        is_read = request.kind is RequestKind.READ
        if not is_read or request.max_staleness is None or not may_use_replica:
            if not is_primary_available(promotion) or not self._pools.is_free(
                promotion.primary
            ):
                return None
            position = request.position
            return MemberSelection(
                MemberTarget(promotion.primary, "primary", position, 0)
            )
        target = choose_read_target(
            request,
            self._candidates(promotion),
            self._samples,
            may_use_replica,
            queued * self._service_seconds,
            now,
        )
        return None if target is None else MemberSelection(target)

    def _select_pinned(self, running: RunningRequest) -> MemberSelection | None:
        transaction = self._transactions.get(running.request.transaction_id)
        if transaction is None:
            return MemberSelection(MemberTarget("", "", None, 0))
        if not self._pools.has_free_slot(transaction.address):
            return None
        return MemberSelection(
            MemberTarget(transaction.address, "primary", None, 0),
            transaction.connection,
            transaction.member_transaction,
        )

    def _candidates(self, promotion: PromotionState) -> list[ReadCandidate]:
        candidates = []
        for address in promotion.members:
            if address == promotion.primary:
                if is_primary_available(promotion):
                    candidates.append(self._candidate(address, "primary", None, inf))
                continue
            status = promotion.status_by_member.get(address)
            is_reachable = not promotion.misses_by_member.get(address, 0)
            if status is None or status.role != "replica" or not is_reachable:
                continue
            lag = max_data_age(self._samples, status.applied, status.probe_sent_at)
            applied = status.applied
            if lag <= MAX_PROMPT_APPLY_LAG_SECONDS:
                applied = max(
                    applied, self._log_position_by_member.get(address, applied)
                )
            candidates.append(self._candidate(address, "replica", applied, lag))
        return candidates

    def _candidate(
        self, address: str, role: str, applied: Position | None, lag: float
    ) -> ReadCandidate:
        is_free = self._pools.is_free(address)
        in_flight = self._pools.in_flight(address)
        return ReadCandidate(address, role, is_free, in_flight, applied, lag)
