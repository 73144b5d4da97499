"""Chooses the member for a read that any fresh member may answer."""

from collections.abc import Iterable

from jackdawspread.decisions.members.member_candidate import MemberCandidate

# Costs in units of one statement that waits ahead.
HANDSHAKE_COST = 0.6
DISTANCE_COST = 0.15
# The primary alone serves writes, and a read there needs a transaction of its own.
PRIMARY_COST = 0.6
LAG_COST = 0.5
FULL_COST = 4.0


def choose_member(candidates: Iterable[MemberCandidate]) -> str | None:
    """Return the id of the member that is expected to answer first."""
    ranked = sorted(candidates, key=lambda candidate: (_cost(candidate), candidate.id))
    return ranked[0].id if ranked else None


def _cost(candidate: MemberCandidate) -> float:
    cost = candidate.in_use / max(1, candidate.slots)
    if not candidate.has_idle:
        cost += HANDSHAKE_COST
    if not candidate.can_open:
        cost += FULL_COST
    if not candidate.near:
        cost += DISTANCE_COST
    if candidate.leads:
        cost += PRIMARY_COST
    return cost + LAG_COST * candidate.lag_refusals
