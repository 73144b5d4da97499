"""Sign of life of a suspected primary."""

from typing import NamedTuple


class SuspicionCleared(NamedTuple):
    """A primary that was in doubt answered a question sent at ``at``."""

    group: str
    member: str
    at: float
