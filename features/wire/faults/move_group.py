"""The routes lead to another group for a time."""

from typing import NamedTuple


class MoveGroup(NamedTuple):
    """The routes lead to another group for a time."""
