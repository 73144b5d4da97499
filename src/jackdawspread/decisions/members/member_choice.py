"""Chooses the member for a read that any sufficiently fresh member may answer."""

from collections.abc import Iterable

from jackdawspread.decisions.members.member_candidate import MemberCandidate

# Costs in units of one statement that waits ahead in a member with one slot.
HANDSHAKE_COST = 0.6
OTHER_DOMAIN_COST = 0.15
# Only the primary serves writes, and a read there needs an extra transaction.
PRIMARY_COST = 0.6
LAG_COST = 0.5
POOL_FULL_COST = 4.0


def choose_member(candidates: Iterable[MemberCandidate]) -> str | None:
    """Return the id of the member that is expected to answer first."""
    ranked = sorted(candidates, key=lambda candidate: (_cost(candidate), candidate.id))
    return ranked[0].id if ranked else None


def _cost(candidate: MemberCandidate) -> float:
    cost = candidate.in_use / max(1, candidate.slots)
    if not candidate.has_idle:
        cost += HANDSHAKE_COST
    if not candidate.can_open:
        cost += POOL_FULL_COST
    if not candidate.is_same_domain:
        cost += OTHER_DOMAIN_COST
    if candidate.is_primary:
        cost += PRIMARY_COST
    return cost + LAG_COST * candidate.lag_refusals
