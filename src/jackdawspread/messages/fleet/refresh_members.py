"""Wish for a newer list of members."""

from typing import NamedTuple


class RefreshMembers(NamedTuple):
    """Asks for the list of members to be read again soon."""

    reason: str
