"""Choice of the member and connection for a request."""

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
from jackdawspread.decisions.owner.request_outcome import TRANSACTION_CONTINUATION_KINDS
from jackdawspread.decisions.owner.running_request import RunningRequest
from jackdawspread.messages.position import Position
from jackdawspread.messages.request_kind import RequestKind
from jackdawspread.tasks.member_pools import MemberPools
from jackdawspread.tasks.transaction_table import TransactionTable

# 60 s of probes every 100 ms; a read that accepts older data gets newer data.
MAX_SAMPLES = 600
SERVICE_SMOOTHING = 0.1
# Two probe intervals and some delay. A replica further behind confirms what its
# log holds long before its reads show it; with one 5 s behind, 280 of 1,190 reads
# came back as behind and were repeated at the primary.
MAX_PROMPT_APPLY_LAG_SECONDS = 0.5


class MemberSelector:
    """Owns the samples of the primary's position and its service time.

    Parameters
    ----------
    pools : MemberPools
        Load of the members.
    transactions : TransactionTable
        Pinned connections.
    """

    def __init__(self, pools: MemberPools, transactions: TransactionTable) -> None:
        self._pools = pools
        self._transactions = transactions
        self._samples: list[PositionSample] = []
        self._log_position_by_member: dict[str, Position] = {}
        self._service_seconds = 0.005

    def enter_term(self) -> None:
        """Forget the samples of the replaced primary."""
        self._samples.clear()
        self._log_position_by_member.clear()

    def note_status(self, status: MemberStatus, watch: PromotionState) -> None:
        """Take the primary's position from a probe."""
        if status.address != watch.primary or status.term != watch.term:
            return
        self._samples.append(PositionSample(status.probe_sent_at, status.position))
        if len(self._samples) > 2 * MAX_SAMPLES:
            del self._samples[:MAX_SAMPLES]

    def record_log_position(self, address: str, position: Position) -> None:
        """Take a position that a member's answer showed it to hold."""
        known = self._log_position_by_member.get(address)
        if known is None or position > known:
            self._log_position_by_member[address] = position

    def record_service_time(self, seconds: float) -> None:
        """Take the time that the primary needed for a statement."""
        change = seconds - self._service_seconds
        self._service_seconds += SERVICE_SMOOTHING * change

    def place(
        self,
        running: RunningRequest,
        watch: PromotionState,
        replica_reads: bool,
        queued: int,
        now: float,
    ) -> MemberSelection | None:
        """Return where to send a request, or None if it has to wait."""
        request = running.request
        if (
            request.kind in TRANSACTION_CONTINUATION_KINDS
            and not running.is_outcome_lookup
        ):
            return self._place_pinned(running)
        may_use_replica = replica_reads and not running.is_primary_only
        is_read = request.kind is RequestKind.READ
        if not is_read or request.max_staleness is None or not may_use_replica:
            if not is_primary_available(watch) or not self._pools.is_free(
                watch.primary
            ):
                return None
            position = request.position
            return MemberSelection(MemberTarget(watch.primary, "primary", position, 0))
        target = choose_read_target(
            request,
            self._candidates(watch),
            self._samples,
            may_use_replica,
            queued * self._service_seconds,
            now,
        )
        return None if target is None else MemberSelection(target)

    def _place_pinned(self, running: RunningRequest) -> MemberSelection | None:
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

    def _candidates(self, watch: PromotionState) -> list[ReadCandidate]:
        candidates = []
        for address in watch.members:
            if address == watch.primary:
                if is_primary_available(watch):
                    candidates.append(self._candidate(address, "primary", None, inf))
                continue
            status = watch.status_by_member.get(address)
            is_reachable = not watch.misses_by_member.get(address, 0)
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
