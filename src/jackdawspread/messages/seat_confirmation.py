"""Confirmation of a generation of a database's owners."""

from typing import NamedTuple


class SeatConfirmation(NamedTuple):
    """Confirms that the sender has applied its connection limit of a generation.

    If ``is_settled`` is false, it also asks the receiver for its confirmation.
    """

    incarnation: str
    database: str
    generation: int
    is_settled: bool
