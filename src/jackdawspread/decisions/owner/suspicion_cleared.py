"""Effect: a suspicion was a false alarm."""

from typing import NamedTuple


class SuspicionCleared(NamedTuple):
    """Report that the suspected primary answered before it was replaced."""

    address: str
