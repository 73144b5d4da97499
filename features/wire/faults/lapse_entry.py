"""The entry of a member that goes on is removed from the list."""

from typing import NamedTuple


class LapseEntry(NamedTuple):
    """The entry of a member that goes on is removed from the list."""

    is_primary: bool
