"""Confirmation of a generation of seats."""

from typing import NamedTuple


class SeatConfirmation(NamedTuple):
    """Tells that the sender keeps to its new connection limit.

    A sender that is not settled asks the receiver to confirm as well.
    """

    incarnation: str
    database: str
    generation: int
    is_settled: bool
