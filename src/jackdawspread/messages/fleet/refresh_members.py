"""Request to read the list of members again."""

from typing import NamedTuple


class RefreshMembers(NamedTuple):
    """Requests another read of the list of members as soon as possible."""

    reason: str
