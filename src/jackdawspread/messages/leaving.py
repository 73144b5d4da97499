"""Announcement of a planned stop."""

from typing import NamedTuple


class Leaving(NamedTuple):
    """Tells peers that the sender takes no new work."""

    incarnation: str
