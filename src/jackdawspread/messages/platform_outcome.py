"""Outcome of a call to the platform's table service."""

from typing import NamedTuple


class PlatformOutcome(NamedTuple):
    """Response to a call, or its absence.

    Status 0 means that no response arrived. Then ``sent`` says whether the call may
    have taken effect.
    """

    id: int
    status: int
    body: dict[str, object]
    sent: bool
