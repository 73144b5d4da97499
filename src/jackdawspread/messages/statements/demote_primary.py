"""Command to end the leadership of a primary."""

from typing import NamedTuple


class DemotePrimary(NamedTuple):
    """Makes a primary of a lower term a replica, so that its log stops growing."""

    term: int
