"""Preference of a read for members of the own failure domain."""

from collections.abc import Sequence

from jackdawspread.decisions.members.member_candidate import MemberCandidate


def prefer_own_domain(
    candidates: Sequence[MemberCandidate],
) -> list[MemberCandidate]:
    """Return the candidates of the own failure domain, or all if there is none."""
    near = [candidate for candidate in candidates if candidate.is_same_domain]
    return near or list(candidates)
