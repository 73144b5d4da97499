"""Conditions under which a member may serve a request."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LeaseConditions(NamedTuple):
    """Whether the member must lead, or else which position it must hold."""

    requires_primary: bool
    required_position: Position | None = None
    position_age_s: float = 0.0
