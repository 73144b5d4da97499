"""State of failure detection and promotion at one owner."""

from typing import NamedTuple

from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.promotion_phase import PromotionPhase
from jackdawspread.messages.position import Position


class PromotionState(NamedTuple):
    """Tracked state of the members, and the promotion of this owner if one runs.

    Parameters
    ----------
    members : tuple of str
        Addresses of the members.
    status_by_member, misses_by_member : dict
        Last status, and number of consecutive missed probes, by member.
    promised_position_by_member : dict of str to Position
        Ends of the logs of the members that promised ``promotion_term``.
    generation, rank, is_active : int, int, bool
        Rank of this owner, as in `OwnerAssignment`.
    has_recent_requests : bool
        Whether the owner received requests recently although it is not active.
    term, primary : int, str
        Current term and the address of its primary, which is empty if unknown.
    promised : int
        Greatest term that any member is known to have promised.
    promised_since : float
        Monotonic time in seconds at which ``promised`` last increased.
    phase : PromotionPhase
        Phase of the running promotion.
    promotion_term : int
        Term of the running or the last promotion of this owner.
    rejecting_members : frozenset of str
        Members that rejected the ``prepare`` of ``promotion_term``.
    outstanding_members : frozenset of str
        Members that have not answered a ``prepare`` or ``open`` yet.
    chosen_member : str
        Member that is to become the primary.
    step_deadline : float
        Monotonic time in seconds at which the step times out.
    retry_at : float
        Monotonic time in seconds before which no promotion starts.
    is_primary_refusing_connections : bool
        Whether the primary's address refuses connections.
    """

    members: tuple[str, ...]
    status_by_member: dict[str, MemberStatus]
    misses_by_member: dict[str, int]
    promised_position_by_member: dict[str, Position]
    generation: int = 0
    rank: int = -1
    is_active: bool = False
    has_recent_requests: bool = False
    term: int = 0
    primary: str = ""
    promised: int = 0
    promised_since: float = 0.0
    phase: PromotionPhase = PromotionPhase.WATCHING
    promotion_term: int = 0
    rejecting_members: frozenset[str] = frozenset()
    outstanding_members: frozenset[str] = frozenset()
    chosen_member: str = ""
    step_deadline: float = 0.0
    retry_at: float = 0.0
    is_primary_refusing_connections: bool = False


def initial_promotion_state(members: tuple[str, ...]) -> PromotionState:
    """Return the state of an owner that has not probed the members yet."""
    return PromotionState(members, {}, {}, {})


def can_acknowledge_writes(state: PromotionState) -> bool:
    """Return whether writes at the known primary may be acknowledged."""
    return (
        state.primary != ""
        and state.phase is PromotionPhase.WATCHING
        and state.promotion_term <= state.term
    )


def is_primary_available(state: PromotionState) -> bool:
    """Return whether statements may be sent to the primary now."""
    status = state.status_by_member.get(state.primary)
    has_newer_promise = status is not None and status.promised > state.term
    is_suspected = state.misses_by_member.get(state.primary, 0) > 0
    return can_acknowledge_writes(state) and not has_newer_promise and not is_suspected
