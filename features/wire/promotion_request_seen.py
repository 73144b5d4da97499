"""Promotion request that the stand-in for the platform has received."""

from typing import NamedTuple


class PromotionRequestSeen(NamedTuple):
    """A fencing token and the requested member."""

    token: int
    member: str
