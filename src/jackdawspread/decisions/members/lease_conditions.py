"""Conditions under which a member may serve a request."""

from typing import NamedTuple

from jackdawspread.messages.position import Position


class LeaseConditions(NamedTuple):
    """Whether the member must be the primary, or else the position that it must have.

    Parameters
    ----------
    requires_primary : bool
        Whether only the primary may serve the request.
    required_position : Position or None
        Position that the log of a replica must have reached.
    position_age_s : float
        Time in seconds since the primary had this position.
    """

    requires_primary: bool
    required_position: Position | None = None
    position_age_s: float = 0.0
