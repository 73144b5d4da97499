"""State of failure detection and promotion at one owner."""

from typing import NamedTuple

from jackdawspread.decisions.owner.member_status import MemberStatus
from jackdawspread.decisions.owner.promotion_phase import PromotionPhase
from jackdawspread.messages.position import Position


class PromotionState(NamedTuple):
    """What the owner knows of the members, and its promotion if one runs.

    Parameters
    ----------
    members : tuple of str
        Addresses of the members.
    status_by_member, misses_by_member : dict
        Last status, and consecutive missed probes.
    promised_position_by_member : dict of str to Position
        Log ends of the members that promised ``own_term``.
    generation, seat, is_active : int, int, bool
        Seat of this owner, as in `OwnerAssignment`.
    has_recent_requests : bool
        Whether the owner receives requests although it is not active.
    term, primary : int, str
        Term in force and its primary; the address is empty if unknown.
    promised : int
        Greatest term that any member is known to have promised.
    promised_since : float
        Monotonic time at which ``promised`` first exceeded ``term``.
    phase : PromotionPhase
        Step of the running promotion.
    own_term : int
        Term of the running or last own promotion.
    rejecting_members : frozenset of str
        Members that refused to promise ``own_term``.
    asked : frozenset of str
        Members with a step outstanding.
    chosen : str
        Member to be opened.
    step_deadline : float
        Monotonic time at which the step is given up.
    retry_at : float
        Monotonic time before which no promotion starts.
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
    own_term: int = 0
    rejecting_members: frozenset[str] = frozenset()
    asked: frozenset[str] = frozenset()
    chosen: str = ""
    step_deadline: float = 0.0
    retry_at: float = 0.0
    is_primary_refusing_connections: bool = False


def initial_promotion_state(members: tuple[str, ...]) -> PromotionState:
    """Return the state of an owner that knows nothing of the members yet."""
    return PromotionState(members, {}, {}, {})


def is_in_force(state: PromotionState) -> bool:
    """Return whether the known primary may acknowledge writes."""
    return (
        state.primary != ""
        and state.phase is PromotionPhase.WATCHING
        and state.own_term <= state.term
    )


def is_primary_usable(state: PromotionState) -> bool:
    """Return whether statements may be sent to the primary now."""
    status = state.status_by_member.get(state.primary)
    has_newer_promise = status is not None and status.promised > state.term
    is_suspected = state.misses_by_member.get(state.primary, 0) > 0
    return is_in_force(state) and not has_newer_promise and not is_suspected
