"""Conditions under which a member may serve a request."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LeaseTerms(NamedTuple):
    """Whether the member must lead, or else which position it must hold."""

    as_primary: bool
    after: Position | None = None
    evidence_age_s: float = 0.0
