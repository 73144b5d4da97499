"""Event: a member did not answer a probe."""

from typing import NamedTuple


class ProbeMissed(NamedTuple):
    """Tells whether the connection was refused, rather than left unanswered."""

    address: str
    is_refused: bool
